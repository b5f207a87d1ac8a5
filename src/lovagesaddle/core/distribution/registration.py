"""Registration of a node and its backend servers with the leader."""

import dataclasses
import math

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence as evidence_lib

# The first retry delay is shorter than an election, so that after a power loss
# of all machines a node joins soon after a leader is elected. The cap of the
# delay is well below the time that such a restart of all machines may take.
FIRST_RETRY_S = 0.25
RETRY_CAP_S = 2.0
# Reports go to two replicas by turns, in case one is lost: each holds all
# that the earlier ones held. After this number, another replica takes the place
# of one of the two.
REPORTS_PER_PAIR = 8


class Registration:
    """Sends requests until the installed snapshot lists this node's state.

    The snapshot itself is the acknowledgement: a node that is absent from it
    joins again, and servers that differ from it are reported again.

    Args:
      node: This node; the leader assigns its incarnation.
      start_id: Random bytes that identify this start of the process.
      replicas: Replicas to send requests to, in turn.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        node: snapshots.Node,
        start_id: bytes,
        replicas: tuple[peers.Peer, ...],
        random: backoff_lib.Random,
    ) -> None:
        self._node = node
        self._start_id = start_id
        self._replicas = replicas
        self._turn = int(random.random() * len(replicas))
        self._servers: dict[str, snapshots.BackendServer] = {}
        self._sequence = 0
        self._leaving = False
        self._accepted = False
        self._superseded = False
        self._is_join_open = False
        self._next_request_at = 0.0
        self._report_count = self._turn * REPORTS_PER_PAIR
        self._backoff = backoff_lib.Backoff(
            first_s=FIRST_RETRY_S, cap_s=RETRY_CAP_S, random=random
        )

    @property
    def node(self) -> snapshots.Node:
        """This node, with the newest incarnation that was assigned to it."""
        return self._node

    @property
    def superseded(self) -> bool:
        """Whether a process with the same node ID joined later."""
        return self._superseded

    @property
    def due_at(self) -> float:
        """When the next request is due, in seconds; infinite for none."""
        return self._next_request_at

    def accept(self, accepted: messages.JoinAccepted) -> bool:
        """Records that the leader accepted the join.

        Returns:
          False if the answer is for another node or another start of the
          process; it changes nothing then.
        """
        if accepted.life != self._start_id:
            return False
        if accepted.node_id != self._node.node_id:
            return False
        if accepted.incarnation > self._node.incarnation:
            self._node = dataclasses.replace(
                self._node, incarnation=accepted.incarnation
            )
        self._accepted = True
        self._superseded = False
        self._is_join_open = False
        self._backoff.reset()
        return True

    def set_replicas(self, replicas: tuple[peers.Peer, ...]) -> None:
        """Replaces the replicas that requests are sent to."""
        self._replicas = replicas

    def put_server(self, server: snapshots.BackendServer) -> None:
        """Adds or replaces a local server, which the next tick reports."""
        self._servers[server.server_id] = server
        self._request_now()

    def remove_server(self, server_id: str, incarnation: int) -> None:
        """Removes a local server unless a newer incarnation is present."""
        held = self._servers.get(server_id)
        if held is not None and held.incarnation <= incarnation:
            del self._servers[server_id]
            self._request_now()

    def report_evidence(
        self, versions: tuple[evidence_lib.Evidence, ...]
    ) -> tuple[events.Action, ...]:
        """Returns the report on roll-outs; none before the join."""
        if not self._accepted or self._superseded:
            return ()
        turn = self._report_count // REPORTS_PER_PAIR + self._report_count % 2
        self._report_count += 1
        message = messages.RolloutReport(
            node_id=self._node.node_id,
            incarnation=self._node.incarnation,
            versions=versions,
        )
        replica = self._replicas[turn % len(self._replicas)]
        return (events.Send(peer=replica, frame=wire.encode(message)),)

    def start_leaving(self) -> None:
        """Requests that this node leaves, as the process is about to stop."""
        self._leaving = True
        self._request_now()

    def recheck(self) -> None:
        """Makes the next tick check a newly installed snapshot.

        A request that is already scheduled keeps its time.
        """
        if math.isinf(self._next_request_at):
            self._next_request_at = 0.0

    def tick(
        self, installed: snapshots.Snapshot | None, now: float
    ) -> tuple[events.Action, ...]:
        """Returns the request that is due, if any, and its log line.

        Args:
          installed: The installed snapshot; None before the first.
          now: Monotonic time in seconds.
        """
        if now < self._next_request_at:
            return ()
        wanted = self._make_request(installed)
        if wanted is None:
            self._next_request_at = math.inf
            return ()
        self._next_request_at = now + self._backoff.draw()
        replica = self._replicas[self._turn % len(self._replicas)]
        self._turn += 1
        line = events.LogLine(
            event=f"ask {type(wanted).__name__}", peer=replica.peer_id
        )
        return (events.Send(peer=replica, frame=wire.encode(wanted)), line)

    def _request_now(self) -> None:
        self._next_request_at = 0.0
        self._backoff.reset()

    def _make_request(
        self, installed: snapshots.Snapshot | None
    ) -> messages.DistributionMessage | None:
        if self._leaving:
            return self._make_leave()
        listed = (
            None
            if installed is None
            else find_node(installed, self._node.node_id)
        )
        if installed is None or listed is None:
            waiting = installed is None and self._accepted
            return None if waiting or self._superseded else self._make_join()
        self._superseded = listed.incarnation > self._node.incarnation
        if self._superseded and self._is_join_open:
            # The newer incarnation may be that of the join whose answer is
            # missing. The leader knows a repeated join by its start ID.
            return self._make_join()
        if self._superseded or listed.incarnation < self._node.incarnation:
            return None
        servers = tuple(self._servers[key] for key in sorted(self._servers))
        if list_servers(installed, self._node.node_id) == servers:
            self._backoff.reset()
            return None
        self._sequence += 1
        return messages.ServerReport(
            node_id=self._node.node_id,
            incarnation=self._node.incarnation,
            sequence=self._sequence,
            servers=servers,
        )

    def _make_join(self) -> messages.Join:
        self._is_join_open = True
        return messages.Join(
            node=self._node,
            life=self._start_id,
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
