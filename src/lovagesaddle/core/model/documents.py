"""Defines the document that a publication was made from."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A published document, as its operator wrote it, with its serial.

    Serials are numbers chosen by the operator. A publication with a document
    is accepted only if `base_serial` is the serial in force and `serial` is
    higher.

    Attributes:
      serial: Number that the operator gave to the document.
      base_serial: Serial of the document that this one is based on; 0 for
        the first document.
      content: Bytes of the document; empty if a later publication had no
        document.
    """

    serial: int
    base_serial: int
    content: bytes
