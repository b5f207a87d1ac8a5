"""Errors that cross the boundaries of the product's parts.

Every error names the step that failed and the peer it failed with.
"""

import dataclasses


class LovagesaddleError(Exception):
    """Base of all errors raised by this package.

    Attributes:
      step: The operation that failed, such as "decode message".
      peer: The process, file or server it failed with; "self" if none.
      cause: What went wrong, in one sentence.
    """

    def __init__(self, *, step: str, peer: str, cause: str) -> None:
        super().__init__(f"{step}: peer={peer}: {cause}")
        self.step = step
        self.peer = peer
        self.cause = cause


class CodecError(LovagesaddleError):
    """Raised for bytes that are not a known message; drop the message."""


class StorageError(LovagesaddleError):
    """Raised when a file can't be written, synced or trusted.

    The replica must stop: nothing may be answered as accepted afterwards.
    """


class DiskFullError(StorageError):
    """Raised when a file has no room.

    What was to be stored is not, and nothing of it may be answered; the same
    may be stored again once there is room.
    """


class ConsensusError(LovagesaddleError):
    """Raised when a replica's log contradicts its leader's.

    The replica must stop: its data folder or a leader's can't be trusted.
    """


class TransportError(LovagesaddleError):
    """Raised when a link can't be opened; check addresses and keys."""


class SettingsError(LovagesaddleError):
    """Raised for a settings file with mistakes; every mistake is listed."""


class DigestMismatchError(LovagesaddleError):
    """Raised when a delta's result differs from the announced digest.

    The follower keeps what it holds and asks for the full snapshot.
    """


class ChainError(LovagesaddleError):
    """Raised for malformed chain headers; the request is answered 400."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FileProblem:
    """One mistake in an INI file.

    Attributes:
      file: Name of the file as given by the operator.
      line: Line of the mistake, counted from 1; 0 when the file is missing.
      section: INI section, empty when the mistake is outside a section.
      key: INI key, empty when the mistake concerns the whole section.
      cause: What is wrong, in one sentence.
    """

    file: str
    line: int
    section: str
    key: str
    cause: str

    def format(self) -> str:
        """Returns `file:line: section/key: cause`."""
        return (
            f"{self.file}:{self.line}: {self.section}/{self.key}: {self.cause}"
        )
