"""A small stand-in for the platform: machines, upstreams, clients, operator.

It starts the programs with the commands of the deploy file, each on a loopback
address of its own, and fills in their templates as the pages say. It uses
nothing but Python's own library.
"""

from collections.abc import Callable
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from typing import Any, Self

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PATH = "/etc/lovagesaddle/node.json"
HOST = "ficu95.example"
SERVICE = "huvo11a"
REQUEST_ID = "Lovagesaddle-Request-Id"
DEADLINE = "Lovagesaddle-Deadline-Ms"
STAMP = "Lovagesaddle-Server-Stamp"
CALLER = "Lovagesaddle-Caller-Service"
EXPECTED = "Lovagesaddle-Expect-Instance"
NOT_RUN = "Lovagesaddle-Not-Run"
INSTANCE = "Lovagesaddle-Instance-Id"
LOAD = "Lovagesaddle-Server-Load"
BASE = "Lovagesaddle-Base-Version"
HEALTH_PATH = "/health"
HEARTBEAT_S = 1.5
COULD_NOT_RUN = 2
# The bounds of the site that the claims name (SYSTEM.md).
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250,
    "OuterMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetryBudgetExtra": 58,
    "RecoveryS": 15,
}
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_PLACE = re.compile(r"\{\{([@.,]|[\w.]+)(\|json)?\}\}")


def _look_up(fields: Any, name: str) -> Any:
    for key in name.split("."):
        if isinstance(fields, dict):
            fields = fields.get(key)
        elif isinstance(fields, list) and key.isdigit():
            fields = fields[int(key)] if int(key) < len(fields) else None
        else:
            return None
    return fields


def _format(value: Any, *, as_json: bool) -> str:
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_format(each, as_json=False) for each in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _list_items(value: Any) -> list[tuple[str, Any]]:
    """Returns the entries of a list or table; a value is its only entry."""
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return [(str(number), each) for number, each in enumerate(value)]
    return [("", None)]


def _find(fields: Any, entry: Any, name: str) -> Any:
    """Returns what a name stands for, in the entry first."""
    if name == ".":
        return fields if entry is None else entry
    if isinstance(entry, dict) and name.split(".")[0] in entry:
        return _look_up(entry, name)
    return _look_up(fields, name)


def fill_in(
    text: str, fields: Any, entry: Any = None, key: str = "", comma: str = ""
) -> str:
    """Returns a template with its sections and places filled in."""

    def expand(match: re.Match[str]) -> str:
        value = _find(fields, entry, match[2])
        is_empty = value is None or value is False or value in ([], {})
        if is_empty != (match[1] == "^"):
            return ""
        if is_empty:
            return fill_in(match[3], fields, entry)
        items = _list_items(value)
        return "".join(
            fill_in(
                match[3],
                fields,
                entry if each is None else each,
                name,
                "," if number + 1 < len(items) else "",
            )
            for number, (name, each) in enumerate(items)
        )

    def place(match: re.Match[str]) -> str:
        if match[1] == "@":
            return key
        if match[1] == ",":
            return comma
        found = _find(fields, entry, match[1])
        return _format(found, as_json=bool(match[2]))

    return _PLACE.sub(place, _SECTION.sub(expand, text))


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection; returns the whole answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        return response.status, dict(response.getheaders()), content
    finally:
        connection.close()


def read_rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB; 0 once it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("ascii")
    except OSError:
        return 0.0
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


class Record:
    """Writes record.txt, with the seconds since the start before each line."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            at = time.monotonic() - self._started
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


class Upstream:
    """An upstream beside a node: beats, health, and requests that it runs.

    Attributes:
      ran: Time, ID, path and size of the body of each request that it ran.
      run_s: Time that it works on a request, in seconds.
    """

    def __init__(
        self,
        address: str,
        beat_address: str,
        instance: str,
        record: Record,
        *,
        slots: int = 18,
        run_s: float = 0.05,
        service: str = SERVICE,
        zone: str = "uy-sur-a",
    ) -> None:
        self.address = address
        self.instance = instance
        self.service = service
        self.slots = slots
        self.run_s = run_s
        self.zone = zone
        self.ran: list[tuple[float, str, str, int]] = []
        self.state = "ready"
        self.record = record
        self.born = int(time.time() * 1000)
        self._beat_address = beat_address
        self._sequence = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()
        host, port = address.split(":")
        handler = type("Handler", (_Handler,), {"owner": self})
        self._server = _Server((host, int(port)), handler)

    def start(self, *, beats: bool = True) -> None:
        """Serves and sends heartbeats from now on."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        if beats:
            threading.Thread(target=self._beat, daemon=True).start()

    def end_beats(self) -> None:
        """Sends no more heartbeats, as after a farewell."""
        self._ended.set()

    def stop(self) -> None:
        """Ends at once, like a process that is killed."""
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()

    def make_beat(self, state: str = "") -> dict[str, Any]:
        """Returns the next heartbeat."""
        with self._lock:
            self._sequence += 1
            return {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": state or self.state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self.born,
            }

    def send_beat(self, beat: dict[str, Any]) -> int:
        """Sends a heartbeat; returns the status, 0 without an answer."""
        path = f"/api/Instances.Heartbeat/{self.instance}"
        content = json.dumps(beat)
        kind = {"Content-Type": "application/json"}
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(self._beat_address, "POST", path, content, kind, 1.0)[0]
        return 0

    def loses_answer(self) -> bool:
        """Returns whether the answer to the newest request is lost."""
        return False

    def count_ran(self, request_id: str) -> int:
        """Returns how often it ran a request."""
        return sum(each[1] == request_id for each in tuple(self.ran))

    def _beat(self) -> None:
        while not self._ended.is_set():
            self.send_beat(self.make_beat())
            self._ended.wait(HEARTBEAT_S)


