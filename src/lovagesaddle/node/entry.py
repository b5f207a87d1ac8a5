"""Entry side of a node: takes a caller's request to its one answer."""

import dataclasses
import hashlib
import math
import os
import time

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import chain as chain_lib
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import gateway
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempts
from lovagesaddle.node import hops
from lovagesaddle.node import local_servers
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import suspects as suspects_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

BEARER = "bearer "
CHALLENGE = ("WWW-Authenticate", "Bearer")
REQUEST_ID_BYTES = 8
NOT_JOINED_RETRY_S = 1
DIGEST_PREFIX = "sha256:"
_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_log = logs.get_logger("entry")


class Entry:
    """Answers callers.

    Args:
      routing: Tables, balancer and retry policies.
      carrier: Takes attempts to owners.
      servers: Knows the tokens of local services.
      suspects: Knows requests that crash servers.
      guards: Watches deadlines and callers that hang up.
      metrics: Of this process.
    """

    def __init__(
        self,
        *,
        routing: routing_lib.Routing,
        carrier: hops.Carrier,
        servers: local_servers.LocalServers,
        suspects: suspects_lib.Suspects,
        guards: watchdog.Watchdog,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._routing = routing
        self._carrier = carrier
        self._servers = servers
        self._suspects = suspects
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
        arrived_at = time.monotonic()
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
        match = table.match(
            host=request.headers.get("host", ""),
            path=request.path,
            method=request.method,
        )
        if isinstance(match, table_lib.Miss):
            return _answer_miss(match)
        refused = self._check(table, match, request)
        if refused is not None:
            return refused
        try:
            chain = chain_lib.parse_headers(request.headers)
        except errors.ChainError as error:
            return gateway.make_failure(400, error.cause, _NOT_RUN)
        return self._call(table, match, request, chain, arrived_at)

    def _check(
        self,
        table: table_lib.Table,
        match: table_lib.Match,
        request: gateway.Incoming,
    ) -> gateway.Answer | None:
        access = table.authorise(match, self._find_credential(request))
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

    def _find_credential(
        self, request: gateway.Incoming
    ) -> table_lib.Credential:
        header = request.headers.get("authorization", "")
        if header[: len(BEARER)].lower() != BEARER:
            return table_lib.Credential()
        token = header[len(BEARER) :].strip()
        service = self._servers.find_service(token)
        if service:
            return table_lib.Credential(service=service)
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        return table_lib.Credential(token_digest=DIGEST_PREFIX + digest)

    def _call(
        self,
        table: table_lib.Table,
        match: table_lib.Match,
        request: gateway.Incoming,
        chain: chain_lib.Chain,
        arrived_at: float,
    ) -> gateway.Answer:
        request_id = os.urandom(REQUEST_ID_BYTES).hex()
        body = request.read_body()
        fingerprint = quarantine.compute_fingerprint(
            method=request.method,
            service=match.service,
            route=match.route.name,
            target=request.target,
            body_digest=hashlib.sha256(body).digest(),
        )
        verdict = self._suspects.judge(fingerprint)
        if verdict is quarantine.Verdict.REFUSED:
            _log.info("quarantined", request=request_id, service=match.service)
            return gateway.make_failure(503, hop.QUARANTINED, _NOT_RUN)
        passed = attempts.Passed(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=headers_lib.filter_request(request.headers),
            body=body,
            fingerprint=fingerprint,
            suspect=verdict is quarantine.Verdict.SUSPECT,
        )
        runner = attempts.Runner(
            passed=passed,
            match=match,
            chain=dataclasses.replace(
                chain, request_id=chain.request_id or request_id
            ),
            table=table,
            arrived_at=arrived_at,
            routing=self._routing,
            carrier=self._carrier,
            suspects=self._suspects,
        )
        with self._guards.watch(
            deadline=runner.deadline, is_gone=request.is_gone
        ) as guard:
            ended = runner.run(guard)
        self._attempts.add(runner.attempts)
        return _format(ended, request_id)


def _format(ended: attempts.Ended, request_id: str) -> gateway.Answer:
    trace: headers_lib.Headers = ((chain_lib.REQUEST_ID_HEADER, request_id),)
    match ended:
        case result.Success(answered):
            extra = trace
            if answered.outcome is not None:
                extra = (
                    *trace,
                    (outcomes.OUTCOME_HEADER, answered.outcome.value),
                )
            return gateway.Answer(
                status=answered.status,
                headers=answered.headers + extra,
                body=answered.body,
            )
        case result.Failure(failed):
            extra = trace
            if failed.retry_after_s:
                seconds = str(math.ceil(failed.retry_after_s))
                extra = (*trace, ("Retry-After", seconds))
            return gateway.make_failure(
                failed.status, failed.reason, failed.outcome, extra
            )
    raise AssertionError("unreachable")


def _answer_miss(miss: table_lib.Miss) -> gateway.Answer:
    extra = (("Allow", ", ".join(miss.allow)),) if miss.allow else ()
    return gateway.make_failure(miss.status, miss.reason.value, _NOT_RUN, extra)
