"""Stand-ins for the platform, for the scripts of the second review.

A mesh runs the project's programs as separate processes on loopback addresses,
with the commands of the deploy file and its templates. Only the standard
library is used.
"""

from collections.abc import Callable
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any, Self

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
SERVICE = "desk"
REQUEST_ID = "Lovagesaddle-Request-Id"
DEADLINE = "Lovagesaddle-Deadline-Ms"
STAMP = "Lovagesaddle-Server-Stamp"
EXPECTED = "Lovagesaddle-Expect-Instance"
INSTANCE = "Lovagesaddle-Instance-Id"
LOAD = "Lovagesaddle-Server-Load"
NOT_RUN = "Lovagesaddle-Not-Run"
HELD, BROKEN, NOT_POSSIBLE = 0, 1, 2
SLOTS = 18
ZONES = 3
HEARTBEAT_S = 1.5
WAIT_S = 20.0
PORTS = range(15_000, 31_000)
INNER_PORTS = 16
FIRST_NET = 11
NETS = 240
METRICS_PORT = 9464
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
_PLACE = re.compile(r"\{\{([A-Za-z.0-9]+)\}\}")
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


class NotPossibleError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run to a file, with times.

    Args:
      path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Adds a line, here and on standard output."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What a client got; status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def stamp(self) -> str:
        """Stamp of the backend server that answered; empty for none."""
        return self.headers.get(STAMP, "")


def call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Reply:
    """Sends one request over a new connection."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        return Reply(
            status=response.status,
            headers=dict(response.getheaders()),
            body=content,
        )
    except (OSError, http.client.HTTPException):
        return Reply(status=0, headers={}, body=b"")
    finally:
        connection.close()


def _fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of the deploy folder."""

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
        return ",".join(value) if isinstance(value, list) else str(value)

    return _PLACE.sub(find, _SECTION.sub(expand, template))


