"""MessagePack codec for dataclass messages, one kind number for each class.

msgspec can't decode a union of untagged dataclasses, so each message is
encoded as the pair (kind, payload). A field that may hold one of several
classes has the type `bytes` and holds an encoded message of another registry.
"""

from typing import Any, Generic, TypeVar

import msgspec

from lovagesaddle.core import errors

T = TypeVar("T")

KIND_BYTES = 1
MAX_KINDS = 256


class Registry(Generic[T]):
    """Encodes and decodes a fixed set of message classes.

    Args:
      name: Name of the set, used in errors.
      kinds: Kind number to message class. A number is never reused for
        another class, since logs on disk contain the old numbers.
    """

    def __init__(self, *, name: str, kinds: dict[int, type[Any]]) -> None:
        self._name = name
        self._encoder = msgspec.msgpack.Encoder()
        self._number_of = {kind: number for number, kind in kinds.items()}
        self._decoder_of: dict[int, msgspec.msgpack.Decoder[Any]] = {
            number: msgspec.msgpack.Decoder(kind)
            for number, kind in kinds.items()
        }
        if len(self._number_of) != len(kinds) or max(kinds) >= MAX_KINDS:
            raise ValueError(f"registry {name}: kinds must be distinct bytes")

    def encode(self, message: T) -> bytes:
        """Returns the kind byte followed by the payload."""
        number = self._number_of[type(message)]
        return bytes((number,)) + self._encoder.encode(message)

    def decode(self, data: bytes, *, peer: str) -> T:
        """Returns the message in `data`.

        Args:
          data: A kind byte and its payload.
          peer: Source of the bytes, used in errors.

        Raises:
          errors.CodecError: The kind is unknown or the payload is malformed.
        """
        if len(data) <= KIND_BYTES:
            raise self._error(peer, "message is empty")
        decoder = self._decoder_of.get(data[0])
        if decoder is None:
            raise self._error(peer, f"kind {data[0]} is unknown")
        try:
            decoded: T = decoder.decode(memoryview(data)[KIND_BYTES:])
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise self._error(peer, str(error)) from error
        return decoded

    def name_kind(self, data: bytes) -> str:
        """Returns the class name of an encoded message, or "unknown"."""
        for kind, number in self._number_of.items():
            if data and number == data[0]:
                return kind.__name__
        return "unknown"

    def _error(self, peer: str, cause: str) -> errors.CodecError:
        return errors.CodecError(
            step=f"decode {self._name}", peer=peer, cause=cause
        )
