"""Builds the actions that return a picked server to the balancer.

A call returns these actions when one of its attempts ends or is given up.
They tell the balancer the result of the attempt.
"""

from lovagesaddle.core.routing import balancer
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import table

_RESULTS = {
    events.Ending.UNREACHABLE: balancer.AttemptResult.UNREACHABLE,
    events.Ending.REFUSED: balancer.AttemptResult.REFUSED,
    events.Ending.RATE_LIMITED: balancer.AttemptResult.REFUSED,
    events.Ending.DRAINING: balancer.AttemptResult.DRAINING,
    events.Ending.SERVER_DOWN: balancer.AttemptResult.UNREACHABLE,
    events.Ending.QUARANTINED: balancer.AttemptResult.ABANDONED,
    events.Ending.SHED: balancer.AttemptResult.FAILED,
    events.Ending.ANSWERED: balancer.AttemptResult.ANSWERED,
    events.Ending.LOST: balancer.AttemptResult.FAILED,
    events.Ending.CRASHED: balancer.AttemptResult.FAILED,
    events.Ending.TIMED_OUT: balancer.AttemptResult.FAILED,
}


def make_release(
    server: table.Candidate, event: events.AttemptEnded
) -> events.ReleaseServer:
    """Returns the release of a server whose attempt ended.

    Args:
      server: Server of the attempt.
      event: End of the attempt.
    """
    return events.ReleaseServer(
        finished=balancer.Finished(
            server_id=server.server_id,
            incarnation=server.incarnation,
            result=_RESULTS[event.ending],
            load_report=event.load_report,
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
        finished=balancer.Finished(
            server_id=server.server_id,
            incarnation=server.incarnation,
            result=balancer.AttemptResult.ABANDONED,
            waited_s=waited_s,
        )
    )
