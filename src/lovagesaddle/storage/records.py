"""Types of the records in segment files."""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core.consensus import entries as entries_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """Records that the segment is synced up to an offset, in bytes."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reset:
    """Discards all entries before this record, as a snapshot replaced them.

    Attributes:
      index: Index of the last entry in the snapshot.
    """

    index: int


Record = entries_lib.Entry | entries_lib.HardState | Mark | Reset

RECORDS: codec.Registry[Record] = codec.Registry(
    name="segment record",
    kinds={
        1: entries_lib.Entry,
        2: entries_lib.HardState,
        3: Mark,
        4: Reset,
    },
)
