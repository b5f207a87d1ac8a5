"""Callers and an operator who go on while processes fail."""

import dataclasses
import functools
import http.client
import json
import random
import threading
import time

from tests import platform_stand_in as platform_lib

# An acknowledged document is read everywhere after this time.
APPLY_S = 2.0
DEADLINE_S = 3.0
MS_PER_S = 1000
OK = 200
SERVER_FAILURE = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's request; times are monotonic, in seconds.

    Attributes:
      request_id: Its ID.
      node: IP of the node that it was sent to.
      method: POST if it may run once only, else GET.
      sent_at: When it was sent.
      ended_at: When its answer was complete, or its connection ended.
      status: Status of the answer; 0 if there was no whole one.
      error: What ended the connection.
      is_foreign: Whether the answer is not the whole one to this request.
      is_kept: Whether the connection may be used again.
    """

    request_id: str
    node: str
    method: str
    sent_at: float
    ended_at: float
    status: int = 0
    error: str = ""
    is_foreign: bool = False
    is_kept: bool = False


class Callers:
    """Sends requests one after the other, over connections that stay open.

    Args:
      platform: Platform with the nodes.
      is_over: Set when no more requests are to be sent.

    Attributes:
      calls: All requests that have ended.
    """

    def __init__(
        self, platform: platform_lib.Platform, is_over: threading.Event
    ) -> None:
        self._platform = platform
        self._is_over = is_over
        self.calls: list[Call] = []

    def run(self, number: int) -> None:
        """Runs one caller, with a number of its own."""
        source = random.Random(number)
        connections: dict[str, http.client.HTTPConnection] = {}
        count = 0
        while not self._is_over.is_set():
            count += 1
            node = source.choice(self._platform.nodes)
            connection = connections.get(node)
            if connection is None:
                connection = http.client.HTTPConnection(
                    self._platform.get_outbound(node), timeout=DEADLINE_S + 2
                )
                connections[node] = connection
            method = source.choice(("POST", "GET"))
            call = self._send(connection, node, method, f"c{number}-{count}")
            if not call.is_kept:
                connection.close()
                del connections[node]
            self.calls.append(call)
            time.sleep(source.uniform(0.0, 0.1))

    def _send(
        self,
        connection: http.client.HTTPConnection,
        node: str,
        method: str,
        request_id: str,
    ) -> Call:
        body = request_id.encode() if method == "POST" else None
        path = "/orders/7" if method == "POST" else "/proofs/7"
        headers = {
            "Host": platform_lib.HOST,
            platform_lib.REQUEST_ID: request_id,
            platform_lib.DEADLINE: str(int(DEADLINE_S * MS_PER_S)),
        }
        make_call = functools.partial(
            Call,
            request_id=request_id,
            node=node,
            method=method,
            sent_at=time.monotonic(),
        )
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return make_call(ended_at=time.monotonic(), error=repr(error))
        is_own = response.headers.get(platform_lib.REQUEST_ID) == request_id
        is_whole = response.status != OK or (
            is_own
            and bool(response.headers.get(platform_lib.STAMP))
            and content == b"ran " + (body or b"")
        )
        return make_call(
            ended_at=time.monotonic(),
            status=response.status,
            is_foreign=not is_whole,
            is_kept=response.headers.get("Connection") != "close",
        )


class Operator:
    """Publishes documents, resends them, and reads the newest one.

    Args:
      platform: Platform with the control VMs.
      is_over: Set when no more documents are to be sent.
      first: Serial number of the document in force.

    Attributes:
      findings: Answers that broke a promise.
      acknowledged: Serial number of the newest document that was acknowledged,
        and when, in monotonic seconds.
    """

    def __init__(
        self,
        platform: platform_lib.Platform,
        is_over: threading.Event,
        first: int,
    ) -> None:
        self._platform = platform
        self._is_over = is_over
        self._documents: dict[int, bytes] = {}
        self.findings: list[str] = []
        self.acknowledged = (first, time.monotonic())

    def run(self) -> None:
        """Publishes and reads until it is over."""
        source = random.Random(0)
        while not self._is_over.is_set():
            base, _ = self.acknowledged
            serial = base + source.randint(1, 3)
            document = platform_lib.make_document(
                f"{serial:08x}", timeout_ms=source.randint(2000, 4000)
            )
            if self._put(document, base):
                self.acknowledged = (serial, time.monotonic())
                self._documents[serial] = document
            self._read(source.choice(self._platform.controls))
            time.sleep(source.uniform(0.1, 1.0))

    def _put(self, document: bytes, base: int) -> bool:
        """Sends an order until a clear answer; returns if it is in force."""
        headers = {"Lovagesaddle-Base-Version": f"{base:08x}"}
        while not self._is_over.is_set():
            for ip in tuple(self._platform.controls):
                try:
                    status = platform_lib.call(
                        self._platform.get_control(ip),
                        "POST",
                        "/api/Config.Put",
                        document,
                        headers,
                    ).status
                except (OSError, http.client.HTTPException):
                    continue
                if status == OK:
                    return True
                if status < SERVER_FAILURE:
                    self.findings.append(
                        f"CONFIG: an order on {base} got {status} at {ip}"
                    )
                    return False
            time.sleep(0.1)
        return False

    def _read(self, ip: str) -> bytes | None:
        """Reads the newest document at one replica; notes an older one."""
        serial, at = self.acknowledged
        is_due = time.monotonic() - at > APPLY_S
        try:
            reply = self._platform.read(ip)
        except (OSError, http.client.HTTPException):
            return None
        if reply.status != OK:
            return None
        found = int(json.loads(reply.body)["Version"], 16)
        if is_due and found < serial:
            self.findings.append(
                f"CONFIG: {ip} returned {found}, {serial} was acknowledged"
            )
        return reply.body

    def check_read_back(self, limit_s: float) -> None:
        """Reads until the newest acknowledged document comes."""
        serial, _ = self.acknowledged
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for ip in self._platform.controls:
                content = self._read(ip)
                if content == self._documents.get(serial, content) is not None:
                    return
            time.sleep(0.1)
        self.findings.append(f"CONFIG: {serial} is not read back")
