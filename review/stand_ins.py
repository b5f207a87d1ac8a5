"""Stand-ins for the users' platform, servers, clients and operator.

They use the standard library only and follow the users' pages: the settings
come from the templates of the deploy file, the programs are started with its
commands, and every address is a loopback address.
"""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from typing import Any, Self

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PATH = "/etc/lovagesaddle/node.json"
FIRST_PORT, LAST_PORT = 15_000, 31_000
INNER_PORTS = 16
START_S = 20.0
REQUEST_ID = "Lovagesaddle-Request-Id"
DEADLINE = "Lovagesaddle-Deadline-Ms"
STAMP = "Lovagesaddle-Server-Stamp"
CALLER = "Lovagesaddle-Caller-Service"
EXPECTED = "Lovagesaddle-Expect-Instance"
NOT_RUN = "Lovagesaddle-Not-Run"
_PLACE = re.compile(r"\{\{([A-Za-z.0-9]+)\}\}")
_SECTION = re.compile(r"\{\{([#^])(\w+)\}\}(.*?)\{\{/\2\}\}")

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up, so nothing is said about the rule."""


class Record:
    """Writes what was sent, answered and run into a file, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            at = time.monotonic() - self._started
            self._file.write(f"{at:9.3f} {text}\n")
            self._file.flush()


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer as a client reads it; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Reply:
    """Sends one request on a new connection and reads the whole answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        found = {k.lower(): v for k, v in response.getheaders()}
        return Reply(response.status, found, response.read())
    except (OSError, http.client.HTTPException) as error:
        return Reply(0, {}, b"", repr(error))
    finally:
        connection.close()


def wait_for(
    is_true: Callable[[], bool], what: str, limit_s: float = START_S
) -> None:
    """Waits until something holds.

    Raises:
      CannotRunError: It did not hold in time.
    """
    deadline = time.monotonic() + limit_s
    while not is_true():
        if time.monotonic() > deadline:
            raise CannotRunError(f"waited {limit_s} s for {what}")
        time.sleep(0.05)


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Returns a template with the platform's fields filled in."""

    def choose(match: re.Match[str]) -> str:
        return match[3] if bool(fields[match[2]]) == (match[1] == "#") else ""

    def find(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        if isinstance(value, list):
            return ",".join(value)
        return "" if value is None else str(value)

    return _PLACE.sub(find, _SECTION.sub(choose, template))


@dataclasses.dataclass
class Machine:
    """A machine of the deployment: its role, address and service."""

    role: str
    ip: str
    service: str = ""


class Platform:
    """Three core machines and some sidecar machines on loopback addresses.

    Args:
      record: Where starts and ends are written.
      services: The service of each sidecar machine.
      bounds: Bounds that differ from those of a small site.
    """

    def __init__(
        self,
        record: Record,
        services: tuple[str, ...],
        bounds: dict[str, int] | None = None,
    ) -> None:
        self._record = record
        self._bounds = {"RetryBudgetExtra": 64, "ConfigApplyMs": 2000}
        self._bounds |= bounds or {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = {
            "control": deploy["roles"]["lovagesaddle-control"],
            "node": deploy["roles"]["lovagesaddle-node"],
        }
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.controls = [f"{net}.{n}" for n in (1, 2, 3)]
        self.nodes = [f"{net}.{n + 11}" for n in range(len(services))]
        self.machines = {ip: Machine("control", ip) for ip in self.controls}
        for ip, service in zip(self.nodes, services, strict=True):
            self.machines[ip] = Machine("node", ip, service)
        base = random.randrange(FIRST_PORT, LAST_PORT, 32)
        self.ports = {
            "Inbound": base,
            "Outbound": base + 1,
            "Ready": base + 2,
            "Control": base + 3,
            "App": base + 4,
        }
        self._inner = (base + 10, base + 10 + INNER_PORTS - 1)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        try:
            for ip in self.machines:
                self.start(ip, is_first=True)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def address(self, ip: str, port: str) -> str:
        """Returns the address of one of the ports of a machine."""
        return f"{ip}:{self.ports[port]}"

    def data_folder(self, ip: str) -> pathlib.Path:
        """Returns the folder of a core machine's disk."""
        return self._folder / f"data-{ip}"

    def start(self, ip: str, *, is_first: bool = False) -> None:
        """Starts the program of a machine, as the platform does."""
        machine = self.machines[ip]
        role = self._roles[machine.role]
        settings = self.write_settings(ip, is_first=is_first)
        words = [
            str(settings) if word == SETTINGS_PATH else word
            for word in shlex.split(role["run"])
        ]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LOVAGESADDLE_BOOT"] = str(settings)
        with self.log_path(ip).open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"platform: {machine.role} {ip} started")

    def write_settings(
        self, ip: str, *, is_first: bool = False
    ) -> pathlib.Path:
        """Writes the settings file of a machine, without any signal."""
        machine = self.machines[ip]
        template = self._roles[machine.role]["template"]
        text = (ROOT / template).read_text(encoding="utf-8")
        path = self._folder / f"{ip}.ini"
        path.write_text(
            fill_in(text, self._describe(machine, is_first)), encoding="utf-8"
        )
        return path

    def log_path(self, ip: str) -> pathlib.Path:
        """Returns the file with the output of a machine's program."""
        return self._folder / f"{ip}.log"

    def send_signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal to the program of a machine."""
        self._record.write(f"platform: {number.name} to {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip: str) -> None:
        """Kills the program of a machine and waits for its end."""
        self.send_signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    def add_core_machine(self) -> str:
        """Starts an empty core machine at a new address, which it returns.

        The operator's list, and so the seeds of later starts, has it at once.
        """
        net, _, _ = self.controls[0].rpartition(".")
        ip = f"{net}.{len(self.machines) + 1}"
        self.machines[ip] = Machine("control", ip)
        self.start(ip)
        self.controls.append(ip)
        return ip

    def remove_core_machine(self, ip: str, grace_s: float) -> None:
        """Takes a core machine away for good: SIGTERM, then SIGKILL."""
        self.send_signal(ip, signal.SIGTERM)
        try:
            self.processes[ip].wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill(ip)
        self.controls.remove(ip)
        self._record.write(f"platform: {ip} is gone")

    def lose_disk(self, ip: str) -> None:
        """Ends a core machine with its disk, and starts it again, empty."""
        self.kill(ip)
        shutil.rmtree(self.data_folder(ip), ignore_errors=True)
        self._record.write(f"platform: {ip} has lost its disk")
        self.start(ip)

    def is_ready(self, ip: str) -> bool:
        """Asks a node whether it is ready, as the platform does."""
        address = self.address(ip, "Ready")
        return call(address, "GET", "/api/ready", timeout_s=1.0).status == 200

    def _describe(self, machine: Machine, is_first: bool) -> dict[str, Any]:
        ip = machine.ip
        return {
            "Node": f"{machine.role}-{ip.rpartition('.')[2]}",
            "Ip": ip,
            "Zone": f"zone-{int(ip.rpartition('.')[2]) % 3}",
            "Region": "region",
            "Service": machine.service,
            "AppAddr": self.address(ip, "App"),
            "ListenAddrs": {
                name: self.address(ip, name) for name in self.ports
            },
            "InnerPortRange": [str(port) for port in self._inner],
            "SeedAddrs": [
                self.address(seed, "Control") for seed in self.controls[:3]
            ],
            "DataDir": str(self.data_folder(ip)),
            "Bootstrap": is_first,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self._bounds,
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": 150},
        }


class Operator:
    """Sends configurations; repeats an order until it gets a clear answer."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self._platform = platform
        self._record = record

    def put(self, document: bytes, base: str, limit_s: float = START_S) -> int:
        """Sends a configuration; returns the status of the clear answer."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for ip in self._platform.controls:
                reply = call(
                    self._platform.address(ip, "Control"),
                    "POST",
                    "/api/Config.Put",
                    document,
                    {"Lovagesaddle-Base-Version": base},
                    timeout_s=1.0,
                )
                status = reply.status
                self._record.write(
                    f"operator: Config.Put on {base} to {ip}: {status}"
                )
                if status and status < 500 and status not in (408, 429):
                    return status
            time.sleep(0.1)
        return 0

    def get(self, ip: str) -> Reply:
        """Reads the configuration from one machine."""
        address = self._platform.address(ip, "Control")
        return call(address, "GET", "/api/Config.Get", timeout_s=1.0)


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of a configuration."""

    host: str
    prefix: str
    service: str
    kind: str = "idempotent"
    timeout_ms: int = 3000
    attempts: int = 2


def make_document(
    version: str, routes: tuple[Route, ...], services: tuple[str, ...]
) -> bytes:
    """Returns a whole configuration, as `PROTOCOL.md` shows it."""
    hosts = sorted({route.host for route in routes})
    listeners = [
        {
            "Host": host,
            "RouteRules": [
                {
                    "Name": f"r-{number}",
                    "RouteKind": route.kind,
                    "TargetLatencyMs": 250,
                    "Priority": 1,
                    "Match": {"PathPrefix": route.prefix},
                    "Action": {
                        "Service": route.service,
                        "TimeoutMs": route.timeout_ms,
                        "Attempts": route.attempts,
                    },
                }
                for number, route in enumerate(routes)
                if route.host == host
            ],
        }
        for host in hosts
    ]
    clusters = [
        {
            "Name": name,
            "HealthPath": "/health",
            "MaxConnections": 130,
            "Protocol": "h1",
            "Tls": False,
        }
        for name in services
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return json.dumps(
        {
            "Version": version,
            "Limits": limits,
            "Listeners": listeners,
            "Clusters": clusters,
        }
    ).encode()


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a server began to work on."""

    at: float
    request_id: str
    method: str
    path: str
    caller: str
    instance: str
    service: str


class Upstream:
    """A server of a service; it follows the users' pages.

    Args:
      platform: Platform whose machine it runs on.
      ip: Address of that machine.
      service: Name of its service.
      instance: Its `Id`.
      record: Where its requests are written.
      work_s: Time that it works on a request.

    Attributes:
      runs: The requests that it began to work on.
      is_leaving: Whether its health check says that it is leaving.
      loses_answers: How many of its next answers are lost: the connection is
        reset after the request has run.
    """

    def __init__(
        self,
        platform: Platform,
        ip: str,
        service: str,
        instance: str,
        record: Record,
        work_s: float = 0.02,
    ) -> None:
        self.service, self.instance = service, instance
        self.address = platform.address(ip, "App")
        self._beat_address = platform.address(ip, "Control")
        self._record = record
        self.work_s = work_s
        self.runs: list[Run] = []
        self.is_leaving = False
        self.loses_answers = 0
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._beats = threading.Event()
        host, port = self.address.rsplit(":", 1)
        handler = type("Handler", (_Handler,), {"upstream": self})
        self._server = _Server((host, int(port)), handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        self._thread.start()
        record.write(f"server {instance} of {service} listens on {host}")

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.crash()

    def crash(self) -> None:
        """Ends at once: closes the listener and all connections."""
        if self._thread.is_alive():
            self.stop_beats()
            self._server.shutdown()
            self._thread.join()
            self._server.server_close()
            self._server.reset_all()
            self._record.write(f"server {self.instance} ended")

    def make_beat(self, state: str = "ready") -> tuple[str, bytes]:
        """Returns the path and body of the next heartbeat."""
        self._sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-0",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        path = f"/api/Instances.Heartbeat/{self.instance}"
        return path, json.dumps(body).encode()

    def send(self, path: str, body: bytes) -> int:
        """Sends a heartbeat or deregistration; returns the status."""
        kind = {"Content-Type": "application/json"}
        address = self._beat_address
        status = call(address, "POST", path, body, kind, 1.0).status
        self._record.write(
            f"server {self.instance}: {path} {body.decode()}: {status}"
        )
        return status

    def beat(self, state: str = "ready") -> int:
        """Sends the next heartbeat."""
        return self.send(*self.make_beat(state))

    def deregister(self) -> int:
        """Says farewell."""
        body = json.dumps({"born": self.born}).encode()
        return self.send(f"/api/Instances.Deregister/{self.instance}", body)

    def start_beats(self, interval_s: float = 1.5) -> None:
        """Sends a heartbeat now and then at intervals."""
        self._beats = threading.Event()
        stopped = self._beats

        def work() -> None:
            state = "draining" if self.is_leaving else "ready"
            self.beat(state)
            while not stopped.wait(interval_s):
                self.beat("draining" if self.is_leaving else "ready")

        threading.Thread(target=work, daemon=True).start()

    def stop_beats(self) -> None:
        """Sends no more heartbeats."""
        self._beats.set()

    def add_run(self, run: Run) -> None:
        """Records that work on a request begins."""
        self.runs.append(run)
        self._record.write(
            f"server {run.instance} of {run.service} RUNS {run.request_id}"
            f" {run.method} {run.path} caller={run.caller}"
        )


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._open: set[socket.socket] = set()

    def get_request(self) -> tuple[socket.socket, Any]:
        """Accepts a connection and remembers it."""
        connection, address = super().get_request()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open.add(connection)
        return connection, address

    def reset_all(self) -> None:
        """Resets every open connection."""
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                reset(connection)

    def handle_error(self, *_: object) -> None:
        """Prints nothing about connections that ended."""


def reset(connection: socket.socket) -> None:
    """Resets a connection."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    upstream: Upstream

    def do_GET(self) -> None:
        """Answers a health check or runs a request."""
        upstream = self.upstream
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == "/health":
            headers = {
                "Lovagesaddle-Instance-Id": upstream.instance,
                "Lovagesaddle-Server-Load": "0,0,8",
            }
            self._answer(503 if upstream.is_leaving else 200, b"", headers)
            return
        expected = self.headers.get(EXPECTED, upstream.instance)
        if expected != upstream.instance:
            self._answer(421, b"", {NOT_RUN: "1"})
            return
        request_id = self.headers.get(REQUEST_ID, "")
        run = Run(
            at=time.monotonic(),
            request_id=request_id,
            method=self.command,
            path=self.path,
            caller=self.headers.get(CALLER, ""),
            instance=upstream.instance,
            service=upstream.service,
        )
        upstream.add_run(run)
        time.sleep(upstream.work_s)
        if upstream.loses_answers:
            upstream.loses_answers -= 1
            self.close_connection = True
            reset(self.connection)
            return
        stamp = {STAMP: f"{upstream.instance}.{len(upstream.runs)}"}
        self._answer(200, b"ran " + body[:100], stamp)

    do_HEAD = do_POST = do_GET  # noqa: N815

    def _answer(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        if REQUEST_ID in self.headers:
            self.send_header(REQUEST_ID, self.headers[REQUEST_ID])
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Prints nothing."""


class Client:
    """Sends requests to the nodes and records the answers.

    Args:
      platform: Platform with the nodes.
      record: Where requests and answers are written.
    """

    def __init__(self, platform: Platform, record: Record) -> None:
        self._platform = platform
        self._record = record
        self._lock = threading.Lock()
        self._number = 0
        self._prefix = f"{random.getrandbits(32):08x}"

    def ask(
        self,
        ip: str,
        host: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        deadline_ms: int = 2000,
    ) -> tuple[str, Reply]:
        """Sends one request; returns its ID and the answer."""
        with self._lock:
            self._number += 1
            request_id = f"{self._prefix}{self._number:08x}"
        headers = {
            "Host": host,
            REQUEST_ID: request_id,
            DEADLINE: str(deadline_ms),
        }
        address = self._platform.address(ip, "Outbound")
        reply = call(address, method, path, body, headers, deadline_ms / 1000)
        self._record.write(
            f"client at {ip}: {request_id} {method} {host}{path}:"
            f" {reply.status} {reply.error}"
        )
        return request_id, reply


@contextlib.contextmanager
def open_case(folder: pathlib.Path) -> Iterator[tuple[Record, bool]]:
    """Opens the record of a case; tells whether to make the disruption."""
    yield Record(folder / "record.txt"), os.environ.get("TROUBLE") != "0"


def run_case(case: Callable[[Record, bool], bool], folder: str) -> int:
    """Runs a case; returns the exit status.

    Args:
      case: Returns whether the rule was broken.
      folder: Folder of the case.
    """
    with open_case(pathlib.Path(folder)) as (record, has_trouble):
        record.write(f"case with TROUBLE={int(has_trouble)}")
        try:
            is_broken = case(record, has_trouble)
        except (CannotRunError, OSError) as error:
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return CANNOT_RUN
        verdict = "BROKEN" if is_broken else "held"
        record.write(f"the rule {verdict}")
        print(f"the rule {verdict}")
        return BROKEN if is_broken else HELD
