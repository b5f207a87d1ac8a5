"""Short names of node incarnations for acks."""

import hashlib

TOKEN_BYTES = 6


def make_token(node_id: str, incarnation: int) -> bytes:
    """Returns the `TOKEN_BYTES` that stand for one life of a node."""
    text = f"{node_id}/{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=TOKEN_BYTES).digest()


def split_tokens(joined: bytes) -> tuple[bytes, ...]:
    """Returns the tokens of a concatenation; a cut-off one is left out."""
    whole = len(joined) - len(joined) % TOKEN_BYTES
    return tuple(
        joined[start : start + TOKEN_BYTES]
        for start in range(0, whole, TOKEN_BYTES)
    )
