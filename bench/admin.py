"""Sends requests to the admin address of a node."""

import http.client
import json
import time
from typing import Any

ANNOUNCE_RETRY_S = 0.1
ANNOUNCE_TRIES = 100


def announce(
    admin: str, service: str, address: str, slots: int, connections: int
) -> str:
    """Announces a server to the node on its VM; returns its token.

    Args:
      admin: Admin address of the node, as `ip:port`.
      service: Service of the server.
      address: Address of the server, as `ip:port`.
      slots: Requests that the server runs at a time.
      connections: Most connections to the server.

    Raises:
      OSError: The node accepted none of `ANNOUNCE_TRIES` requests.
    """
    content = {
        "service": service,
        "address": address,
        "slots": slots,
        "connections": connections,
    }
    for _ in range(ANNOUNCE_TRIES):
        try:
            return str(post_admin(admin, "/announce", content)["token"])
        except OSError:
            time.sleep(ANNOUNCE_RETRY_S)
    raise OSError(f"node at {admin} did not accept the announcement")


def post_admin(
    admin: str, path: str, content: dict[str, Any], method: str = "POST"
) -> dict[str, Any]:
    """Sends a JSON request to a node's admin address; returns the answer."""
    connection = http.client.HTTPConnection(admin, timeout=5)
    try:
        connection.request(method, path, json.dumps(content))
        answer: dict[str, Any] = json.loads(connection.getresponse().read())
        return answer
    finally:
        connection.close()


def get_health(address: str) -> dict[str, Any]:
    """Returns the answer of a node at /healthz."""
    return post_admin(address, "/healthz", {}, "GET")


def read_counter(address: str, name: str) -> float:
    """Returns a counter of a node, summed over all labels."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith((name + " ", name + "{"))
    )


def send_once(address: str, path: str, headers: dict[str, str]) -> int:
    """Sends one GET request without retries; returns the status."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()
