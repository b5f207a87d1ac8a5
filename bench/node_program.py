"""Runs lovagesaddle-node with a named set of policies."""

import argparse
import pathlib
import sys

from bench import policies
from lovagesaddle.node import main as node_main
from lovagesaddle.settings import loader


def main(arguments: list[str]) -> int:
    """Runs one node; returns its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings", type=pathlib.Path)
    parser.add_argument("policy", choices=sorted(policies.POLICIES))
    parsed = parser.parse_args(arguments)
    policy = policies.POLICIES[parsed.policy]
    return node_main.serve(
        loader.load_node(parsed.settings).unwrap(),
        routing_options=policy.routing,
        owner_options=policy.owner,
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
