"""Counts the requests that a planned stop of one node cuts.

`python -m bench.planned_stops --grace 6 --work 2` starts the programs as on the
platform, with real processes on loopback. One node gets SIGTERM and is killed
at the end of its grace period. Callers go on sending requests to it that may
not be repeated, at a fixed rate, for as long as it accepts them. Every second
one goes over a connection that was opened before the SIGTERM.
"""

import argparse
from concurrent import futures
import contextlib
import dataclasses
import functools
import http.client
import pathlib
import tempfile
import threading
import time
from typing import Protocol

from tests import nodes
from tests import platform_stand_in

SLOTS = 12
NODES = 4
STABLE_S = 3.0
# A request that was not passed on may be cut so long after its last byte.
SLACK_S = 0.2
# A request that was sent later than this after SIGTERM is never cut.
LATE_S = 3.0
# A request that was sent earlier may be cut while its server works on it, in
# the last sixth of the grace period.
CUT_SHARE = 5 / 6
MS_PER_S = 1000
# Work of each request before the stop, so that nodes expect short runs.
WARM_WORK_S = 0.005
ANSWERED = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Load and limits of one stop.

    Attributes:
      grace_s: Time after SIGTERM at which the node is killed.
      work_s: Time that a server works on each request.
      rate: Requests a second.
      deadline_s: Time that a caller waits.
      sends_s: Time after SIGTERM until which callers send requests.
      body_bytes: Size of each request's body.
      link_mbps: Rate of each VM's link, as its settings state it.
    """

    grace_s: int
    work_s: float
    rate: float
    deadline_s: float
    sends_s: float
    body_bytes: int = 4
    link_mbps: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One request; times are seconds since SIGTERM.

    Attributes:
      sent_at: When it was sent.
      ended_at: When its answer was complete, or its connection ended.
      status: Status of the answer; 0 if there was no whole answer.
      has_run: Whether a server began to work on it.
      is_connected: Whether the node took its connection.
    """

    sent_at: float
    ended_at: float
    status: int
    has_run: bool
    is_connected: bool

    def is_lost(self, plan: Plan) -> bool:
        """Returns whether the request was cut though it could be answered.

        An answer of the node in place of that of a server counts as a cut.
        """
        is_cut = not self.status or (self.has_run and self.status != ANSWERED)
        if not is_cut or not self.is_connected:
            return False
        took_s = self.ended_at - self.sent_at
        if took_s >= plan.deadline_s:
            return False
        if not self.has_run:
            return took_s > SLACK_S
        is_excused = (
            self.sent_at <= LATE_S and self.ended_at >= plan.grace_s * CUT_SHARE
        )
        return not is_excused


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What callers and the platform saw.

    Attributes:
      requests: All requests, in the order in which they were sent.
      ended_at: When the process ended, in seconds since SIGTERM.
      was_killed: Whether it had to be killed.
    """

    requests: tuple[Sent, ...]
    ended_at: float
    was_killed: bool


class _Stoppable(Protocol):
    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""

    def kill(self) -> None:
        """Kills the process."""


def run(plan: Plan) -> Outcome:
    """Stops a node under load and returns what was seen."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        platform = stack.enter_context(
            platform_stand_in.Platform(
                folder, NODES, plan.grace_s, plan.link_mbps
            )
        )
        servers = [
            platform.open_server(ip, f"i-{number}", SLOTS)
            for number, ip in enumerate(platform.nodes)
        ]
        document = platform_stand_in.make_document(
            "00000003", timeout_ms=int(plan.deadline_s * MS_PER_S)
        )
        if platform.publish(document, "00000000") != 200:
            raise AssertionError("the document was refused")
        for ip in platform.nodes:
            nodes.wait_for(
                functools.partial(_is_served, platform, ip), f"{ip} to serve"
            )
        for server in servers:
            server.run_s = WARM_WORK_S
        _warm_up(platform, plan)
        for server in servers:
            server.run_s = plan.work_s
        pool = stack.enter_context(
            futures.ThreadPoolExecutor(int(plan.rate * plan.sends_s) + 1)
        )
        return _stop(platform, servers, plan, pool)


def _warm_up(platform: platform_stand_in.Platform, plan: Plan) -> None:
    """Sends requests to all nodes at the rate of the stop."""
    started = time.monotonic()
    for number in range(int(plan.rate * STABLE_S)):
        ip = platform.nodes[number % NODES]
        _is_served(platform, ip)
        time.sleep(max(0.0, started + number / plan.rate - time.monotonic()))


