"""Hashes a node incarnation to a short token, which acks carry for it."""

import hashlib

TOKEN_BYTES = 6


def make_token(node_id: str, incarnation: int) -> bytes:
    """Returns a hash of `TOKEN_BYTES` that identifies a node's incarnation."""
    text = f"{node_id}/{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=TOKEN_BYTES).digest()


def split_tokens(joined: bytes) -> tuple[bytes, ...]:
    """Splits concatenated tokens; a truncated one at the end is dropped."""
    whole = len(joined) - len(joined) % TOKEN_BYTES
    return tuple(
        joined[start : start + TOKEN_BYTES]
        for start in range(0, whole, TOKEN_BYTES)
    )
