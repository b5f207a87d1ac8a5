"""Defines leader stamps, by which nodes compare how current parents are.

A newer stamp shows that a majority confirmed a leader more recently.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LeaderStamp:
    """Proof that a majority confirmed a leader, ordered by (term, counter).

    The counter increases each time a majority confirms the leader.
    """

    term: int
    counter: int
