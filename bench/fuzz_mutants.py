"""Deliberately broken rules that the schedules have to detect."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
from unittest import mock

from bench import fuzz_schedule
from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import follower
from lovagesaddle.core.consensus import messages
from lovagesaddle.core.consensus import replica
from lovagesaddle.core.consensus import votes

Break = Callable[[], contextlib.AbstractContextManager[object]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """A rule that is broken on purpose.

    Attributes:
      name: Broken behaviour, as printed.
      break_rule: Makes a context manager in which the rule is broken.
      options: Options of the schedules that run with it.
    """

    name: str
    break_rule: Break
    options: fuzz_schedule.Options = fuzz_schedule.DEFAULTS


def _count_stale_votes() -> contextlib.AbstractContextManager[object]:
    return mock.patch.object(votes.Votes, "_is_current", lambda *_: True)


@contextlib.contextmanager
def _answer_before_sync() -> Iterator[None]:
    def send_at_once(
        self: durable_state.DurableState, send: events.Send
    ) -> None:
        self._unsent.append((0, send))

    with mock.patch.object(
        durable_state.DurableState, "send_after_sync", send_at_once
    ):
        yield


def _skip_term_check() -> contextlib.AbstractContextManager[object]:
    return mock.patch.object(replica.Replica, "_may_commit", lambda *_: True)


def _date_by_arrival() -> contextlib.AbstractContextManager[object]:
    """Takes a leader's message for as new as the follower's last answer."""

    def date_commit(
        self: follower.Follower, request: messages.AppendRequest, commit: int
    ) -> None:
        del commit
        if request.confirmed_age_s is not None and self._echoes.last_sent_at:
            self._current_at = self._echoes.last_sent_at

    return mock.patch.object(follower.Follower, "_date_commit", date_commit)


MUTANTS = (
    Mutant(name="count a stale vote", break_rule=_count_stale_votes),
    Mutant(name="answer before sync", break_rule=_answer_before_sync),
    Mutant(name="skip the term check on commit", break_rule=_skip_term_check),
    Mutant(
        name="date a commit by its arrival",
        break_rule=_date_by_arrival,
    ),
    Mutant(
        name="let an empty disk vote",
        break_rule=contextlib.nullcontext,
        options=fuzz_schedule.Options(keeps_identity=True),
    ),
)
