"""Implements a small backend server for the demo and the tutorial.

It answers every request with its own name, the request's path and the digest
of the request's body, after a short delay. It records every run, so that the
demo can check which server ran which request.

Run `python -m lovagesaddle.cli.demo_server --help` to start one manually.
"""

from collections.abc import Callable, Iterable
import dataclasses
import hashlib
import http.client
import threading
import time
from typing import Annotated, Any, Self

import msgspec
import typer

from lovagesaddle import stop_signals
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools

ANNOUNCE_PAUSE_S = 0.1
ANNOUNCE_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 2.0
WORK_S = 0.004
SLOTS = 8
CONNECTIONS = 64
MAX_BODY_BYTES = 16 * 1024 * 1024
STOP_GRACE_S = 2.0

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of a request.

    Attributes:
      path: Path of the request.
      started_s: Monotonic time in seconds.
    """

    path: str
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Echo:
    """Body of every answer.

    Attributes:
      server: Name of the backend server.
      service: Service that it runs.
      path: Path of the request.
      body_digest: SHA-256 of the request's body, in hex.
    """

    server: str
    service: str
    path: str
    body_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """Body of an announcement to the node on the same VM."""

    service: str
    address: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceName:
    """Body that asks the node to drain a service."""

    service: str


class DemoServer:
    """Serves requests on its own address while it is open.

    Args:
      name: Name of the server in its answers.
      service: Service that it runs.
      address: `ip:port` to listen on; port 0 for any.
      work_s: Duration of each request in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str = "127.0.0.1:0",
        work_s: float = WORK_S,
    ) -> None:
        self.name = name
        self.service = service
        self._work_s = work_s
        self._lock = threading.Lock()
        self._runs: list[Run] = []
        self._server = server_lib.HttpServer(
            application=self._answer,
            dispatcher=thread_pools.PoolDispatcher(
                threads={thread_pools.PoolKind.CALLER: SLOTS},
                classify=lambda _: thread_pools.PoolKind.CALLER,
            ),
            options=server_lib.ServerOptions(
                address=address, max_body_bytes=MAX_BODY_BYTES
            ),
        )

    def __enter__(self) -> Self:
        self._server.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.finish()

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        return self._server.address

    @property
    def runs(self) -> tuple[Run, ...]:
        """Every run, in order."""
        with self._lock:
            return tuple(self._runs)

    def clear_runs(self) -> None:
        """Deletes the records of all runs."""
        with self._lock:
            self._runs.clear()

    def finish(self) -> bool:
        """Finishes running requests and stops; returns whether none was cut."""
        return self._server.stop(grace_s=STOP_GRACE_S)

    def announce(self, admin_address: str) -> None:
        """Announces the server to the node on its VM.

        Raises:
          TimeoutError: The node did not accept it within
            `ANNOUNCE_TIMEOUT_S`.
        """
        body = Announcement(
            service=self.service,
            address=self.address,
            slots=SLOTS,
            connections=CONNECTIONS,
        )
        deadline = time.monotonic() + ANNOUNCE_TIMEOUT_S
        while not _send(admin_address, "POST", "/announce", body):
            if time.monotonic() >= deadline:
                raise TimeoutError(f"{admin_address} accepted no announcement")
            time.sleep(ANNOUNCE_PAUSE_S)

    def drain(self, admin_address: str) -> bool:
        """Asks the node to drain the server; returns whether it accepted."""
        body = ServiceName(service=self.service)
        return _send(admin_address, "POST", "/drain", body)

    def withdraw(self, admin_address: str) -> bool:
        """Withdraws the announcement; returns whether the node had it."""
        body = ServiceName(service=self.service)
        return _send(admin_address, "DELETE", "/announce", body)

    def _answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        started_s = time.monotonic()
        path = environ["PATH_INFO"]
        with self._lock:
            self._runs.append(Run(path=path, started_s=started_s))
        body = environ["wsgi.input"].read()
        time.sleep(self._work_s)
        echo = Echo(
            server=self.name,
            service=self.service,
            path=path,
            body_digest=hashlib.sha256(body).hexdigest(),
        )
        data = msgspec.json.encode(echo)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response("200 OK", headers)
        return [data]


def _send(address: str, method: str, path: str, body: object) -> bool:
    connection = http.client.HTTPConnection(address, timeout=CONNECT_TIMEOUT_S)
    try:
        connection.request(method, path, body=msgspec.json.encode(body))
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def serve(
    service: Annotated[str, typer.Option(help="Service that it runs.")],
    admin: Annotated[str, typer.Option(help="Admin ip:port of the node.")],
    listen: Annotated[str, typer.Option(help="Own ip:port.")] = "127.0.0.1:0",
) -> None:
    """Run a backend server until it is told to stop; then drain it."""
    with (
        stop_signals.StopSignals() as signals,
        DemoServer(name=admin, service=service, address=listen) as server,
    ):
        server.announce(admin)
        typer.echo(f"{service} answers on {server.address}")
        signals.wait()
        server.drain(admin)
        server.finish()
        server.withdraw(admin)


if __name__ == "__main__":
    typer.run(serve)
