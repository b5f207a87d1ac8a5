"""Nodes in this process, the first of which owns a stand-in backend server."""

from collections.abc import Iterator
import contextlib
from typing import Any

from bench import admin as admin_lib
from bench import backend
from bench import stand_in

from lovagesaddle.node import program
from tests import nodes

SERVICE = "orderdesk"


@contextlib.contextmanager
def run_mesh(
    count: int = 2,
    *,
    services: tuple[Any, ...] = (),
    proves: bool = True,
    **options: Any,
) -> Iterator[tuple[nodes.Mesh, list[program.NodeProgram], backend.Backend]]:
    """Runs nodes; the first one owns a stand-in backend server.

    Args:
      count: Number of nodes.
      services: Published services; one by default.
      proves: Whether each version is proved to stay the newest.
      options: Options of the server.
    """
    with (
        nodes.Mesh(*(services or (nodes.make_service(),))) as mesh,
        backend.Backend(stand_in.BackendOptions(**options)) as server,
    ):
        mesh.control.proves = proves
        started = [mesh.start(f"n{number}") for number in range(count)]
        announce(started[0], server)
        yield mesh, started, server


def announce(
    node: program.NodeProgram,
    server: backend.Backend,
    slots: int = 20,
    service: str = SERVICE,
) -> str:
    """Announces a server to the node that owns it; returns its token."""
    return admin_lib.announce(
        node.admin_address, service, server.address, slots, 100
    )
