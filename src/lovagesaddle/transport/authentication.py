"""Authenticates incoming links by key, over ZeroMQ's protocol ZAP."""

import zmq
from zmq.utils import z85

from lovagesaddle.core import errors
from lovagesaddle.transport import keys as keys_lib
from lovagesaddle.transport import log_lines

ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
REQUEST_FRAMES = 7
CURVE_MECHANISM = b"CURVE"


class Authenticator:
    """Handles ZAP requests of ZeroMQ; a context has at most one authenticator.

    Args:
      context: ZeroMQ context of the process.
      allowed: Public keys that may connect.

    Raises:
      errors.TransportError: The context already has an authenticator.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        allowed: keys_lib.AllowedKeys,
    ) -> None:
        self._allowed = allowed
        self.socket = context.socket(zmq.REP)
        try:
            self.socket.bind(ZAP_ADDRESS)
        except zmq.ZMQError as error:
            self.socket.close()
            raise errors.TransportError(
                step="authenticate", peer="self", cause=str(error)
            ) from error

    def answer(self) -> None:
        """Answers all pending ZAP requests without blocking."""
        while True:
            try:
                request = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.socket.send_multipart(self._authenticate(request))

    def _authenticate(self, request: list[bytes]) -> list[bytes]:
        request_id = request[1] if len(request) > 1 else b""
        owner = None
        if len(request) == REQUEST_FRAMES and request[5] == CURVE_MECHANISM:
            owner = self._find_owner(z85.encode(request[6]).decode())
        if owner is None:
            return [
                ZAP_VERSION,
                request_id,
                b"400",
                b"key not allowed",
                b"",
                b"",
            ]
        return [ZAP_VERSION, request_id, b"200", b"OK", owner.encode(), b""]

    def _find_owner(self, public_key: str) -> str | None:
        try:
            owner = self._allowed.find_owner(public_key)
        except errors.SettingsError as error:
            log_lines.write_error(error)
            return None
        if owner is None:
            log_lines.write_error(
                errors.TransportError(
                    step="authenticate",
                    peer=public_key,
                    cause="key is not allowed",
                )
            )
        return owner
