"""Compares HTTP and ZeroMQ for the hop from an entry to an owner.

    python -m bench.hop_transports [--calls 3000]

Both servers receive on one thread and answer on a thread of a pool, as an owner
has to. Both clients wait for the answer on the thread that sent the request.
"""

import argparse
from collections.abc import Iterable
import contextlib
import pathlib
import queue
import sys
import tempfile
import threading
import time
from typing import Any

import zmq

from bench import processes
from bench import results
from bench import verdicts
from lovagesaddle.http import client
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from lovagesaddle.http import watchdog
from lovagesaddle.http import wsgi
from lovagesaddle.node import main as node_main

ENVELOPE = b"x" * 600
MS_PER_S = 1000
WARM_UP_CALLS = 200
THREADS = 8
ANSWERS_ADDRESS = "inproc://answers"


def _echo(environ: Any, start_response: Any) -> Iterable[bytes]:
    request = wsgi.read_request(environ)
    answer = wsgi.Answer(status=200, body=request.read_body())
    return wsgi.write_answer(answer, request.method, start_response)


def _classify(parsed: Any) -> thread_pools.PoolKind:
    del parsed
    return thread_pools.PoolKind.OWNER


def serve_http() -> None:
    """Serves echoes over HTTP until killed; prints the address first."""
    dispatcher = thread_pools.PoolDispatcher(
        threads={thread_pools.PoolKind.OWNER: THREADS}, classify=_classify
    )
    options = server_lib.ServerOptions(
        address="127.0.0.1:0", max_body_bytes=1 << 20
    )
    with server_lib.HttpServer(
        application=_echo, dispatcher=dispatcher, options=options
    ) as server:
        print(server.address, flush=True)
        threading.Event().wait()


def serve_zmq() -> None:
    """Serves echoes over ZeroMQ until killed; prints the address first."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    router = context.socket(zmq.ROUTER)
    router.bind("tcp://127.0.0.1:*")
    answers = context.socket(zmq.PULL)
    answers.bind(ANSWERS_ADDRESS)
    work: queue.SimpleQueue[list[bytes]] = queue.SimpleQueue()
    for _ in range(THREADS):
        threading.Thread(
            target=_run_zmq_worker, args=(context, work), daemon=True
        ).start()
    print(router.getsockopt_string(zmq.LAST_ENDPOINT), flush=True)
    poller = zmq.Poller()
    poller.register(router, zmq.POLLIN)
    poller.register(answers, zmq.POLLIN)
    while True:
        for socket, _ in poller.poll():
            frames = socket.recv_multipart()
            if socket is router:
                work.put(frames)
            else:
                router.send_multipart(frames)


def _run_zmq_worker(
    context: zmq.Context[zmq.Socket[bytes]],
    work: "queue.SimpleQueue[list[bytes]]",
) -> None:
    with context.socket(zmq.PUSH) as answers:
        answers.connect(ANSWERS_ADDRESS)
        while True:
            answers.send_multipart(work.get())


def measure(transport: str, calls: int) -> results.Sample:
    """Measures the round trips of one caller.

    Args:
      transport: "http" or "zmq".
      calls: Number of measured calls, after `WARM_UP_CALLS` others.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Process(
            "bench.hop_transports",
            f"--serve={transport}",
            log=pathlib.Path(folder) / "log",
        ) as process,
    ):
        address = process.read_line()[0]
        measure_calls = _measure_http if transport == "http" else _measure_zmq
        ms = measure_calls(address, calls + WARM_UP_CALLS)[WARM_UP_CALLS:]
        cpu_ms = process.read_cpu_s() / (calls + WARM_UP_CALLS) * MS_PER_S
    figures = (
        ("round trip p50", verdicts.compute_percentile(ms, 0.5), "ms"),
        ("round trip p99", verdicts.compute_percentile(ms, 0.99), "ms"),
        ("server's processor", cpu_ms, "ms/call"),
    )
    return results.Sample(
        experiment="hop-transports",
        variant=transport,
        seed=1,
        figures=tuple(
            results.Figure(name=name, value=value, unit=unit)
            for name, value, unit in figures
        ),
    )


def _measure_http(address: str, calls: int) -> list[float]:
    request = client.Request(
        method="POST", target="/", headers={}, body=ENVELOPE
    )
    ms: list[float] = []
    with client.ConnectionPool() as pool, watchdog.Watchdog() as call_watchdog:
        for _ in range(calls):
            started = time.perf_counter()
            with call_watchdog.watch(
                deadline=time.monotonic() + 5, is_gone=_is_never_gone
            ) as guard:
                pool.exchange(address, request, guard).unwrap()
            ms.append((time.perf_counter() - started) * MS_PER_S)
    return ms


def _measure_zmq(address: str, calls: int) -> list[float]:
    ms: list[float] = []
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.Context())
        dealer = stack.enter_context(context.socket(zmq.DEALER))
        dealer.connect(address)
        for _ in range(calls):
            started = time.perf_counter()
            dealer.send(ENVELOPE)
            dealer.recv()
            ms.append((time.perf_counter() - started) * MS_PER_S)
    return ms


def _is_never_gone() -> bool:
    return False


def main(arguments: list[str]) -> int:
    """Measures both transports in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--serve", choices=("http", "zmq"))
    parsed = parser.parse_args(arguments)
    sys.setswitchinterval(node_main.SWITCH_INTERVAL_S)
    if parsed.serve == "http":
        serve_http()
    elif parsed.serve == "zmq":
        serve_zmq()
    samples = [measure(name, parsed.calls) for name in ("http", "zmq") * 2]
    print(results.format_table(samples))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
