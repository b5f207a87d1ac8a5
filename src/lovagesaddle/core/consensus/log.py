"""The part of the log that a replica keeps in memory."""

import msgspec

from lovagesaddle.core.consensus import entries as entries_lib

KEPT_ENTRIES = 1000
KEPT_BYTES = 16 * 1024 * 1024

_MEMBERS_ENCODER = msgspec.msgpack.Encoder()
_MEMBERS_DECODER = msgspec.msgpack.Decoder(entries_lib.Members)


def encode_members(members: entries_lib.Members) -> bytes:
    """Returns the payload of a MEMBERS entry."""
    return _MEMBERS_ENCODER.encode(members)


def decode_members(payload: bytes) -> entries_lib.Members:
    """Returns the members in the payload of a MEMBERS entry."""
    return _MEMBERS_DECODER.decode(payload)


class Log:
    """Holds a snapshot, all entries after it and some entries before it.

    Entries that the snapshot includes are kept for followers that lag a
    little, so that these need no snapshot.

    Args:
      image: Newest snapshot.
      entries: Entries after the snapshot, without gaps.
    """

    def __init__(
        self,
        image: entries_lib.Image,
        entries: tuple[entries_lib.Entry, ...] = (),
    ) -> None:
        self._image = image
        self._base = (image.index, image.term)
        self._entries: list[entries_lib.Entry] = []
        self._members: list[tuple[int, entries_lib.Members]] = [
            (image.index, image.members)
        ]
        self.append(entries)

    @property
    def image(self) -> entries_lib.Image:
        """Newest snapshot."""
        return self._image

    @property
    def base_index(self) -> int:
        """Index just before the first entry in memory."""
        return self._base[0]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base[1]

    @property
    def members(self) -> entries_lib.Members:
        """The newest members, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that set the newest members."""
        return self._members[-1][0]

    def find_members(self, index: int) -> entries_lib.Members:
        """Returns the members as of `index`."""
        found = self._members[0][1]
        for at, members in self._members:
            if at <= index:
                found = members
        return found

    def find_term(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is not in memory."""
        if index == self.base_index:
            return self._base[1]
        position = index - self.base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def read(
        self, first: int, last: int, max_bytes: int | None = None
    ) -> tuple[entries_lib.Entry, ...]:
        """Returns entries `first` to `last`, at least one if there is any.

        Args:
          first: Index of the first entry; greater than `base_index`.
          last: Index of the last entry.
          max_bytes: Limit on the total size of the payloads, in bytes; a
            first entry that exceeds it is still returned.
        """
        start = first - self.base_index - 1
        chosen = self._entries[start : max(start, last - self.base_index)]
        if max_bytes is None:
            return tuple(chosen)
        size = 0
        for count, entry in enumerate(chosen):
            size += len(entry.payload)
            if size > max_bytes and count:
                return tuple(chosen[:count])
        return tuple(chosen)

    def append(self, entries: tuple[entries_lib.Entry, ...]) -> None:
        """Appends entries.

        Raises:
          ValueError: The entries don't directly follow the last one.
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} leaves a gap")
            self._entries.append(entry)
            if entry.kind is entries_lib.EntryKind.MEMBERS:
                members = decode_members(entry.payload)
                self._members.append((entry.index, members))

    def truncate(self, first: int) -> None:
        """Drops entry `first` and everything after it."""
        del self._entries[first - self.base_index - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= first:
            self._members.pop()

    def compact(self, index: int, data: bytes) -> entries_lib.Image:
        """Replaces the entries up to `index` with a snapshot.

        The newest of these entries are kept, up to `KEPT_ENTRIES` and
        `KEPT_BYTES`.

        Args:
          index: Last entry that the snapshot includes.
          data: The application's encoded state after that entry.

        Returns:
          The new snapshot.
        """
        image = entries_lib.Image(
            index=index,
            term=self._require_term(index),
            members=self.find_members(index),
            data=data,
        )
        self._image = image
        self._discard_up_to(self._compute_base(index))
        return image

    def install(self, image: entries_lib.Image) -> bool:
        """Installs a snapshot from the leader.

        Returns:
          Whether all entries were dropped, since the log does not hold the
          snapshot's last entry.
        """
        if self.find_term(image.index) == image.term:
            self._image = image
            return False
        self._image = image
        self._base = (image.index, image.term)
        self._entries.clear()
        self._members = [(image.index, image.members)]
        return True

    def _compute_base(self, index: int) -> int:
        """Returns the index up to which no entries are kept for followers."""
        base = index
        size = 0
        while base > max(self.base_index, index - KEPT_ENTRIES):
            size += len(self._entries[base - self.base_index - 1].payload)
            if size > KEPT_BYTES:
                break
            base -= 1
        return base

    def _discard_up_to(self, index: int) -> None:
        if index <= self.base_index:
            return
        members = self.find_members(index)
        later = [(at, held) for at, held in self._members if at > index]
        self._members = [(index, members), *later]
        term = self._require_term(index)
        del self._entries[: index - self.base_index]
        self._base = (index, term)

    def _require_term(self, index: int) -> int:
        term = self.find_term(index)
        if term is None:
            raise ValueError(f"entry {index} is not held")
        return term
