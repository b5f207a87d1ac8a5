"""Compares ways to bound an account's requests over all entries.

    python -m bench.quotas [ENTRIES ...]

In virtual time, 77 accounts of very uneven size send 32 requests a second for
each entry, through uneven entries, with quotas of 1.6 times what they send:
first as usual for 6 s, then with two accounts that send eight times as much for
6 s. "missing" are the requests that a token bucket of the plain quota would
have admitted beyond those that were, as a share of all; "of bound" is the
largest part of the rule's bound that any account used up in a window. Processor
time is that of the decisions, without sockets.
"""

import abc
import bisect
import dataclasses
import random
import sys
import time

from tests import quota_mesh

from lovagesaddle.core.model import services

ENTRIES = (63, 300, 1000)
ACCOUNTS = 77
SKEW = 1.2
PER_ENTRY_S = 32.0
QUOTA = 1.6
HOT = (3, 40)
HOT_TIMES = 7.0  # Beyond the usual.
READY_S = 8.0
PHASE_S = 6.0
SEED = 11
RULES = quota_mesh.RULES
# Owners of three services, as parts of the nodes, and their requests.
SERVICES = ((0.53, 0.58), (0.31, 0.20), (0.16, 0.22))
EXCHANGES = 2
# Ask and answer, with the account's name, a number and the frame's header.
EXCHANGE_BYTES = 60
FAR_PART = 2 / 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Cost of a way in one phase, per second of virtual time.

    Attributes:
      messages: Messages of all nodes.
      far_bytes: Bytes of messages between failure domains.
      waits: Requests that waited for a message, as a share.
      core: Cores that the decisions of one node took.
    """

    messages: float
    far_bytes: float
    waits: float
    core: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request of an account at an entry."""

    at: float
    account: int
    entry: int


class Way(abc.ABC):
    """A way to bound requests."""

    name = ""

    def __init__(
        self, size: int, accounts: tuple[services.ClientAccount, ...]
    ) -> None:
        self.size = size
        self.accounts = accounts
        self.records = {
            account.name: quota_mesh.Record() for account in accounts
        }

    @abc.abstractmethod
    def run(self, arrivals: list[Arrival], start: float, end: float) -> Cost:
        """Lets requests arrive; returns what that cost."""


class Leases(Way):
    """Holders of parts, which lease tokens to entries."""

    name = "leases"

    def __init__(
        self, size: int, accounts: tuple[services.ClientAccount, ...]
    ) -> None:
        super().__init__(size, accounts)
        self._mesh = quota_mesh.QuotaMesh(size, accounts)
        self._mesh.run(READY_S - 1)
        self.records = self._mesh.records

    def run(self, arrivals: list[Arrival], start: float, end: float) -> Cost:
        """See base class."""
        mesh = self._mesh
        before = (mesh.sent, mesh.bytes_far, mesh.waited, mesh.busy_s)
        for arrival in arrivals:
            account = self.accounts[arrival.account].name
            entry = mesh.node_ids[arrival.entry]
            mesh.at(
                arrival.at,
                lambda account=account, entry=entry: mesh.request(  # type: ignore[misc]
                    account, entry
                ),
            )
        mesh.run(end)
        return Cost(
            messages=(mesh.sent - before[0]) / (end - start),
            far_bytes=(mesh.bytes_far - before[1]) / (end - start),
            waits=(mesh.waited - before[2]) / len(arrivals),
            core=(mesh.busy_s - before[3]) / (end - start) / self.size,
        )


