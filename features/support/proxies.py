"""Proxies that receive the configuration over in-memory links."""

from tests import mesh as mesh_lib

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import references
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots

SentFrame = tuple[str, str, bytes]


class Proxies(mesh_lib.Mesh):
    """A fleet that records installed versions across restarts.

    Attributes:
      digests: Digest of each committed version.
      duplicates: Whether every frame is sent twice.
      started_members: Members of each node, one for each start.
    """

    def __init__(self) -> None:
        self.digests: dict[int, bytes] = {}
        super().__init__()
        self.duplicates = False
        self.started_members: dict[str, list[mesh_lib.Member]] = {}

    def add_node(self, node_id: str, domain: str = "a") -> mesh_lib.Member:
        """Starts a proxy, or restarts it without its former state."""
        member = super().add_node(node_id, domain)
        self.started_members.setdefault(node_id, []).append(member)
        return member

    def _send_frame(
        self, sender_id: str, target_id: str, route: bytes, frame: bytes
    ) -> None:
        for _ in range(1 + self.duplicates):
            super()._send_frame(sender_id, target_id, route, frame)

    def commit(self, command: commands.Command | None) -> int:
        """Applies an entry and records the digest of its version."""
        version = super().commit(command)
        self.digests[version] = delta.hash_snapshot(self.state.snapshot).digest
        return version

    def list_versions(self, node_id: str) -> list[int]:
        """Returns every version that a proxy installed, across restarts."""
        return [
            hashed.version
            for member in self.started_members[node_id]
            for hashed in member.installed
        ]

    def check_installed(self) -> None:
        """Checks every version that any proxy ever installed.

        Raises:
          AssertionError: A proxy installed an older version or the same one
            again, installed a version in part, or had a route or server
            whose service or node is absent.
        """
        for node_id, members in self.started_members.items():
            versions = self.list_versions(node_id)
            assert versions == sorted(set(versions)), (node_id, versions)
            for member in members:
                for hashed in member.installed:
                    _check_consistent(hashed)
                    assert hashed.digest == self.digests[hashed.version]


def _check_consistent(hashed: delta.HashedSnapshot) -> None:
    snapshot = hashed.snapshot
    assert delta.hash_snapshot(snapshot).digest == hashed.digest
    assert not references.check_references(snapshot.services)
    nodes = {node.node_id for node in snapshot.nodes}
    assert all(server.node_id in nodes for server in snapshot.servers)


def make_draining_server(node_id: str) -> snapshots.BackendServer:
    """Returns the backend server of a proxy in the state DRAINING."""
    return mesh_lib.make_server(node_id, state=snapshots.ServerState.DRAINING)
