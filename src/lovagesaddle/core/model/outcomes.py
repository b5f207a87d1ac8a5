"""Defines the outcome of a failed call, as far as it is certain."""

import enum

OUTCOME_HEADER = "Request-Outcome"


class RequestOutcome(enum.Enum):
    """Value of the Request-Outcome header of a failed call.

    NOT_RUN requires proof that the request was never handed over to a backend
    server. Any other failure is UNKNOWN.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
