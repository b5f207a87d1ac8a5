"""Applies the log to the replicated state and makes snapshots of it."""

from lovagesaddle.control import state_images
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import command_codec
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.model import commands


class ReplicatedState:
    """Holds the state that results from applying committed entries in order."""

    def __init__(self) -> None:
        self._state = state_lib.make_initial_state()
        self._hashed = state_lib.make_initial_snapshot()
        self._log_bytes = 0

    @property
    def state(self) -> state_lib.State:
        """The state after the last applied entry."""
        return self._state

    @property
    def version(self) -> int:
        """Index of the last applied entry."""
        return self._state.snapshot.version

    @property
    def log_bytes(self) -> int:
        """Size of the entries applied since the last snapshot, in bytes."""
        return self._log_bytes

    @property
    def hashed(self) -> delta.HashedSnapshot:
        """The configuration snapshot of the state, with its digest."""
        if self._hashed.snapshot is not self._state.snapshot:
            self._hashed = state_lib.rehash_state(self._hashed, self._state)
        return self._hashed

    def apply(self, entries: tuple[entries_lib.Entry, ...]) -> None:
        """Applies entries that directly follow the last applied one.

        Raises:
          errors.ConsensusError: An entry is out of order or can't be applied;
            the replica must stop.
        """
        for entry in entries:
            if entry.index != self.version + 1:
                raise errors.ConsensusError(
                    step="apply entry",
                    peer="self",
                    cause=f"entry {entry.index} follows {self.version}",
                )
            applied = state_lib.apply_command(
                self._state, entry.index, self._decode(entry)
            )
            self._state = applied.state
            self._log_bytes += len(entry.payload)

    def restore(self, image: entries_lib.Image) -> None:
        """Replaces the state by the one in a snapshot of the log.

        Raises:
          errors.ConsensusError: The snapshot is malformed; the replica must
            stop.
        """
        if image.index == 0:
            return
        self._log_bytes = 0
        self._state = state_lib.set_snapshot_publication(
            state_images.decode_state(image.data)
        )
        self._hashed = delta.hash_snapshot(self._state.snapshot)

    def encode(self) -> bytes:
        """Returns the encoded state, for a snapshot of the log."""
        self._log_bytes = 0
        return state_images.encode_state(self._state)

    def encode_command(self, command: commands.StoredCommand) -> bytes:
        """Returns the payload of an entry that carries `command`."""
        stored = publication_edits.to_stored_command(self._state, command)
        return command_codec.encode(stored)

    def _decode(self, entry: entries_lib.Entry) -> commands.Command | None:
        if entry.kind is not entries_lib.EntryKind.COMMAND:
            return None
        stored = command_codec.decode(
            entry.payload, peer=f"entry {entry.index}"
        )
        return publication_edits.from_stored_command(self._state, stored)
