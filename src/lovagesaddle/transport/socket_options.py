"""Options that every socket between processes has."""

import zmq

LINGER_MS = 0
RECONNECT_FIRST_MS = 100
# Below the time in which a node asks its next replica: what was sent to one
# that restarts arrives when it is back, and not at a much later attempt.
RECONNECT_CAP_MS = 200
# A connection may fall silent for good while new ones work. It is given up
# within three seconds, in which a VM counts as out of touch.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 1500
# An opening packet that got lost is sent again by TCP only after a second.
CONNECT_TIMEOUT_MS = 900
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


def apply(socket: zmq.Socket[bytes]) -> None:
    """Bounds queues and messages, and finds links whose peer vanished."""
    socket.setsockopt(zmq.LINGER, LINGER_MS)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_FIRST_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_CAP_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
