"""The text that a publication was made from, as its operator wrote it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A published document with the operator's own numbering.

    A publication with a document is judged by serials: its base must be the
    serial that is in force, and its own must be higher.

    Attributes:
      serial: Number that the operator gave it.
      base_serial: Serial that it builds on; 0 for the first document.
      content: Its bytes; empty when a later publication brought none.
    """

    serial: int
    base_serial: int
    content: bytes
