"""Generates, writes, reads and checks CurveZMQ keys."""

import collections
import dataclasses
import os
import pathlib

import zmq

from lovagesaddle.core import errors
from lovagesaddle.settings import schema

KEY_CHARACTERS = 40
SECRET_FILE_MODE = 0o600
PUBLIC_PREFIX = "public "
SECRET_PREFIX = "secret "
COMMENT_PREFIX = "#"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyPair:
    """Key pair of a process, both keys encoded as Z85.

    Attributes:
      public: Public key, which other processes allow and connect to.
      secret: Secret key, which is stored only in the process's own file.
    """

    public: str
    secret: str = dataclasses.field(repr=False)


def generate_keys() -> KeyPair:
    """Generates a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public.decode(), secret=secret.decode())


def write_keys(path: pathlib.Path, pair: KeyPair) -> None:
    """Writes a key pair to a new file that only its owner can read.

    Raises:
      errors.SettingsError: The file already exists or can't be written.
    """
    text = f"{PUBLIC_PREFIX}{pair.public}\n{SECRET_PREFIX}{pair.secret}\n"
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, SECRET_FILE_MODE), "w") as file:
            file.write(text)
    except OSError as error:
        raise _make_error("write keys", path, str(error)) from error


def read_keys(path: pathlib.Path) -> KeyPair:
    """Reads a file that `write_keys` wrote.

    Raises:
      errors.SettingsError: The file can't be read or its keys don't match.
    """
    lines = _read_lines(path)
    found = {line[: len(PUBLIC_PREFIX)]: line[7:].strip() for line in lines}
    public, secret = found.get(PUBLIC_PREFIX), found.get(SECRET_PREFIX)
    if public is None or secret is None:
        raise _make_error(
            "read keys", path, "a public or secret key is missing"
        )
    try:
        matching = zmq.curve_public(secret.encode()).decode() == public
    except (ValueError, zmq.ZMQError):
        matching = False
    if not matching:
        raise _make_error(
            "read keys", path, "the public key does not match the secret key"
        )
    return KeyPair(public=public, secret=secret)


class AllowedKeys:
    """Maps the public keys that may connect to the processes that own them.

    Each line of the file holds a key and the ID of its process. A process may
    have several keys, for example during a rotation. A changed file is read
    again when the next link opens.

    Args:
      path: File of the allowed keys.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._read_mtime_ns = -1
        self._owners: dict[str, str] = {}
        self._refresh()

    def find_owner(self, public_key: str) -> str | None:
        """Returns the ID of the process that owns a key, or None."""
        self._refresh()
        return self._owners.get(public_key)

    def _refresh(self) -> None:
        try:
            mtime_ns = self._path.stat().st_mtime_ns
        except OSError as error:
            raise _make_error("read keys", self._path, str(error)) from error
        if mtime_ns != self._read_mtime_ns:
            self._owners = _parse_allowed(self._path)
            self._read_mtime_ns = mtime_ns


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkKeys:
    """Keys of a process for encrypted links.

    Attributes:
      pair: Key pair of the process.
      allowed: Keys that may connect to it.
    """

    pair: KeyPair
    allowed: AllowedKeys


def load(settings: schema.KeySettings) -> LinkKeys | None:
    """Reads the key files of the settings.

    Returns:
      None if no secret key file is set; links are then unencrypted.

    Raises:
      errors.SettingsError: A file is missing or damaged.
    """
    if not settings.secret_key_file:
        return None
    return LinkKeys(
        pair=read_keys(pathlib.Path(settings.secret_key_file)),
        allowed=AllowedKeys(pathlib.Path(settings.allowed_keys_file)),
    )


def _parse_allowed(path: pathlib.Path) -> dict[str, str]:
    owners: dict[str, str] = {}
    counts: collections.Counter[str] = collections.Counter()
    for number, line in enumerate(_read_lines(path), start=1):
        words = line.split(maxsplit=2)
        if not words or words[0] == COMMENT_PREFIX:
            continue
        if not _is_entry(words):
            cause = f"line {number}: expected a key and a process ID"
            raise _make_error("read keys", path, cause)
        owners[words[0]] = words[1]
        counts[words[0]] += 1
    duplicates = [key for key, count in counts.items() if count > 1]
    if duplicates:
        cause = f"key {duplicates[0]} is listed twice"
        raise _make_error("read keys", path, cause)
    return owners


def _is_entry(words: list[str]) -> bool:
    # A key may contain the comment character, so only a separate word starts
    # a comment.
    is_pair = len(words) >= 2 and len(words[0]) == KEY_CHARACTERS
    return is_pair and (len(words) == 2 or words[2].startswith(COMMENT_PREFIX))


def _read_lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise _make_error("read keys", path, str(error)) from error


def _make_error(
    step: str, path: pathlib.Path, cause: str
) -> errors.SettingsError:
    return errors.SettingsError(step=step, peer=str(path), cause=cause)
