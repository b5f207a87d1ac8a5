"""Tests of installing, serving and pulling versions."""

import dataclasses
import random

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import puller as puller_lib
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh

SNAPSHOT = snapshots.Snapshot(
    cluster_id=mesh.CLUSTER_ID, version=7, nodes=(mesh.make_node("n1"),)
)
DIGEST = delta.hash_snapshot(SNAPSHOT).digest


def test_nothing_below_the_join_floor_is_taken() -> None:
    """Nothing is installed before the join, and nothing older after it."""
    installed = installed_version.InstalledVersion(mesh.CLUSTER_ID)
    below = installed_version.InstallOutcome.BELOW_FLOOR
    assert installed.install_snapshot(SNAPSHOT, DIGEST).outcome is below
    installed.raise_floor(8)
    installed.raise_floor(3)
    assert installed.install_snapshot(SNAPSHOT, DIGEST).outcome is below
    assert installed.current is None
    newer = dataclasses.replace(SNAPSHOT, version=8)
    outcome = installed.install_snapshot(newer, DIGEST).outcome
    assert outcome is installed_version.InstallOutcome.INSTALLED
    assert installed.version == 8


def test_whole_snapshots_are_served_under_a_limit() -> None:
    """Of 20 pulls at once 4 get a snapshot and the others `RetryLater`."""
    history = history_lib.History()
    history.add(delta.hash_snapshot(SNAPSHOT))
    children = children_lib.Children(
        history=history,
        limiter=rate_limiter.RateLimiter(rate=4.0, burst=4),
        heartbeat_s=1.0,
    )
    pull = messages.Pull(version=0, digest=b"", least=7)
    kinds: list[str] = []
    for number in range(20):
        received = events.FrameReceived(
            sender_id=f"n{number}", route=b"r", frame=wire.encode(pull)
        )
        for action in children.handle_pull(received, pull, mesh.STAMP, 1.0):
            assert isinstance(action, events.Answer)
            kinds.append(wire.name_kind(action.frame))
    assert kinds == ["SnapshotPush"] * 4 + ["RetryLater"] * 16


def test_missing_version_is_not_asked_of_the_parent_that_failed_to_push() -> (
    None
):
    """Of two parents that hold a version, the lazy one is asked first."""
    installed = installed_version.InstalledVersion(mesh.CLUSTER_ID)
    installed.raise_floor(7)
    installed.install_snapshot(SNAPSHOT, DIGEST)
    for pushing, other in (("a", "b"), ("b", "a")):
        puller = puller_lib.Puller(installed=installed, random=random.Random(1))
        for name in (pushing, other):
            peer = peers.Peer(peer_id=name, address=name)
            puller.record_version(peer, 8, 1.0, is_eager=name == pushing)
        asked = [
            action.peer.peer_id
            for now in (1.4, 9.4)
            for action in puller.tick((), now)
            if isinstance(action, events.Send)
        ]
        assert asked == [other, pushing]


load_tests = fixtures.collect(__name__)
