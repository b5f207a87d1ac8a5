"""Final refusals of requests: by a miss in the table, its access and limits.

An entry gives them only while the age of its table is proved.
"""

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import wsgi
from lovagesaddle.observability import logs

CHALLENGE = ("WWW-Authenticate", "Bearer")
_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_log = logs.get_logger("entry")


def check_request(
    match: table_lib.Match,
    access: table_lib.Access,
    request: wsgi.IncomingRequest,
) -> wsgi.Answer | None:
    """Returns the refusal of a request that matched a route, or None."""
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
        return wsgi.make_failure(
            access.status, access.reason.value, _NOT_RUN, extra
        )
    if request.content_length > match.route.max_body_bytes:
        return wsgi.make_failure(413, "body-too-large", _NOT_RUN)
    return None


def make_miss_answer(miss: table_lib.Miss) -> wsgi.Answer:
    """Returns the refusal of a request that no route matches."""
    extra = (("Allow", ", ".join(miss.allow)),) if miss.allow else ()
    return wsgi.make_failure(miss.status, miss.reason.value, _NOT_RUN, extra)
