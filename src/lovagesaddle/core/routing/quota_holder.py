"""Holder side of quotas: grants the tokens of the parts that a node holds.

The load that it answers: an account's requests arrive at all entries in very
uneven parts, and holders freeze, die, restart or are cut off meanwhile. A part
is a token bucket that counts granted tokens as present until they are
reported as used or their lease has run out; then they count as used. So the
requests admitted in a window never exceed capacity and inflow, whatever is
lost. A holder grants only while its table is proved young, and a part that is
new to it only when all that a former holder may have granted has run out.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_parts
from lovagesaddle.core.routing import quota_rules

# Time after which an unused bucket is full in any case, in seconds.
HISTORY_S = 30.0
# Longest time without a proof after which a part that has not moved is used
# again at once, in seconds.
MAX_GAP_S = 10.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 1.0
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Lease:
    """Tokens that an entry may hold, until `expires_at` at the latest."""

    stamp: int
    count: int
    expires_at: float


class _Bucket:
    """Tokens of one part; `level` excludes those in leases."""

    def __init__(self, level: float, share: float, now: float) -> None:
        self.level = level
        self.share = share
        self.at = now
        self.expired = 0
        self.leased = 0
        # Long and short ones, each in the order in which they run out.
        self._leases: tuple[dict[str, _Lease], ...] = ({}, {})

    def find_lease(self, entry_id: str) -> _Lease | None:
        """Returns the lease of an entry, if it has not run out."""
        long, short = self._leases
        return long.get(entry_id) or short.get(entry_id)

    def put_lease(
        self, entry_id: str, lease: _Lease, *, is_short: bool
    ) -> None:
        """Replaces the lease of an entry."""
        self._remove(entry_id)
        self._leases[is_short][entry_id] = lease
        self.leased += lease.count

    def advance(self, rate: float, capacity: float, now: float) -> None:
        """Lets tokens flow in, and leases run out, in the order of time."""
        while True:
            heads = [
                (lease.expires_at, entry_id, lease.count)
                for leases in self._leases
                for entry_id, lease in itertools.islice(leases.items(), 1)
                if lease.expires_at <= now
            ]
            if not heads:
                break
            expires_at, entry_id, count = min(heads)
            self._fill(rate, capacity, expires_at)
            self._remove(entry_id)
            self.expired += count
        self._fill(rate, capacity, now)

    def _remove(self, entry_id: str) -> None:
        for leases in self._leases:
            lease = leases.pop(entry_id, None)
            if lease is not None:
                self.leased -= lease.count

    def _fill(self, rate: float, capacity: float, now: float) -> None:
        passed_s = max(0.0, now - self.at)
        room = capacity - self.leased
        self.level = max(0.0, min(room, self.level + rate * passed_s))
        self.at = max(self.at, now)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PastMap:
    """A map of the parts, which was in force until `until`."""

    parts: quota_parts.PartMap
    until: float


class QuotaHolder:
    """Grants tokens of the parts of quotas that a node holds.

    All times are of a clock that counts the suspension of the VM.

    Args:
      node_id: ID of this node.
      rules: Rule on quotas.
      now: Start of the process. A former process on this node may have granted
        tokens just before.
    """

    def __init__(
        self, *, node_id: str, rules: quota_rules.QuotaRules, now: float
    ) -> None:
        self._node_id = node_id
        self._rules = rules
        self._blank_until = now
        self._past: list[_PastMap] = []
        self._parts: quota_parts.PartMap | None = None
        self._accounts: dict[str, services.ClientAccount] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._expired = 0

    @property
    def parts(self) -> quota_parts.PartMap | None:
        """The newest map of the parts; None before the first table."""
        return self._parts

    def install(
        self,
        nodes: Iterable[snapshots.Node],
        accounts: Iterable[services.ClientAccount],
        *,
        now: float,
        table_age_s: float | None,
    ) -> None:
        """Installs a newer table.

        Args:
          nodes: Nodes of its snapshot.
          accounts: Client accounts of its snapshot.
          now: Present time.
          table_age_s: Age of the table in force until now, in seconds; None if
            nothing proves one.
        """
        nodes = tuple(nodes)
        self._accounts = {
            account.name: account
            for account in accounts
            if account.rate_per_s > 0
        }
        old = self._parts
        is_same = old is not None and old.has_same_nodes(nodes)
        gap_s = float("inf") if table_age_s is None else table_age_s
        limit_s = MAX_GAP_S if is_same else self._rules.proof_s
        if old is not None and gap_s > limit_s:
            # Parts may have moved away and back meanwhile.
            self._blank_until = now
            self._past.clear()
            for name in tuple(self._buckets):
                self._drop(name)
        if is_same:
            return
        self._parts = quota_parts.PartMap(nodes, old)
        if old is not None and self._blank_until < now:
            self._past.append(_PastMap(parts=old, until=now))
        oldest = now - self._rules.settle_s - HISTORY_S
        self._past = [past for past in self._past if past.until >= oldest]
        for name, bucket in tuple(self._buckets.items()):
            if bucket.at < oldest:
                self._drop(name)

    def answer(
        self,
        entry_id: str,
        ask: messages.Ask,
        *,
        now: float,
        table_age_s: float | None,
    ) -> messages.Grant | None:
        """Returns the answer to an entry's ask; None if it gets none."""
        account = self._accounts.get(ask.account)
        is_proved = (
            table_age_s is not None and table_age_s <= self._rules.proof_s
        )
        share = 0.0
        if account is not None and is_proved:
            share = self._compute_share(ask.account, now)
        if account is None or not share:
            return messages.Grant(
                account=ask.account,
                stamp=ask.stamp,
                total=0,
                state=messages.HolderState.NOT_READY,
                retry_ms=int(MAX_RETRY_S * MS_PER_S),
            )
        bucket = self._advance(account, share, now)
        lease = bucket.find_lease(entry_id)
        if lease is not None and ask.stamp <= lease.stamp:
            return None
        known = lease.count if lease is not None else 0
        held = min(ask.held, known)
        bucket.level += min(ask.returned, known - held)
        given = _compute_grant(ask, bucket.level)
        bucket.level -= given
        bucket.put_lease(
            entry_id,
            _Lease(
                stamp=ask.stamp,
                count=held + given,
                expires_at=now
                + (
                    self._rules.short_lease_s
                    if ask.is_short
                    else self._rules.lease_s
                ),
            ),
            is_short=ask.is_short,
        )
        if not ask.want:
            return None
        return self._make_grant(ask, account, share, held=held, given=given)

    def count_leased(self) -> int:
        """Returns the tokens that entries may hold by the last reports."""
        return sum(bucket.leased for bucket in tuple(self._buckets.values()))

    def count_expired(self) -> int:
        """Returns the tokens that ran out without a report of their use."""
        return self._expired + sum(
            bucket.expired for bucket in tuple(self._buckets.values())
        )

    def _make_grant(
        self,
        ask: messages.Ask,
        account: services.ClientAccount,
        share: float,
        *,
        held: int,
        given: int,
    ) -> messages.Grant:
        state = messages.HolderState.GRANTED
        retry_s = 0.0
        if given < ask.need:
            state = messages.HolderState.EMPTY
            missing = ask.need - given
            rate = self._rules.compute_rate(account) * share
            retry_s = min(max(missing / rate, MIN_RETRY_S), MAX_RETRY_S)
        elif 2 * given < ask.want:
            retry_s = MIN_RETRY_S
        return messages.Grant(
            account=ask.account,
            stamp=ask.stamp,
            total=held + given,
            state=state,
            retry_ms=int(retry_s * MS_PER_S),
        )

    def _advance(
        self, account: services.ClientAccount, share: float, now: float
    ) -> _Bucket:
        rate = self._rules.compute_rate(account)
        capacity = self._rules.compute_capacity(account) * share
        since = self._find_start(account.name, share)
        bucket = self._buckets.get(account.name)
        if bucket is None or bucket.at < since:
            passed_s = max(0.0, now - since - self._rules.proof_s)
            level = min(capacity, rate * share * passed_s)
            self._drop(account.name)
            bucket = _Bucket(level, share, now)
            self._buckets[account.name] = bucket
        bucket.advance(rate * min(share, bucket.share), capacity, now)
        bucket.share = share
        return bucket

    def _drop(self, name: str) -> None:
        bucket = self._buckets.pop(name, None)
        if bucket is not None:
            self._expired += bucket.expired

    def _compute_share(self, account: str, now: float) -> float:
        """Returns the least share of the last `settle_s`."""
        settled = now - self._rules.settle_s
        if self._parts is None or self._blank_until > settled:
            return 0.0
        share = self._parts.compute_share(account, self._node_id)
        for past in self._past:
            if share and past.until > settled:
                other = past.parts.compute_share(account, self._node_id)
                share = min(share, other)
        return share

    def _find_start(self, account: str, share: float) -> float:
        """Returns since when this node holds `share` without a break."""
        start = self._blank_until
        for past in self._past:
            if past.parts.compute_share(account, self._node_id) < share:
                start = max(start, past.until)
        return start


def _compute_grant(ask: messages.Ask, level: float) -> int:
    """Returns the tokens to grant: an ask ahead of need gets half at most."""
    present = int(level)
    ahead = min(ask.want, present // 2)
    return min(present, max(ask.need, ahead))
