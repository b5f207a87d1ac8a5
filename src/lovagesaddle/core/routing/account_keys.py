"""Keys of client accounts, as requests carry them.

A key is reduced to its digest as soon as it is read, and nothing else here or
further on holds it. Digests are looked up in a hash table: the time that this
takes depends on the digest, from which nobody can work towards a key.
"""

import dataclasses
import enum
import hashlib

from lovagesaddle.core.model import services

SCHEME = "token"
DIGEST_PREFIX = "sha256:"
# Longer than any key in use; bounds what is hashed for a request.
MAX_KEY_CHARACTERS = 512
# Enough of a digest to tell the keys of one account apart.
KEY_ID_BYTES = 4


class KeyForm(enum.Enum):
    """What a request carries as its account's key."""

    ABSENT = "absent"
    OTHER_SCHEME = "other-scheme"
    MALFORMED = "malformed"
    WELL_FORMED = "well-formed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountKey:
    """A key as received.

    Attributes:
      form: What the request carries.
      digest: `sha256:<hex>` of a well-formed key, else empty.
    """

    form: KeyForm
    digest: str = ""

    @property
    def key_id(self) -> bytes:
        """Start of the digest, which other nodes know the key by."""
        return make_key_id(self.digest)


NO_KEY = AccountKey(form=KeyForm.ABSENT)


def is_valid_key(key: str) -> bool:
    """Returns whether a request can carry a key."""
    return (
        0 < len(key) <= MAX_KEY_CHARACTERS
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )


def compute_digest(key: str) -> str:
    """Returns `sha256:<hex>` of a valid key."""
    return DIGEST_PREFIX + hashlib.sha256(key.encode("ascii")).hexdigest()


def make_key_id(digest: str) -> bytes:
    """Returns the start of a digest `sha256:<hex>`; empty for an empty one."""
    start = len(DIGEST_PREFIX)
    return bytes.fromhex(digest[start : start + 2 * KEY_ID_BYTES])


def parse_header(header: str) -> AccountKey:
    """Returns the key of an Authorization header; empty for no header.

    Several such headers arrive here as one, joined by a comma and a space, so
    that no key is read from them.
    """
    scheme, _, rest = header.strip(" \t").partition(" ")
    if not scheme:
        return NO_KEY
    if scheme.lower() != SCHEME:
        return AccountKey(form=KeyForm.OTHER_SCHEME)
    key = rest.lstrip(" ")
    if not is_valid_key(key):
        return AccountKey(form=KeyForm.MALFORMED)
    return AccountKey(form=KeyForm.WELL_FORMED, digest=compute_digest(key))


class AccountIndex:
    """Client accounts by the digests of their keys, and by name.

    Args:
      accounts: The accounts. No two of them share a key.
    """

    def __init__(self, accounts: tuple[services.ClientAccount, ...]) -> None:
        self.accounts = accounts
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.digests
        }
        self._key_ids = {
            account.name: frozenset(
                make_key_id(digest) for digest in account.digests
            )
            for account in accounts
        }

    def find(self, key: AccountKey) -> services.ClientAccount | None:
        """Returns the account that holds a key, or None."""
        return self._by_digest.get(key.digest) if key.digest else None

    def holds(self, name: str, key_id: bytes) -> bool:
        """Returns whether an account holds the key with the given ID."""
        return key_id in self._key_ids.get(name, frozenset())
