"""Distribution methods that are compared with the relay tree."""

import abc

from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import node_agent
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import control_thread

LEADER = "r0"


class PushedAgent(node_agent.NodeAgent):
    """Has the leader as its only parent, as every other node."""

    def _plan_parents(
        self, snapshot: snapshots.Snapshot
    ) -> relay_tree.ParentPlan:
        del snapshot
        leaders = tuple(p for p in self._replicas if p.peer_id == LEADER)
        return relay_tree.ParentPlan(eager=leaders, lazy=())


class PollingAgent(node_agent.NodeAgent):
    """Pulls newer versions from one replica, once in each heartbeat."""

    _poll_at = 0.0

    def _plan_parents(
        self, snapshot: snapshots.Snapshot
    ) -> relay_tree.ParentPlan:
        del snapshot
        return relay_tree.ParentPlan(eager=(), lazy=())

    def _tick(self, now: float) -> tuple[events.Action, ...]:
        actions = super()._tick(now)
        if self._installed.current is None or now < self._poll_at:
            return actions
        self._poll_at = now + self._heartbeat_s
        name = self._registration.node.node_id
        replica = self._replicas[hash(name) % len(self._replicas)]
        pull = messages.Pull(
            version=self._installed.version,
            digest=self._installed.digest,
            least=0,
        )
        return (*actions, events.Send(peer=replica, frame=wire.encode(pull)))


class Node(control_thread.ControlThread, abc.ABC):
    """Runs a control thread without an HTTP server."""


class TreeNode(Node):
    """Receives versions over the relay tree."""


class PushedNode(Node):
    """Receives versions from the leader."""

    agent_type = PushedAgent


class PollingNode(Node):
    """Polls a replica for versions."""

    agent_type = PollingAgent


NODE_TYPES: dict[str, type[Node]] = {
    "tree": TreeNode,
    "push": PushedNode,
    "poll": PollingNode,
}
