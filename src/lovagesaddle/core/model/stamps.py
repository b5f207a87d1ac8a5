"""Proof of how recently a majority confirmed a leader."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LeaderStamp:
    """Proof of a leader's recent authority, ordered by (term, counter).

    The counter rises each time a majority confirmed the leader.
    """

    term: int
    counter: int
