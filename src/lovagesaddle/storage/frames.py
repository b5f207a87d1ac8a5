"""Encodes checksummed, length-prefixed frames and file headers on disk.

A frame consists of a marker, the payload's length, a CRC-32 over length and
payload, and the payload. The marker lets a reader find intact frames after a
damaged one, to distinguish damage in synced data from a torn tail.
"""

from collections.abc import Iterator
import dataclasses
import struct
import zlib

from lovagesaddle.core import errors

FORMAT_VERSION = 1
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024

_HEADER = struct.Struct(">8sI")
_MAGIC = b"lvgsaddl"
HEADER_BYTES = _HEADER.size

_MARKER = b"\xf5LVF"
_FRAME = struct.Struct(">4sII")
_LENGTH = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Frame:
    """An intact frame of a file.

    Attributes:
      start: Offset of its first byte.
      end: Offset after its last byte.
      payload: The encoded record.
    """

    start: int
    end: int
    payload: bytes


def encode_header() -> bytes:
    """Returns the header for the start of a file."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION)


def check_header(data: bytes, path: str) -> None:
    """Checks that `data` starts with a header of this format.

    Raises:
      errors.StorageError: The file was not written by this program, or in
        another format version.
    """
    cause = ""
    if len(data) < HEADER_BYTES:
        cause = "file is shorter than its header"
    else:
        magic, version = _HEADER.unpack_from(data)
        if magic != _MAGIC:
            cause = "file was not written by lovagesaddle"
        elif version != FORMAT_VERSION:
            cause = f"format version {version} is not {FORMAT_VERSION}"
    if cause:
        raise errors.StorageError(step="read header", peer=path, cause=cause)


def encode_frame(payload: bytes) -> bytes:
    """Returns the frame that holds `payload`."""
    length = len(payload)
    return _FRAME.pack(_MARKER, length, _checksum(length, payload)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Returns the frame at `offset`, or None if it isn't intact."""
    if len(data) - offset < _FRAME.size:
        return None
    marker, length, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    end = start + length
    if marker != _MARKER or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(length, payload) != checksum:
        return None
    return Frame(start=offset, end=end, payload=payload)


def read_frames(data: bytes, offset: int) -> Iterator[Frame]:
    """Yields the frames from `offset` up to the first one not intact."""
    frame = read_frame(data, offset)
    while frame is not None:
        yield frame
        frame = read_frame(data, frame.end)


def scan_frames(data: bytes, offset: int) -> Iterator[Frame]:
    """Yields every intact frame from `offset` on, skipping damaged data."""
    position = data.find(_MARKER, offset)
    while position >= 0:
        frame = read_frame(data, position)
        if frame is not None:
            yield frame
        next_offset = position + 1 if frame is None else frame.end
        position = data.find(_MARKER, next_offset)


def _checksum(length: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_LENGTH.pack(length)))
