"""Tests of the links between replicas."""

from lovagesaddle.control import replica_links
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib
from tests import fixtures


class _Endpoint(endpoint_lib.Endpoint):
    """Records the receivers of the messages it sends."""

    def __init__(self) -> None:
        self.receivers: list[str] = []

    def send(
        self,
        peer: endpoint_lib.Peer,
        channel: endpoint_lib.Channel,
        data: bytes,
    ) -> bool:
        """See base class."""
        del channel, data
        self.receivers.append(peer.peer_id)
        return True


def _make_member(replica_id: str) -> entries_lib.Member:
    return entries_lib.Member(
        member_id=f"{replica_id}-1",
        replica_id=replica_id,
        address="tcp://127.0.0.1:1",
    )


def test_introduction_reaches_founders_and_members_but_not_its_sender() -> None:
    """An introduction is sent to all founders and all known members."""
    endpoint = _Endpoint()
    links = replica_links.ReplicaLinks(
        endpoint=endpoint,
        cluster_id="c",
        own_id="r1-1",
        replicas=tuple(
            schema.ReplicaAddress(replica_id=name, address="tcp://127.0.0.1:1")
            for name in ("r1", "r2", "r3")
        ),
    )
    introduction = founding.Introduction(
        cluster_id="c",
        member=_make_member("r1"),
        is_founding=False,
        has_log=False,
    )
    links.introduce_to_all(introduction)
    assert endpoint.receivers == ["r2", "r3"]
    endpoint.receivers.clear()
    links.add_contacts(
        (_make_member("r1"), _make_member("r3"), _make_member("r9"))
    )
    links.introduce_to_all(introduction)
    assert sorted(endpoint.receivers) == ["r2", "r3", "r9"]


load_tests = fixtures.collect(__name__)
