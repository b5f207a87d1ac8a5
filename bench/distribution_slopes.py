"""Measures distribution by size: `python -m bench.distribution_slopes`.

Measures frame sizes, processor time and memory of the core modules without
sockets, for meshes up to the size of the target.
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
MASS_RESTART_NODES = 180
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
    """Measures a mesh with `size` nodes."""
    base = delta.hash_snapshot(
        _add_public_keys(fleet_state.build_snapshot(size))
    )
    changed = delta.rehash_snapshot(base, _change_service(base.snapshot))
    restarted = delta.rehash_snapshot(base, _restart(base.snapshot, 1))
    mass_restarted = delta.rehash_snapshot(
        base, _restart(base.snapshot, MASS_RESTART_NODES)
    )
    push = messages.SnapshotPush(snapshot=base.snapshot, digest=base.digest)
    frame = wire.encode(push)
    figures = (
        _make_size_figure("snapshot frame", frame),
        _make_size_figure("service change frame", _encode_delta(base, changed)),
        _make_size_figure("one restart frame", _encode_delta(base, restarted)),
        _make_size_figure(
            "herd of 180 frame", _encode_delta(base, mass_restarted)
        ),
        _make_size_figure("beat of a root", _encode_beat(base.snapshot)),
        _measure_cpu_time("encode a snapshot", lambda: wire.encode(push)),
        _measure_cpu_time("take a snapshot", lambda: _install_snapshot(frame)),
        _measure_cpu_time(
            "make a change", lambda: _encode_delta(base, changed)
        ),
        _measure_cpu_time(
            "apply a change", lambda: _apply_delta(base, changed)
        ),
        _measure_cpu_time(
            "apply a restart", lambda: _apply_delta(base, restarted)
        ),
        _measure_cpu_time(
            "plan the parents", lambda: _plan_parents(base.snapshot)
        ),
        _measure_memory(base),
    )
    return results.Sample(
        experiment="distribution slopes",
        variant=f"{size} nodes",
        seed=1,
        figures=figures,
    )


def _add_public_keys(base: snapshots.Snapshot) -> snapshots.Snapshot:
    """Returns the snapshot with distinct public keys, as real nodes have."""
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


def _encode_delta(
    base: delta.HashedSnapshot, target: delta.HashedSnapshot
) -> bytes:
    change = delta.compute_delta(base, target)
    return wire.encode(messages.DeltaPush(delta=change))


def _encode_beat(snapshot: snapshots.Snapshot) -> bytes:
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


def _install_snapshot(frame: bytes) -> None:
    push = wire.decode(frame, peer="n")
    assert isinstance(push, messages.SnapshotPush)
    installed = installed_version.InstalledVersion(push.snapshot.cluster_id)
    installed.raise_floor(push.snapshot.version)
    result = installed.install_snapshot(push.snapshot, push.digest)
    assert result.outcome is installed_version.InstallOutcome.INSTALLED


def _apply_delta(
    base: delta.HashedSnapshot, target: delta.HashedSnapshot
) -> None:
    delta.apply_delta(base, delta.compute_delta(base, target))


def _plan_parents(snapshot: snapshots.Snapshot) -> None:
    node = snapshot.nodes[-1]
    relay_tree.plan_parents(
        snapshot, node.node_id, node.failure_domain, REPLICAS
    )


def _measure_memory(base: delta.HashedSnapshot) -> results.Figure:
    tracemalloc.start()
    history = history_lib.History()
    newest = base
    for _ in range(history_lib.KEPT_VERSIONS):
        newest = delta.rehash_snapshot(newest, _restart(newest.snapshot, 1))
        history.add(newest)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return results.Figure(
        name="history of 128 versions", value=peak / BYTES_PER_MB, unit="MB"
    )


def _make_size_figure(name: str, frame: bytes) -> results.Figure:
    return results.Figure(name=name, value=len(frame) / BYTES_PER_KB, unit="KB")


def _measure_cpu_time(name: str, run: Callable[[], object]) -> results.Figure:
    started = time.process_time()
    for _ in range(REPEATS):
        run()
    cpu_s = time.process_time() - started
    return results.Figure(
        name=name, value=cpu_s / REPEATS * MS_PER_S, unit="ms cpu"
    )


def main() -> int:
    """Prints a table with one column for each size."""
    samples = [measure(size) for size in SIZES]
    print(results.format_table(samples))
    results.write_samples(RESULTS_FILE, samples)
    return 0


if __name__ == "__main__":
    sys.exit(main())
