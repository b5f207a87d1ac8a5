"""Sets the options of the sockets between processes."""

import zmq

LINGER_MS = 0
INITIAL_RECONNECT_MS = 100
# Shorter than the time after which a node tries its next replica, so that
# messages queued for a restarting replica arrive as soon as it is back and not
# at a much later attempt.
MAX_RECONNECT_MS = 200
# A connection may stop carrying data and never recover, although a new one to
# the same peer would work. Heartbeats at this interval, with the timeout below,
# close such a connection within three seconds, the time after which a VM counts
# as unreachable.
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 1500
# Shorter than the second after which TCP retransmits a lost SYN.
CONNECT_TIMEOUT_MS = 900
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


def apply(socket: zmq.Socket[bytes]) -> None:
    """Limits queues and messages and enables detection of dead connections."""
    socket.setsockopt(zmq.LINGER, LINGER_MS)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.RECONNECT_IVL, INITIAL_RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
