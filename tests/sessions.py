"""Simulated sessions in virtual time that record a transcript.

A line of a transcript is a command or output of an operator, a decision of a
state machine, or a request or result of a caller. The same session always gives
the same lines.
"""

from collections.abc import Callable
import dataclasses
import random

from features.support import calls as calls_lib
from features.support import control_vms
from features.support import proxies
from features.support import service_files

from lovagesaddle.cli import output
from lovagesaddle.core.consensus import events as replica_events
from lovagesaddle.core.distribution import events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call_events
from lovagesaddle.core.routing import explanation
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import table as table_lib
from tests import mesh as mesh_lib
from tests import replica_cluster

BOTH_SERVICES = ("artwork", "orderdesk")
SLOTS = 2
TOKEN_DIGEST = "sha256:" + "0a" * 32
WriteEvent = Callable[[str], None]


class Transcript:
    """The lines of a session; events carry the virtual time."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def write(self, text: str) -> None:
        """Adds each line of a text unchanged."""
        self._lines.extend(text.splitlines())

    def add_event(self, now: float, text: str) -> None:
        """Adds the line of an event, with its time in seconds."""
        self._lines.append(f"  {now:8.3f} {text}")

    def replace_all(self, text: str) -> None:
        """Replaces all lines so far by `text`."""
        self._lines = [text]

    def render(self) -> str:
        """Returns the transcript as text that ends with a newline."""
        return "\n".join([*self._lines, ""])


class PublishingSession(control_vms.ControlVms):
    """A session of operators with three control replicas."""

    def __init__(self) -> None:
        self.transcript = Transcript()
        super().__init__()

    def send_publish(
        self, operator: str, revision: int, *, base: int, publish_id: str
    ) -> control_vms.Attempt:
        """Records the operator's command and sends it to the leader."""
        self.transcript.write(
            f"{operator}$ lovagesaddle publish services --base {base}"
            f" --id {publish_id}  # revision {revision}"
        )
        found, _ = service_files.check_files(BOTH_SERVICES, revision)
        command = control_vms.make_command(operator, publish_id, base, found)
        return self.send(self.wait_for_leader(), command)

    def record_answer(self, attempt: control_vms.Attempt) -> None:
        """Waits for the answer to a publish and records it."""
        found = self.await_answer(attempt)
        operator = attempt.command.operator
        text = (
            "outcome unknown"
            if found is None
            else output.describe_result(found)
        )
        self.transcript.write(f"{operator}> {text}")

    def record_history(self) -> None:
        """Records the publications that the leader has accepted."""
        kept = reversed(self.read_accepted().publications)
        text = output.describe_history(each.publication for each in kept)
        self.transcript.write(f"ana$ lovagesaddle history\n{text}")

    def record_event(self, text: str) -> None:
        """Records an event with the virtual time."""
        self.transcript.add_event(self.now, text)

    def _carry_out(
        self, host: replica_cluster.Host, action: replica_events.Action
    ) -> None:
        if isinstance(action, replica_events.RoleChanged):
            self.record_event(
                f"{host.member.member_id} {action.role.value}"
                f" term={action.term} leader={action.leader or 'none'}"
            )
        if isinstance(action, replica_events.Refuse):
            self.record_event(
                f"{host.member.member_id} refuses: {action.cause}"
            )
        super()._carry_out(host, action)


class _Fleet(proxies.Proxies):
    def __init__(self, write_event: WriteEvent) -> None:
        self._write_event = write_event
        super().__init__()

    def commit(self, command: commands.Command | None) -> int:
        version = super().commit(command)
        self._write_event(
            f"accepted version={version} {_describe_command(command)}"
        )
        return version

    def _carry_out_at_node(
        self, node_id: str, node: mesh_lib.Member, action: events.Action
    ) -> None:
        if isinstance(action, events.LogLine):
            self._write_event(f"{node_id} {_describe_log_line(action)}")
        super()._carry_out_at_node(node_id, node, action)


class _Calls(calls_lib.CallMesh):
    """Calls through the entry, which routes by the first proxy's table."""

    def __init__(self, session: "FleetSession") -> None:
        super().__init__(servers=0, slots=SLOTS)
        self._session = session
        self._balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="a"),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(5),
        )
        self.log_event = session.record_event

    def pick(self, asked: call_events.PickServer) -> balancer_events.Decision:
        """Picks a server from the newest table of the entry."""
        table = table_lib.Table(self._session.read_snapshot())
        decision = self._balancer.pick(
            balancer_events.Pick(
                service="orderdesk",
                version=table.version,
                candidates=table.list_candidates("orderdesk"),
                tried=asked.tried,
            ),
            self.now,
        )
        picked = decision.server.server_id if decision.server else "none"
        self.log_event(
            f"server_picked server={picked} reason={decision.reason.value}"
            f" version={decision.version} candidates={decision.candidates}"
            f" eligible={decision.eligible}"
        )
        return decision

    def release(self, finished: balancer_events.Finished) -> None:
        """Passes the outcome of an attempt to the balancer."""
        self._balancer.step(finished, self.now)


