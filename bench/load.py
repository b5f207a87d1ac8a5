"""Open-loop load generator: calls start when they are due, ready or not.

    python -m bench.load PLAN.json

A call's time counts from when it was due, so that a stalled server is not
forgiven the calls that could not start meanwhile.
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
      name: For the report.
      method: HTTP method.
      path: Target.
      host: Host header.
      token: Bearer token.
      idempotent: Whether it may run more than once.
      share: Weight in the mix.
      body_bytes: Size of the body.
      act: Fault that the backend server is asked for.
      direct: Whether it goes to a backend server past the mesh.
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
    """What one generator does.

    Attributes:
      name: Prefix of request IDs, unique among generators.
      targets: `ip:port` of nodes.
      direct_targets: `ip:port` of backend servers by host.
      kinds: The mix.
      rate: Calls a second.
      seconds: Length.
      threads: Most calls at a time.
      seed: Of arrivals and choices.
      starts_at: Epoch time of the first call.
      output: File for one `CallRecord` a line.
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
    """How one call went.

    Attributes:
      request_id: Sent as `Bench-Id`.
      kind: Name of its kind.
      direct: Whether it went past the mesh.
      idempotent: Whether it may run more than once.
      due_at: Epoch time in seconds.
      ms: Time from `due_at` to the whole answer, in milliseconds.
      late_ms: Time from `due_at` until it was sent.
      status: HTTP status; 0 when no whole answer came.
      outcome: Request-Outcome header, "cut" without a whole answer, else "".
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
class _Due:
    number: int
    at: float
    kind: CallKind
    start: int


class Generator:
    """Sends the calls of one plan.

    Args:
      plan: What to do.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._schedule = iter(_make_schedule(plan))
        self._lock = threading.Lock()
        self._records: list[CallRecord] = []

    def run(self) -> None:
        """Sends every call and writes the records."""
        threads = [
            threading.Thread(target=self._work)
            for _ in range(self._plan.threads)
        ]
        with client.ConnectionPool() as pool, watchdog.Watchdog() as guards:
            self._pool = pool
            self._guards = guards
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        lines = [msgspec.json.encode(record) for record in self._records]
        path = pathlib.Path(self._plan.output)
        path.write_bytes(b"".join(line + b"\n" for line in lines))

    def _work(self) -> None:
        while True:
            with self._lock:
                due = next(self._schedule, None)
            if due is None:
                return
            delay_s = due.at - time.time()
            if delay_s > 0:
                time.sleep(delay_s)
            record = self._call(due)
            with self._lock:
                self._records.append(record)

    def _call(self, due: _Due) -> CallRecord:
        kind = due.kind
        request_id = f"{self._plan.name}-{due.number}"
        sent_at = time.time()
        outcome = self._send(due, request_id)
        status, said = 0, "cut"
        if isinstance(outcome, result.Success):
            reply = outcome.unwrap()
            status = reply.status
            said = dict(reply.headers).get(outcomes.OUTCOME_HEADER, "")
        elif outcome.failure().kind is client.FailureKind.NOT_SENT:
            said = "unreachable"
        return CallRecord(
            request_id=request_id,
            kind=kind.name,
            direct=kind.direct,
            idempotent=kind.idempotent,
            due_at=due.at,
            ms=(time.time() - due.at) * MS_PER_S,
            late_ms=(sent_at - due.at) * MS_PER_S,
            status=status,
            outcome=said,
        )

    def _send(self, due: _Due, request_id: str) -> client.ExchangeResult:
        kind = due.kind
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
        with self._guards.watch(
            deadline=time.monotonic() + CALLER_TIMEOUT_S, is_gone=_stay
        ) as guard:
            for move in itertools.count():
                target = targets[(due.start + move) % len(targets)]
                outcome = self._pool.exchange(target, request, guard)
                if move >= MAX_MOVES or not _was_not_sent(outcome):
                    return outcome
        raise AssertionError("unreachable")


def _stay() -> bool:
    return False


def _was_not_sent(outcome: client.ExchangeResult) -> bool:
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().kind is client.FailureKind.NOT_SENT


def _make_schedule(plan: Plan) -> list[_Due]:
    source = random.Random(plan.seed)
    shares = [kind.share for kind in plan.kinds]
    schedule: list[_Due] = []
    at = plan.starts_at
    while True:
        at += source.expovariate(plan.rate)
        if at > plan.starts_at + plan.seconds:
            return schedule
        schedule.append(
            _Due(
                number=len(schedule),
                at=at,
                kind=source.choices(plan.kinds, shares)[0],
                start=source.randrange(1 << 16),
            )
        )


def main(arguments: list[str]) -> int:
    """Carries out the plan in a file."""
    data = pathlib.Path(arguments[0]).read_bytes()
    Generator(msgspec.json.decode(data, type=Plan)).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