def _find_net(controls: int, nodes: int) -> str:
    """Returns the first half of addresses that no other mesh uses.

    The programs have fixed ports for their metrics. The search starts at the
    process ID, so that meshes that start together get different addresses.
    """
    for number in range(NETS):
        net = f"127.{FIRST_NET + (os.getpid() + number) % NETS}"
        ips = [f"{net}.1.{n + 1}" for n in range(controls)]
        ips += [f"{net}.2.{n + 1}" for n in range(nodes)]
        if all(_is_free(ip, METRICS_PORT) for ip in ips):
            return net
    raise NotPossibleError("no free addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def _find_ports(net: str, count: int) -> int:
    """Returns the first of some ports that are free on a machine's address."""
    for _ in range(200):
        first = random.choice(PORTS[:-count])
        held: list[socket.socket] = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                held.append(sock)
                sock.bind((f"{net}.1.1", port))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        return first
    raise NotPossibleError("no free ports")


class Upstream:
    """A backend server beside a node.

    It answers its health path, runs requests that expect its instance, and
    sends heartbeats if told to.

    Args:
      record: Gets a line for each request that it runs.
      instance: Its ID.
      address: `ip:port` at which it serves.
      beat_address: `ip:port` that takes its heartbeats.
      run_s: Time that it runs each request, in seconds.
      slots: Slots that it states.

    Attributes:
      is_leaving: Whether its health check says that it leaves.
      has_ended: Whether it has ended or crashed.
      logs_runs: Whether each run gets a line of the record.
      shed_share: Share of the requests that it rejects without running them.
      poison_path: Prefix of the paths whose requests crash it; empty for none.
      on_crash: Called with the upstream and the request that crashed it.
      runs: Monotonic time and ID of each request that it began to run.
    """

    def __init__(
        self,
        record: Record,
        instance: str,
        address: str,
        beat_address: str,
        run_s: float = 0.05,
        slots: int = SLOTS,
    ) -> None:
        self.record = record
        self.instance = instance
        self.address = address
        self.run_s = run_s
        self.slots = slots
        self.is_leaving = False
        self.has_ended = False
        self.logs_runs = True
        self.shed_share = 0.0
        self.poison_path = ""
        self.on_crash: Callable[[Upstream, str], None] | None = None
        self.runs: list[tuple[float, str]] = []
        self.open_requests = 0
        self.lock = threading.Lock()
        self._beat_address = beat_address
        self._sequence = 0
        self._born = int(time.time() * 1000)
        host, port = address.split(":")
        handler = type("Handler", (_Handler,), {"owner": self})
        self._server = _Server((host, int(port)), handler)
        self._stops_beats = threading.Event()
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def make_heartbeat(self, state: str = "ready") -> bytes:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": SERVICE,
                "Address": self.address,
                "Zone": "a",
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    def send(self, heartbeat: bytes) -> int:
        """Sends a heartbeat; returns the status of the answer."""
        path = f"/api/Instances.Heartbeat/{self.instance}"
        headers = {"Content-Type": "application/json"}
        return call(
            self._beat_address, "POST", path, body=heartbeat, headers=headers
        ).status

    def start_heartbeats(self) -> None:
        """Sends heartbeats from now on."""

        def work() -> None:
            while not self._stops_beats.is_set():
                self.send(self.make_heartbeat())
                self._stops_beats.wait(HEARTBEAT_S)

        threading.Thread(target=work, daemon=True).start()

    def deregister(self) -> int:
        """Says that it leaves; returns the status of the answer."""
        self._stops_beats.set()
        self.is_leaving = True
        path = f"/api/Instances.Deregister/{self.instance}"
        body = json.dumps({"born": self._born}).encode()
        headers = {"Content-Type": "application/json"}
        return call(
            self._beat_address, "POST", path, body=body, headers=headers
        ).status

    def end(self) -> None:
        """Ends like a process: every connection is closed."""
        self._stops_beats.set()
        self.has_ended = True
        self._server.stop_listening()
        self._server.close_connections()
        self._server.shutdown()
        self._server.server_close()

    def crash(self, request_id: str) -> None:
        """Ends while a request runs."""
        self.record.write(f"{self.instance} crashes on {request_id}")
        self.has_ended = True
        self._server.stop_listening()
        self._server.close_connections()
        threading.Thread(target=self.end, daemon=True).start()
        if self.on_crash is not None:
            self.on_crash(self, request_id)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._open: set[socket.socket] = set()
        super().__init__(*args, **kwargs)

    def process_request(self, request: Any, client_address: Any) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        del request, client_address

    def stop_listening(self) -> None:
        """Refuses connections at once, also while a thread waits for one."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close_connections(self) -> None:
        """Closes every open connection."""
        for each in tuple(self._open):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner: Upstream

    def do_GET(self) -> None:
        """Runs a request, or answers a health check."""
        owner = self.owner
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if self.path == "/health":
            status = 503 if owner.is_leaving else 200
            self._answer(status, b"", {INSTANCE: owner.instance})
            return
        if self.headers.get(EXPECTED, owner.instance) != owner.instance:
            self._answer(421, b"", {NOT_RUN: "1"})
            return
        request_id = self.headers.get(REQUEST_ID, "")
        if random.random() < owner.shed_share:
            self._answer(503, b"", {NOT_RUN: "1"})
            return
        if owner.poison_path and self.path.startswith(owner.poison_path):
            with owner.lock:
                owner.runs.append((time.monotonic(), request_id))
            owner.crash(request_id)
            return
        with owner.lock:
            owner.runs.append((time.monotonic(), request_id))
            owner.open_requests += 1
            number = len(owner.runs)
        if owner.logs_runs:
            owner.record.write(f"{owner.instance} runs {request_id}")
        time.sleep(owner.run_s)
        with owner.lock:
            owner.open_requests -= 1
        if owner.has_ended:
            return
        stamp = f"{owner.instance}.{number}"
        self._answer(200, f"ran {len(body)}".encode(), {STAMP: stamp})

    do_POST = do_GET  # noqa: N815

    def _answer(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if request_id := self.headers.get(REQUEST_ID):
            lines.append(f"{REQUEST_ID}: {request_id}")
        lines.append(f"{LOAD}: {self.owner.open_requests},0,{self.owner.slots}")
        lines.append(f"Content-Length: {len(body)}")
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Logs nothing."""


class Mesh:
    """Three control replicas and some nodes, as processes on loopback.

    Args:
      record: Gets a line for what happens to a process.
      nodes: Number of nodes.
      memory_mb: Memory of a node's machine.
      has_zones: Whether the nodes are spread over three zones; else all are
        in one.
    """

    def __init__(
        self,
        record: Record,
        *,
        nodes: int = 3,
        memory_mb: int = 300,
        has_zones: bool = False,
    ) -> None:
        self.record = record
        self._has_zones = has_zones
        self._memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._net = _find_net(3, nodes)
        first = _find_ports(self._net, INNER_PORTS + 4)
        self._inner = first
        self._outbound, self._ready, self.app, self._control = range(
            first + INNER_PORTS, first + INNER_PORTS + 4
        )
        self.controls = [f"{self._net}.1.{n + 1}" for n in range(3)]
        self.nodes = [f"{self._net}.2.{n + 1}" for n in range(nodes)]
        self.programs: dict[str, subprocess.Popen[bytes]] = {}
        self.upstreams: list[Upstream] = []
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def __enter__(self) -> Self:
        if not (ROOT / "target" / "deps" / "lovagesaddle").is_dir():
            raise NotPossibleError("the build of the deploy file is missing")
        for ip in self.controls:
            self.start(ip)
        for ip in self.nodes:
            self.start(ip)
        return self

    def __exit__(self, *_: object) -> None:
        for upstream in self.upstreams:
            if not upstream.has_ended:
                upstream.end()
        for program in self.programs.values():
            if program.poll() is None:
                program.kill()
        for program in self.programs.values():
            program.wait()
        self._folder.cleanup()

    def start(self, ip: str, *, is_first: bool = True) -> None:
        """Starts the program of a machine with its command."""
        kind = "control" if ip in self.controls else "node"
        role = self._roles[f"lovagesaddle-{kind}"]
        folder = pathlib.Path(self._folder.name)
        template = (ROOT / role["template"]).read_text("utf-8")
        settings = folder / f"{ip}.ini"
        text = _fill_in(template, self._describe(ip, is_first=is_first))
        settings.write_text(text, encoding="utf-8")
        *words, _ = role["run"].split()
        kept = ("PATH", "HOME", "LANG")
        with (folder / f"{ip}.log").open("ab") as log:
            self.programs[ip] = subprocess.Popen(
                [*words, str(settings)],
                cwd=ROOT,
                env={
                    **{k: os.environ[k] for k in kept if k in os.environ},
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self, ip: str) -> None:
        """Kills the process of a machine."""
        self.record.write(f"SIGKILL to the process on {ip}")
        self.programs[ip].send_signal(signal.SIGKILL)
        self.programs[ip].wait()

    def stop(self, ip: str) -> None:
        """Sends SIGTERM to the process of a machine, and SIGKILL later."""
        self.record.write(f"SIGTERM to the process on {ip}")
        program = self.programs[ip]
        program.send_signal(signal.SIGTERM)
        try:
            program.wait(BOUNDS["GraceS"])
        except subprocess.TimeoutExpired:
            program.kill()
            program.wait()
            self.record.write(f"SIGKILL to the process on {ip}")
        self.record.write(f"the process on {ip} has ended")

    def read_log(self, ip: str) -> str:
        """Returns what the process of a machine has logged."""
        path = pathlib.Path(self._folder.name) / f"{ip}.log"
        return path.read_text("utf-8", errors="replace")

    def open_upstream(
        self, ip: str, instance: str, run_s: float = 0.05
    ) -> Upstream:
        """Starts the backend server beside a node."""
        upstream = Upstream(
            self.record,
            instance,
            f"{ip}:{self.app}",
            f"{ip}:{self._control}",
            run_s,
        )
        self.upstreams.append(upstream)
        return upstream

    def get_outbound(self, ip: str) -> str:
        """Returns the address for the clients of a machine."""
        return f"{ip}:{self._outbound}"

    def get_control(self, ip: str) -> str:
        """Returns the address for the operator."""
        return f"{ip}:{self._control}"

    def is_ready(self, ip: str) -> bool:
        """Returns whether a node says that it is ready."""
        return (
            call(f"{ip}:{self._ready}", "GET", "/api/ready", timeout_s=1).status
            == 200
        )

    def publish(self, document: bytes, base: str = "0") -> int:
        """Sends a document to one replica after another until one answers."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            for ip in self.controls:
                status = call(
                    self.get_control(ip),
                    "POST",
                    "/api/Config.Put",
                    body=document,
                    headers={"Lovagesaddle-Base-Version": base},
                    timeout_s=1.0,
                ).status
                if status not in (0, 408, 429) and status < 500:
                    return status
            time.sleep(0.1)
        states = {ip: each.poll() for ip, each in self.programs.items()}
        self.record.write(f"exits: {states}")
        for ip in self.controls:
            self.record.write(f"log of {ip}: {self.read_log(ip)[:1500]}")
        raise NotPossibleError("no replica answered the document")

    def wait_until_served(self, ips: list[str]) -> None:
        """Waits until requests at some nodes are served."""

        def check() -> bool:
            return all(
                self.is_ready(ip)
                and self.ask(ip, f"warm-{time.monotonic_ns():x}").status == 200
                for ip in ips
            )

        wait_for(check, "requests are served")

    def ask(
        self,
        ip: str,
        request_id: str,
        *,
        method: str = "POST",
        path: str = "/orders/7",
        body: bytes | None = b"body",
        deadline_ms: int = 2000,
    ) -> Reply:
        """Sends a client's request to the node of its machine."""
        return call(
            self.get_outbound(ip),
            method,
            path,
            body=body,
            headers={
                "Host": HOST,
                REQUEST_ID: request_id,
                DEADLINE: str(deadline_ms),
            },
            timeout_s=deadline_ms / 1000,
        )

    def _find_zone(self, ip: str) -> str:
        number = int(ip.split(".")[-1]) % ZONES if self._has_zones else 0
        return f"zone-{number}"

    def _describe(self, ip: str, *, is_first: bool) -> dict[str, Any]:
        return {
            "Node": f"vm-{ip}",
            "Ip": ip,
            "Zone": self._find_zone(ip),
            "Region": "r",
            "Service": SERVICE,
            "AppAddr": f"{ip}:{self.app}",
            "ListenAddrs": {
                "Outbound": self.get_outbound(ip),
                "Control": self.get_control(ip),
                "Ready": f"{ip}:{self._ready}",
            },
            "InnerPortRange": [
                str(self._inner),
                str(self._inner + INNER_PORTS - 1),
            ],
            "SeedAddrs": [self.get_control(seed) for seed in self.controls],
            "DataDir": str(pathlib.Path(self._folder.name) / f"data-{ip}"),
            "Bootstrap": is_first,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": self._memory_mb},
        }


def wait_for(
    check: Callable[[], bool], what: str, wait_s: float = WAIT_S
) -> None:
    """Waits until a check holds."""
    deadline = time.monotonic() + wait_s
    while not check():
        if time.monotonic() >= deadline:
            raise NotPossibleError(f"not seen in time: {what}")
        time.sleep(0.05)


def make_rule(
    name: str, kind: str, prefix: str, timeout_ms: int = 2000
) -> dict[str, Any]:
    """Returns a route of a document."""
    return {
        "Name": name,
        "RouteKind": kind,
        "TargetLatencyMs": 800,
        "Priority": 1,
        "Match": {"PathPrefix": prefix},
        "Action": {"Service": SERVICE, "TimeoutMs": timeout_ms, "Attempts": 2},
    }


def make_document(serial: str, *rules: dict[str, Any]) -> bytes:
    """Returns a document with one service."""
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
                    "RouteRules": list(rules)
                    or [
                        make_rule("confirm", "non_idempotent", "/orders/"),
                        make_rule("proofs", "idempotent", "/proofs/"),
                        make_rule("logos", "upload", "/logos/"),
                    ],
                }
            ],
            "Clusters": [
                {
                    "Name": SERVICE,
                    "HealthPath": "/health",
                    "MaxConnections": 110,
                    "Protocol": "h1",
                    "Tls": False,
                }
            ],
        }
    ).encode()


def run_case(folder: pathlib.Path, case: Callable[[Record, bool], int]) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = case(record, has_trouble)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        status = NOT_POSSIBLE
    words = {HELD: "held", BROKEN: "BROKEN", NOT_POSSIBLE: "could not run"}
    record.write(f"result: {words[status]}")
    sys.exit(status)
