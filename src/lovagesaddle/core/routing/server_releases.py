"""Builds the actions that return a picked server to the balancer.

A call returns these actions when one of its attempts ends or is given up.
They tell the balancer the result of the attempt.
"""

from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import table

_RESULTS = {
    events.Ending.UNREACHABLE: balancer_events.AttemptResult.UNREACHABLE,
    events.Ending.REFUSED: balancer_events.AttemptResult.REFUSED,
    events.Ending.EXPECTED_LATE: balancer_events.AttemptResult.REFUSED,
    events.Ending.RATE_LIMITED: balancer_events.AttemptResult.REFUSED,
    events.Ending.DRAINING: balancer_events.AttemptResult.DRAINING,
    events.Ending.SERVER_DOWN: balancer_events.AttemptResult.UNREACHABLE,
    events.Ending.QUARANTINED: balancer_events.AttemptResult.ABANDONED,
    events.Ending.ROUTE_OUTDATED: balancer_events.AttemptResult.ABANDONED,
    events.Ending.SHED: balancer_events.AttemptResult.FAILED,
    events.Ending.ANSWERED: balancer_events.AttemptResult.ANSWERED,
    events.Ending.LOST: balancer_events.AttemptResult.FAILED,
    events.Ending.CRASHED: balancer_events.AttemptResult.FAILED,
    events.Ending.TIMED_OUT: balancer_events.AttemptResult.FAILED,
}


def make_release(
    server: table.Candidate, event: events.AttemptEnded, kind: str = ""
) -> events.ReleaseServer:
    """Returns the release of a server whose attempt ended.

    Args:
      server: Server of the attempt.
      event: End of the attempt.
      kind: Kind of the request: name of its route.
    """
    return events.ReleaseServer(
        finished=balancer_events.Finished(
            server_id=server.server_id,
            incarnation=server.incarnation,
            result=_RESULTS[event.ending],
            load_report=event.load_report,
            kind=kind,
        )
    )


def make_abandoned_release(
    server: table.Candidate, waited_s: float = 0.0
) -> events.ReleaseServer:
    """Returns the release of a server whose attempt was given up.

    Args:
      server: Server of the attempt.
      waited_s: Time that the attempt waited for an answer, in seconds.
    """
    return events.ReleaseServer(
        finished=balancer_events.Finished(
            server_id=server.server_id,
            incarnation=server.incarnation,
            result=balancer_events.AttemptResult.ABANDONED,
            waited_s=waited_s,
        )
    )
