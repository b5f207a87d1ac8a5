"""Names of the headers that a mesh and its neighbours tell each other by."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """The names in use; a header whose name is empty is not written.

    Attributes:
      request_id: Identifies a request; a backend server repeats it in its
        answer.
      deadline_ms: Time left to answer, in milliseconds.
      depth: Entries that a chain of calls has passed.
      retry: Whether entries further inside may repeat a request.
      caller_service: Service on whose VM a request began.
      expected_instance: Instance of the backend server that may run it.
      not_run: Marks a backend server's answer to a request that it did not
        run.
      instance: Name of a backend server's life, in answers to health checks.
      server_load: Requests that a backend server runs, requests that wait,
        and its slots.
      passes_credentials: Whether backend servers get the Authorization
        header of a caller.
      echoes_request_id: Whether backend servers name the request's ID in
        every success.
      has_fractional_retry: Whether callers read fractions of a second in
        Retry-After.
    """

    request_id: str = "Request-Id"
    deadline_ms: str = "Request-Deadline-Ms"
    depth: str = "Request-Depth"
    retry: str = "Request-Retry"
    caller_service: str = "Request-Caller-Service"
    expected_instance: str = "Request-Expected-Instance"
    not_run: str = "Request-Not-Run"
    instance: str = "Server-Instance"
    server_load: str = "Server-Load"
    passes_credentials: bool = False
    echoes_request_id: bool = False
    has_fractional_retry: bool = False

    def list_reserved(self) -> frozenset[str]:
        """Returns, in lower case, the names that only a node writes."""
        names = (
            self.request_id,
            self.deadline_ms,
            self.depth,
            self.retry,
            self.caller_service,
            self.expected_instance,
        )
        return frozenset(name.lower() for name in names if name)


DEFAULT = HeaderNames()
