"""Runs every measurement in turn: `python -m bench [NAME ...]`.

Each one is a module of its own that prints its figures, writes its results
and fails when a bound of the target is exceeded. All of them take about a
quarter of an hour; with NAME arguments, only the named ones run.
"""

import subprocess
import sys

MEASUREMENTS = (
    "state_cost",
    "publication_cost",
    "capacity",
    "distribution_slopes",
    "distribution",
    "consensus",
    "version_ids",
    "claim_cost",
    "virtual_policies",
    "quotas",
    "hops",
    "calls",
)


def main(names: list[str]) -> int:
    """Runs the named measurements, or all; returns 1 if one failed."""
    unknown = sorted(set(names) - set(MEASUREMENTS))
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(f'measurement "{unknown[0]}" is not one of {known}')
        return 2
    failed: list[str] = []
    for name in names or MEASUREMENTS:
        print(f"\n== {name}", flush=True)
        command = [sys.executable, "-m", f"bench.{name}"]
        if subprocess.run(command, check=False).returncode:
            failed.append(name)
    print("\nfailed: " + (", ".join(failed) or "none"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
