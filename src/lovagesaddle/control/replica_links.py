"""Consensus messages over the process's endpoint."""

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import messages
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib

_CHANNEL = endpoint_lib.Channel.CONSENSUS


class ReplicaLinks:
    """Wraps, addresses and unwraps the messages between replicas.

    Args:
      endpoint: The process's endpoint.
      cluster_id: Cluster whose messages are taken.
      own_id: Member ID of this replica.
      replicas: Replicas of the settings.
    """

    def __init__(
        self,
        *,
        endpoint: endpoint_lib.Endpoint,
        cluster_id: str,
        own_id: str,
        replicas: tuple[schema.ReplicaAddress, ...],
    ) -> None:
        self._endpoint = endpoint
        self._cluster_id = cluster_id
        self._own_id = own_id
        self._founders = {
            replica.replica_id: endpoint_lib.Peer(
                peer_id=replica.replica_id,
                address=replica.address,
                public_key=replica.public_key,
            )
            for replica in replicas
        }
        self._contacts: dict[str, endpoint_lib.Peer] = {}
        self._peers: dict[str, endpoint_lib.Peer] = {}
        self._routes: dict[str, bytes] = {}

    def add_contacts(self, members: tuple[entries_lib.Member, ...]) -> None:
        """Takes replicas that an introduction may be sent to."""
        for member in members:
            if member.member_id != self._own_id:
                self._contacts[member.replica_id] = make_peer(member)

    def introduce_to_all(self, introduction: founding.Introduction) -> None:
        """Sends an introduction to every replica that is known."""
        data = founding.LINK_MESSAGES.encode(introduction)
        for peer in {**self._founders, **self._contacts}.values():
            if peer.peer_id != introduction.member.replica_id:
                self._endpoint.send(peer, _CHANNEL, data)

    def connect(self, members: entries_lib.Members) -> None:
        """Takes the addresses of the present members."""
        peers = {
            member.member_id: make_peer(member) for member in members.members
        }
        for member_id, peer in self._peers.items():
            if peers.get(member_id) != peer:
                self._endpoint.disconnect(peer)
        self._peers = peers

    def send(self, receiver: str, message: messages.Message) -> bool:
        """Sends to a member, or back to a leader not known as one yet."""
        envelope = messages.Envelope(
            cluster_id=self._cluster_id,
            sender=self._own_id,
            receiver=receiver,
            payload=messages.MESSAGES.encode(message),
        )
        data = founding.LINK_MESSAGES.encode(envelope)
        peer = self._peers.get(receiver)
        if peer is not None:
            return self._endpoint.send(peer, _CHANNEL, data)
        route = self._routes.get(receiver, b"")
        return bool(route) and self._endpoint.answer(route, _CHANNEL, data)

    def answer(self, route: bytes, introduction: founding.Introduction) -> bool:
        """Answers an introduction on the connection it came over."""
        data = founding.LINK_MESSAGES.encode(introduction)
        return self._endpoint.answer(route, _CHANNEL, data)

    def unwrap(
        self, received: endpoint_lib.Received
    ) -> founding.Introduction | tuple[str, messages.Message] | None:
        """Returns an introduction, a (sender, message), or None to drop it.

        Raises:
          errors.CodecError: The bytes are malformed.
        """
        link = founding.LINK_MESSAGES.decode(
            received.data, peer=received.sender_id
        )
        if link.cluster_id != self._cluster_id:
            return None
        if isinstance(link, founding.Introduction):
            return link
        if link.receiver != self._own_id:
            return None
        if received.route:
            self._routes[link.sender] = received.route
        message = messages.MESSAGES.decode(link.payload, peer=link.sender)
        return link.sender, message


def make_peer(member: entries_lib.Member) -> endpoint_lib.Peer:
    """Returns where a member is reached."""
    return endpoint_lib.Peer(
        peer_id=member.replica_id,
        address=member.address,
        public_key=member.public_key,
    )
