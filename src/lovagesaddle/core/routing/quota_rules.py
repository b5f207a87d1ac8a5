"""Figures that follow from a mesh's rule on quotas.

In every window, the nodes together may admit, of one client account,
(rate x window + burst) x (1 + overrun) + slack requests. A token bucket keeps
that in each window if its capacity and what flows into it in one window add up
to the bound. The capacity is what flows in during one lease, since so many
tokens are at entries, but no less than the burst. All else is rate: an account
that sends a little more than its rate all the time is within the bound too.
"""

import dataclasses

from lovagesaddle.core.model import services

LEASE_S = 1.0
# Part of a lease for which tokens may be used that requests wait for.
SHORT_PART = 0.25
LEASES_IN_WINDOW = 5
PROOF_S = 4.0
# Tokens of the whole mesh with which every part has five, and the largest part
# of a bound that is taken from the rate for them.
LEAST_TOKENS = 30.0
LEAST_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRules:
    """The rule on quotas, and the times by which it is kept.

    Attributes:
      window_s: Length of every window, in seconds.
      overrun: Share by which the quota may be exceeded.
      slack: Requests beyond that which may be admitted in a window.
      proof_s: Age of the table, in seconds, beyond which a holder grants
        nothing, since its part may be with another by now.
    """

    window_s: float
    overrun: float = 0.0
    slack: float = 0.0
    proof_s: float = PROOF_S

    @property
    def lease_s(self) -> float:
        """Time for which granted tokens may be used, in seconds."""
        return min(LEASE_S, self.window_s / LEASES_IN_WINDOW)

    @property
    def short_lease_s(self) -> float:
        """Time for which tokens that requests wait for may be used."""
        return self.lease_s * SHORT_PART

    @property
    def settle_s(self) -> float:
        """Time after which a former holder's tokens are void, in seconds."""
        return self.proof_s + self.lease_s

    def compute_bound(self, account: services.ClientAccount) -> float:
        """Returns how many requests may be admitted in one window."""
        owed = account.rate_per_s * self.window_s + account.burst
        return owed * (1 + self.overrun) + self.slack

    def compute_capacity(self, account: services.ClientAccount) -> float:
        """Returns the tokens of the whole mesh, those in leases included."""
        bound = self.compute_bound(account)
        return max(
            min(LEAST_TOKENS, LEAST_PART * bound),
            bound * self.lease_s / (self.window_s + self.lease_s),
            account.burst * (1 + self.overrun),
        )

    def compute_rate(self, account: services.ClientAccount) -> float:
        """Returns the tokens a second of the whole mesh."""
        left = self.compute_bound(account) - self.compute_capacity(account)
        return left / self.window_s
