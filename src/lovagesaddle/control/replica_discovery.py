"""Discovers the members of the cluster by introductions between replicas."""

import dataclasses

from lovagesaddle.control import replica_links
from lovagesaddle.core import echoes
from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import replica as replica_lib

INTRODUCTION_TTL_S = 5.0
# A replica that has known no leader for this long asks the others whether it
# was removed.
NO_LEADER_TIMEOUT_S = 1.0


class RemovedError(errors.ConsensusError):
    """Raised in a replica that was removed from the cluster.

    Its log is no longer valid; it may rejoin with an empty data folder.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenReplica:
    member: entries_lib.Member
    at: float


class ReplicaDiscovery:
    """Records and answers new replicas, and detects if this one was removed.

    Args:
      cluster_id: ID of the cluster, from the settings.
      own: Member entry of this replica.
      replica: Consensus state machine of this replica.
      links: Sends messages to the other replicas.
      random_source: Source of the first number of a question.
    """

    def __init__(
        self,
        *,
        cluster_id: str,
        own: entries_lib.Member,
        replica: replica_lib.Replica,
        links: replica_links.ReplicaLinks,
        random_source: echoes.Random,
    ) -> None:
        self._cluster_id = cluster_id
        self._own = own
        self._replica = replica
        self._links = links
        self._questions = echoes.Echoes(random_source)
        self._seen: dict[str, _SeenReplica] = {}
        self._is_removed = False
        self._leader_known_at: float | None = None

    def find_newcomer(
        self, replica_id: str, now: float
    ) -> entries_lib.Member | None:
        """Returns a replica that recently introduced itself without a log."""
        seen = self._seen.get(replica_id)
        if seen is None or now - seen.at > INTRODUCTION_TTL_S:
            return None
        return seen.member

    def list_newcomers(self, now: float) -> tuple[entries_lib.Member, ...]:
        """Returns replicas without a log that recently introduced themselves.

        They are sorted by ID.
        """
        found = (self.find_newcomer(name, now) for name in sorted(self._seen))
        return tuple(member for member in found if member is not None)

    def handle(
        self, introduction: founding.Introduction, route: bytes, now: float
    ) -> None:
        """Handles an introduction; answers it if this replica has a log.

        Args:
          introduction: Introduction of another replica.
          route: Connection to answer on; empty if the introduction is itself
            an answer.
          now: Monotonic time in seconds.
        """
        member = introduction.member
        if introduction.has_log:
            self._handle_members(introduction)
        elif not introduction.is_founding:
            self._seen[member.replica_id] = _SeenReplica(member, now)
        if route and self._replica.last_index > 0:
            self._links.answer(
                route, self._make_answer(member, introduction.sequence)
            )

    def tick(self, now: float) -> None:
        """Introduces this replica to all others while no leader is known.

        Raises:
          RemovedError: This replica was removed from the cluster.
        """
        if self._is_removed:
            raise RemovedError(
                step="follow the log",
                peer="leader",
                cause="this replica is no member any more",
            )
        if self._leader_known_at is None or self._replica.leader:
            self._leader_known_at = now
        elif (
            self._replica.last_index > 0
            and now - self._leader_known_at >= NO_LEADER_TIMEOUT_S
        ):
            self._leader_known_at = now
            self._links.introduce_to_all(
                founding.Introduction(
                    cluster_id=self._cluster_id,
                    member=self._own,
                    is_founding=False,
                    has_log=True,
                    is_question=True,
                    term=self._replica.term,
                    sequence=self._questions.send(now),
                )
            )

    def _handle_members(self, introduction: founding.Introduction) -> None:
        """Handles the members that a replica with a log reports."""
        self._links.add_contacts(introduction.members)
        # An answer to an introduction that was sent before this replica joined
        # may arrive late, and doesn't know it.
        is_answer = self._questions.date(introduction.sequence, 0.0) is not None
        # A deposed leader that has not seen the new term may report members
        # without this replica, if this replica joined since. The leader's term
        # is then lower than the term of this replica.
        self._is_removed |= (
            is_answer
            and introduction.is_settled
            and not introduction.knows_receiver
            and introduction.term >= self._replica.term
            and self._replica.last_index > 0
        )

    def _make_answer(
        self, member: entries_lib.Member, sequence: int
    ) -> founding.Introduction:
        members = self._replica.members
        return founding.Introduction(
            cluster_id=self._cluster_id,
            member=self._own,
            is_founding=False,
            has_log=True,
            knows_receiver=members.find(member.member_id) is not None,
            term=self._replica.term,
            is_settled=self._replica.has_committed_members,
            members=members.members,
            sequence=sequence,
        )
