"""Exceptions of the package, and mistakes found in INI files.

Every exception names the step that failed and the peer involved.
"""

import dataclasses


class LovagesaddleError(Exception):
    """Base of all errors raised by this package.

    Attributes:
      step: The operation that failed, such as "decode message".
      peer: The process, file or server involved; "self" if none.
      cause: What went wrong, in one sentence.
    """

    def __init__(self, *, step: str, peer: str, cause: str) -> None:
        super().__init__(f"{step}: peer={peer}: {cause}")
        self.step = step
        self.peer = peer
        self.cause = cause


class CodecError(LovagesaddleError):
    """Raised for bytes that are no known message; the receiver drops them."""


class StorageError(LovagesaddleError):
    """Raised when a file can't be written or synced, or is corrupt.

    The replica must stop, and answer nothing as accepted afterwards.
    """


class DiskFullError(StorageError):
    """Raised when the disk has no space for a write.

    The data is not stored, so nothing that depends on it may be answered. The
    same write may be retried once there is space.
    """


class ConsensusError(LovagesaddleError):
    """Raised when a replica's log conflicts with the log of the cluster.

    The replica must stop, since its data folder or a leader's is not reliable.
    """


class TransportError(LovagesaddleError):
    """Raised when a connection can't be opened; check addresses and keys."""


class SettingsError(LovagesaddleError):
    """Raised for an invalid settings file; lists every mistake."""


class DigestMismatchError(LovagesaddleError):
    """Raised when the result of a delta does not match the announced digest.

    The follower keeps its current snapshot and requests the full one.
    """


class ChainError(LovagesaddleError):
    """Raised for malformed chain headers; the request is answered with 400."""


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
