"""Digests of keys and requests, and the shard of a key."""

import hashlib

DIGEST_BYTES = 16
MAX_KEY_CHARS = 255
KEY_HEADER = "Idempotency-Key"


def compute_claim_id(*, service: str, client: str, key: str) -> bytes:
    """Returns the ID of a claim.

    The client is part of the ID, so that callers can't read each other's
    answers by guessing keys.

    Args:
      service: Name of the service.
      client: Name of the sending caller or service, prefixed with its kind.
      key: Value of the Idempotency-Key header.
    """
    return _digest(service.encode(), client.encode(), key.encode())


def compute_request_digest(
    *, method: str, target: str, body_digest: bytes
) -> bytes:
    """Returns the digest that distinguishes a resend from another request.

    Args:
      method: HTTP method.
      target: Request target.
      body_digest: Digest of the body.
    """
    return _digest(method.encode(), target.encode(), body_digest)


def compute_shard(claim_id: bytes, shard_count: int) -> int:
    """Returns the number of the shard that holds the claim."""
    return int.from_bytes(claim_id[:8], "big") % shard_count


def is_valid_key(key: str) -> bool:
    """Returns whether a header value is allowed as a key."""
    return 0 < len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def _digest(*fields: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(4, "big") + field)
    return digest.digest()
