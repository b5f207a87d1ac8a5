"""Maps the headers of this system to the names that the platform uses."""

from lovagesaddle.core.routing import header_names

# Carries the serial of the document that a published document is based on.
BASE_SERIAL = "Lovagesaddle-Base-Version"

HEADERS = header_names.HeaderNames(
    request_id="Lovagesaddle-Request-Id",
    deadline_ms="Lovagesaddle-Deadline-Ms",
    # Unused: backend servers forward neither header on their own calls.
    depth="",
    retry="",
    caller_service="Lovagesaddle-Caller-Service",
    account="Lovagesaddle-Tenant-Id",
    expected_instance="Lovagesaddle-Expect-Instance",
    not_run="Lovagesaddle-Not-Run",
    instance="Lovagesaddle-Instance-Id",
    server_load="Lovagesaddle-Server-Load",
    # The platform's announcement of these two leaves their prefix open.
    rate_limit=frozenset({"server-limit", "lovagesaddle-server-limit"}),
    leaving=frozenset({"server-leaving", "lovagesaddle-server-leaving"}),
    passes_credentials=True,
    echoes_request_id=True,
    has_fractional_retry=True,
)
