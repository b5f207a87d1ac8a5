"""How replicas tell each other who they are and who belongs to the cluster."""

import dataclasses

from lovagesaddle.control import replica_links
from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import replica as replica_lib

INTRODUCTION_LIFE_S = 5.0
# Without a leader for this long, a replica asks whether it was removed.
ALONE_S = 1.0


class RemovedError(errors.ConsensusError):
    """Raised in a replica that is no member any more.

    Its log counts for nothing; it may return with an empty data folder.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    member: entries_lib.Member
    at: float


class Introductions:
    """Remembers newcomers, answers them, and notices an own removal.

    Args:
      cluster_id: Cluster from the settings.
      own: This replica.
      replica: Its core.
      links: Its links to the other replicas.
    """

    def __init__(
        self,
        *,
        cluster_id: str,
        own: entries_lib.Member,
        replica: replica_lib.Replica,
        links: replica_links.ReplicaLinks,
    ) -> None:
        self._cluster_id = cluster_id
        self._own = own
        self._replica = replica
        self._links = links
        self._seen: dict[str, _Seen] = {}
        self._is_removed = False
        self._led_at: float | None = None

    def find_newcomer(
        self, replica_id: str, now: float
    ) -> entries_lib.Member | None:
        """Returns a replica that lately introduced itself with no log."""
        seen = self._seen.get(replica_id)
        if seen is None or now - seen.at > INTRODUCTION_LIFE_S:
            return None
        return seen.member

    def list_newcomers(self, now: float) -> tuple[entries_lib.Member, ...]:
        """Returns the replicas that did so, by name."""
        found = (self.find_newcomer(name, now) for name in sorted(self._seen))
        return tuple(member for member in found if member is not None)

    def handle(
        self, introduction: founding.Introduction, route: bytes, now: float
    ) -> None:
        """Takes another replica's word; answers it if this one has a log.

        Args:
          introduction: The word.
          route: Of the connection that it came over; empty for an answer.
          now: Monotonic time in seconds.
        """
        member = introduction.member
        if introduction.has_log:
            self._learn(introduction)
        elif not introduction.is_founding:
            self._seen[member.replica_id] = _Seen(member, now)
        if route and self._replica.last_index > 0:
            self._links.answer(route, self._describe_to(member))

    def tick(self, now: float) -> None:
        """Asks around when no leader has been known for a while.

        Raises:
          RemovedError: The other replicas went on without this one.
        """
        if self._is_removed:
            raise RemovedError(
                step="follow the log",
                peer="leader",
                cause="this replica is no member any more",
            )
        if self._led_at is None or self._replica.leader:
            self._led_at = now
        elif self._replica.last_index > 0 and now - self._led_at >= ALONE_S:
            self._led_at = now
            self._links.introduce_to_all(
                founding.Introduction(
                    cluster_id=self._cluster_id,
                    member=self._own,
                    is_founding=False,
                    has_log=True,
                    is_question=True,
                    term=self._replica.term,
                )
            )

    def _learn(self, introduction: founding.Introduction) -> None:
        """Takes what a replica with a log says of the members."""
        self._links.add_contacts(introduction.members)
        # A leader that was deposed unawares may lack a member that joined
        # since, but its term is then lower than that member's.
        self._is_removed |= (
            introduction.is_settled
            and not introduction.knows_receiver
            and introduction.term >= self._replica.term
            and self._replica.last_index > 0
        )

    def _describe_to(self, member: entries_lib.Member) -> founding.Introduction:
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
        )