class _Server(http.server.ThreadingHTTPServer):
    """Serves an upstream; callers that leave are nothing to report."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores the end of a connection."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner: Upstream

    def do_GET(self) -> None:
        """Runs a request, or answers a health check."""
        owner = self.owner
        length = int(self.headers.get("Content-Length") or 0)
        size = 0
        while size < length:
            piece = self.rfile.read(min(65536, length - size))
            if not piece:
                return
            size += len(piece)
        if self.path == HEALTH_PATH:
            status = 200 if owner.state == "ready" else 503
            self._send(status, b"", {INSTANCE: owner.instance})
            return
        if self.headers.get(EXPECTED, owner.instance) != owner.instance:
            self._send(421, b"", {NOT_RUN: "1"})
            return
        request_id = self.headers.get(REQUEST_ID, "")
        owner.ran.append((time.monotonic(), request_id, self.path, size))
        owner.record.add(f"run {owner.instance} {request_id} {size} bytes")
        time.sleep(owner.run_s)
        if owner.loses_answer():
            owner.record.add(f"lose {owner.instance} {request_id}")
            self.close_connection = True
            return
        stamp = f"{owner.instance}.{len(owner.ran)}"
        self._send(200, b"ran %d" % size, {STAMP: stamp})

    do_POST = do_GET  # noqa: N815

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header(REQUEST_ID, self.headers.get(REQUEST_ID, ""))
        self.send_header(LOAD, f"1,0,{self.owner.slots}")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes nothing."""


def _find_ports(count: int) -> list[int]:
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = random.randint(15_000, 31_000)
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                if port not in ports:
                    ports.append(port)
    return ports


