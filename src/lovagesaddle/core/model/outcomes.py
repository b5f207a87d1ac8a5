"""How a call ended, as far as its caller may rely on it."""

import enum

OUTCOME_HEADER = "Request-Outcome"


class RequestOutcome(enum.Enum):
    """Value of the Request-Outcome header on a failed call.

    NOT_RUN is said only with proof: the request was never handed over to a
    backend server. Everything else that failed is UNKNOWN.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
