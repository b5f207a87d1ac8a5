"""Records of the segment files."""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core.consensus import entries as entries_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """Says that the segment is synced up to an offset, in bytes."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reset:
    """Says that only a snapshot precedes what follows.

    Attributes:
      index: Index of the snapshot.
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
