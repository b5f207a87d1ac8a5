"""Entry side of a node: takes a caller's request to its one answer."""

from collections.abc import Callable
import dataclasses
import hashlib
import math
import os
import time

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import gateway
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempts
from lovagesaddle.node import claimed_calls
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.node import endings
from lovagesaddle.node import hops
from lovagesaddle.node import local_servers
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import server_heartbeats
from lovagesaddle.node import suspects as suspects_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

BEARER = "bearer "
CHALLENGE = ("WWW-Authenticate", "Bearer")
REQUEST_ID_BYTES = 8
KEY_HEADER = claim_keys.KEY_HEADER.lower()
DIGEST_PREFIX = "sha256:"
# A safe method changes nothing, so its key is passed over.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_log = logs.get_logger("entry")


class Entry:
    """Answers callers.

    Args:
      routing: Tables, balancer and retry policies.
      carrier: Takes attempts to owners.
      servers: Knows the tokens of local services.
      heartbeats: Knows which service runs on this VM.
      suspects: Knows requests that crash servers.
      claims: Claims Idempotency-Keys.
      guards: Watches deadlines and callers that hang up.
      metrics: Of this process.
      names: Names of the headers towards callers and backend servers.
      caller_service: Service of this VM while no beat has named it; told to
        backend servers. Empty for none.
      claims_keys: Whether Idempotency-Keys are claimed.
    """

    def __init__(
        self,
        *,
        routing: routing_lib.Routing,
        carrier: hops.Carrier,
        servers: local_servers.LocalServers,
        heartbeats: server_heartbeats.ServerHeartbeats,
        suspects: suspects_lib.Suspects,
        claims: claims_lib.Claims,
        guards: watchdog.Watchdog,
        metrics: metrics_lib.Metrics,
        names: header_names.HeaderNames = header_names.DEFAULT,
        caller_service: str = "",
        claims_keys: bool = True,
    ) -> None:
        self._claims_keys = claims_keys
        self._names = names
        self._caller_service = caller_service
        self._routing = routing
        self._carrier = carrier
        self._servers = servers
        self._heartbeats = heartbeats
        self._suspects = suspects
        self._claims = claims
        self._guards = guards
        self._latency = metrics.get_latency(
            "call_seconds", "Time from a whole request to its answer"
        )
        self._metrics = metrics
        self._attempts = metrics.get_counter(
            "attempts_total", "Attempts sent to owners"
        )

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
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

    def refuse(self, reason: str) -> gateway.Answer:
        """Returns a refusal for a request that found no room."""
        return gateway.make_failure(
            503, reason, _NOT_RUN, (("Retry-After", "1"),)
        )

    def _answer(
        self, request: gateway.Incoming, arrived_at: float
    ) -> gateway.Answer:
        table = self._routing.table
        if table is None:
            return self.refuse("this node has not joined the mesh yet")
        if not table.is_published:
            return self.refuse("no configuration is published yet")
        match = table.match(
            host=request.headers.get("host", ""),
            path=request.path,
            method=request.method,
        )
        if isinstance(match, table_lib.Miss):
            self._log_miss(match, table, request)
            return _answer_miss(match)
        access = table.authorise(match, self._find_credential(request))
        refused = _refuse_request(match, access, request)
        if refused is not None:
            return refused
        try:
            chain = chain_lib.parse_headers(request.headers, self._names)
        except errors.ChainError as error:
            return gateway.make_failure(400, error.cause, _NOT_RUN)
        return self._call(
            _Accepted(
                table=table,
                match=self._routing.choose_service(match),
                access=access,
                chain=chain,
                arrived_at=arrived_at,
            ),
            request,
        )

    def _log_miss(
        self,
        miss: table_lib.Miss,
        table: table_lib.Table,
        request: gateway.Incoming,
    ) -> None:
        self._metrics.get_counter(
            "route_misses_total",
            "Requests that no route took, by reason",
            labels={"reason": miss.reason.value},
        ).add()
        if not logs.allows_request(failed=True):
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
        )

    def _find_credential(
        self, request: gateway.Incoming
    ) -> table_lib.Credential:
        header = request.headers.get("authorization", "")
        if header[: len(BEARER)].lower() != BEARER:
            return table_lib.Credential()
        token = header[len(BEARER) :].strip()
        service = self._servers.find_service_by_token(token)
        if service:
            return table_lib.Credential(service=service)
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        return table_lib.Credential(token_digest=DIGEST_PREFIX + digest)

    def _call(
        self, accepted: "_Accepted", request: gateway.Incoming
    ) -> gateway.Answer:
        request_id = accepted.chain.request_id or _draw_id()
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
        passed = attempts.Passed(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=self._describe_origin()
            + headers_lib.filter_request(request.headers, self._names),
            body=body,
            fingerprint=fingerprint,
            verdict=self._suspects.judge(fingerprint),
            body_s=request.body_s,
        )
        runner = self._make_runner(accepted, passed)
        key = request.headers.get(KEY_HEADER) if self._claims_keys else None
        if key is None or request.method in SAFE_METHODS:
            ended = self._run(runner, request.is_gone)
        elif claim_keys.is_valid_key(key):
            claim = self._open_claim(
                accepted, request, key, body_digest, runner
            )
            # A caller that hangs up will ask again, for the stored answer.
            ended = claimed_calls.run_claimed(
                claim, lambda: self._run(runner, _stay)
            )
        else:
            return gateway.make_failure(400, "malformed-key", _NOT_RUN)
        self._attempts.add(runner.attempts)
        return self._format(ended, request_id)

    def _describe_origin(self) -> headers_lib.Headers:
        """Returns the header that names the service of this VM."""
        service = self._heartbeats.service or self._caller_service
        if not (service and self._names.caller_service):
            return ()
        return ((self._names.caller_service, service),)

    def _make_runner(
        self, accepted: "_Accepted", passed: attempts.Passed
    ) -> attempts.Runner:
        chain = accepted.chain
        return attempts.Runner(
            passed=passed,
            match=accepted.match,
            chain=dataclasses.replace(
                chain, request_id=chain.request_id or passed.request_id
            ),
            table=accepted.table,
            arrived_at=accepted.arrived_at,
            routing=self._routing,
            carrier=self._carrier,
            suspects=self._suspects,
            names=self._names,
        )

    def _open_claim(
        self,
        accepted: "_Accepted",
        request: gateway.Incoming,
        key: str,
        body_digest: bytes,
        runner: attempts.Runner,
    ) -> claims_lib.Claim | None:
        access = accepted.access
        return self._claims.open(
            claims_lib.Wanted(
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
        self, runner: attempts.Runner, is_gone: Callable[[], bool]
    ) -> endings.Ended:
        with self._guards.watch(
            deadline=runner.deadline, is_gone=is_gone
        ) as guard:
            return runner.run(guard)

    def _format(self, ended: endings.Ended, request_id: str) -> gateway.Answer:
        trace: headers_lib.Headers = ((self._names.request_id, request_id),)
        match ended:
            case result.Success(answered):
                outcome: headers_lib.Headers = ()
                if answered.outcome is not None:
                    outcome = (
                        (outcomes.OUTCOME_HEADER, answered.outcome.value),
                    )
                kept = headers_lib.drop(
                    answered.headers, self._names.request_id
                )
                return gateway.Answer(
                    status=answered.status,
                    headers=kept + trace + outcome,
                    body=answered.body,
                )
            case result.Failure(failed):
                extra = trace
                if failed.retry_after_s:
                    seconds = self._format_retry_after(failed.retry_after_s)
                    extra = (*trace, ("Retry-After", seconds))
                return gateway.make_failure(
                    failed.status, failed.reason, failed.outcome, extra
                )
        raise AssertionError("unreachable")

    def _format_retry_after(self, seconds: float) -> str:
        if self._names.has_fractional_retry:
            return f"{seconds:.3f}"
        return str(math.ceil(seconds))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Accepted:
    """What is known of a request that may run."""

    table: table_lib.Table
    match: table_lib.Match
    access: table_lib.Access
    chain: chain_lib.Chain
    arrived_at: float


def _draw_id() -> str:
    return os.urandom(REQUEST_ID_BYTES).hex()


def _stay() -> bool:
    return False


def _refuse_request(
    match: table_lib.Match,
    access: table_lib.Access,
    request: gateway.Incoming,
) -> gateway.Answer | None:
    if not access.allowed:
        _log.info(
            "access_denied",
            service=match.service,
            route=match.route.name,
            version=match.version,
            reason=access.reason.value,
            client=access.client,
        )
        extra = (CHALLENGE,) if access.status == 401 else ()
        return gateway.make_failure(
            access.status, access.reason.value, _NOT_RUN, extra
        )
    if request.content_length > match.route.max_body_bytes:
        return gateway.make_failure(413, "body-too-large", _NOT_RUN)
    return None


def _answer_miss(miss: table_lib.Miss) -> gateway.Answer:
    extra = (("Allow", ", ".join(miss.allow)),) if miss.allow else ()
    return gateway.make_failure(miss.status, miss.reason.value, _NOT_RUN, extra)
