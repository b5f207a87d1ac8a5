"""The part of the log that a replica holds in memory."""

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
    """A snapshot, some entries before its index and all entries after it.

    Entries before the snapshot's index are kept for followers that lag a
    little.

    Args:
      image: Newest snapshot.
      entries: Entries after it, without gaps.
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
        """Index before the first entry that is held."""
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
        """Index of the entry that brought the newest members."""
        return self._members[-1][0]

    def find_members(self, index: int) -> entries_lib.Members:
        """Returns the members as of `index`."""
        found = self._members[0][1]
        for at, members in self._members:
            if at <= index:
                found = members
        return found

    def find_term(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is not held."""
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
          first: Index after `base_index`.
          last: Index up to which to read.
          max_bytes: Stop before the payloads exceed this.
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
        """Adds entries that follow the last one."""
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
        """Takes a snapshot of the entries up to `index`, and drops old ones."""
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
        """Takes a snapshot from the leader.

        Returns:
          Whether later entries were dropped, since they don't follow it.
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
        """Returns the index up to which entries are not kept for followers."""
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
