"""Final refusals of requests: by a miss in the table, its access and limits.

An entry gives them only while the age of its table is proved.
"""

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import wsgi
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

CHALLENGE = ("WWW-Authenticate", "Bearer")
ACCOUNT_CHALLENGE = ("WWW-Authenticate", "Token")
# Reason of a refusal for now, since the key may have been taken away.
WITHDRAWAL_BOUND = "withdrawal-bound"
UNPROVED = "unproved"
_ACCOUNT_REASONS = frozenset(
    {
        table_lib.AccessReason.NO_ACCOUNT_KEY,
        table_lib.AccessReason.UNKNOWN_ACCOUNT_KEY,
        table_lib.AccessReason.MALFORMED_ACCOUNT_KEY,
    }
)
_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_log = logs.get_logger("entry")


class AccessRefusals:
    """Refuses requests for their sender or their size, and counts them.

    Args:
      metrics: Metrics of this process.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def check(
        self,
        match: table_lib.Match,
        access: table_lib.Access,
        request: wsgi.IncomingRequest,
        *,
        is_proved: bool,
    ) -> wsgi.Answer | None:
        """Returns the refusal of a request that matched a route, or None.

        Args:
          match: Its route.
          access: Whether its sender may use the route.
          request: The request.
          is_proved: Whether the refusal will be given, or one for now in its
            place.
        """
        if not access.allowed:
            self.count(access.reason.value if is_proved else UNPROVED)
            if logs.allows_request_line(failed=True):
                _log.info(
                    "access_denied",
                    service=match.service,
                    route=match.route.name,
                    version=match.version,
                    reason=access.reason.value,
                    client=access.client,
                    proved=is_proved,
                )
            return _make_denial(access)
        if request.content_length > match.route.max_body_bytes:
            return wsgi.make_failure(413, "body-too-large", _NOT_RUN)
        return None

    def count(self, reason: str) -> None:
        """Counts a request that its sender or its key did not get in."""
        self._metrics.get_counter(
            "access_refusals_total",
            "Requests refused for their sender, by reason",
            labels={"reason": reason},
        ).add()


def _make_denial(access: table_lib.Access) -> wsgi.Answer:
    extra: tuple[tuple[str, str], ...] = ()
    if access.status == 401:
        is_account = access.reason in _ACCOUNT_REASONS
        extra = (ACCOUNT_CHALLENGE if is_account else CHALLENGE,)
    return wsgi.make_failure(
        access.status, access.reason.value, _NOT_RUN, extra
    )


def make_miss_answer(miss: table_lib.Miss) -> wsgi.Answer:
    """Returns the refusal of a request that no route matches."""
    extra = (("Allow", ", ".join(miss.allow)),) if miss.allow else ()
    return wsgi.make_failure(miss.status, miss.reason.value, _NOT_RUN, extra)
