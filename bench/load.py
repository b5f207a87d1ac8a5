"""Generates open-loop load: calls start on schedule, whatever the answers.

    python -m bench.load PLAN.json

The latency of a call counts from its scheduled start. So calls that could not
start while a server stalled are not left out of the figures (coordinated
omission).
"""

import dataclasses
import itertools
import pathlib
import random
import sys
import threading
import time

import msgspec
from returns import result

from bench import backend
from lovagesaddle.core.model import outcomes
from lovagesaddle.http import client
from lovagesaddle.http import watchdog

MAX_MOVES = 3
CALLER_TIMEOUT_S = 10.0
MS_PER_S = 1000
SPREAD_START_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallKind:
    """One kind of call in the mix.

    Attributes:
      name: Shown in reports.
      method: HTTP method.
      path: Request target.
      host: Host header.
      token: Bearer token of the caller.
      idempotent: Whether it may run more than once.
      share: Weight in the mix.
      body_bytes: Size of the body.
      act: Fault that the backend server is asked to inject, or empty.
      direct: Whether it goes straight to a backend server, not through the
        mesh.
    """

    name: str
    method: str
    path: str
    host: str
    token: str
    idempotent: bool
    share: float
    body_bytes: int = 0
    act: str = ""
    direct: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The calls of one generator, read from a JSON file.

    Attributes:
      name: Prefix of request IDs, unique among generators.
      targets: `ip:port` of nodes.
      direct_targets: `ip:port` of backend servers by host.
      kinds: The mix.
      rate: Mean number of calls a second.
      seconds: Length of the schedule.
      threads: Most calls in flight at a time.
      seed: Seed of the start times and of the choices of kinds and targets.
      starts_at: Epoch time at which the schedule starts, in seconds.
      output: File to which each `CallRecord` is written as a JSON line.
    """

    name: str
    targets: tuple[str, ...]
    direct_targets: dict[str, tuple[str, ...]]
    kinds: tuple[CallKind, ...]
    rate: float
    seconds: float
    threads: int
    seed: int
    starts_at: float
    output: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRecord:
    """The result and latency of one call.

    Attributes:
      request_id: Sent as `Bench-Id`.
      kind: Name of its kind.
      direct: Whether it went straight to a backend server.
      idempotent: Whether it may run more than once.
      due_at: Scheduled start, as epoch time in seconds.
      ms: Time from `due_at` to the whole answer, in milliseconds.
      late_ms: Time from `due_at` until it was sent, in milliseconds.
      status: HTTP status; 0 when no whole answer came.
      outcome: Request-Outcome header of the answer, or empty; without a whole
        answer "unreachable" if nothing was sent, else "cut".
    """

    request_id: str
    kind: str
    direct: bool
    idempotent: bool
    due_at: float
    ms: float
    late_ms: float
    status: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ScheduledCall:
    number: int
    at: float
    kind: CallKind
    start: int


class Generator:
    """Sends the calls of one plan.

    Args:
      plan: Calls to send, and the file for their records.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._schedule = iter(_make_schedule(plan))
        self._lock = threading.Lock()
        self._records: list[CallRecord] = []

    def run(self) -> None:
        """Sends every call, then writes the records."""
        threads = [
            threading.Thread(target=self._run_worker)
            for _ in range(self._plan.threads)
        ]
        with (
            client.ConnectionPool() as pool,
            watchdog.Watchdog() as call_watchdog,
        ):
            self._pool = pool
            self._watchdog = call_watchdog
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        lines = [msgspec.json.encode(record) for record in self._records]
        path = pathlib.Path(self._plan.output)
        path.write_bytes(b"".join(line + b"\n" for line in lines))

    def _run_worker(self) -> None:
        while True:
            with self._lock:
                scheduled = next(self._schedule, None)
            if scheduled is None:
                return
            delay_s = scheduled.at - time.time()
            if delay_s > 0:
                time.sleep(delay_s)
            record = self._call(scheduled)
            with self._lock:
                self._records.append(record)

    def _call(self, scheduled: _ScheduledCall) -> CallRecord:
        kind = scheduled.kind
        request_id = f"{self._plan.name}-{scheduled.number}"
        sent_at = time.time()
        outcome = self._send(scheduled, request_id)
        status, outcome_value = 0, "cut"
        if isinstance(outcome, result.Success):
            reply = outcome.unwrap()
            status = reply.status
            outcome_value = dict(reply.headers).get(outcomes.OUTCOME_HEADER, "")
        elif outcome.failure().kind is client.FailureKind.NOT_SENT:
            outcome_value = "unreachable"
        return CallRecord(
            request_id=request_id,
            kind=kind.name,
            direct=kind.direct,
            idempotent=kind.idempotent,
            due_at=scheduled.at,
            ms=(time.time() - scheduled.at) * MS_PER_S,
            late_ms=(sent_at - scheduled.at) * MS_PER_S,
            status=status,
            outcome=outcome_value,
        )

    def _send(
        self, scheduled: _ScheduledCall, request_id: str
    ) -> client.ExchangeResult:
        kind = scheduled.kind
        targets = self._plan.targets
        if kind.direct:
            targets = self._plan.direct_targets[kind.host]
        headers = {
            "host": kind.host,
            "Authorization": f"Bearer {kind.token}",
            backend.ID_HEADER: request_id,
        }
        if kind.act:
            headers[backend.ACT_HEADER] = kind.act
        request = client.Request(
            method=kind.method,
            target=kind.path,
            headers=headers,
            body=b"x" * kind.body_bytes,
        )
        with self._watchdog.watch(
            deadline=time.monotonic() + CALLER_TIMEOUT_S, is_gone=_is_never_gone
        ) as guard:
            for moves in itertools.count():
                target = targets[(scheduled.start + moves) % len(targets)]
                outcome = self._pool.exchange(target, request, guard)
                if moves >= MAX_MOVES or not _was_not_sent(outcome):
                    return outcome
        raise AssertionError("unreachable")


def _is_never_gone() -> bool:
    return False


def _was_not_sent(outcome: client.ExchangeResult) -> bool:
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().kind is client.FailureKind.NOT_SENT


def _make_schedule(plan: Plan) -> list[_ScheduledCall]:
    source = random.Random(plan.seed)
    shares = [kind.share for kind in plan.kinds]
    schedule: list[_ScheduledCall] = []
    at = plan.starts_at
    while True:
        at += source.expovariate(plan.rate)
        if at > plan.starts_at + plan.seconds:
            return schedule
        schedule.append(
            _ScheduledCall(
                number=len(schedule),
                at=at,
                kind=source.choices(plan.kinds, shares)[0],
                start=source.randrange(1 << 16),
            )
        )


def main(arguments: list[str]) -> int:
    """Sends the calls of the plan in a JSON file."""
    data = pathlib.Path(arguments[0]).read_bytes()
    Generator(msgspec.json.decode(data, type=Plan)).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
