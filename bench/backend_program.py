"""Runs a stand-in backend server as a process; `--help` lists its options."""

import argparse
import sys

from bench import admin
from bench import backend as backend_lib
from bench import stand_in
from lovagesaddle import stop_signals

CONNECTIONS = 100


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--admin", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--connections", type=int, default=CONNECTIONS)
    parser.add_argument("--run-ms", type=float, default=0.0)
    parser.add_argument("--spread", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--shed", action="store_true")
    parser.add_argument("--health", default="honest")
    parser.add_argument("--record", default="")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Runs a stand-in until SIGTERM; prints its address first."""
    parsed = _parse(arguments)
    options = stand_in.BackendOptions(
        slots=parsed.slots,
        run_s=parsed.run_ms / stand_in.MS_PER_S,
        spread=parsed.spread,
        cold_s=parsed.cold_s,
        shed=parsed.shed,
        health=parsed.health,
        record=parsed.record,
        seed=parsed.seed,
        exits=True,
    )
    with (
        stop_signals.StopSignals() as signals,
        backend_lib.Backend(options, parsed.port) as backend,
    ):
        print(backend.address, flush=True)
        if parsed.admin:
            admin.announce(
                parsed.admin,
                parsed.service,
                backend.address,
                parsed.slots,
                parsed.connections,
            )
        signals.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
