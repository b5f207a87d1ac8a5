"""The replicated state as bytes, for snapshots of the log.

Kept publications are stored as edits of the next newer one: most of them
differ in a few routes, and there are as many as the state keeps.
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

# An image of earlier releases is one MessagePack map of a few fields, whose
# first byte is this one or higher; kind numbers stay below.
FIRST_MAP_BYTE = 0x80
_OLD_DECODER = msgspec.msgpack.Decoder(state_lib.State)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredPublication:
    """A kept publication.

    Attributes:
      publication: Its line in the history.
      edit: What turns the services of the next newer publication, or those
        in force for the newest, into its own.
    """

    publication: operator_messages.Publication
    edit: edits.ServicesEdit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredState:
    """The state with its publications as edits.

    Attributes:
      snapshot: As in the state.
      publications: Newest first.
      results: As in the state.
      document: As in the state.
    """

    snapshot: snapshots.Snapshot
    publications: tuple[StoredPublication, ...]
    results: tuple[state_lib.ResultRecord, ...]
    document: documents.Document | None


_IMAGES: codec.Registry[StoredState] = codec.Registry(
    name="state image", kinds={1: StoredState}
)


def encode_state(state: state_lib.State) -> bytes:
    """Returns the bytes that `decode_state` reads."""
    services = state.snapshot.services
    stored: list[StoredPublication] = []
    for kept in reversed(state.publications):
        edit = service_edits.compute_edit(services, kept.services)
        stored.append(
            StoredPublication(publication=kept.publication, edit=edit)
        )
        services = kept.services
    return _IMAGES.encode(
        StoredState(
            snapshot=state.snapshot,
            publications=tuple(stored),
            results=state.results,
            document=state.document,
        )
    )


def decode_state(data: bytes) -> state_lib.State:
    """Returns the state in an image, also in one of an earlier release.

    Raises:
      errors.ConsensusError: It is malformed; the replica must stop.
    """
    try:
        if data and data[0] >= FIRST_MAP_BYTE:
            return _OLD_DECODER.decode(data)
        return _unfold(_IMAGES.decode(data, peer="snapshot"))
    except errors.CodecError as error:
        raise _refuse(error.cause) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise _refuse(str(error)) from error


def _unfold(stored: StoredState) -> state_lib.State:
    services = stored.snapshot.services
    kept: list[state_lib.PublicationRecord] = []
    for publication in stored.publications:
        services = service_edits.apply_edit(services, publication.edit)
        kept.append(
            state_lib.PublicationRecord(
                publication=publication.publication, services=services
            )
        )
    return state_lib.State(
        snapshot=stored.snapshot,
        publications=tuple(reversed(kept)),
        results=stored.results,
        document=stored.document,
    )


def _refuse(cause: str) -> errors.ConsensusError:
    # No CodecError: whoever drops messages that it can't read must not go on.
    return errors.ConsensusError(
        step="decode snapshot", peer="self", cause=cause
    )
