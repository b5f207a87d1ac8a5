"""Serves the operator's calls that concern roll-outs."""

from typing import Annotated
from urllib import parse

import msgspec
from returns import result

from lovagesaddle.control import forwarder as forwarder_lib
from lovagesaddle.core import errors
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import snapshots
from lovagesaddle.http import applications
from lovagesaddle.http import wsgi
from lovagesaddle.observability import logs
from lovagesaddle.platform import endpoints

START_PATH = "/api/Rollouts.Start"
READ_PATH = "/api/Rollouts.Get/"
# Below the operator's own timeout of 1 s per call.
ANSWER_TIMEOUT_S = 0.9
MAX_RAMP_S = 86_400
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_STATUSES = {
    commands.RolloutOutcome.ACCEPTED: (200, ""),
    commands.RolloutOutcome.CONFLICT: (409, "another roll-out is in progress"),
    commands.RolloutOutcome.UNKNOWN_SERVICE: (422, "the service is unknown"),
    commands.RolloutOutcome.DISABLED: (422, "versions are not rolled out"),
}
_STATES = {
    snapshots.RolloutPhase.RUNNING: "running",
    snapshots.RolloutPhase.COMPLETED: "completed",
    snapshots.RolloutPhase.ROLLED_BACK: "rolled_back",
}
_log = logs.get_logger("platform")


class OrderError(errors.LovagesaddleError):
    """Raised for an order that can't be read."""


class _Order(msgspec.Struct, frozen=True, rename="pascal"):
    service: Name
    target_version: Name
    ramp_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_RAMP_S)] = msgspec.field(
        name="RampS"
    )


_DECODER = msgspec.json.Decoder(_Order)


def parse_order(content: bytes) -> commands.StartRollout:
    """Returns the order in the body of a call.

    Raises:
      OrderError: The body is malformed.
    """
    try:
        order = _DECODER.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise OrderError(
            step="parse order", peer="operator", cause=str(error)
        ) from error
    return commands.StartRollout(
        service=order.service, target=order.target_version, ramp_s=order.ramp_s
    )


class RolloutEndpoint(applications.Application):
    """Orders roll-outs and returns their state; passes on other calls.

    Args:
      forwarder: Forwards requests to the leader.
      others: Answers all other calls.
    """

    def __init__(
        self,
        forwarder: forwarder_lib.Forwarder,
        others: applications.Application,
    ) -> None:
        self._forwarder = forwarder
        self._others = others

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the result of a call; 503 if the leader can't be reached."""
        if (request.method, request.path) == ("POST", START_PATH):
            return self._start(request)
        if request.method == "GET" and request.path.startswith(READ_PATH):
            return self._read(request.path.removeprefix(READ_PATH))
        return self._others.answer(request)

    def _start(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        try:
            order = parse_order(request.read_body())
        except OrderError as error:
            _log.warning("order_refused", cause=error.cause)
            return endpoints.make_answer(400, error.cause)
        match self._forwarder.start_rollout(order, ANSWER_TIMEOUT_S):
            case result.Success(commands.RolloutOutcome() as outcome):
                return endpoints.make_answer(*_STATUSES[outcome])
            case result.Failure(error):
                return endpoints.make_answer(503, str(error))
        raise AssertionError("unreachable")

    def _read(self, service: str) -> wsgi.Answer:
        found = self._forwarder.read_rollout(
            parse.unquote(service), ANSWER_TIMEOUT_S
        )
        match found:
            case result.Success(operator_messages.RolloutAnswer() as answer):
                if answer.rollout is None:
                    return endpoints.make_answer(404, "no roll-out was ordered")
                return wsgi.make_json(
                    200,
                    {
                        "State": _STATES[answer.rollout.phase],
                        "TargetVersion": answer.rollout.target,
                    },
                )
            case result.Failure(error):
                return endpoints.make_answer(503, str(error))
        raise AssertionError("unreachable")
