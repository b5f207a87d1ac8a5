"""Applies membership changes and shard assignments to a snapshot."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots


def change_members(
    old: snapshots.Snapshot, version: int, command: commands.ChangeMembership
) -> snapshots.Snapshot:
    """Applies joins, changes and leaves; returns the snapshot at `version`.

    A change with an older incarnation than the snapshot has is ignored.
    When a node leaves, its backend servers are removed too.
    """
    nodes = {node.node_id: node for node in old.nodes}
    servers = {server.server_id: server for server in old.servers}
    for gone in command.gone_servers:
        current = servers.get(gone.member_id)
        if current is not None and current.incarnation <= gone.incarnation:
            del servers[gone.member_id]
    for gone in command.gone_nodes:
        current_node = nodes.get(gone.member_id)
        if (
            current_node is not None
            and current_node.incarnation <= gone.incarnation
        ):
            del nodes[gone.member_id]
    for node in command.nodes:
        current_node = nodes.get(node.node_id)
        if current_node is None or current_node.incarnation <= node.incarnation:
            nodes[node.node_id] = node
    for server in command.servers:
        current = servers.get(server.server_id)
        if current is None or current.incarnation <= server.incarnation:
            servers[server.server_id] = server
    remaining_servers = (
        server for server in servers.values() if server.node_id in nodes
    )
    nodes_unchanged = not command.nodes and not command.gone_nodes
    return dataclasses.replace(
        old,
        version=version,
        # An unchanged tuple is reused, so that its digest isn't recomputed.
        nodes=old.nodes
        if nodes_unchanged
        else tuple(nodes[n] for n in sorted(nodes)),
        servers=tuple(
            sorted(remaining_servers, key=lambda server: server.server_id)
        ),
    )


def assign_shards(
    old: snapshots.Snapshot, version: int, command: commands.AssignShards
) -> snapshots.Snapshot:
    """Applies shard assignments; returns the snapshot at `version`.

    An assignment whose epoch is not higher than the shard's is ignored.
    """
    current = {shard.number: shard for shard in old.shards}
    newer = tuple(
        shard
        for shard in command.shards
        if shard.number not in current
        or current[shard.number].epoch < shard.epoch
    )
    return dataclasses.replace(
        old,
        version=version,
        shards=delta.merge(old.shards, newer, ()),
    )
