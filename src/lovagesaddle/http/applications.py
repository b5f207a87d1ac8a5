"""Base class of the WSGI applications, which answer complete requests."""

import abc
from collections.abc import Iterable

from lovagesaddle.core.model import outcomes
from lovagesaddle.http import wsgi
from lovagesaddle.observability import logs

_log = logs.get_logger("http")


class Application(abc.ABC):
    """Answers complete requests; waitress calls it on a thread of a pool."""

    def __call__(
        self,
        environ: wsgi.Environ,
        start_response: wsgi.StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request, with 500 if `answer` raises an exception."""
        request = wsgi.read_request(environ)
        try:
            answer = self.answer(request)
        except Exception as error:
            _log.error("answer_failed", path=request.path, cause=repr(error))
            answer = wsgi.make_failure(
                500, "internal-error", outcomes.RequestOutcome.UNKNOWN
            )
        return wsgi.write_answer(answer, request.method, start_response)

    @abc.abstractmethod
    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the answer to a request."""
