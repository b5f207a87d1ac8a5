"""Checks the data folder of a replica that is not running."""

import dataclasses
import pathlib

import msgspec

from lovagesaddle.control import replicated_state
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import command_codec
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import log as log_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import loader


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Contents of an undamaged data folder.

    Attributes:
      identity: Identity of the replica that owns it.
      term: Newest consensus term.
      snapshot_version: Version of the last entry in the snapshot; 0 without a
        snapshot.
      first_version: Version of the first entry after the snapshot; 0 if
        there is none.
      last_version: Version of the last entry, committed or not.
      segments: Number of segment files.
      torn_bytes: Length of the unsynced tail that the next start of the replica
        truncates, in bytes.
    """

    identity: identity_lib.Identity
    term: int
    snapshot_version: int
    first_version: int
    last_version: int
    segments: int
    torn_bytes: int


def verify_folder(folder: pathlib.Path) -> Report:
    """Reads every byte of a data folder and decodes every entry.

    Raises:
      errors.StorageError: The folder is in use, is not that of a replica, or is
        damaged.
      errors.CodecError: A record can't be decoded.
    """
    if not (folder / identity_lib.IDENTITY_NAME).is_file():
        raise errors.StorageError(
            step="verify folder",
            peer=str(folder),
            cause="it is not the data folder of a replica",
        )
    with identity_lib.FolderLock(folder):
        identity = identity_lib.read_identity(folder)
        loaded = loader.load_folder(folder)
    assert identity is not None
    restored = loaded.restored
    _decode_entries(folder, restored)
    versions = [entry.index for entry in restored.entries]
    return Report(
        identity=identity,
        term=restored.hard_state.term,
        snapshot_version=restored.image.index,
        first_version=versions[0] if versions else 0,
        last_version=versions[-1] if versions else restored.image.index,
        segments=len(loaded.segments),
        torn_bytes=loaded.segments[-1].torn_bytes,
    )


def _decode_entries(
    folder: pathlib.Path, restored: entries_lib.RestoredState
) -> None:
    machine = replicated_state.ReplicatedState()
    try:
        machine.restore(restored.image)
        for entry in restored.entries:
            if entry.kind is entries_lib.EntryKind.COMMAND:
                peer = f"{folder} entry {entry.index}"
                command_codec.decode(entry.payload, peer=peer)
            elif entry.kind is entries_lib.EntryKind.MEMBERS:
                log_lib.decode_members(entry.payload)
    except (msgspec.DecodeError, errors.ConsensusError) as error:
        raise errors.StorageError(
            step="verify folder", peer=str(folder), cause=str(error)
        ) from error
