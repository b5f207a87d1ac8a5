"""Applies changes of nodes, backend servers and shards to a snapshot."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots


def change_members(
    old: snapshots.Snapshot, version: int, command: commands.ChangeMembership
) -> snapshots.Snapshot:
    """Returns the snapshot at `version` after joins and leaves.

    A change of an older incarnation than the one held is passed over, and a
    backend server leaves with its node.
    """
    nodes = {node.node_id: node for node in old.nodes}
    servers = {server.server_id: server for server in old.servers}
    for gone in command.gone_servers:
        held = servers.get(gone.member_id)
        if held is not None and held.incarnation <= gone.incarnation:
            del servers[gone.member_id]
    for gone in command.gone_nodes:
        held_node = nodes.get(gone.member_id)
        if held_node is not None and held_node.incarnation <= gone.incarnation:
            del nodes[gone.member_id]
    for node in command.nodes:
        held_node = nodes.get(node.node_id)
        if held_node is None or held_node.incarnation <= node.incarnation:
            nodes[node.node_id] = node
    for server in command.servers:
        held = servers.get(server.server_id)
        if held is None or held.incarnation <= server.incarnation:
            servers[server.server_id] = server
    kept_servers = (
        server for server in servers.values() if server.node_id in nodes
    )
    is_same = not command.nodes and not command.gone_nodes
    return dataclasses.replace(
        old,
        version=version,
        # An unchanged group stays the same object, which costs no digest.
        nodes=old.nodes if is_same else tuple(nodes[n] for n in sorted(nodes)),
        servers=tuple(
            sorted(kept_servers, key=lambda server: server.server_id)
        ),
    )


def assign_shards(
    old: snapshots.Snapshot, version: int, command: commands.AssignShards
) -> snapshots.Snapshot:
    """Returns the snapshot at `version` with the shards of higher epochs."""
    held = {shard.number: shard for shard in old.shards}
    newer = tuple(
        shard
        for shard in command.shards
        if shard.number not in held or held[shard.number].epoch < shard.epoch
    )
    return dataclasses.replace(
        old,
        version=version,
        shards=delta.merge(old.shards, newer, ()),
    )
