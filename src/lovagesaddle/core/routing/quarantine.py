"""Quarantine of requests that crash backend servers.

When a backend server crashes, each request that it ran gets a mark. A marked
request is a suspect: an owner runs one suspect at a time, so that the next
crash shows which of the requests caused it. A request that ran as a suspect
when a server crashed is refused for a time; one that is answered is cleared.
A request that was answered shortly before a crash is not suspected at once,
since a frequent request is running at the time of every crash.
"""

import dataclasses
import enum
import hashlib

from lovagesaddle.core import state_machine
from lovagesaddle.core.routing import recent_answers

FINGERPRINT_BYTES = 16
# Time after which marks expire.
MARK_MEMORY_S = 60.0
# Duration of the first refusal; it doubles with each consecutive one.
REFUSAL_S = 60.0
MAX_REFUSAL_S = 3600.0
# Crashes after which a request that is not trusted is refused, provided that it
# ran as the only suspect in at least one of them. If the request was refused
# before, one crash in which it ran as the only suspect is enough.
MARKS_TO_REFUSE = 2
# Crashes after which a request is refused in any case.
UNSUSPECTED_MARKS_TO_REFUSE = 4
MAX_RECORDS = 4096
CRASH_ID_BYTES = 16
SUSPECTED = b"\x01"
UNSUSPECTED = b"\x00"
MARK_ID_FINGERPRINT_BYTES = 8
SUSPECT_HEADER = "Request-Suspect"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashMark:
    """Records that a backend server crashed while it ran a request.

    Attributes:
      fingerprint: Digest of method, service, route, target and body.
      mark_id: Crash ID, whether the request ran as a suspect and a prefix of
        the fingerprint; unique, so that nodes forward each mark once.
      age_s: Time from the crash until the mark was sent, in seconds.
    """

    fingerprint: bytes
    mark_id: bytes
    age_s: float

    @property
    def crash_id(self) -> bytes:
        """Digest of the server's ID and incarnation.

        All marks of one crash have the same crash ID, so that the crash counts
        once for a request.
        """
        return self.mark_id[:CRASH_ID_BYTES]

    @property
    def suspected(self) -> bool:
        """Whether the owner ran the request as its only suspect."""
        return self.mark_id[CRASH_ID_BYTES : CRASH_ID_BYTES + 1] == SUSPECTED


