"""Checks of the entries that nodes send for the list of all nodes and servers.

Every process reads that list, so an entry that some of them can't use is not
taken into it.
"""

from lovagesaddle.core.model import addresses
from lovagesaddle.core.model import snapshots

# Times in milliseconds and versions are far below it, and so are their
# successors.
MAX_INCARNATION = 2**53


def find_server_flaw(server: snapshots.BackendServer) -> str:
    """Returns what is invalid about a server; empty if nothing is."""
    if not 0 < server.slots <= snapshots.MAX_SLOTS:
        return f"{server.server_id}: {server.slots} slots"
    if not 0 < server.connections <= snapshots.MAX_SLOTS:
        return f"{server.server_id}: {server.connections} connections"
    if not 0 <= server.incarnation <= MAX_INCARNATION:
        return f"{server.server_id}: incarnation {server.incarnation}"
    return ""


def find_node_flaw(node: snapshots.Node) -> str:
    """Returns what is invalid about a node; empty if nothing is."""
    if not addresses.has_valid_port(node.http_address):
        return f"HTTP address {node.http_address}"
    address = node.control_address
    if ":" in address and not addresses.has_valid_port(address):
        return f"control address {address}"
    return ""
