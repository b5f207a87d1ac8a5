"""Tests of the signed envelopes between nodes."""

from lovagesaddle.core import errors
from lovagesaddle.core.model import services
from lovagesaddle.http import hop
from tests import fixtures

REQUEST = hop.RunRequest(
    attempt_id="a.1",
    server_id="n1/orderdesk",
    incarnation=3,
    method="POST",
    target="/x?y",
    headers=(("host", "h"),),
    body=b"body",
    remaining_ms=10,
    priority=services.Priority.URGENT,
    fingerprint=b"f",
)


def test_envelope_returns_its_message() -> None:
    """An envelope that one node signs is verified by another one."""
    envelope = hop.EnvelopeSigner(b"secret").sign(REQUEST)
    assert hop.EnvelopeSigner(b"secret").verify(envelope, peer="n1") == REQUEST


def test_forged_envelope_is_refused() -> None:
    """Without the secret no message can be forged or altered."""
    envelope = hop.EnvelopeSigner(b"secret").sign(REQUEST)
    changed = envelope[:-1] + bytes([envelope[-1] ^ 1])
    for wrong in (
        hop.EnvelopeSigner(b"other").sign(REQUEST),
        changed,
        b"",
        envelope[:40],
    ):
        try:
            hop.EnvelopeSigner(b"secret").verify(wrong, peer="n1")
        except errors.CodecError:
            continue
        raise AssertionError(wrong)


load_tests = fixtures.collect(__name__)
