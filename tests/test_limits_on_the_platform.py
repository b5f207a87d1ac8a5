"""Tests of servers that state limits or leave, with real processes."""

from collections.abc import Iterator
import contextlib
import functools
import itertools
import threading
import time

from tests import fixtures
from tests import nodes
from tests import platform_stand_in

LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
CALLERS_PER_NODE = 3
RUN_S = 0.02
# At the callers' rate, they take some seconds.
CALLS = 600
# What a server gets in this time may exceed its limit by half, and a few more.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5.0
# Answers that an entry has passed on bind it after this time.
TOLD_S = 0.5
DRAIN_S = 2.0


class Callers:
    """Sends requests to entries one after the other, as a context manager.

    Attributes:
      told_at: When each entry first passed on an answer with `header`.
      sent_at: When each request was sent, by its ID.
      statuses: Status of each answer, by the ID of its request.
      failures: ID, status and body of each answer without success.
    """

    def __init__(
        self, platform: platform_stand_in.Platform, header: str
    ) -> None:
        self._platform = platform
        self._header = header
        self._stopped = threading.Event()
        self._count = itertools.count()
        self._threads = [
            threading.Thread(target=self._call, args=(ip,), daemon=True)
            for ip in platform.nodes[1:]
            for _ in range(CALLERS_PER_NODE)
        ]
        self.told_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self.failures: list[tuple[str, int, bytes]] = []

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, count: int) -> None:
        """Waits until `count` further requests are answered."""
        before = len(self.statuses)
        nodes.wait_for(
            lambda: len(self.statuses) >= before + count, f"{count} answers"
        )

    def _call(self, ip: str) -> None:
        while not self._stopped.wait(RUN_S):
            request_id = f"{ip}-{next(self._count)}"
            self.sent_at[request_id] = time.monotonic()
            try:
                reply = platform_stand_in.ask(
                    self._platform.get_outbound(ip), request_id
                )
            except OSError:
                continue
            self.statuses[request_id] = reply.status
            if reply.status != 200:
                self.failures.append((request_id, reply.status, reply.body))
            if self._header in reply.headers:
                self.told_at.setdefault(ip, time.monotonic())


@contextlib.contextmanager
def _start_platform() -> Iterator[
    tuple[platform_stand_in.Platform, list[platform_stand_in.BackendServer]]
]:
    """Runs three nodes with a backend server each until they serve."""
    with contextlib.ExitStack() as stack:
        folder = fixtures.make_folder(stack)
        platform = stack.enter_context(
            platform_stand_in.Platform(folder, sidecars=3)
        )
        servers = [
            platform.open_server(ip, f"i-{number}")
            for number, ip in enumerate(platform.nodes)
        ]
        for server in servers:
            server.run_s = RUN_S
        document = platform_stand_in.make_document("00000003")
        assert platform.publish(document, "00000000") == 200
        for ip in platform.nodes:
            nodes.wait_for(
                functools.partial(platform.is_ready, ip), f"{ip} ready"
            )
        for ip in platform.nodes[1:]:
            nodes.wait_for(
                functools.partial(_uses_all, platform, servers, ip),
                f"{ip} to use all servers",
            )
        yield platform, servers


def _uses_all(
    platform: platform_stand_in.Platform,
    servers: list[platform_stand_in.BackendServer],
    ip: str,
) -> bool:
    """Sends a request to an entry; returns whether each server got one."""
    request_id = f"{ip}-probe"
    platform_stand_in.ask(platform.get_outbound(ip), request_id)
    return all(
        request_id in [each for _, each in server.arrived] for server in servers
    )


def _restart_owner(
    platform: platform_stand_in.Platform,
    server: platform_stand_in.BackendServer,
) -> None:
    """Kills the node beside a server; returns when the server is used again."""
    ip = platform.nodes[0]
    platform.programs[ip].kill()
    count = len(server.arrived)
    platform.start("node", ip, is_first=False)
    nodes.wait_for(
        lambda: len(server.arrived) > count, "the server to be used again"
    )


def test_limit_is_kept_through_restarts_of_its_owner() -> None:
    """A limit that rises and falls holds while the owner is killed twice."""
    with _start_platform() as (platform, servers):
        limited = servers[0]
        limit_at: list[tuple[float, float]] = []

        def state(limit: float) -> None:
            limited.stated = {LIMIT_HEADER: str(limit)}
            limit_at.append((time.monotonic(), limit))

        with Callers(platform, LIMIT_HEADER) as callers:
            state(8.0)
            nodes.wait_for(lambda: len(callers.told_at) == 2, "both told")
            _restart_owner(platform, limited)
            state(1.0)
            _restart_owner(platform, limited)
            callers.wait_for(CALLS)
            state(4.0)
            callers.wait_for(CALLS)
        told = _list_told(limited, callers)
        assert told
        for start in told:
            count = sum(start <= at < start + WINDOW_S for at in told)
            allowed = ALLOWED_SHARE * _sum_limit(limit_at, start)
            assert count <= allowed + ALLOWED_EXTRA, (start - told[0], count)
        # Killed owners lose what they run; all else goes to other servers.
        statuses = list(callers.statuses.values())
        assert set(statuses) <= {200, 502}, callers.failures
        assert statuses.count(502) <= 2 * platform_stand_in.SLOTS


def _list_told(
    server: platform_stand_in.BackendServer, callers: Callers
) -> list[float]:
    """Returns when requests arrived from entries that had been told."""
    told = []
    for at, request_id in server.arrived:
        told_at = callers.told_at.get(request_id.rpartition("-")[0])
        if told_at is not None and at >= told_at + TOLD_S:
            told.append(at)
    return told


def _sum_limit(limit_at: list[tuple[float, float]], start: float) -> float:
    """Returns the requests that the limits allow in a window."""
    total = 0.0
    ends = [at for at, _ in limit_at[1:]] + [float("inf")]
    for (since, limit), until in zip(limit_at, ends, strict=True):
        begin, end = max(since, start), min(until, start + WINDOW_S)
        total += limit * max(0.0, end - begin)
    return total


def test_server_that_leaves_stays_unused_after_restart_of_its_node() -> None:
    """A server that said only in answers that it leaves was used again."""
    with _start_platform() as (platform, servers):
        leaving = servers[0]
        with Callers(platform, LEAVING_HEADER) as callers:
            leaving.stated = {LEAVING_HEADER: "1"}
            nodes.wait_for(lambda: bool(callers.told_at), "an entry to be told")
            ip = platform.nodes[0]
            platform.programs[ip].kill()
            platform.start("node", ip, is_first=False)
            nodes.wait_for(
                functools.partial(platform.is_ready, ip), "the node to be back"
            )
            callers.wait_for(CALLS)
        late = [
            request_id
            for _, request_id in leaving.arrived
            if callers.sent_at.get(request_id, 0.0)
            > callers.told_at.get(request_id.rpartition("-")[0], float("inf"))
            + DRAIN_S
        ]
        assert not late


load_tests = fixtures.collect(__name__)
