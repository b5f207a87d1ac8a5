"""Measures the latency that one and two hops add to a call of one caller.

python -m bench.hops [--calls 3000]
"""

import argparse
import http.client
import pathlib
import sys
import tempfile
import time

from bench import cluster as cluster_lib
from bench import processes
from bench import results
from bench import verdicts
from bench import workloads

WARM_UP_CALLS = 200
BLOCK_CALLS = 50
MS_PER_S = 1000
DIRECT = "direct"
RESULT_FILE = results.RESULTS_FOLDER / "hops.jsonl"


def measure(calls: int, log_level: str) -> results.Sample:
    """Measures direct calls, and calls over one and two hops.

    Args:
      calls: Number of measured calls on each path.
      log_level: Log level of the nodes.
    """
    workload = workloads.make_bentancor(run_ms=0)
    with (
        tempfile.TemporaryDirectory() as folder,
        cluster_lib.Cluster(
            pathlib.Path(folder),
            (workload.upstreams[0], workload.upstreams[-1]),
            workload.services,
            log_level=log_level,
        ) as cluster,
    ):
        entry, owner = cluster.vms.values()
        paths = {
            DIRECT: owner.backend_address,
            "one hop": owner.addresses.http,
            "two hops": entry.addresses.http,
        }
        callers = {name: _Caller(address) for name, address in paths.items()}
        cpu_s_by_path = _call_in_blocks(
            callers, calls, (owner.node, entry.node)
        )
    return results.Sample(
        experiment="hops",
        variant=f"log={log_level}",
        seed=1,
        figures=(
            *_list_latencies(callers),
            *_list_cpu_times(cpu_s_by_path, calls + WARM_UP_CALLS),
        ),
    )


def _call_in_blocks(
    callers: dict[str, "_Caller"],
    calls: int,
    nodes: tuple[processes.Process, ...],
) -> dict[str, float]:
    """Makes the calls; returns the nodes' processor seconds for each path.

    The paths alternate in blocks of calls, so that a busy moment of the machine
    affects every path.
    """
    cpu_s_by_path = dict.fromkeys(callers, 0.0)
    for _ in range((calls + WARM_UP_CALLS) // BLOCK_CALLS):
        for name, caller in callers.items():
            before = sum(node.read_cpu_s() for node in nodes)
            caller.call(BLOCK_CALLS)
            after = sum(node.read_cpu_s() for node in nodes)
            cpu_s_by_path[name] += after - before
    return cpu_s_by_path


def _list_latencies(callers: dict[str, "_Caller"]) -> list[results.Figure]:
    base = callers[DIRECT]
    figures: list[results.Figure] = []
    for name, caller in callers.items():
        for share in (0.5, 0.99):
            value = caller.compute_percentile(share)
            label = f"p{share * 100:g}"
            figures.append(
                results.Figure(name=f"{name} {label}", value=value, unit="ms")
            )
            if caller is not base:
                figures.append(
                    results.Figure(
                        name=f"{name} added {label}",
                        value=value - base.compute_percentile(share),
                        unit="ms",
                        bound=verdicts.ADDED_P99_MS if share > 0.5 else None,
                    )
                )
    return figures


def _list_cpu_times(
    cpu_s_by_path: dict[str, float], sent: int
) -> list[results.Figure]:
    return [
        results.Figure(
            name=f"{name} processor of the nodes",
            value=(cpu_s - cpu_s_by_path[DIRECT]) / sent * MS_PER_S,
            unit="ms/call",
        )
        for name, cpu_s in cpu_s_by_path.items()
        if name != DIRECT
    ]


class _Caller:
    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=10)
        self._ms: list[float] = []

    def call(self, count: int) -> None:
        headers = {
            "Host": "artwork.example",
            "Authorization": f"Bearer {workloads.TOKEN}",
        }
        for _ in range(count):
            started = time.perf_counter()
            self._connection.request("GET", "/layouts", headers=headers)
            response = self._connection.getresponse()
            response.read()
            if response.status != http.HTTPStatus.OK:
                raise OSError(f"status {response.status}")
            self._ms.append((time.perf_counter() - started) * MS_PER_S)

    def compute_percentile(self, share: float) -> float:
        return verdicts.compute_percentile(self._ms[WARM_UP_CALLS:], share)


def main(arguments: list[str]) -> int:
    """Runs the measurement; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--log-level", default="info")
    parsed = parser.parse_args(arguments)
    samples = [measure(parsed.calls, parsed.log_level)]
    print(results.format_table(samples))
    results.write_samples(RESULT_FILE, samples)
    breaches = results.list_breaches(samples)
    for breach in breaches:
        print(f"breach: {breach}")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
