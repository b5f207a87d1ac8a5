"""Defines whether a failed call has run, as its caller is told.

The outcome is the value of the header `OUTCOME_HEADER`.
"""

import enum

OUTCOME_HEADER = "Request-Outcome"


class RequestOutcome(enum.Enum):
    """Value of the Request-Outcome header of a failed call.

    NOT_RUN requires proof that the request was never handed over to a backend
    server. Any other failure is UNKNOWN.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
