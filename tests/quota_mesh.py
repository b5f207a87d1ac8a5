"""Entries and holders of quotas in virtual time, for tests and benchmarks."""

import bisect
import collections
from collections.abc import Callable
import heapq
import itertools
import random
import time

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import quota_ledger
from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_rules
from lovagesaddle.core.routing import quotas

RULES = quota_rules.QuotaRules(window_s=5.0, overrun=0.1, slack=20.0)
DOMAINS = 3
NEAR_S = 0.0012  # One way in a failure domain, with the wait for a processor.
FAR_S = 0.0024
BEAT_S = 1.0
WAIT_S = 0.12
Event = Callable[[], None]


def make_account(
    name: str, rate_per_s: float, burst: float | None = None
) -> services.ClientAccount:
    """Returns an account; its burst is one second's worth by default."""
    return services.ClientAccount(
        name=name,
        digests=(),
        rate_per_s=rate_per_s,
        burst=rate_per_s if burst is None else burst,
    )


def make_node(node_id: str, domain: str) -> snapshots.Node:
    """Returns a node of a snapshot."""
    return snapshots.Node(
        node_id=node_id,
        incarnation=1,
        failure_domain=domain,
        region="r",
        http_address="",
        control_address="",
        public_key="",
    )


class Record:
    """What became of one account's requests.

    Attributes:
      admitted: Times of admission.
      sent: Time of arrival and whether it was admitted, of each request.
      over: Requests refused with 429.
      unknown: Requests refused with 503.
    """

    def __init__(self) -> None:
        self.admitted: list[float] = []
        self.sent: list[tuple[float, bool]] = []
        self.over = 0
        self.unknown = 0

    def count_most(self, window_s: float, since: float = 0.0) -> int:
        """Returns the most requests admitted in any window."""
        times = sorted(at for at in self.admitted if at >= since)
        return max(
            (
                bisect.bisect_right(times, at + window_s) - number
                for number, at in enumerate(times)
            ),
            default=0,
        )

    def count_missing(self, account: services.ClientAccount) -> int:
        """Returns how many more a bucket of the plain quota would admit."""
        level, last, owed = account.burst, 0.0, 0
        for at, _ in sorted(self.sent):
            refilled = level + account.rate_per_s * (at - last)
            level, last = min(account.burst, refilled), at
            if level >= 1:
                level -= 1
                owed += 1
        return max(0, owed - len(self.admitted))


