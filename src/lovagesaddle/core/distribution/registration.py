"""A node's place in the registry: its join, its servers and its leave."""

import dataclasses
import math

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

# Shorter than an election, so that after a loss of power everywhere a node
# joins soon after there is a leader; capped well below the time that a restart
# may take.
FIRST_RETRY_S = 0.25
RETRY_CAP_S = 2.0


class Registration:
    """Asks replicas until the held snapshot shows what this node wants.

    The snapshot itself is the acknowledgement: a node that is absent from it
    joins again, and servers that differ from it are reported again.

    Args:
      node: This node; its incarnation is assigned by the leader.
      life: Random number of this start of the process.
      replicas: Replicas to ask, in turn.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        node: snapshots.Node,
        life: bytes,
        replicas: tuple[peers.Peer, ...],
        random: backoff_lib.Random,
    ) -> None:
        self._node = node
        self._life = life
        self._replicas = replicas
        self._turn = int(random.random() * len(replicas))
        self._servers: dict[str, snapshots.BackendServer] = {}
        self._sequence = 0
        self._leaving = False
        self._accepted = False
        self._superseded = False
        self._next_ask_at = 0.0
        self._backoff = backoff_lib.Backoff(
            first_s=FIRST_RETRY_S, cap_s=RETRY_CAP_S, random=random
        )

    @property
    def node(self) -> snapshots.Node:
        """This node, with the incarnation that it knows of."""
        return self._node

    @property
    def superseded(self) -> bool:
        """Whether another process joined under this node's name."""
        return self._superseded

    def accept(self, accepted: messages.JoinAccepted) -> bool:
        """Takes the leader's answer; returns False if it is for another."""
        if accepted.life != self._life:
            return False
        if accepted.node_id != self._node.node_id:
            return False
        if accepted.incarnation > self._node.incarnation:
            self._node = dataclasses.replace(
                self._node, incarnation=accepted.incarnation
            )
        self._accepted = True
        self._superseded = False
        self._backoff.reset()
        return True

    def set_replicas(self, replicas: tuple[peers.Peer, ...]) -> None:
        """Takes the replicas there are now."""
        self._replicas = replicas

    def put_server(self, server: snapshots.BackendServer) -> None:
        """Notes that a local server joined or changed."""
        self._servers[server.server_id] = server
        self._hurry()

    def remove_server(self, server_id: str, incarnation: int) -> None:
        """Notes that a local server is gone, unless a newer one is there."""
        held = self._servers.get(server_id)
        if held is not None and held.incarnation <= incarnation:
            del self._servers[server_id]
            self._hurry()

    def start_leaving(self) -> None:
        """Notes that this process is about to stop."""
        self._leaving = True
        self._hurry()

    def recheck(self) -> None:
        """Notes that another version is held, which may lack something."""
        if math.isinf(self._next_ask_at):
            self._next_ask_at = 0.0

    def tick(
        self, held: snapshots.Snapshot | None, now: float
    ) -> tuple[events.Action, ...]:
        """Asks a replica when the held snapshot differs from what is wanted."""
        if now < self._next_ask_at:
            return ()
        wanted = self._make_request(held)
        if wanted is None:
            self._next_ask_at = math.inf
            return ()
        self._next_ask_at = now + self._backoff.draw()
        replica = self._replicas[self._turn % len(self._replicas)]
        self._turn += 1
        line = events.LogLine(
            event=f"ask {type(wanted).__name__}", peer=replica.peer_id
        )
        return (events.Send(peer=replica, frame=wire.encode(wanted)), line)

    def _hurry(self) -> None:
        self._next_ask_at = 0.0
        self._backoff.reset()

    def _make_request(
        self, held: snapshots.Snapshot | None
    ) -> messages.DistributionMessage | None:
        if self._leaving:
            return self._make_leave()
        listed = None if held is None else find_node(held, self._node.node_id)
        if held is None or listed is None:
            waiting = held is None and self._accepted
            return None if waiting or self._superseded else self._make_join()
        self._superseded = listed.incarnation > self._node.incarnation
        if self._superseded or listed.incarnation < self._node.incarnation:
            return None
        wanted = tuple(self._servers[key] for key in sorted(self._servers))
        if list_servers(held, self._node.node_id) == wanted:
            self._backoff.reset()
            return None
        self._sequence += 1
        return messages.ServerReport(
            node_id=self._node.node_id,
            incarnation=self._node.incarnation,
            sequence=self._sequence,
            servers=wanted,
        )

    def _make_join(self) -> messages.Join:
        return messages.Join(
            node=self._node,
            life=self._life,
            servers=tuple(self._servers[key] for key in sorted(self._servers)),
        )

    def _make_leave(self) -> messages.Leave | None:
        if not self._node.incarnation:
            return None
        return messages.Leave(
            node_id=self._node.node_id, incarnation=self._node.incarnation
        )


def find_node(
    snapshot: snapshots.Snapshot, node_id: str
) -> snapshots.Node | None:
    """Returns the node with that ID, or None."""
    for node in snapshot.nodes:
        if node.node_id == node_id:
            return node
    return None


def list_servers(
    snapshot: snapshots.Snapshot, node_id: str
) -> tuple[snapshots.BackendServer, ...]:
    """Returns the backend servers of one node, sorted by ID."""
    return tuple(
        server for server in snapshot.servers if server.node_id == node_id
    )
