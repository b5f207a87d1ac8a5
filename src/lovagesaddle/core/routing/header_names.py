"""Names of the headers between nodes, callers and backend servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names in use; a header with an empty name is not written.

    Attributes:
      request_id: Header that identifies a request; a backend server repeats
        it in its answer.
      deadline_ms: Header with the time left to answer, in milliseconds.
      depth: Header with the number of entry nodes on a chain of calls.
      retry: Header that tells whether later entry nodes may retry a request.
      caller_service: Header with the service on whose VM a request began.
      account: Header with the name of the client account that sent a request.
      expected_instance: Header with the instance of the backend server that
        may run the request.
      not_run: Header that marks a backend server's answer to a request that
        it did not run.
      instance: Header that identifies one process of a backend server, in
        answers to health checks.
      server_load: Header with the number of requests that a backend server
        runs, the number that wait, and its slots.
      rate_limit: Headers, in lower case, in which a backend server states how
        many requests a second it takes from all nodes together.
      leaving: Headers, in lower case, in which a backend server states that it
        takes no new requests.
      passes_credentials: Whether nodes pass a caller's Authorization header
        on to backend servers where there are no client accounts.
      echoes_request_id: Whether backend servers repeat the request ID in
        every successful answer.
      has_fractional_retry: Whether callers accept fractions of a second in
        Retry-After.
    """

    request_id: str = "Request-Id"
    deadline_ms: str = "Request-Deadline-Ms"
    depth: str = "Request-Depth"
    retry: str = "Request-Retry"
    caller_service: str = "Request-Caller-Service"
    account: str = "Request-Account"
    expected_instance: str = "Request-Expected-Instance"
    not_run: str = "Request-Not-Run"
    instance: str = "Server-Instance"
    server_load: str = "Server-Load"
    rate_limit: frozenset[str] = frozenset({"server-limit"})
    leaving: frozenset[str] = frozenset({"server-leaving"})
    passes_credentials: bool = False
    echoes_request_id: bool = False
    has_fractional_retry: bool = False

    def list_reserved(self) -> frozenset[str]:
        """Returns the names that only nodes may write, in lower case."""
        names = (
            self.request_id,
            self.deadline_ms,
            self.depth,
            self.retry,
            self.caller_service,
            self.account,
            self.expected_instance,
        )
        return frozenset(name.lower() for name in names if name)


DEFAULT = HeaderNames()