class Verdict(enum.Enum):
    """Classes of requests, by how they are treated.

    CLEAR: the request is run.
    SUSPECT: it is run, one suspect at a time on a server.
    REFUSED: it is answered with 503 and the outcome not-run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request that a server was running when it crashed.

    Attributes:
      fingerprint: Fingerprint of the request.
      suspected: Whether the request was admitted as a suspect.
    """

    fingerprint: bytes
    suspected: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDied:
    """Reports that a local backend server stopped unexpectedly.

    Attributes:
      server_id: ID of the server.
      incarnation: Incarnation that ended.
      running: Requests that were sent to the server and not answered.
    """

    server_id: str
    incarnation: int
    running: tuple[RunningRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarksReceived:
    """Reports marks from other nodes, or from the owner of an attempt."""

    marks: tuple[CrashMark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Reports a complete answer: the request did not crash its server."""

    fingerprint: bytes


Event = ServerDied | MarksReceived | Answered


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpreadMarks:
    """Sends marks to every node."""

    marks: tuple[CrashMark, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """Marks of one request.

    Attributes:
      marks: Whether the request was a suspect, by crash ID.
      last_at: Monotonic time of the newest crash, in seconds.
      trusted: Whether the request was answered shortly before its first mark.
      refused_until: Monotonic time until which it is refused, in seconds.
      refusals: Consecutive refusals.
    """

    marks: dict[bytes, bool]
    last_at: float
    trusted: bool
    refused_until: float = 0.0
    refusals: int = 0


class Quarantine(state_machine.StateMachine[Event, SpreadMarks]):
    """Tracks the requests that crash servers, on one node."""

    def __init__(self) -> None:
        self._records: dict[bytes, _Record] = {}
        self._answers = recent_answers.RecentAnswers()

    def classify(
        self, fingerprint: bytes, now: float, *, hinted: bool = False
    ) -> Verdict:
        """Returns how a request is to be treated now.

        Args:
          fingerprint: Fingerprint of the request.
          now: Monotonic time in seconds.
          hinted: Whether the entry node sent the request as a suspect.
        """
        record = self._records.get(fingerprint)
        if record is None:
            trusted = not hinted or self._answers.is_recent(fingerprint, now)
            return Verdict.CLEAR if trusted else Verdict.SUSPECT
        if now < record.refused_until:
            return Verdict.REFUSED
        if self._is_expired(record, now):
            del self._records[fingerprint]
            return self.classify(fingerprint, now, hinted=hinted)
        return Verdict.CLEAR if record.trusted else Verdict.SUSPECT

    def step(self, event: Event, now: float) -> tuple[SpreadMarks, ...]:
        """Handles one event."""
        match event:
            case ServerDied():
                marks = _make_marks(event)
                for mark in marks:
                    self._add_mark(mark, now)
                return (SpreadMarks(marks=marks),) if marks else ()
            case MarksReceived():
                for mark in event.marks:
                    self._add_mark(mark, now)
            case Answered():
                self._clear(event.fingerprint, now)
        return ()

    def _add_mark(self, mark: CrashMark, now: float) -> None:
        if mark.age_s > MARK_MEMORY_S:
            return
        at = now - max(0.0, mark.age_s)
        if at < self._answers.get_last_time(mark.fingerprint):
            # The request was answered after the crash, so another request must
            # have caused the crash.
            return
        record = self._records.get(mark.fingerprint)
        if record is None or self._is_expired(record, now):
            self._evict_records(now)
            trusted = self._answers.is_recent(mark.fingerprint, now)
            record = _Record(marks={}, last_at=at, trusted=trusted)
            self._records[mark.fingerprint] = record
        suspected = record.marks.get(mark.crash_id, False) or mark.suspected
        record.marks[mark.crash_id] = suspected
        record.last_at = max(record.last_at, at)
        if now >= record.refused_until and _has_enough_marks(record):
            self._refuse(record, now)

    def _refuse(self, record: _Record, now: float) -> None:
        duration_s = min(REFUSAL_S * 2**record.refusals, MAX_REFUSAL_S)
        record.refused_until = now + duration_s
        record.refusals = min(record.refusals + 1, 16)
        record.trusted = False

    def _clear(self, fingerprint: bytes, now: float) -> None:
        self._answers.record(fingerprint, now)
        record = self._records.get(fingerprint)
        if record is not None and now >= record.refused_until:
            del self._records[fingerprint]

    def _is_expired(self, record: _Record, now: float) -> bool:
        since = max(record.last_at, record.refused_until)
        return now - since > MARK_MEMORY_S

    def _evict_records(self, now: float) -> None:
        if len(self._records) < MAX_RECORDS:
            return
        for fingerprint, record in tuple(self._records.items()):
            if self._is_expired(record, now):
                del self._records[fingerprint]
        if len(self._records) >= MAX_RECORDS:
            oldest = min(
                self._records,
                key=lambda each: max(
                    self._records[each].last_at,
                    self._records[each].refused_until,
                ),
            )
            del self._records[oldest]


def compute_fingerprint(
    *, method: str, service: str, route: str, target: str, body_digest: bytes
) -> bytes:
    """Returns the fingerprint of a request.

    It covers the target, since most requests without a body differ only there.

    Args:
      method: HTTP method.
      service: Name of the service.
      route: Name of the route.
      target: Path with the query string, as sent.
      body_digest: Digest of the whole body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (method, service, route, target):
        data = field.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(body_digest)
    return digest.digest()


def make_mark(
    *,
    server_id: str,
    incarnation: int,
    fingerprint: bytes,
    suspected: bool,
    age_s: float = 0.0,
) -> CrashMark:
    """Returns the mark of one request for one crash of a server."""
    instance = f"{server_id}#{incarnation}".encode()
    crash_id = hashlib.blake2b(instance, digest_size=CRASH_ID_BYTES).digest()
    flag = SUSPECTED if suspected else UNSUSPECTED
    return CrashMark(
        fingerprint=fingerprint,
        mark_id=crash_id + flag + fingerprint[:MARK_ID_FINGERPRINT_BYTES],
        age_s=age_s,
    )


def _make_marks(event: ServerDied) -> tuple[CrashMark, ...]:
    merged: dict[bytes, bool] = {}
    for running in event.running:
        was_suspected = merged.get(running.fingerprint, False)
        merged[running.fingerprint] = was_suspected or running.suspected
    return tuple(
        make_mark(
            server_id=event.server_id,
            incarnation=event.incarnation,
            fingerprint=fingerprint,
            suspected=suspected,
        )
        for fingerprint, suspected in merged.items()
    )


def _has_enough_marks(record: _Record) -> bool:
    needed = 1 if record.refusals else MARKS_TO_REFUSE
    if record.trusted:
        needed = UNSUSPECTED_MARKS_TO_REFUSE
    if len(record.marks) >= needed and any(record.marks.values()):
        return True
    return len(record.marks) >= UNSUSPECTED_MARKS_TO_REFUSE
