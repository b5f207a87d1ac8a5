"""Computes and applies edits of a document's bytes.

A document is cut behind each closing brace, which ends an object in the
formats that operators write. Pieces that the base has are copied from there.
Where to cut matters for the size of an edit only, never for its result.
"""

import dataclasses
import itertools
import zlib

from lovagesaddle.core import errors
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import edits

_END_OF_PIECE = b"}"
# A copy costs about so many bytes itself.
MIN_COPY_BYTES = 32


@dataclasses.dataclass(slots=True)
class _Run:
    """What one splice is made of.

    Attributes:
      start: Position of the copy in the base, in bytes.
      length: Its length, in bytes.
      added: Pieces that follow it.
      next_piece: Piece of the base that would extend the copy.
    """

    start: int = 0
    length: int = 0
    added: list[bytes] = dataclasses.field(default_factory=list)
    next_piece: int = 0

    def to_splice(self) -> edits.Splice:
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
        splices=_splice(base.content, target.content),
        checksum=zlib.crc32(target.content),
    )


def apply_edit(
    base: documents.Document, edit: edits.DocumentEdit
) -> documents.Document:
    """Returns the document that `edit` stands for.

    Raises:
      errors.ConsensusError: The result is another one; the replica must stop.
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


def _splice(base: bytes, target: bytes) -> tuple[edits.Splice, ...]:
    held = _cut(base)
    starts = list(itertools.accumulate(map(len, held), initial=0))
    position_of = {
        piece: position
        for position, piece in enumerate(held)
        if len(piece) >= MIN_COPY_BYTES
    }
    run = _Run()
    runs = [run]
    for piece in _cut(target):
        if (
            not run.added
            and run.next_piece < len(held)
            and held[run.next_piece] == piece
        ):
            run.length += len(piece)
            run.next_piece += 1
            continue
        position = position_of.get(piece)
        if position is None:
            run.added.append(piece)
            continue
        run = _Run(
            start=starts[position], length=len(piece), next_piece=position + 1
        )
        runs.append(run)
    return tuple(run.to_splice() for run in runs if run.length or run.added)


def _cut(content: bytes) -> list[bytes]:
    """Returns pieces that make up `content`, each up to a closing brace."""
    *ended, last = content.split(_END_OF_PIECE)
    return [*(piece + _END_OF_PIECE for piece in ended), last]
