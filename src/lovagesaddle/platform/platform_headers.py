"""Names of the platform's headers, in the product's terms."""

from lovagesaddle.core.routing import header_names

# The base that a published document names travels beside it in a header.
BASE_SERIAL = "Lovagesaddle-Base-Version"

HEADERS = header_names.HeaderNames(
    request_id="Lovagesaddle-Request-Id",
    deadline_ms="Lovagesaddle-Deadline-Ms",
    # Backend servers pass neither of these on to the calls that they make.
    depth="",
    retry="",
    caller_service="Lovagesaddle-Caller-Service",
    expected_instance="Lovagesaddle-Expect-Instance",
    not_run="Lovagesaddle-Not-Run",
    instance="Lovagesaddle-Instance-Id",
    server_load="Lovagesaddle-Server-Load",
    passes_credentials=True,
    echoes_request_id=True,
    has_fractional_retry=True,
)