class Mesh:
    """Three `core` and some `sidecar` machines, each with one process."""

    def __init__(
        self,
        record: Record,
        *,
        sidecars: int = 2,
        cores: int = 3,
        memory_mb: int = 300,
        service: str = SERVICE,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.bounds = BOUNDS | (bounds or {})
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(10, 250)}"
        self.cores = [f"{net}.1.{n + 1}" for n in range(cores)]
        self.sidecars = [f"{net}.2.{n + 1}" for n in range(sidecars)]
        self.memory_mb = memory_mb
        self.service = service
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._logs: list[Any] = []
        ports = _find_ports(5)
        # Above the ports that `_find_ports` returns, and below those that the
        # system gives to outgoing connections.
        first = random.randint(31_100, 32_700)
        self.inner = [first, first + 15]
        self.app, self.inbound, self.outbound, self.ready, self.control = ports
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._roles = deploy["roles"]

    def __enter__(self) -> Self:
        for ip in self.cores:
            self.start(ip)
        for ip in self.sidecars:
            self.start(ip)
        return self

    def __exit__(self, *_: object) -> None:
        for upstream in self.upstreams.values():
            with contextlib.suppress(Exception):
                upstream.stop()
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
            process.wait()
        for log in self._logs:
            log.close()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def describe(self, ip: str, *, founds: bool = True) -> dict[str, Any]:
        """Returns the fields of a machine's settings, as plain tables."""
        is_core = ip in self.cores
        limits = {
            "CpuShare": 0.322 if is_core else 0.86,
            "Cores": 1,
            "MemoryMb": 296 if is_core else self.memory_mb,
            "MaxFds": 4100,
            "LinkMbps": 170.0 if is_core else 1000.0,
            "DiskMb": 256 if is_core else 0,
        }
        listen = {"Control": f"{ip}:{self.control}"}
        if not is_core:
            listen |= {
                "Inbound": f"{ip}:{self.inbound}",
                "Outbound": f"{ip}:{self.outbound}",
                "Ready": f"{ip}:{self.ready}",
            }
        data = self.folder / f"disk-{ip}"
        if is_core:
            data.mkdir(exist_ok=True)
        return {
            "Node": ("core-" if is_core else "sidecar-") + ip,
            "Role": "lovagesaddle-control" if is_core else "lovagesaddle-node",
            "MachineClass": "core" if is_core else "sidecar",
            "Serves": ["control"] if is_core else ["sidecar"],
            "Ip": ip,
            "Zone": "uy-sur-a",
            "Region": "uy-sur",
            "InLossBudget": is_core,
            "Bootstrap": founds,
            "DataDir": str(data) if is_core else None,
            "Limits": limits,
            "AppAddr": None if is_core else f"{ip}:{self.app}",
            "Service": None if is_core else self.service,
            "ListenAddrs": listen,
            "InnerPortRange": self.inner,
            "SeedAddrs": [f"{core}:{self.control}" for core in self.cores[:3]],
            "Zones": {"uy-sur-a": "uy-sur"},
            "Discovery": "local",
            "Entry": "local",
            "HeartbeatMs": 1500,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
            ],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds,
        }

    def start(self, ip: str, *, founds: bool = True) -> None:
        """Starts the program of a machine."""
        fields = self.describe(ip, founds=founds)
        role = self._roles[fields["Role"]]
        settings = self.folder / f"{ip}.ini"
        template = (ROOT / role["template"]).read_text("utf-8")
        settings.write_text(fill_in(template, fields), encoding="utf-8")
        words = [
            str(settings) if word == SETTINGS_PATH else word
            for word in role["run"].split()
        ]
        log = (self.folder / f"{ip}.log").open("ab")
        self._logs.append(log)
        self.processes[ip] = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "LOVAGESADDLE_BOOT": str(settings),
                "TMPDIR": str(self.folder),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record.add(f"start {ip} pid {self.processes[ip].pid}")

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal to the program of a machine."""
        self.record.add(f"signal {number.name} to {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip: str) -> None:
        """Kills the program of a machine."""
        self.signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    def add_upstream(
        self,
        ip: str,
        instance: str,
        *,
        beats: bool = True,
        kind: type[Upstream] = Upstream,
        **options: Any,
    ) -> Upstream:
        """Starts the upstream of a sidecar."""
        upstream = kind(
            f"{ip}:{self.app}",
            f"{ip}:{self.control}",
            instance,
            self.record,
            **options,
        )
        upstream.start(beats=beats)
        self.upstreams[ip] = upstream
        return upstream

    def is_ready(self, ip: str) -> bool:
        """Returns whether a node answers the readiness check with 200."""
        try:
            return call(f"{ip}:{self.ready}", "GET", "/api/ready")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def await_ready(self, timeout_s: float = 30.0) -> bool:
        """Waits until all nodes are ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.is_ready(ip) for ip in self.sidecars):
                return True
            time.sleep(0.2)
        return False

    def put(
        self, content: bytes, base: str, timeout_s: float = 30.0
    ) -> tuple[int, bytes]:
        """Sends a configuration until there is a clear answer."""
        deadline = time.monotonic() + timeout_s
        headers = {BASE: base, "Content-Type": "application/json"}
        while time.monotonic() < deadline:
            for ip in self.cores:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    status, _, answer = call(
                        f"{ip}:{self.control}",
                        "POST",
                        "/api/Config.Put",
                        content,
                        headers,
                        1.0,
                    )
                    if status < 500:
                        self.record.add(f"put base {base}: {status} by {ip}")
                        return status, answer
            time.sleep(0.2)
        return 0, b""

    def ask(
        self,
        ip: str,
        request_id: str,
        *,
        method: str = "POST",
        path: str = "/pufi791/x",
        body: Any = b"body",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a client's request; status 0 if there was no answer."""
        sent = {
            "Host": HOST,
            REQUEST_ID: request_id,
            DEADLINE: str(deadline_ms),
        }
        try:
            status, got, content = call(
                f"{ip}:{self.outbound}",
                method,
                path,
                body,
                sent | (headers or {}),
                deadline_ms / 1000 + 0.5,
            )
        except (OSError, http.client.HTTPException) as error:
            self.record.add(f"ask {request_id} at {ip}: {error!r}")
            return 0, {}, b""
        self.record.add(f"ask {request_id} at {ip}: {status}")
        return status, got, content


def run_case(main: Callable[[], int]) -> int:
    """Returns the exit status of a case; 2 if it could not run to its end."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN


def make_rule(
    name: str, kind: str, prefix: str, action: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Returns a rule of a configuration."""
    return {
        "Name": name,
        "RouteKind": kind,
        "TargetLatencyMs": 800,
        "Priority": 1,
        "Match": {"PathPrefix": prefix},
        "Action": action
        or {"Service": SERVICE, "TimeoutMs": 2000, "Attempts": 2},
    }


def make_config(
    version: str, rules: list[dict[str, Any]] | None = None, **limits: Any
) -> bytes:
    """Returns a configuration."""
    return json.dumps(
        {
            "Version": version,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            }
            | limits,
            "Listeners": [
                {
                    "Host": HOST,
                    "RouteRules": rules
                    or [
                        make_rule("r-1", "non_idempotent", "/pufi791/"),
                        make_rule("r-2", "idempotent", "/lohu930/"),
                        make_rule("r-3", "upload", "/sobe442/"),
                    ],
                }
            ],
            "Clusters": [
                {
                    "Name": SERVICE,
                    "HealthPath": HEALTH_PATH,
                    "MaxConnections": 110,
                    "Protocol": "h1",
                    "Tls": False,
                }
            ],
        }
    ).encode()
