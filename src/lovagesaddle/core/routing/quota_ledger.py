"""Entry side of quotas: uses granted tokens, and asks for more ahead of need.

The load that it answers: an entry sees between none and all of an account's
requests. It asks for what it expects to use in one lease, before the tokens run
out, and holds none for accounts that seldom call it. The first holders that it
asks are in its own failure domain; it goes on to others when those are used up
or silent.
"""

from collections.abc import Callable
import dataclasses
import enum
import math

from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_parts
from lovagesaddle.core.routing import quota_rules

# Time constant of an account's rate at this entry, in seconds.
RATE_S = 1.0
# Least use expected in a lease for which tokens are asked for ahead.
AHEAD_TOKENS = 1.0
# Tokens are asked for when those left last less than this, in seconds.
AHEAD_S = 0.15
# Share of the lease's end in which it is renewed, or unused tokens returned.
LAST_PART = 0.3
# Time after which an unanswered holder counts as silent, and for how long, in
# seconds.
PATIENCE_S = 0.04
SILENCE_S = 1.0
SWEEP_S = 0.25
# Time after which an account's rate and leases are forgotten, in seconds.
IDLE_S = 20.0
MS_PER_S = 1000


class Verdict(enum.Enum):
    """What an entry without tokens does with a request.

    WAIT: a holder has been asked or can be asked.
    OVER: every holder says that its part is used up.
    UNKNOWN: the quota may have room, but a holder is silent or not ready.
    """

    WAIT = 1
    OVER = 2
    UNKNOWN = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Receipt:
    """A token that a request used.

    Attributes:
      account: Name of the account.
      holder_id: Holder that granted it.
      stamp: Newest ask to that holder when the token was used. A later ask
        has reported the token as used, so that it can't come back.
    """

    account: str
    holder_id: str
    stamp: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message to a node, which may be this one."""

    node_id: str
    message: messages.QuotaMessage


class _Lease:
    """What an entry holds of one holder, and what it has asked it."""

    def __init__(self) -> None:
        self.tokens = 0
        self.expires_at = float("-inf")
        self.stamp = 0
        self.asked_at = float("-inf")
        self.is_pending = False
        self.lasts_s = 0.0
        self.used = 0
        self.quiet_until = float("-inf")
        self.scarce_until = float("-inf")
        self.is_empty = False

    def count(self, now: float) -> int:
        """Returns the tokens that may be used."""
        return self.tokens if now < self.expires_at else 0


class _Account:
    """State of one account at an entry."""

    def __init__(self) -> None:
        self.requests = 0.0
        self.at = float("-inf")
        self.leases: dict[str, _Lease] = {}
        self.waiting = 0

    def decay(self, now: float) -> None:
        """Lets the count of recent requests decay until now."""
        if now > self.at:
            self.requests *= math.exp((self.at - now) / RATE_S)
            self.at = now

    def count(self, now: float) -> int:
        """Returns the tokens that may be used."""
        return sum(lease.count(now) for lease in self.leases.values())


class QuotaLedger:
    """Uses and renews the tokens of one entry.

    All times are of a clock that counts the suspension of the VM.

    Args:
      node_id: ID of this node.
      rules: Rule on quotas.
      find_parts: Returns the newest map of the parts; None before the first.
    """

    def __init__(
        self,
        *,
        node_id: str,
        rules: quota_rules.QuotaRules,
        find_parts: Callable[[], quota_parts.PartMap | None],
    ) -> None:
        self._node_id = node_id
        self._rules = rules
        self._find_parts = find_parts
        self._accounts: dict[str, _Account] = {}
        self._orders: dict[str, tuple[str, ...]] = {}
        self._ordered_by: quota_parts.PartMap | None = None
        self._swept_at = float("-inf")

    def record_request(self, name: str, now: float) -> None:
        """Counts a request of an account for the expected use."""
        account = self._accounts.setdefault(name, _Account())
        account.decay(now)
        account.requests += 1

    def take(self, name: str, now: float) -> Receipt | None:
        """Uses a token; None if there is none."""
        account = self._accounts.setdefault(name, _Account())
        best: tuple[float, str] | None = None
        for holder_id, lease in account.leases.items():
            if lease.count(now) and (
                best is None or best[0] > lease.expires_at
            ):
                best = (lease.expires_at, holder_id)
        if best is None:
            return None
        lease = account.leases[best[1]]
        lease.tokens -= 1
        lease.used += 1
        return Receipt(account=name, holder_id=best[1], stamp=lease.stamp)

    def give_back(self, receipt: Receipt) -> bool:
        """Returns the token of a request that did not run, if that is sound."""
        account = self._accounts.get(receipt.account)
        if account is None:
            return False
        lease = account.leases.get(receipt.holder_id)
        if lease is None or lease.stamp != receipt.stamp or not lease.used:
            return False
        lease.tokens += 1
        lease.used -= 1
        return True

    def change_waiting(self, name: str, by: int) -> None:
        """Counts the requests that wait for a token."""
        self._accounts.setdefault(name, _Account()).waiting += by

    def plan_asks(self, name: str, now: float) -> tuple[Send, ...]:
        """Returns the asks that are due for an account."""
        account = self._accounts.setdefault(name, _Account())
        account.decay(now)
        expected = account.requests / RATE_S * self._rules.lease_s
        held = account.count(now)
        is_ahead = expected >= AHEAD_TOKENS and self._is_due(account, held, now)
        if not account.waiting and not is_ahead:
            return ()
        holder_id = self._choose_holder(name, account, now)
        if holder_id is None:
            return ()
        need = max(0, account.waiting - held)
        ahead = math.ceil(expected) if expected >= AHEAD_TOKENS else 0
        want = max(need, ahead - held, 1)
        return (self._ask(name, holder_id, need=need, want=want, now=now),)

    def judge(self, name: str, now: float) -> tuple[Verdict, float]:
        """Returns what to do with a request, and when to ask again.

        Returns:
          The verdict, and the time until a holder may be asked, in seconds.
        """
        account = self._accounts.setdefault(name, _Account())
        holders = self._list_holders(name)
        if not holders:
            return Verdict.UNKNOWN, SILENCE_S
        soonest = float("inf")
        is_empty = True
        for holder_id in holders:
            lease = account.leases.get(holder_id)
            if lease is None or now >= lease.quiet_until:
                return Verdict.WAIT, 0.0
            soonest = min(soonest, lease.quiet_until - now)
            is_empty = is_empty and lease.is_empty
        return Verdict.OVER if is_empty else Verdict.UNKNOWN, soonest

    def receive(
        self, holder_id: str, grant: messages.Grant, now: float
    ) -> None:
        """Credits the tokens of a holder's answer to the newest ask."""
        account = self._accounts.get(grant.account)
        lease = account.leases.get(holder_id) if account is not None else None
        if lease is None or grant.stamp != lease.stamp:
            return
        lease.is_pending = False
        lease.quiet_until = float("-inf")
        lease.scarce_until = now + grant.retry_ms / MS_PER_S
        if grant.state is not messages.HolderState.GRANTED:
            lease.quiet_until = lease.scarce_until
            lease.is_empty = grant.state is messages.HolderState.EMPTY
        if grant.state is not messages.HolderState.NOT_READY:
            lease.tokens = max(0, grant.total - lease.used)
            lease.expires_at = lease.asked_at + lease.lasts_s

    def sweep(self, now: float) -> tuple[Send, ...]:
        """Returns the messages that give unused tokens back, if they are due.

        A single token is not worth a message: it runs out.
        """
        if now < self._swept_at + SWEEP_S:
            return ()
        self._swept_at = now
        last_s = self._rules.lease_s * LAST_PART
        sends: list[Send] = []
        for name, account in tuple(self._accounts.items()):
            if now - account.at > IDLE_S and not account.waiting:
                del self._accounts[name]
                continue
            for holder_id, lease in account.leases.items():
                count = lease.count(now)
                if count > 1 and lease.expires_at - now < last_s:
                    sends.append(
                        self._ask(name, holder_id, need=0, want=0, now=now)
                    )
        return tuple(sends)

    def _is_due(self, account: _Account, held: int, now: float) -> bool:
        if held <= account.requests / RATE_S * AHEAD_S:
            return True
        last_s = self._rules.lease_s * LAST_PART
        return all(
            lease.expires_at - now < last_s
            for lease in account.leases.values()
            if lease.count(now)
        )

    def _choose_holder(
        self, name: str, account: _Account, now: float
    ) -> str | None:
        """Returns the first holder that can be asked; None to wait.

        Holders with little left are asked last, and only if requests wait.
        """
        scarce: str | None = None
        for holder_id in self._list_holders(name):
            lease = account.leases.setdefault(holder_id, _Lease())
            if lease.is_pending:
                if now < lease.asked_at + PATIENCE_S:
                    return None
                lease.is_pending = False
                lease.is_empty = False
                lease.quiet_until = now + SILENCE_S
            if now >= lease.scarce_until and now >= lease.quiet_until:
                return holder_id
            if now >= lease.quiet_until and account.waiting:
                scarce = scarce or holder_id
        return scarce

    def _ask(
        self, name: str, holder_id: str, *, need: int, want: int, now: float
    ) -> Send:
        lease = self._accounts[name].leases[holder_id]
        count = lease.count(now)
        lease.stamp = max(lease.stamp + 1, int(now * MS_PER_S))
        lease.asked_at = now
        lease.is_pending = want > 0
        lease.used = 0
        returned = 0 if want else count
        lease.tokens = count - returned
        ask = messages.Ask(
            account=name,
            stamp=lease.stamp,
            held=lease.tokens,
            returned=returned,
            need=need,
            want=want,
        )
        rules = self._rules
        lease.lasts_s = rules.short_lease_s if ask.is_short else rules.lease_s
        return Send(node_id=holder_id, message=ask)

    def _list_holders(self, name: str) -> tuple[str, ...]:
        """Returns the holders of an account in the order of asking."""
        parts = self._find_parts()
        if parts is None:
            return ()
        if parts is not self._ordered_by:
            self._ordered_by = parts
            self._orders.clear()
        order = self._orders.get(name)
        if order is None:
            domain_of = parts.domain_of
            own_domain = domain_of.get(self._node_id)
            order = tuple(
                sorted(
                    parts.find_holders(name),
                    key=lambda holder_id: (
                        holder_id != self._node_id,
                        domain_of[holder_id] != own_domain,
                        quota_parts.compute_score(self._node_id, holder_id),
                    ),
                )
            )
            self._orders[name] = order
        return order
