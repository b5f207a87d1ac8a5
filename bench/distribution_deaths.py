"""Measures distribution when a node loses both of its parents.

`python -m bench.distribution_deaths` measures, in virtual time over the tests'
in-memory links and for several heartbeat intervals, how long it takes until a
version that is accepted at that moment is in force everywhere.
"""

import logging
import pathlib
import sys

import structlog
from tests import mesh as mesh_lib

from bench import results
from lovagesaddle.core.distribution import relay_tree

HEARTBEATS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
NODES = 30
RUNS = 6
CONVERGENCE_TIMEOUT_S = 60.0
BOUND_CONVERGENCE_S = 4.0
RESULTS_FILE = pathlib.Path("results") / "distribution_deaths.jsonl"


def measure(heartbeat_s: float, run: int) -> results.Sample:
    """Measures the time to convergence after a node loses both parents.

    The eager parent is killed, and the replica that is the lazy parent is cut
    off from all nodes.

    Args:
      heartbeat_s: Time between heartbeats, in seconds.
      run: Number of the run, which chooses the pair of parents.
    """
    mesh = mesh_lib.Mesh(heartbeat_s=heartbeat_s)
    mesh.add_nodes(NODES)
    mesh.run(4 * (1 + heartbeat_s))
    mesh.run_until_converged()
    eager, lazy = _list_parent_pairs(mesh)[run]
    mesh.kill(eager)
    mesh.cut({lazy}, set(mesh.nodes))
    mesh.publish("orderdesk")
    return results.Sample(
        experiment="distribution deaths",
        variant=f"beat {heartbeat_s:g}",
        seed=run,
        figures=(
            results.Figure(
                name="in force everywhere",
                value=mesh.run_until_converged(CONVERGENCE_TIMEOUT_S),
                unit="s",
                bound=BOUND_CONVERGENCE_S,
            ),
        ),
    )


def _list_parent_pairs(mesh: mesh_lib.Mesh) -> list[tuple[str, str]]:
    """Returns both parents of each node whose eager parent is a node."""
    replicas = tuple(replica.peer for replica in mesh.replicas.values())
    pairs: list[tuple[str, str]] = []
    for name in sorted(mesh.nodes):
        plan = relay_tree.plan_parents(mesh.state.snapshot, name, "a", replicas)
        eager, lazy = plan.eager[0].peer_id, plan.lazy[0].peer_id
        if eager in mesh.nodes:
            pairs.append((eager, lazy))
    return pairs


def main() -> int:
    """Prints a table with one column for each heartbeat interval."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    samples = [
        measure(beat, run) for beat in HEARTBEATS_S for run in range(RUNS)
    ]
    print(results.format_table(samples))
    results.write_samples(RESULTS_FILE, samples)
    print("\n".join(results.list_breaches(samples)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
