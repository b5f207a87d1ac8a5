"""Defines the stamps that show how recently a majority confirmed a leader."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LeaderStamp:
    """Proof that a majority confirmed a leader, ordered by (term, counter).

    The counter increases each time a majority confirms the leader.
    """

    term: int
    counter: int