class FleetSession:
    """A session of operators, proxies with backend servers, and callers."""

    def __init__(self) -> None:
        self.transcript = Transcript()
        self.fleet: _Fleet | None = None
        self._fleet = _Fleet(self._record_early_event)
        self.fleet = self._fleet
        self.calls = _Calls(self)
        self._incarnations: dict[str, int] = {}

    def start(self, *node_ids: str) -> None:
        """Starts proxies; the first letter of the ID is the failure domain."""
        for node_id in node_ids:
            self.record_event(f"{node_id} starts")
            self._fleet.add_node(node_id, node_id[0])
        self.run(3.0)

    def announce(self, *node_ids: str) -> None:
        """Announces a new backend server of the order desk at each proxy."""
        for node_id in node_ids:
            number = self._incarnations.get(node_id, 0) + 1
            self._incarnations[node_id] = number
            server = mesh_lib.make_server(node_id, number)
            name = server.server_id
            self.calls.servers[name] = calls_lib.BackendServer(name, SLOTS)
            event = events.ServerAnnounced(server=server)
            self._fleet.step(node_id, event)
        self.run(2.0)

    def drain(self, node_id: str) -> None:
        """Starts to drain the backend server of a proxy."""
        self.record_event(f"{node_id}/orderdesk is told to drain")
        server = dataclasses.replace(
            mesh_lib.make_server(node_id, self._incarnations[node_id]),
            state=snapshots.ServerState.DRAINING,
        )
        self.calls.drain(self.calls.servers[server.server_id])
        self._fleet.step(node_id, events.ServerAnnounced(server=server))

    def leave(self, node_id: str) -> None:
        """Lets a proxy leave the cluster and stops it."""
        self._fleet.step(node_id, events.LeaveRequested())
        self.run(1.0)
        self._fleet.kill(node_id)
        self.record_event(f"{node_id} stopped")

    def publish(self, operator: str, revision: int) -> None:
        """Publishes both services and waits until every proxy holds them."""
        base = self._fleet.state.publication_version
        publish_id = f"{operator}-{revision}"
        self.transcript.write(
            f"{operator}$ lovagesaddle publish services --wait"
            f"  # revision {revision}"
        )
        found, _ = service_files.check_files(BOTH_SERVICES, revision)
        command = control_vms.make_command(operator, publish_id, base, found)
        self._fleet.commit(command)
        result = control_vms.find_result(self._fleet.state, publish_id)
        self.transcript.write(f"{operator}> {output.describe_result(result)}")
        duration_s = self._fleet.run_until_converged()
        self.transcript.write(
            f"{operator}> in force on all {len(self._fleet.nodes)} nodes"
            f" after {duration_s:.2f} s"
        )

    def send(
        self, name: str, *, idempotent: bool = False, token: bool = True
    ) -> None:
        """Sends a request to the entry, unless routing or access refuses it.

        Args:
          name: Name of the request in the transcript.
          idempotent: Whether the request may run more than once.
          token: Whether the caller sends a valid token.
        """
        self.transcript.write(f"caller of {name}: GET orderdesk.example/")
        found = explanation.explain_request(
            self.read_snapshot(),
            method="GET",
            url="http://orderdesk.example/",
            sender=explanation.Sender(
                token_digest=TOKEN_DIGEST if token else ""
            ),
        )
        if found.status:
            self.record_event(
                f"{name} refused status={found.status} reason={found.reason}"
                " outcome=not-run"
            )
            return
        self.calls.now = self._fleet.now
        self.calls.send(name, idempotent=idempotent)

    def run(self, seconds: float) -> None:
        """Advances the virtual time of the fleet and the calls by seconds."""
        self._fleet.run(seconds)
        self.calls.pass_time(self._fleet.now - self.calls.now)

    def record_event(self, text: str) -> None:
        """Records an event with the virtual time, 0 while the fleet is made."""
        now = self._fleet.now if self.fleet is not None else 0.0
        self.transcript.add_event(now, text)

    def read_snapshot(self) -> snapshots.Snapshot:
        """Returns the snapshot that the entry, the first proxy, routes by."""
        entry = sorted(self._fleet.nodes)[0]
        return self._fleet.nodes[entry].installed[-1].snapshot

    def _record_early_event(self, text: str) -> None:
        self.record_event(text)


def _describe_log_line(line: events.LogLine) -> str:
    fields = {
        "peer": line.peer,
        "version": line.version,
        "reason": line.reason,
        "candidates": ",".join(line.candidates),
    }
    pairs = [f"{key}={value}" for key, value in fields.items() if value]
    return " ".join([line.event.replace(" ", "_"), *pairs])


def _describe_command(command: commands.Command | None) -> str:
    match command:
        case commands.PublishServices():
            return f"publish={command.publish_id}"
        case commands.ChangeMembership():
            joined = [n.node_id for n in command.nodes]
            servers = [
                f"{s.server_id}:{s.state.value}" for s in command.servers
            ]
            gone = [m.member_id for m in command.gone_nodes]
            return (
                f"membership joined={','.join(joined) or '-'}"
                f" servers={','.join(servers) or '-'}"
                f" gone={','.join(gone) or '-'}"
            )
        case commands.FoundCluster():
            return f"founded={command.cluster_id}"
        case _:
            return type(command).__name__