def _stop(
    platform: platform_stand_in.Platform,
    servers: list[platform_stand_in.BackendServer],
    plan: Plan,
    pool: futures.Executor,
) -> Outcome:
    ip = platform.nodes[0]
    process = platform.programs[ip]
    address = platform.get_outbound(ip)
    connections = [
        _connect(address, plan, is_open=bool(number % 2))
        for number in range(int(plan.rate * plan.sends_s))
    ]
    process.terminate()
    started = time.monotonic()
    ended: list[float] = []
    watch = pool.submit(_watch_end, process, started, plan, ended)
    sending = []
    for number, connection in enumerate(connections):
        time.sleep(max(0.0, started + number / plan.rate - time.monotonic()))
        if not process.is_running:
            break
        sending.append(pool.submit(_send, connection, f"u-{number}", plan))
    replies = [each.result() for each in sending]
    was_killed = watch.result()
    ran = {key for server in servers for _, key in server.arrived}
    return Outcome(
        requests=tuple(
            Sent(
                sent_at=reply.sent_at - started,
                ended_at=reply.ended_at - started,
                status=reply.status,
                has_run=reply.request_id in ran,
                is_connected=reply.is_connected,
            )
            for reply in replies
        ),
        ended_at=ended[0],
        was_killed=was_killed,
    )


def _watch_end(
    process: _Stoppable, started: float, plan: Plan, ended: list[float]
) -> bool:
    """Kills the process at the end of its grace period, if it still runs."""
    while process.is_running:
        if time.monotonic() - started >= plan.grace_s:
            process.kill()
            ended.append(time.monotonic() - started)
            return True
        time.sleep(nodes.POLL_S)
    ended.append(time.monotonic() - started)
    return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    request_id: str
    sent_at: float
    ended_at: float
    status: int
    is_connected: bool


def _connect(
    address: str, plan: Plan, *, is_open: bool
) -> http.client.HTTPConnection:
    """Returns a connection, which opens with its request unless `is_open`."""
    connection = http.client.HTTPConnection(
        address, timeout=plan.deadline_s + 1
    )
    if is_open:
        connection.connect()
    return connection


def _send(
    connection: http.client.HTTPConnection, request_id: str, plan: Plan
) -> _Reply:
    """Sends one request, on a new connection if it isn't open."""
    headers = {
        "Host": platform_stand_in.HOST,
        platform_stand_in.REQUEST_ID: request_id,
        platform_stand_in.DEADLINE: str(int(plan.deadline_s * MS_PER_S)),
    }
    sent_at, status, is_connected = time.monotonic(), 0, False
    try:
        if connection.sock is None:
            connection.connect()
        is_connected = True
        connection.request("POST", "/orders/7", bytes(plan.body_bytes), headers)
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return _Reply(
        request_id=request_id,
        sent_at=sent_at,
        ended_at=time.monotonic(),
        status=status,
        is_connected=is_connected,
    )


def _is_served(platform: platform_stand_in.Platform, ip: str) -> bool:
    try:
        reply = platform_stand_in.ask(platform.get_outbound(ip), "probe")
    except OSError:
        return False
    return reply.status == 200


def main() -> None:
    """Plays one stop and prints what callers saw."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--grace", type=int, default=6)
    parser.add_argument("--work", type=float, default=2.0)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--deadline", type=float, default=5.2)
    parser.add_argument("--sends", type=float, default=0.0)
    parser.add_argument("--body", type=int, default=4)
    parser.add_argument("--link", type=float, default=1000.0)
    options = parser.parse_args()
    plan = Plan(
        grace_s=options.grace,
        work_s=options.work,
        rate=options.rate,
        deadline_s=options.deadline,
        sends_s=options.sends or options.grace,
        body_bytes=options.body,
        link_mbps=options.link,
    )
    outcome = run(plan)
    lost = [each for each in outcome.requests if each.is_lost(plan)]
    statuses = sorted({each.status for each in outcome.requests})
    counts = " ".join(
        f"{status}:{sum(e.status == status for e in outcome.requests)}"
        for status in statuses
    )
    print(
        f"grace={plan.grace_s} work={plan.work_s:g}"
        f" deadline={plan.deadline_s:g} body={plan.body_bytes}"
        f" link={plan.link_mbps:g} sent={len(outcome.requests)}"
        f" lost={len(lost)} ended_at={outcome.ended_at:.2f}"
        f" killed={outcome.was_killed} statuses {counts}"
    )
    for each in lost:
        print(
            f"  lost: sent {each.sent_at:.2f}, ended {each.ended_at:.2f},"
            f" has_run={each.has_run}"
        )


if __name__ == "__main__":
    threading.stack_size(256 * 1024)
    main()
