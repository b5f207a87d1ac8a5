"""Control VMs: consensus replicas that apply entries to a state machine."""

import dataclasses

from tests import replica_cluster

from lovagesaddle.control import replicated_state
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services

ANSWER_TIMEOUT_S = 5.0
# The base class publishes FINAL_PAYLOAD in its last check. The state machine
# cannot decode it, so that NO_CHANGE is proposed in its place.
FINAL_PAYLOAD = b"last"
NO_CHANGE = commands.COMMANDS.encode(commands.ChangeMembership())


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A publish that was sent to one replica, and its proposal ID."""

    command: commands.PublishServices
    proposal_id: int


class ControlVms(replica_cluster.Cluster):
    """Replicas that apply their accepted entries, in virtual time."""

    def __init__(self) -> None:
        self.machines: dict[str, replicated_state.ReplicatedState] = {}
        self.lost_disks: set[str] = set()
        super().__init__(seed=11)

    def restart(self, name: str) -> None:
        """Restarts a replica from its disk, unless the disk is lost."""
        if name in self.lost_disks:
            return
        self.machines[name] = replicated_state.ReplicatedState()
        super().restart(name)

    def lose_disk(self, name: str) -> None:
        """Crashes a replica and wipes its disk; it is never restarted."""
        self.crash(name)
        self.wipe(name)
        self.lost_disks.add(name)

    def propose(self, name: str, payload: bytes) -> int:
        """Proposes a command to one replica and returns the proposal ID."""
        if payload == FINAL_PAYLOAD:
            payload = NO_CHANGE
        return super().propose(name, payload)

    def read(self, name: str) -> state_lib.State:
        """Returns the state that a replica has applied."""
        return self.machines[name].state

    def read_accepted(self) -> state_lib.State:
        """Waits for a leader and returns the state that it has applied."""
        return self.read(self.wait_for_leader())

    def send(self, name: str, command: commands.PublishServices) -> Attempt:
        """Sends a publish to one replica, which may never answer it."""
        payload = self.machines[name].encode_command(command)
        return Attempt(command=command, proposal_id=self.propose(name, payload))

    def await_answer(self, attempt: Attempt) -> commands.PublishResult | None:
        """Returns the answer to a publish.

        None if the replica refused it or did not answer in time.
        """
        self.run_until(
            lambda: (
                attempt.proposal_id in self.accepted
                or attempt.proposal_id in self.refused
            ),
            limit_s=ANSWER_TIMEOUT_S,
            must=False,
        )
        if attempt.proposal_id not in self.accepted:
            return None
        state = self.read_accepted()
        return find_result(state, attempt.command.publish_id)

    def settle(self) -> None:
        """Waits until every running replica has applied the leader's state."""
        self.publish(NO_CHANGE)
        running = [n for n, h in self.hosts.items() if h.replica is not None]
        version = self.read_accepted().snapshot.version
        self.run_until(
            lambda: all(
                self.read(name).snapshot.version >= version for name in running
            )
        )

    def _apply(
        self, host: replica_cluster.Host, entry: entries_lib.Entry
    ) -> None:
        super()._apply(host, entry)
        self.machines[host.member.member_id].apply((entry,))


def find_result(
    state: state_lib.State, publish_id: str
) -> commands.PublishResult:
    """Returns the stored result of a publish ID."""
    (found,) = (
        kept.result for kept in state.results if kept.publish_id == publish_id
    )
    return found


def make_command(
    operator: str,
    publish_id: str,
    base_version: int,
    published: tuple[services.Service, ...],
) -> commands.PublishServices:
    """Returns the command of a publish."""
    return commands.PublishServices(
        publish_id=publish_id,
        operator=operator,
        base_version=base_version,
        services=published,
    )


def make_replacement(
    member: entries_lib.Member, replaced_id: str
) -> entries_lib.Member:
    """Returns a learner that replaces a lost member once it is a voter."""
    return dataclasses.replace(member, is_voter=False, replaces=replaced_id)
