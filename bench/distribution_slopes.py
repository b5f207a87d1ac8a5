"""Cost of distribution by size: `python -m bench.distribution_slopes`.

No sockets: bytes of frames, processor time and memory of the core parts, for
meshes up to the size of the target.
"""

import base64
from collections.abc import Callable
import dataclasses
import hashlib
import pathlib
import sys
import time
import tracemalloc

from bench import fleet_state
from bench import results
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import tokens
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

SIZES = (100, 300, 600, 1100)
HERD = 180
REPEATS = 20
MS_PER_S = 1000
BYTES_PER_KB = 1000
BYTES_PER_MB = 1 << 20
REPLICAS = tuple(
    peers.Peer(peer_id=f"r{n}", address=f"tcp://10.1.0.{n}:8081")
    for n in range(7)
)
RESULTS_FILE = pathlib.Path("results") / "distribution_slopes.jsonl"


def measure(size: int) -> results.Sample:
    """Returns the figures of a mesh with `size` nodes."""
    base = delta.hash_snapshot(_give_keys(fleet_state.build_snapshot(size)))
    changed = delta.rehash_snapshot(base, _change_service(base.snapshot))
    restarted = delta.rehash_snapshot(base, _restart(base.snapshot, 1))
    herd = delta.rehash_snapshot(base, _restart(base.snapshot, HERD))
    whole = messages.SnapshotPush(snapshot=base.snapshot, digest=base.digest)
    frame = wire.encode(whole)
    figures = (
        _size("snapshot frame", frame),
        _size("service change frame", _make_delta(base, changed)),
        _size("one restart frame", _make_delta(base, restarted)),
        _size("herd of 180 frame", _make_delta(base, herd)),
        _size("beat of a root", _make_beat(base.snapshot)),
        _time("encode a snapshot", lambda: wire.encode(whole)),
        _time("take a snapshot", lambda: _take(frame)),
        _time("make a change", lambda: _make_delta(base, changed)),
        _time("apply a change", lambda: _apply(base, changed)),
        _time("apply a restart", lambda: _apply(base, restarted)),
        _time("plan the parents", lambda: _plan(base.snapshot)),
        _measure_memory(base),
    )
    return results.Sample(
        experiment="distribution slopes",
        variant=f"{size} nodes",
        seed=1,
        figures=figures,
    )


def _give_keys(base: snapshots.Snapshot) -> snapshots.Snapshot:
    """Returns the nodes with keys that differ, as real ones do."""
    nodes = tuple(
        dataclasses.replace(
            node,
            public_key=base64.b85encode(
                hashlib.blake2b(node.node_id.encode(), digest_size=32).digest()
            ).decode(),
        )
        for node in base.nodes
    )
    return dataclasses.replace(base, nodes=nodes)


def _change_service(base: snapshots.Snapshot) -> snapshots.Snapshot:
    changed = dataclasses.replace(
        base.services[0], revision=base.services[0].revision + base.version
    )
    return dataclasses.replace(
        base, version=base.version + 1, services=(changed, *base.services[1:])
    )


def _restart(base: snapshots.Snapshot, count: int) -> snapshots.Snapshot:
    nodes = tuple(
        dataclasses.replace(node, incarnation=node.incarnation + 1)
        if index < count
        else node
        for index, node in enumerate(base.nodes)
    )
    servers = tuple(
        dataclasses.replace(server, incarnation=server.incarnation + 1)
        if index < count
        else server
        for index, server in enumerate(base.servers)
    )
    return dataclasses.replace(
        base, version=base.version + 1, nodes=nodes, servers=servers
    )


def _make_delta(
    base: delta.HashedSnapshot, target: delta.HashedSnapshot
) -> bytes:
    change = delta.compute_delta(base, target)
    return wire.encode(messages.DeltaPush(delta=change))


def _make_beat(snapshot: snapshots.Snapshot) -> bytes:
    under_root = len(snapshot.nodes) // fleet_state.FAILURE_DOMAINS
    under_root //= relay_tree.ROOT_COUNT
    groups = acks.merge(
        (
            messages.AckGroup(
                version=70_000,
                tokens=tokens.make_token(node.node_id, node.incarnation),
            ),
        )
        for node in snapshot.nodes[:under_root]
    )
    beat = messages.ChildBeat(
        eager=True, version=70_000, digest=bytes(range(16)), groups=groups
    )
    return wire.encode(beat)


def _take(frame: bytes) -> None:
    push = wire.decode(frame, peer="n")
    assert isinstance(push, messages.SnapshotPush)
    installed = installed_version.InstalledVersion(push.snapshot.cluster_id)
    installed.raise_floor(push.snapshot.version)
    result = installed.install_snapshot(push.snapshot, push.digest)
    assert result.outcome is installed_version.InstallOutcome.INSTALLED


def _apply(base: delta.HashedSnapshot, target: delta.HashedSnapshot) -> None:
    delta.apply_delta(base, delta.compute_delta(base, target))


def _plan(snapshot: snapshots.Snapshot) -> None:
    node = snapshot.nodes[-1]
    relay_tree.plan_parents(
        snapshot, node.node_id, node.failure_domain, REPLICAS
    )


def _measure_memory(base: delta.HashedSnapshot) -> results.Figure:
    tracemalloc.start()
    history = history_lib.History()
    held = base
    for _ in range(history_lib.KEPT_VERSIONS):
        held = delta.rehash_snapshot(held, _restart(held.snapshot, 1))
        history.add(held)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return results.Figure(
        name="history of 128 versions", value=peak / BYTES_PER_MB, unit="MB"
    )


def _size(name: str, frame: bytes) -> results.Figure:
    return results.Figure(name=name, value=len(frame) / BYTES_PER_KB, unit="KB")


def _time(name: str, run: Callable[[], object]) -> results.Figure:
    started = time.process_time()
    for _ in range(REPEATS):
        run()
    took = time.process_time() - started
    return results.Figure(
        name=name, value=took / REPEATS * MS_PER_S, unit="ms cpu"
    )


def main() -> int:
    """Prints one column for each size."""
    samples = [measure(size) for size in SIZES]
    print(results.format_table(samples))
    results.write_samples(RESULTS_FILE, samples)
    return 0


if __name__ == "__main__":
    sys.exit(main())
