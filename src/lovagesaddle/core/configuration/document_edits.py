"""Computes and applies edits of a document's bytes.

A document is split after each closing brace, which ends an object in the
formats that operators write. Pieces that also occur in the base document are
copied from there. The split positions affect the size of an edit but never
its result.
"""

import dataclasses
import itertools
import zlib

from lovagesaddle.core import errors
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import edits

_END_OF_PIECE = b"}"
# A copy instruction takes about this many bytes, so copying a shorter piece
# saves nothing.
MIN_COPY_BYTES = 32


@dataclasses.dataclass(slots=True)
class _SpliceBuilder:
    """A splice under construction.

    Attributes:
      start: Position of the copied bytes in the base, in bytes.
      length: Number of copied bytes.
      added: Pieces of the target that follow the copied bytes.
      next_piece: Index of the base's piece that would extend the copy.
    """

    start: int = 0
    length: int = 0
    added: list[bytes] = dataclasses.field(default_factory=list)
    next_piece: int = 0

    def build(self) -> edits.Splice:
        return edits.Splice(
            start=self.start, length=self.length, added=b"".join(self.added)
        )


def compute_edit(
    base: documents.Document, target: documents.Document
) -> edits.DocumentEdit:
    """Returns `target` as an edit of `base`."""
    return edits.DocumentEdit(
        serial=target.serial,
        base_serial=target.base_serial,
        splices=_compute_splices(base.content, target.content),
        checksum=zlib.crc32(target.content),
    )


def apply_edit(
    base: documents.Document, edit: edits.DocumentEdit
) -> documents.Document:
    """Applies `edit` to `base` and returns the resulting document.

    Raises:
      errors.ConsensusError: The checksum of the result doesn't match; the
        replica must stop.
    """
    content = b"".join(
        base.content[splice.start : splice.start + splice.length] + splice.added
        for splice in edit.splices
    )
    if zlib.crc32(content) != edit.checksum:
        raise errors.ConsensusError(
            step="edit document",
            peer="self",
            cause=f"document {edit.serial} does not follow from {base.serial}",
        )
    return documents.Document(
        serial=edit.serial, base_serial=edit.base_serial, content=content
    )


def _compute_splices(base: bytes, target: bytes) -> tuple[edits.Splice, ...]:
    base_pieces = _split(base)
    starts = list(itertools.accumulate(map(len, base_pieces), initial=0))
    index_of = {
        piece: index
        for index, piece in enumerate(base_pieces)
        if len(piece) >= MIN_COPY_BYTES
    }
    current = _SpliceBuilder()
    builders = [current]
    for piece in _split(target):
        if (
            not current.added
            and current.next_piece < len(base_pieces)
            and base_pieces[current.next_piece] == piece
        ):
            current.length += len(piece)
            current.next_piece += 1
            continue
        index = index_of.get(piece)
        if index is None:
            current.added.append(piece)
            continue
        current = _SpliceBuilder(
            start=starts[index], length=len(piece), next_piece=index + 1
        )
        builders.append(current)
    return tuple(
        builder.build()
        for builder in builders
        if builder.length or builder.added
    )


def _split(content: bytes) -> list[bytes]:
    """Splits `content` after each closing brace; the last piece is the rest."""
    *ended, last = content.split(_END_OF_PIECE)
    return [*(piece + _END_OF_PIECE for piece in ended), last]
