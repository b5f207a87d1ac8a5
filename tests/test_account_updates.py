"""Tests of client accounts and roll-outs in versions and digests."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from tests import fixtures

NEW_FIELDS = (
    b"accounts",
    b"rollouts",
    b"software",
    b"needs_account",
    b"has_large_answers",
)


def _make_account(name: str, *digests: str) -> services.ClientAccount:
    return services.ClientAccount(name=name, digests=digests)


def _make_rollout(weight: int) -> snapshots.Rollout:
    return snapshots.Rollout(
        service="orderdesk",
        target="v2",
        ramp_s=12.0,
        ordered_at=4,
        phase=snapshots.RolloutPhase.RUNNING,
        weight=weight,
    )


def _publish(
    state: state_lib.State,
    version: int,
    *accounts: services.ClientAccount,
) -> state_lib.State:
    """Applies a publication in the form in which the log stores it."""
    command = commands.PublishServices(
        publish_id=f"p{version}",
        operator="ana",
        base_version=state.publication_version,
        services=(),
        accounts=delta.unset_if_empty(accounts),
    )
    stored = publication_edits.to_stored_command(state, command)
    restored = publication_edits.from_stored_command(state, stored)
    return state_lib.apply_command(state, version, restored).state


def test_accounts_follow_the_publications() -> None:
    """An edit that adds, changes or removes accounts gives exactly those."""
    first = _publish(
        state_lib.make_initial_state(),
        2,
        _make_account("b", "sha256:1"),
        _make_account("a", "sha256:2"),
    )
    second = _publish(
        first, 3, _make_account("a", "sha256:3"), _make_account("c")
    )
    third = _publish(second, 4)
    assert [account.name for account in first.snapshot.accounts or ()] == [
        "a",
        "b",
    ]
    assert second.snapshot.accounts == (
        _make_account("a", "sha256:3"),
        _make_account("c"),
    )
    assert not third.snapshot.accounts


def test_deltas_carry_accounts_and_rollouts() -> None:
    """A delta leads to the digest of the target, there and back."""
    empty = snapshots.Snapshot(cluster_id="c", version=1)
    filled = dataclasses.replace(
        empty,
        version=2,
        accounts=(_make_account("a", "sha256:1"), _make_account("b")),
        rollouts=(_make_rollout(10),),
    )
    changed = dataclasses.replace(
        filled,
        version=3,
        accounts=(_make_account("a", "sha256:2"),),
        rollouts=(_make_rollout(20),),
    )
    emptied = dataclasses.replace(empty, version=4)
    steps = [
        delta.hash_snapshot(each) for each in (empty, filled, changed, emptied)
    ]
    held = steps[0]
    for target in steps[1:]:
        held = delta.apply_delta(held, delta.compute_delta(held, target))
        assert held == target


def test_updates_without_accounts_are_encoded_as_before() -> None:
    """Where nothing asks for accounts, no message names their fields."""
    service = services.Service(
        name="orderdesk",
        revision=1,
        callers=(),
        routes=(
            services.Route(
                name="r",
                host="h",
                path_prefix="/",
                methods=(),
                timeout_s=1.0,
                retries=0,
                priority=0,
                idempotent=True,
                callers=(),
                services=(),
                max_body_bytes=1,
            ),
        ),
        depends_on=(),
    )
    server = snapshots.BackendServer(
        server_id="n/orderdesk",
        incarnation=1,
        service="orderdesk",
        node_id="n",
        slots=2,
        connections=2,
        state=snapshots.ServerState.SERVING,
    )
    base = delta.hash_snapshot(snapshots.Snapshot(cluster_id="c", version=1))
    target = delta.hash_snapshot(
        snapshots.Snapshot(
            cluster_id="c", version=2, services=(service,), servers=(server,)
        )
    )
    difference = delta.compute_delta(base, target)
    pushes = (
        messages.SnapshotPush(snapshot=target.snapshot, digest=target.digest),
        messages.DeltaPush(delta=difference),
    )
    for push in pushes:
        data = messages.DISTRIBUTION_MESSAGES.encode(push)
        assert not [name for name in NEW_FIELDS if name in data]
        assert wire.decode(wire.encode(push), peer="p") == push


load_tests = fixtures.collect(__name__)
