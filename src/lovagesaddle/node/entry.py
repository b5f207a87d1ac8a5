"""Entry side of a node: answers the requests of callers."""

from collections.abc import Callable
import dataclasses
import hashlib
import os
import time

from lovagesaddle.core import errors
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import watchdog
from lovagesaddle.http import wsgi
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import call_answers
from lovagesaddle.node import call_results
from lovagesaddle.node import call_runner
from lovagesaddle.node import claimed_calls
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.node import credentials
from lovagesaddle.node import local_servers
from lovagesaddle.node import quotas as quotas_lib
from lovagesaddle.node import refusals
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import server_heartbeats
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.node import stop_limit as stop_limit_lib
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

REQUEST_ID_BYTES = 8
MS_PER_S = 1000
STOPPING = "node-stopping"
KEY_HEADER = claim_keys.KEY_HEADER.lower()
# The Idempotency-Key of a request with a safe method is ignored, as such a
# request changes nothing.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_log = logs.get_logger("entry")


class Entry:
    """Checks, routes and runs the requests of callers.

    Args:
      routing: Routing tables, balancer and retry policies.
      proofs: Proofs of the age of the routing table.
      attempt_sender: Sends attempts to owners.
      servers: Local servers, with the tokens of their services.
      heartbeats: Heartbeats of the local server, which name its service.
      shared_quarantine: Quarantine of requests that crash servers.
      claims: Claims on Idempotency-Keys.
      guards: Watches deadlines and callers that disconnect.
      stop_limit: Refuses what this node can't answer before it stops.
      quotas: Admits the requests of accounts with a quota.
      metrics: Metrics of this process.
      names: Names of the headers exchanged with callers and backend servers.
      caller_service: Name of the service of this VM until a heartbeat names it,
        or empty; sent to backend servers.
      claims_keys: Whether Idempotency-Keys are claimed.
    """

    def __init__(
        self,
        *,
        routing: routing_lib.Routing,
        proofs: table_proofs.TableProofs,
        attempt_sender: attempt_senders.AttemptSender,
        servers: local_servers.LocalServers,
        heartbeats: server_heartbeats.ServerHeartbeats,
        shared_quarantine: shared_quarantine_lib.SharedQuarantine,
        claims: claims_lib.Claims,
        guards: watchdog.Watchdog,
        stop_limit: stop_limit_lib.StopLimit,
        quotas: quotas_lib.Quotas,
        metrics: metrics_lib.Metrics,
        names: header_names.HeaderNames = header_names.DEFAULT,
        caller_service: str = "",
        claims_keys: bool = True,
    ) -> None:
        self._claims_keys = claims_keys
        self._names = names
        self._caller_service = caller_service
        self._routing = routing
        self._proofs = proofs
        self._attempt_sender = attempt_sender
        self._servers = servers
        self._heartbeats = heartbeats
        self._shared_quarantine = shared_quarantine
        self._claims = claims
        self._guards = guards
        self._stop_limit = stop_limit
        self._quotas = quotas
        self._latency = metrics.get_latency(
            "call_seconds", "Time from a whole request to its answer"
        )
        self._metrics = metrics
        self._access_refusals = refusals.AccessRefusals(metrics)
        self._attempts = metrics.get_counter(
            "attempts_total", "Attempts sent to owners"
        )

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the answer to a caller's request."""
        arrived_at = request.arrived_at
        answer = self._answer(request, arrived_at)
        self._latency.record(time.monotonic() - arrived_at)
        self._metrics.get_counter(
            "calls_total",
            "Calls by status",
            labels={"status": str(answer.status)},
        ).add()
        return answer

    def refuse(self, reason: str) -> wsgi.Answer:
        """Returns a refusal with status 503 for a request that did not run."""
        return wsgi.make_failure(503, reason, _NOT_RUN, (("Retry-After", "1"),))

    def _answer(
        self, request: wsgi.IncomingRequest, arrived_at: float
    ) -> wsgi.Answer:
        if self._routing.table is None:
            return self.refuse("this node has not joined the mesh yet")
        try:
            return self._route(request, arrived_at)
        except _OutdatedRouteError as error:
            outdated = error
        self._proofs.await_version(
            lambda: self._holds_newer_than(outdated.publication)
        )
        # The body can be read from the connection only once.
        again = dataclasses.replace(request, read_body=lambda: outdated.body)
        try:
            return self._route(again, arrived_at)
        except _OutdatedRouteError:
            return self.refuse("a newer configuration changes the route")

    def _holds_newer_than(self, publication: int) -> bool:
        table = self._routing.table
        return table is not None and table.publication > publication

    def _route(
        self, request: wsgi.IncomingRequest, arrived_at: float
    ) -> wsgi.Answer:
        """Returns the answer by the newest table.

        Raises:
          _OutdatedRouteError: An owner has a newer publication that routes the
            request otherwise; it did not run.
        """
        is_proved = self._proofs.prove()
        takes_keys = self._proofs.takes_keys()
        table = self._routing.table
        assert table is not None
        if not table.is_published:
            return self.refuse("no configuration is published yet")
        match = table.match(
            host=request.headers.get("host", ""),
            path=request.path,
            method=request.method,
        )
        if isinstance(match, table_lib.Miss):
            self._log_miss(match, table, request, is_proved=is_proved)
            if not is_proved:
                return self._refuse_unproved(table)
            return refusals.make_miss_answer(match)
        access = table.authorise(
            match, credentials.read_credential(request.headers, self._servers)
        )
        if access.account is not None and not takes_keys:
            self._access_refusals.count(refusals.WITHDRAWAL_BOUND)
            return self._refuse_unproved(table)
        refusal = self._access_refusals.check(
            match, access, request, is_proved=is_proved
        )
        if refusal is not None:
            return refusal if is_proved else self._refuse_unproved(table)
        try:
            chain = chain_lib.parse_headers(request.headers, self._names)
        except errors.ChainError as error:
            return wsgi.make_failure(400, error.cause, _NOT_RUN)
        deadline = arrived_at + call_lib.compute_timeout(match.route, chain)
        admitted = self._quotas.admit(access.account, deadline)
        if isinstance(admitted, quotas_lib.Refused):
            return self._quotas.make_answer(admitted, self._names)
        if self._stop_limit.refuses(
            request=chain.request_id,
            deadline=deadline,
            estimate_run_time=lambda: self._routing.estimate_run_time(
                match.service
            ),
        ):
            self._quotas.give_back(admitted)
            return self.refuse(STOPPING)
        return self._call(
            _Accepted(
                table=table,
                match=self._routing.choose_service(match),
                access=access,
                chain=chain,
                arrived_at=arrived_at,
                admitted=admitted,
            ),
            request,
        )

    def _refuse_unproved(self, table: table_lib.Table) -> wsgi.Answer:
        """Refuses a request that the newest table may allow."""
        self._metrics.get_counter(
            "unproved_refusals_total",
            "Requests refused for now since the table's age is not proved",
        ).add()
        return self.refuse(
            f"version {table.version} may not be the newest configuration"
        )

    def _log_miss(
        self,
        miss: table_lib.Miss,
        table: table_lib.Table,
        request: wsgi.IncomingRequest,
        *,
        is_proved: bool,
    ) -> None:
        self._metrics.get_counter(
            "route_misses_total",
            "Requests that no route took, by reason",
            labels={"reason": miss.reason.value},
        ).add()
        if not logs.allows_request_line(failed=True):
            return
        _log.info(
            "route_missed",
            request=request.headers.get(self._names.request_id.lower(), ""),
            host=request.headers.get("host", ""),
            path=request.path,
            status=miss.status,
            reason=miss.reason.value,
            version=miss.version,
            publication=table.publication,
            age_ms=_format_age(self._proofs.compute_age()),
            proved=is_proved,
        )

    def _call(
        self, accepted: "_Accepted", request: wsgi.IncomingRequest
    ) -> wsgi.Answer:
        request_id = accepted.chain.request_id or _generate_id()
        body = request.read_body()
        body_digest = hashlib.sha256(body).digest()
        match = accepted.match
        fingerprint = quarantine.compute_fingerprint(
            method=request.method,
            service=match.service,
            route=match.route.name,
            target=request.target,
            body_digest=body_digest,
        )
        forwarded = call_runner.ForwardedRequest(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=credentials.make_headers(
                request.headers,
                self._names,
                caller_service=self._heartbeats.service or self._caller_service,
                has_accounts=accepted.table.has_accounts,
            ),
            body=body,
            fingerprint=fingerprint,
            verdict=self._shared_quarantine.classify(fingerprint),
            body_s=request.body_s,
        )
        runner = self._make_runner(accepted, forwarded)
        key = request.headers.get(KEY_HEADER) if self._claims_keys else None
        if key is None or request.method in SAFE_METHODS:
            call_result = self._run(runner, request.is_gone)
        elif claim_keys.is_valid_key(key):
            claim = self._open_claim(
                accepted, request, key, body_digest, runner
            )
            # The call goes on if the caller disconnects, so that its result is
            # stored and answers the request when the caller resends it.
            call_result = claimed_calls.run_claimed(
                claim, lambda: self._run(runner, _is_never_gone)
            )
        else:
            return wsgi.make_failure(400, "malformed-key", _NOT_RUN)
        self._attempts.add(runner.attempts)
        if call_results.did_not_run(call_result):
            self._quotas.give_back(accepted.admitted)
        if call_results.has_outdated_route(call_result):
            raise _OutdatedRouteError(accepted.table.publication, body)
        return call_answers.make_answer(call_result, request_id, self._names)

    def _make_runner(
        self, accepted: "_Accepted", forwarded: call_runner.ForwardedRequest
    ) -> call_runner.CallRunner:
        chain = accepted.chain
        return call_runner.CallRunner(
            forwarded=forwarded,
            match=accepted.match,
            chain=dataclasses.replace(
                chain, request_id=chain.request_id or forwarded.request_id
            ),
            table=accepted.table,
            arrived_at=accepted.arrived_at,
            routing=self._routing,
            attempt_sender=self._attempt_sender,
            shared_quarantine=self._shared_quarantine,
            names=self._names,
            access=accepted.access,
        )

    def _open_claim(
        self,
        accepted: "_Accepted",
        request: wsgi.IncomingRequest,
        key: str,
        body_digest: bytes,
        runner: call_runner.CallRunner,
    ) -> claims_lib.Claim | None:
        access = accepted.access
        return self._claims.open(
            claims_lib.KeyedRequest(
                service=accepted.match.service,
                client=f"{access.reason.value}:{access.client}",
                key=key,
                request_digest=claim_keys.compute_request_digest(
                    method=request.method,
                    target=request.target,
                    body_digest=body_digest,
                ),
                deadline=runner.deadline,
            )
        )

    def _run(
        self, runner: call_runner.CallRunner, is_gone: Callable[[], bool]
    ) -> call_results.CallResult:
        with self._guards.watch(
            deadline=runner.deadline, is_gone=is_gone
        ) as guard:
            return runner.run(guard)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Accepted:
    """Holds route, access, call chain and quota of a request that may run."""

    table: table_lib.Table
    match: table_lib.Match
    access: table_lib.Access
    chain: chain_lib.Chain
    arrived_at: float
    admitted: quotas_lib.Admitted


class _OutdatedRouteError(Exception):
    """A request was routed by a publication that is no longer the newest.

    Attributes:
      publication: That publication.
      body: Body of the request.
    """

    def __init__(self, publication: int, body: bytes) -> None:
        super().__init__(publication)
        self.publication = publication
        self.body = body


def _format_age(age_s: float | None) -> str:
    return "none" if age_s is None else str(int(age_s * MS_PER_S))


def _generate_id() -> str:
    return os.urandom(REQUEST_ID_BYTES).hex()


def _is_never_gone() -> bool:
    return False
