"""Holds what a node needs to route: table, balancer and retry policies."""

from collections.abc import Callable
import dataclasses
import random
import threading
import time

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.routing import balancer
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import known_statements
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.core.routing import traffic_split
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.observability import logs

MAX_MOVES = 8
_log = logs.get_logger("routing")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingOptions:
    """Selects the policies of an entry.

    Attributes:
      policy: Picks one server of a set of candidates.
      prefer_own_domain: Whether servers of the node's failure domain are
        preferred.
      make_retry_policy: Creates the retry policy of a service.
      call: Options of every call.
    """

    policy: pick_policies.PickPolicy = dataclasses.field(
        default_factory=pick_policies.TwoChoicesPick
    )
    prefer_own_domain: bool = True
    make_retry_policy: Callable[[], retries.RetryPolicy] = dataclasses.field(
        default=lambda: retries.RetryBudget(cap=MAX_MOVES)
    )
    call: call_lib.CallOptions = dataclasses.field(
        default_factory=call_lib.CallOptions
    )


class Routing:
    """Holds the newest routing table, the balancer and the retry policies.

    Any thread may use it.

    Args:
      failure_domain: Failure domain of this node.
      options: Policies of the entry.
      node_id: ID of this node.
      part_bytes: Size of the parts in which larger bodies are sent, in bytes;
        0 if bodies are sent whole.

    Raises:
      ValueError: The options ask for hedging.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        options: RoutingOptions | None = None,
        node_id: str = "",
        part_bytes: int = 0,
    ) -> None:
        self.options = options or RoutingOptions()
        large_bytes = balancer.LARGE_BODY_BYTES
        has_thin_link = 0 < part_bytes < large_bytes
        if self.options.call.hedge:
            raise ValueError("attempts run one at a time, so none is hedged")
        self._table: table_lib.Table | None = None
        self._balancer = balancer.Balancer(
            options=balancer.BalancerOptions(
                failure_domain=failure_domain,
                prefer_own_domain=self.options.prefer_own_domain,
                # For a large body, the server on the entry's own node is
                # preferred only if the link is thin.
                # Otherwise a faster server on another node is worth the
                # transfer of the body.
                node_id=node_id if has_thin_link else "",
                large_body_bytes=part_bytes if has_thin_link else large_bytes,
            ),
            policy=self.options.policy,
            source=random.Random(),
        )
        self._known_servers = 0
        self._lock = threading.Lock()
        self._retry_policies: dict[str, retries.RetryPolicy] = {}
        self._splitter = traffic_split.TrafficSplitter()
        self._node_count = 1
        self._health_paths: dict[str, str] = {}
        self._statements = known_statements.KnownStatements()

    @property
    def table(self) -> table_lib.Table | None:
        """The newest table; None until a version reaches the join floor."""
        return self._table

    @property
    def known_servers(self) -> int:
        """Number of serving backend servers in the table."""
        return self._known_servers

    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        """Compiles a newer snapshot into a table; ignored before the join."""
        if not joined:
            return
        table = table_lib.Table(hashed.snapshot, self._table)
        candidates = tuple(
            candidate
            for service in hashed.snapshot.services
            for candidate in table.list_candidates(service.name)
        )
        with self._lock:
            if self._table is not None and self._table.version >= table.version:
                return
            self._balancer.step(
                balancer_events.TableInstalled(candidates=candidates),
                time.monotonic(),
            )
            self._known_servers = len(candidates)
            self._node_count = max(1, len(hashed.snapshot.nodes))
            for policy in self._retry_policies.values():
                policy.set_node_count(self._node_count)
            self._table = table
            self._health_paths = {
                service.name: service.health_path
                for service in hashed.snapshot.services
            }
        _log.info(
            "table_installed",
            version=table.version,
            publication=table.publication,
            services=len(hashed.snapshot.services),
            servers=len(hashed.snapshot.servers),
        )

    def pick(
        self,
        table: table_lib.Table,
        service: str,
        tried: frozenset[str],
        body_bytes: int = 0,
        needs_room: bool = False,
        skips_rate_limited: bool = False,
    ) -> balancer_events.Decision:
        """Returns the balancer's decision on a server for one attempt.

        Args:
          table: Table of the call.
          service: Name of the service.
          tried: IDs of servers that this call tried already.
          body_bytes: Size of the request's body, in bytes.
          needs_room: Whether to pick no server if all seem to be full.
          skips_rate_limited: Whether to pick no server if the stated rates of
            all seem to be used up.
        """
        event = balancer_events.Pick(
            service=service,
            version=table.version,
            candidates=table.list_candidates(service),
            tried=tried,
            body_bytes=body_bytes,
            needs_room=needs_room,
            skips_rate_limited=skips_rate_limited,
        )
        with self._lock:
            return self._balancer.pick(event, time.monotonic())

    def estimate_run_time(self, service: str) -> float:
        """Returns how long a request of a service takes; 0 if unknown."""
        table = self._table
        if table is None:
            return 0.0
        with self._lock:
            return self._balancer.estimate_run_time(
                table.list_candidates(service)
            )

    def report_finished(self, finished: balancer_events.Finished) -> None:
        """Reports to the balancer how an attempt at a picked server ended."""
        with self._lock:
            self._balancer.step(finished, time.monotonic())

    def find_statement(
        self, server_id: str
    ) -> known_statements.KnownStatement | None:
        """Returns what a server is known to have stated, or None."""
        with self._lock:
            return self._statements.find(server_id)

    def record_statement(
        self, server_id: str, stated: known_statements.KnownStatement
    ) -> None:
        """Records what an owner reports that its server has stated."""
        with self._lock:
            self._statements.record(server_id, stated)

    def allows_route(self, request: hop.RunRequest, service: str) -> bool:
        """Returns whether a request that an entry sent here may run.

        Entries learn of a publication at different times. If this node holds a
        newer one than the entry, the newer one decides.
        """
        table = self._table
        if table is None or not request.publication:
            return True
        if table.publication <= request.publication:
            return True
        return table.routes_to(
            service,
            host=headers_lib.find(request.headers, "host"),
            path=request.target.partition("?")[0],
            method=request.method,
            account=request.account or "",
            key_id=request.key_id or b"",
        )

    def get_retry_policy(self, service: str) -> retries.RetryPolicy:
        """Returns the retry policy that all calls of a service share."""
        policy = self._retry_policies.get(service)
        if policy is not None:
            return policy
        with self._lock:
            new_policy = self.options.make_retry_policy()
            new_policy.set_node_count(self._node_count)
            return self._retry_policies.setdefault(service, new_policy)

    def find_health_path(self, service: str) -> str:
        """Returns the path of a service's health endpoint, or ""."""
        return self._health_paths.get(service, "")

    def has_service(self, service: str) -> bool:
        """Returns whether a service is published."""
        return service in self._health_paths

    def choose_service(self, match: table_lib.Match) -> table_lib.Match:
        """Returns the match with the service chosen by the route's split."""
        if not match.route.split:
            return match
        with self._lock:
            service = self._splitter.choose(match.service, match.route)
        return dataclasses.replace(match, service=service)
