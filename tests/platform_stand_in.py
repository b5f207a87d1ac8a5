"""A small stand-in for the users' platform, for tests without the bench.

It fills in the settings of the deploy folder, starts the programs as processes
on loopback addresses, and acts as backend servers, callers and the operator.
"""

import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import re
import threading
import time
from typing import Any, Self

from bench import processes

from lovagesaddle.http import sockets
from tests import nodes

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = "lovagesaddle.platform"
HOST = "desk.example"
SERVICE = "desk"
REQUEST_ID = "Lovagesaddle-Request-Id"
DEADLINE = "Lovagesaddle-Deadline-Ms"
STAMP = "Lovagesaddle-Server-Stamp"
CALLER = "Lovagesaddle-Caller-Service"
EXPECTED = "Lovagesaddle-Expect-Instance"
NOT_RUN = "Lovagesaddle-Not-Run"
INSTANCE = "Lovagesaddle-Instance-Id"
HEALTH_PATH = "/health"
CONTROLS = 3
# Memory of each VM, in MB.
MEMORY_MB = 150
SLOTS = 4
METRICS_PORT = "9464"
MAX_NETS = 250
HEARTBEAT_INTERVAL_S = 0.2
GRACE_S = 6
_PLACE = re.compile(r"\{\{([A-Za-z.0-9]+)\}\}")
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Returns a settings file with the platform's fields substituted."""

    def expand(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[2].split("."):
            value = value.get(key) if isinstance(value, dict) else None
        if bool(value) != (match[1] == "#"):
            return ""
        if not isinstance(value, dict):
            return match[3]
        return "".join(
            match[3]
            .replace("{{@}}", key)
            .replace("{{.|json}}", json.dumps(entry))
            for key, entry in value.items()
        )

    def find(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        if isinstance(value, list):
            return ",".join(value)
        return str(value)

    return _PLACE.sub(find, _SECTION.sub(expand, template))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endless:
    """An answer whose body never ends.

    Attributes:
      status: Its status.
      headers: Its headers, beside those of each answer.
      piece: Bytes that are sent again and again after the head.
    """

    status: int
    headers: dict[str, str]
    piece: bytes


class BackendServer:
    """A backend server that sends heartbeats and records its requests.

    Attributes:
      seen: Path, method and headers of each request.
      arrived: Monotonic time and ID of each request.
      run_s: Time that it runs each request, in seconds.
      body: Body of its answers; if empty, that of the request follows "ran ".
      stated: Headers of its answers in which it states a limit, or that it
        leaves.
      endless: Answers without an end, by the start of the request's path.
    """

    def __init__(
        self,
        address: str,
        instance: str,
        beat_address: str,
        slots: int = SLOTS,
    ) -> None:
        self.address = address
        self._slots = slots
        self.instance = instance
        self.seen: list[dict[str, str]] = []
        self.arrived: list[tuple[float, str]] = []
        self.run_s = 0.0
        self.body = b""
        self.stated: dict[str, str] = {}
        self.endless: dict[str, Endless] = {}
        self._beat_address = beat_address
        self._sequence = 0
        self._born = int(time.time() * 1000)
        host, port = sockets.parse_address(address)
        handler = type("Handler", (_Handler,), {"owner": self})
        self._server = http.server.ThreadingHTTPServer((host, port), handler)
        self._server.daemon_threads = True
        self._stopped = threading.Event()

    def __enter__(self) -> Self:
        for work in (self._server.serve_forever, self._send_heartbeats):
            threading.Thread(target=work, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def send_heartbeat(self, state: str = "ready") -> int:
        """Sends a heartbeat; returns the status of the answer."""
        self._sequence += 1
        body = {
            "Service": SERVICE,
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": self._slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born,
        }
        path = f"/api/Instances.Heartbeat/{self.instance}"
        return call(self._beat_address, "POST", path, json.dumps(body)).status

    def stop_heartbeats(self) -> None:
        """Stops the periodic heartbeats."""
        self._stopped.set()

    def _send_heartbeats(self) -> None:
        while not self._stopped.wait(HEARTBEAT_INTERVAL_S):
            with contextlib.suppress(OSError):
                self.send_heartbeat()


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers one connection of a backend server."""

    protocol_version = "HTTP/1.1"
    owner: BackendServer

    def do_GET(self) -> None:
        """Runs a request, or answers a health check."""
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if self.path == HEALTH_PATH:
            # What a server states in its other answers is left out.
            self._answer(200, b"", {INSTANCE: self.owner.instance})
            return
        if self.headers.get(EXPECTED) != self.owner.instance:
            self._answer(421, b"", {NOT_RUN: "1"})
            return
        request_id = self.headers.get(REQUEST_ID, "")
        self.owner.arrived.append((time.monotonic(), request_id))
        self.owner.seen.append(
            {"path": self.path, "method": self.command, **dict(self.headers)}
        )
        for prefix, endless in self.owner.endless.items():
            if self.path.startswith(prefix):
                self._send_without_end(endless)
                return
        time.sleep(self.owner.run_s)
        stamp = {STAMP: f"{self.owner.instance}.{len(self.owner.seen)}"}
        answered = self.owner.body or b"ran " + body
        self._answer(200, answered, stamp | self.owner.stated)

    do_POST = do_GET  # noqa: N815

    def _send_without_end(self, endless: Endless) -> None:
        """Sends a body until the connection is closed."""
        self.close_connection = True
        self.send_response(endless.status)
        for name, value in endless.headers.items():
            self.send_header(name, value)
        self.send_header(REQUEST_ID, self.headers.get(REQUEST_ID, ""))
        self.send_header(STAMP, f"{self.owner.instance}.0")
        self.end_headers()
        with contextlib.suppress(OSError):
            while True:
                self.wfile.write(endless.piece)

    def _answer(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header(REQUEST_ID, self.headers.get(REQUEST_ID, ""))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Logs nothing."""


class Platform:
    """Runs three core VMs and some sidecars on loopback while it is open.

    Args:
      folder: Folder for settings, logs and data.
      sidecars: Number of nodes.
      grace_s: Time after SIGTERM at which the platform kills a process.
      link_mbps: Rate of each VM's link, as its settings state it.
      net: First half of all addresses, on loopback; if empty, one that
        differs between processes, since the port of the metrics is fixed.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        sidecars: int = 2,
        grace_s: int = GRACE_S,
        link_mbps: float = 1000.0,
        net: str = "",
    ) -> None:
        net = net or f"127.{1 + os.getpid() % MAX_NETS}"
        self._net = net
        self._folder = folder
        self._link_mbps = link_mbps
        self._grace_s = grace_s
        self._stack = contextlib.ExitStack()
        self._inner, self._control, self._outbound, ready, app = (
            sockets.find_free_ports(5)
        )
        self._ready, self._app = ready, app
        self.controls = [f"{net}.1.{n + 1}" for n in range(CONTROLS)]
        self.nodes = [f"{net}.2.{n + 1}" for n in range(sidecars)]
        self.programs: dict[str, processes.Process] = {}

    def __enter__(self) -> Self:
        for ip in self.controls:
            self.start("control", ip)
        for ip in self.nodes:
            self.start("node", ip)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def make_control_address(self) -> str:
        """Returns the IP of a further control VM."""
        return f"{self._net}.1.{len(self.programs) + 1}"

    def start(self, role: str, ip: str, *, is_first: bool = True) -> None:
        """Starts a program on a VM."""
        template = (ROOT / "deploy" / f"{role}.ini").read_text("utf-8")
        text = fill_in(template, self._describe(ip, is_first))
        log = self._folder / f"{ip}.log"
        settings = self._folder / f"{ip}.ini"
        settings.write_text(
            text.replace("file = -", f"file = {log}"), encoding="utf-8"
        )
        self.programs[ip] = self._stack.enter_context(
            processes.Process(f"{PROGRAMS}.{role}_main", str(settings), log=log)
        )

    def open_server(
        self, ip: str, instance: str, slots: int = SLOTS
    ) -> BackendServer:
        """Starts the backend server of a sidecar."""
        return self._stack.enter_context(
            BackendServer(
                f"{ip}:{self._app}", instance, f"{ip}:{self._control}", slots
            )
        )

    def get_outbound(self, ip: str) -> str:
        """Returns the address for the requests of a sidecar's callers."""
        return f"{ip}:{self._outbound}"

    def get_control(self, ip: str) -> str:
        """Returns the address for the platform's calls to a VM."""
        return f"{ip}:{self._control}"

    def is_ready(self, ip: str) -> bool:
        """Returns whether a node reports that it is ready for callers."""
        try:
            answer = call(f"{ip}:{self._ready}", "GET", "/api/ready")
        except OSError:
            return False
        return answer.status == 200

    def publish(self, document: bytes, base: str) -> int:
        """Sends a document to one VM after another until one answers it."""
        deadline = time.monotonic() + nodes.WAIT_S
        headers = {"Lovagesaddle-Base-Version": base}
        while time.monotonic() < deadline:
            for ip in self.controls:
                with contextlib.suppress(OSError):
                    status = call(
                        self.get_control(ip),
                        "POST",
                        "/api/Config.Put",
                        document,
                        headers,
                    ).status
                    if status < 500:
                        return status
            time.sleep(nodes.POLL_S)
        raise AssertionError("no replica answered the document")

    def read(self, ip: str) -> nodes.Reply:
        """Returns the answer of one VM to a read of the newest document."""
        return call(self.get_control(ip), "GET", "/api/Config.Get")

    def _describe(self, ip: str, is_first: bool) -> dict[str, Any]:
        return {
            "Node": f"vm-{ip}",
            "Ip": ip,
            "Zone": "a",
            "Region": "r",
            "Service": SERVICE,
            "AppAddr": f"{ip}:{self._app}",
            "ListenAddrs": {
                "Outbound": self.get_outbound(ip),
                "Control": self.get_control(ip),
                "Ready": f"{ip}:{self._ready}",
            },
            "InnerPortRange": [str(self._inner), str(self._inner + 15)],
            "SeedAddrs": [self.get_control(seed) for seed in self.controls],
            "DataDir": str(self._folder / f"data-{ip}"),
            "Bootstrap": is_first,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {
                "GraceS": self._grace_s,
                "RetryBudgetExtra": 58,
                "ConfigApplyMs": 2000,
            },
            "Limits": {"LinkMbps": self._link_mbps, "MemoryMb": MEMORY_MB},
        }


def make_document(
    serial: str, *, timeout_ms: int = 3000, prefix: str = "/orders/"
) -> bytes:
    """Returns a document with one service and two routes."""

    def make_rule(name: str, kind: str, path: str) -> dict[str, Any]:
        return {
            "Name": name,
            "RouteKind": kind,
            "TargetLatencyMs": 250,
            "Priority": 1,
            "Match": {"PathPrefix": path},
            "Action": {
                "Service": SERVICE,
                "TimeoutMs": timeout_ms,
                "Attempts": 2,
            },
        }

    return json.dumps(
        {
            "Version": serial,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Listeners": [
                {
                    "Host": HOST,
                    "RouteRules": [
                        make_rule("confirm", "non_idempotent", prefix),
                        make_rule("proofs", "idempotent", "/proofs/"),
                    ],
                }
            ],
            "Clusters": [{"Name": SERVICE, "HealthPath": HEALTH_PATH}],
        }
    ).encode()


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | str | None = None,
    headers: dict[str, str] | None = None,
) -> nodes.Reply:
    """Sends one request over a new connection."""
    connection = http.client.HTTPConnection(address, timeout=nodes.WAIT_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return nodes.Reply(
            status=response.status,
            headers=dict(response.getheaders()),
            body=response.read(),
        )
    finally:
        connection.close()


def ask(
    address: str,
    request_id: str,
    *,
    method: str = "POST",
    path: str = "/orders/7",
    body: bytes | None = b"body",
    deadline_ms: int = 3000,
) -> nodes.Reply:
    """Sends a caller's request."""
    headers = {
        "Host": HOST,
        REQUEST_ID: request_id,
        DEADLINE: str(deadline_ms),
        CALLER: "forged",
        EXPECTED: "forged",
    }
    return call(address, method, path, body, headers)
