"""Checks of `ip:port` addresses that other processes sent."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def has_valid_port(address: str) -> bool:
    """Returns whether an address ends with a port that a socket takes."""
    host, separator, port = address.rpartition(":")
    if not (host and separator and len(port) <= MAX_PORT_DIGITS):
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
