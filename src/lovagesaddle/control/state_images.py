"""Encodes the replicated state as the content of a snapshot (a state image).

The files that hold snapshots are written and read by `storage.images`.

Each publication of the history is stored as an edit of the next newer one,
since most of them differ in a few routes only and the state keeps many.
"""

import dataclasses

import msgspec

from lovagesaddle.core import codec
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import service_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import edits
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import snapshots

# An image of an earlier release is a single MessagePack map of a few fields.
# The first byte of such a map is this value or higher. An image of this release
# starts with a kind number, which is always lower.
FIRST_MAP_BYTE = 0x80
_EARLIER_DECODER = msgspec.msgpack.Decoder(state_lib.State)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredPublication:
    """A publication of the history.

    Attributes:
      publication: Its entry in the history.
      edit: Edit that turns the services of the next newer publication into
        its own. For the newest publication it applies to the services of the
        snapshot.
    """

    publication: operator_messages.Publication
    edit: edits.ServicesEdit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredState:
    """The replicated state with its publications stored as edits.

    Attributes:
      snapshot: Configuration snapshot, as in `State`.
      publications: Publications of the history, newest first.
      results: Results of recent publishes, as in `State`.
      document: Published document, as in `State`.
      kinds: Additional kinds of routes, as in `State`.
    """

    snapshot: snapshots.Snapshot
    publications: tuple[StoredPublication, ...]
    results: tuple[state_lib.ResultRecord, ...]
    document: documents.Document | None
    kinds: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET


_IMAGES: codec.Registry[StoredState] = codec.Registry(
    name="state image", kinds={1: StoredState}
)


def encode_state(state: state_lib.State) -> bytes:
    """Encodes a state as an image that `decode_state` reads."""
    services = state.snapshot.services
    stored: list[StoredPublication] = []
    for record in reversed(state.publications):
        edit = service_edits.compute_edit(services, record.services)
        stored.append(
            StoredPublication(publication=record.publication, edit=edit)
        )
        services = record.services
    return _IMAGES.encode(
        StoredState(
            snapshot=state.snapshot,
            publications=tuple(stored),
            results=state.results,
            document=state.document,
            kinds=state.kinds,
        )
    )


def decode_state(data: bytes) -> state_lib.State:
    """Decodes an image, including one of an earlier release.

    Raises:
      errors.ConsensusError: The image is malformed; the replica must stop.
    """
    try:
        if data and data[0] >= FIRST_MAP_BYTE:
            return _EARLIER_DECODER.decode(data)
        return _to_state(_IMAGES.decode(data, peer="snapshot"))
    except errors.CodecError as error:
        raise _make_error(error.cause) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise _make_error(str(error)) from error


def _to_state(stored: StoredState) -> state_lib.State:
    services = stored.snapshot.services
    records: list[state_lib.PublicationRecord] = []
    for publication in stored.publications:
        services = service_edits.apply_edit(services, publication.edit)
        records.append(
            state_lib.PublicationRecord(
                publication=publication.publication, services=services
            )
        )
    return state_lib.State(
        snapshot=stored.snapshot,
        publications=tuple(reversed(records)),
        results=stored.results,
        document=stored.document,
        kinds=stored.kinds,
    )


def _make_error(cause: str) -> errors.ConsensusError:
    # Not a CodecError: the handlers of CodecError drop a malformed message and
    # continue, but a replica with a malformed image must stop.
    return errors.ConsensusError(
        step="decode snapshot", peer="self", cause=cause
    )