class Shares(Way):
    """An equal share at each entry; one that has none left asks others."""

    name = "shares"
    exchanges = EXCHANGES

    def __init__(
        self, size: int, accounts: tuple[services.ClientAccount, ...]
    ) -> None:
        super().__init__(size, accounts)
        self._random = random.Random(SEED)
        self._levels = [
            [RULES.compute_capacity(account) / size] * size
            for account in accounts
        ]
        self._at = [[0.0] * size for _ in accounts]

    def run(self, arrivals: list[Arrival], start: float, end: float) -> Cost:
        """See base class."""
        exchanged = waited = 0
        started = time.perf_counter()
        for arrival in arrivals:
            number = arrival.account
            node = self.choose_node(arrival)
            is_admitted = self._take(number, node, arrival.at)
            waited += not is_admitted and self.exchanges > 0
            for _ in range(self.exchanges):
                if is_admitted:
                    break
                exchanged += 1
                peer = self._random.randrange(self.size)
                self._refill(number, peer, arrival.at)
                moved = self._levels[number][peer] / 2
                self._levels[number][peer] -= moved
                self._levels[number][node] += moved
                is_admitted = self._take(number, node, arrival.at)
            record = self.records[self.accounts[number].name]
            record.sent.append((arrival.at, is_admitted))
            if is_admitted:
                record.admitted.append(arrival.at)
        busy_s = time.perf_counter() - started
        return Cost(
            messages=2 * exchanged / (end - start),
            far_bytes=2 * exchanged * FAR_PART * EXCHANGE_BYTES / (end - start),
            waits=waited / len(arrivals),
            core=busy_s / (end - start) / self.size,
        )

    def choose_node(self, arrival: Arrival) -> int:
        """Returns the node that counts a request."""
        return arrival.entry

    def _refill(self, number: int, node: int, now: float) -> None:
        account = self.accounts[number]
        capacity = RULES.compute_capacity(account) / self.size
        rate = RULES.compute_rate(account) / self.size
        level = self._levels[number][node]
        passed_s = now - self._at[number][node]
        # What came from others may lie above the own capacity.
        self._levels[number][node] = max(
            level, min(capacity, level + rate * passed_s)
        )
        self._at[number][node] = now

    def _take(self, number: int, node: int, now: float) -> bool:
        self._refill(number, node, now)
        if self._levels[number][node] < 1:
            return False
        self._levels[number][node] -= 1
        return True


class Owners(Shares):
    """An equal share at each owner, which counts what the balancer sends it."""

    name = "owners"
    exchanges = 0

    def choose_node(self, arrival: Arrival) -> int:
        """See base class."""
        del arrival
        [service] = self._random.choices(
            range(len(SERVICES)), [requests for _, requests in SERVICES]
        )
        first = sum(nodes for nodes, _ in SERVICES[:service])
        last = first + SERVICES[service][0]
        return int(self.size * self._random.uniform(first, last))


def make_arrivals(
    size: int, usual: list[float], start: float, hot: tuple[int, ...]
) -> list[Arrival]:
    """Returns the requests of one phase in the order of time."""
    source = random.Random(SEED + len(hot))
    weights = [
        random.Random(SEED + number).expovariate(1.0) for number in range(size)
    ]
    total = 0.0
    steps = [total := total + weight for weight in weights]
    arrivals: list[Arrival] = []
    for account, rate in enumerate(usual):
        at = start
        times = 1 + HOT_TIMES * (account in hot)
        while (at := at + source.expovariate(times * rate)) < start + PHASE_S:
            entry = bisect.bisect(steps, source.random() * total)
            arrivals.append(Arrival(at=at, account=account, entry=entry))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def measure(way: Way, usual: list[float]) -> float:
    """Runs both phases, prints their lines and returns the most of a bound."""
    missing = 0
    most = 0.0
    for phase, start, hot in (
        ("usual", READY_S, ()),
        ("hot", READY_S + PHASE_S, HOT),
    ):
        arrivals = make_arrivals(way.size, usual, start, hot)
        cost = way.run(arrivals, start, start + PHASE_S)
        most = max(
            way.records[account.name].count_most(RULES.window_s)
            / RULES.compute_bound(account)
            for account in way.accounts
        )
        before = missing
        missing = sum(
            way.records[account.name].count_missing(account)
            for account in way.accounts
        )
        print(
            f"{way.size:7} {way.name:7} {phase:6} {cost.messages:10.0f}"
            f" {cost.far_bytes:8.0f} {cost.waits:6.1%} {100 * cost.core:7.2f}"
            f" {100 * (missing - before) / len(arrivals):9.2f} {most:8.2f}",
            flush=True,
        )
    return most


def main(sizes: tuple[int, ...]) -> int:
    """Prints the table; returns 1 if a way exceeds a bound."""
    print(
        f"{'entries':>7} {'way':7} {'phase':6} {'messages/s':>10}"
        f" {'far B/s':>8} {'waits':>6} {'core %':>7} {'missing %':>9}"
        f" {'of bound':>8}"
    )
    most = 0.0
    for size in sizes:
        parts = [(rank + 1) ** -SKEW for rank in range(ACCOUNTS)]
        usual = [PER_ENTRY_S * size * part / sum(parts) for part in parts]
        accounts = tuple(
            quota_mesh.make_account(f"account-{rank}", QUOTA * rate)
            for rank, rate in enumerate(usual)
        )
        for kind in (Leases, Shares, Owners):
            most = max(most, measure(kind(size, accounts), usual))
    return int(most > 1)


if __name__ == "__main__":
    sys.exit(main(tuple(int(size) for size in sys.argv[1:]) or ENTRIES))
