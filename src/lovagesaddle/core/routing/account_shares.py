"""How much of an owner's room each client account has recently had.

Answers the overload of a service whose client accounts compete for room: one
account sends nine times its usual, others little, some repeat at once whatever
they are told. An account is measured by what was served to it lately against
what it usually asks for here. One that asks for more than usual reaches its
part first and then waits behind the others; one that was refused goes first.
"""

import dataclasses
import math

# Time constant of what counts as recent; as for the shares of kinds.
RECENT_S = 5.0
# Time constant of what is usual: long against a burst of some seconds.
USUAL_S = 60.0
# Requests of which nobody has asked for more; an account that sends less is
# not told from its neighbours by the chance of few arrivals.
LEAST_USUAL = 1.0
# Requests beyond this multiple of the usual rate don't make it a higher one.
MOST_USUAL_FACTOR = 1.1
# Bounds the memory while accounts come and go.
MAX_ACCOUNTS = 4096


@dataclasses.dataclass(slots=True)
class _Use:
    """Decayed counts of one account.

    Attributes:
      served: Requests that got a slot, decayed by RECENT_S.
      asked: Requests that arrived as usual, decayed by USUAL_S.
      allowance: Arrivals that may still count as usual now.
      time_s: Time that `asked` covers, decayed by USUAL_S.
      at: Monotonic time up to which all are decayed, in seconds.
    """

    at: float
    served: float = 0.0
    asked: float = 0.0
    allowance: float = 0.0
    time_s: float = 0.0

    @property
    def usual(self) -> float:
        """Requests that usually arrive in RECENT_S."""
        return self.asked / max(self.time_s, RECENT_S) * RECENT_S

    def decay(self, now: float) -> None:
        """Decays the counts up to a monotonic time in seconds."""
        passed_s = max(0.0, now - self.at)
        usual_factor = math.exp(-passed_s / USUAL_S)
        most = MOST_USUAL_FACTOR * max(self.usual, LEAST_USUAL)
        self.allowance += passed_s / RECENT_S * most
        self.allowance = min(self.allowance, most)
        self.served *= math.exp(-passed_s / RECENT_S)
        self.asked *= usual_factor
        self.time_s = self.time_s * usual_factor + passed_s
        self.at = max(self.at, now)


class AccountShares:
    """Counts what accounts ask for and what is served to them."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}

    def record_asked(self, account: str, now: float) -> None:
        """Records a request that arrived."""
        use = self._get_or_create(account, now)
        if use.time_s < RECENT_S:
            use.asked += 1
            return
        counted = min(1.0, use.allowance)
        use.allowance -= counted
        use.asked += counted

    def record_served(self, account: str, now: float) -> None:
        """Records a request that got a slot."""
        self._get_or_create(account, now).served += 1

    def compute_part(
        self, account: str, now: float, *, ahead: int = 0
    ) -> float:
        """Returns what was served lately, relative to what is usual.

        It is about 1 for an account of which nothing is refused, below 1 for
        one that is refused, and above 1 for one that gets more than usual.

        Args:
          account: Name of the account.
          now: Monotonic time in seconds.
          ahead: Requests of the account that are to be served before; each
            counts as if it had been.
        """
        use = self._uses.get(account)
        if use is None:
            return float(ahead)
        use.decay(now)
        return (use.served + ahead) / max(use.usual, LEAST_USUAL)

    def _get_or_create(self, account: str, now: float) -> _Use:
        use = self._uses.get(account)
        if use is None:
            if len(self._uses) >= MAX_ACCOUNTS:
                oldest = min(self._uses, key=lambda name: self._uses[name].at)
                del self._uses[oldest]
            use = _Use(at=now)
            self._uses[account] = use
        use.decay(now)
        return use
