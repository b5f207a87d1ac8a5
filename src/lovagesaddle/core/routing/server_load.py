"""What a backend server tells of its own load in an answer.

The value is `running,waiting,slots` or `running,waiting,slots,percent`. The
fourth figure says how long work takes on the server's machine at this moment,
in percent of the usual.
"""

import dataclasses

from lovagesaddle.core.model import snapshots

SEPARATOR = ","
FIELDS_WITHOUT_SLOWDOWN = 3
FIELDS_WITH_SLOWDOWN = 4
MAX_DIGITS = 6
PERCENT = 100
# A machine that is a hundred times slower than usual is taken for a mistake.
MAX_SLOWDOWN_PERCENT = 100 * PERCENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoad:
    """Load of a backend server as the server itself tells it.

    Attributes:
      running: Number of requests that it runs.
      waiting: Number of requests that wait at it for a slot.
      slots: Number of requests that it runs at a time.
      slowdown: Factor by which work takes longer there now than usual; None
        if it doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


def parse_server_load(text: str) -> ServerLoad | None:
    """Returns the load that a header states; None if it can't be true.

    The header is only a hint, so one that is malformed or contradicts itself
    is not an error.
    """
    fields = [field.strip() for field in text.split(SEPARATOR)]
    if len(fields) not in (FIELDS_WITHOUT_SLOWDOWN, FIELDS_WITH_SLOWDOWN):
        return None
    if not all(
        field.isascii() and field.isdigit() and len(field) <= MAX_DIGITS
        for field in fields
    ):
        return None
    running, waiting, slots, *percents = map(int, fields)
    if not 1 <= slots <= snapshots.MAX_SLOTS or running > slots:
        return None
    if not percents:
        return ServerLoad(running=running, waiting=waiting, slots=slots)
    if not 1 <= percents[0] <= MAX_SLOWDOWN_PERCENT:
        return None
    return ServerLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=percents[0] / PERCENT,
    )
