"""Tests of how a node assigns keys to shards."""

import threading

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import shard_plan
from lovagesaddle.node import claims as claims_lib
from tests import fixtures


def _install(claims: claims_lib.Claims, numbers: range) -> None:
    holder = snapshots.Holder(node_id="n0", incarnation=1)
    shards = tuple(
        snapshots.Shard(number=number, epoch=1, holders=(holder,), previous=())
        for number in numbers
    )
    snapshot = snapshots.Snapshot(
        cluster_id="test", version=len(numbers), shards=shards
    )
    claims.install(snapshot, joined=True)


def _is_open(claims: claims_lib.Claims, key: str) -> bool:
    request = claims_lib.KeyedRequest(
        service="desk",
        client="caller:foundation",
        key=key,
        request_digest=b"",
        deadline=1.0,
    )
    return claims.open(request) is not None


def test_key_belongs_to_one_shard_however_few_are_known() -> None:
    """While only some shards exist, no key is claimed in a wrong one.

    A node that reduced a key to the number of known shards would choose another
    shard than a node that knows more of them, and both could run the request.
    """
    claims = claims_lib.Claims(node_id="n0")
    known = shard_plan.MAX_SHARDS_PER_COMMAND
    _install(claims, range(known))
    for each in range(100):
        claim_id = claim_keys.compute_claim_id(
            service="desk", client="caller:foundation", key=str(each)
        )
        number = claim_keys.compute_shard(claim_id, shard_plan.SHARD_COUNT)
        assert _is_open(claims, str(each)) is (number < known), each
    _install(claims, range(shard_plan.SHARD_COUNT))
    assert all(_is_open(claims, str(each)) for each in range(100))


def test_claims_that_are_turned_off_run_no_thread() -> None:
    """A mesh that claims no keys does not wake up for them."""
    for is_enabled in (True, False):
        before = {thread.ident for thread in threading.enumerate()}
        with claims_lib.Claims(node_id="n0", is_enabled=is_enabled):
            names = [
                thread.name
                for thread in threading.enumerate()
                if thread.ident not in before
            ]
        assert names == ["claims"] * is_enabled, names


load_tests = fixtures.collect(__name__)