class QuotaMesh:
    """Runs `quotas.NodeQuotas` of many nodes over links with a delay.

    Frozen nodes keep what reaches them until they wake. Messages between nodes
    of different `sides` are lost, and nodes of the sides in `stale` get
    neither proofs nor tables.

    Args:
      size: Number of nodes.
      accounts: Accounts of the first table.
      seed: Seed of the arrivals.
    """

    def __init__(
        self,
        size: int,
        accounts: tuple[services.ClientAccount, ...],
        *,
        seed: int = 1,
        domains: int = DOMAINS,
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.node_ids = [f"n{number:04d}" for number in range(size)]
        self._domain_of = {
            node_id: f"d{number % domains}"
            for number, node_id in enumerate(self.node_ids)
        }
        self.members = list(self.node_ids)
        self.accounts = {account.name: account for account in accounts}
        self.nodes: dict[str, quotas.NodeQuotas] = {}
        self.records: dict[str, Record] = collections.defaultdict(Record)
        self.sides: dict[str, int] = {}
        self.stale: set[int] = set()
        self.down: set[str] = set()
        self.sent = 0
        self.sent_far = 0
        self.bytes_far = 0
        self.waited = 0
        self.busy_s = 0.0
        self.frozen: dict[str, list[Event]] = {}
        self._proved: dict[str, float] = {}
        self._installed: dict[str, int] = {}
        self._version = 1
        self._events: list[tuple[float, int, Event]] = []
        self._numbers = itertools.count()
        for node_id in self.node_ids:
            self.start(node_id)

    def at(self, when: float, event: Event) -> None:
        """Runs an event at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def start(self, node_id: str) -> None:
        """Starts a node's process, which knows nothing of the one before."""
        self.down.discard(node_id)
        self.nodes[node_id] = quotas.NodeQuotas(
            node_id=node_id, rules=RULES, now=self.now
        )
        self._installed.pop(node_id, None)
        self._proved.pop(node_id, None)
        self._beat(node_id, self.nodes[node_id])

    def stop(self, node_id: str) -> None:
        """Ends a node's process without warning."""
        self.down.add(node_id)
        del self.nodes[node_id]

    def freeze(self, node_id: str, for_s: float) -> None:
        """Suspends a node; its clock goes on."""
        self.frozen[node_id] = []
        self.at(self.now + for_s, lambda: self._wake(node_id))

    def publish(
        self,
        *accounts: services.ClientAccount,
        members: list[str] | None = None,
    ) -> None:
        """Changes accounts or members; nodes learn of it within a moment."""
        self.accounts.update({account.name: account for account in accounts})
        if members is not None:
            self.members = members
        self._version += 1
        for node_id, node in tuple(self.nodes.items()):
            delay_s = 0.05 + 0.2 * self.random.random()
            self.at(
                self.now + delay_s,
                lambda node_id=node_id, node=node: self._deliver(  # type: ignore[misc]
                    node_id, lambda: self._update(node_id, node)
                ),
            )

    def list_holders(self, account: str) -> tuple[str, ...]:
        """Returns the holders of an account by the newest table."""
        parts = self.nodes[self.node_ids[0]]._holder.parts
        assert parts is not None
        return parts.find_holders(account)

    def send_poisson(
        self,
        account: str,
        rate_per_s: float,
        start: float,
        end: float,
        weights: list[float] | None = None,
    ) -> None:
        """Sends requests at random times to entries chosen by weight."""
        when = start
        while True:
            when += self.random.expovariate(rate_per_s)
            if when >= end:
                return
            [entry] = self.random.choices(self.node_ids, weights)
            self.at(when, lambda entry=entry: self.request(account, entry))  # type: ignore[misc]

    def request(self, account: str, entry: str) -> None:
        """Lets a caller's request arrive at an entry."""
        arrived_at = self.now
        if entry not in self.down:
            self._deliver(
                entry, lambda: self._admit(account, entry, arrived_at)
            )

    def _admit(self, name: str, entry: str, arrived_at: float) -> None:
        node = self.nodes.get(entry)
        if node is None:
            return
        started = time.perf_counter()
        receipt, sends = node.admit(
            name, now=self.now, table_age_s=self._compute_age(entry)
        )
        self.busy_s += time.perf_counter() - started
        self._send(entry, sends)
        if receipt is not None:
            self._finish(name, arrived_at)
            return
        self.waited += 1
        node.change_waiting(name, 1)
        ends_at = self.now + WAIT_S
        self._try(name, entry, node, arrived_at, ends_at)

    def _try(
        self,
        name: str,
        entry: str,
        node: quotas.NodeQuotas,
        arrived_at: float,
        ends_at: float,
    ) -> None:
        """Does what the thread of a waiting request does when it wakes up."""
        if self.nodes.get(entry) is not node:
            return
        started = time.perf_counter()
        receipt, sends = node.retry(
            name, now=self.now, table_age_s=self._compute_age(entry)
        )
        is_admitted = receipt is not None
        verdict, _ = node.judge(
            name, now=self.now, table_age_s=self._compute_age(entry)
        )
        self.busy_s += time.perf_counter() - started
        self._send(entry, sends)
        waits = verdict is quotas.Verdict.WAIT and self.now < ends_at
        if not is_admitted and waits:
            # The answer of a holder arrives before the patience is over.
            pause_s = min(quota_ledger.PATIENCE_S, 2.5 * FAR_S)
            self.at(
                self.now + pause_s,
                lambda: self._deliver(
                    entry,
                    lambda: self._try(name, entry, node, arrived_at, ends_at),
                ),
            )
            return
        node.change_waiting(name, -1)
        if is_admitted:
            self._finish(name, arrived_at)
            return
        record = self.records[name]
        record.sent.append((arrived_at, False))
        record.over += verdict is quotas.Verdict.OVER
        record.unknown += verdict is not quotas.Verdict.OVER

    def _finish(self, name: str, arrived_at: float) -> None:
        self.records[name].admitted.append(self.now)
        self.records[name].sent.append((arrived_at, True))

    def _send(self, sender: str, sends: tuple[quotas.Send, ...]) -> None:
        for send in sends:
            receiver = send.node_id
            is_far = self._domain_of[sender] != self._domain_of[receiver]
            self.sent += 1
            self.sent_far += is_far
            if is_far:
                data = messages.QUOTA_MESSAGES.encode(send.message)
                self.bytes_far += len(data) + len(sender) + 4
            if self.sides.get(sender, 0) != self.sides.get(receiver, 0):
                continue
            self.at(
                self.now + (FAR_S if is_far else NEAR_S),
                lambda receiver=receiver, send=send: self._deliver(  # type: ignore[misc]
                    receiver,
                    lambda: self._receive(sender, receiver, send.message),
                ),
            )

    def _receive(
        self, sender: str, receiver: str, message: messages.QuotaMessage
    ) -> None:
        node = self.nodes.get(receiver)
        if node is None:
            return
        started = time.perf_counter()
        data = messages.QUOTA_MESSAGES.encode(message)
        sends = node.receive(
            sender,
            messages.QUOTA_MESSAGES.decode(data, peer=sender),
            now=self.now,
            table_age_s=self._compute_age(receiver),
        )
        self.busy_s += time.perf_counter() - started
        self._send(receiver, sends)

    def _deliver(self, node_id: str, event: Event) -> None:
        """Runs an event at a node, or keeps it until the node wakes."""
        held = self.frozen.get(node_id)
        if held is not None:
            held.append(event)
        else:
            event()

    def _wake(self, node_id: str) -> None:
        for event in self.frozen.pop(node_id):
            event()

    def _beat(self, node_id: str, node: quotas.NodeQuotas) -> None:
        """Proves a node's table once a second, as the relay tree does."""
        if self.nodes.get(node_id) is not node:
            return
        self._deliver(node_id, lambda: self._update(node_id, node))
        self.at(self.now + BEAT_S, lambda: self._beat(node_id, node))

    def _update(self, node_id: str, node: quotas.NodeQuotas) -> None:
        if self.nodes.get(node_id) is not node:
            return
        if self.sides.get(node_id, 0) in self.stale:
            return
        if self._installed.get(node_id) != self._version:
            self._installed[node_id] = self._version
            node.install(
                [
                    make_node(member, self._domain_of[member])
                    for member in self.members
                ],
                self.accounts.values(),
                now=self.now,
                table_age_s=self._compute_age(node_id),
            )
        self._proved[node_id] = self.now

    def _compute_age(self, node_id: str) -> float | None:
        proved = self._proved.get(node_id)
        return None if proved is None else self.now - proved
