"""Sends and receives consensus messages over the process's endpoint."""

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import messages
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib

_CHANNEL = endpoint_lib.Channel.CONSENSUS


class ReplicaLinks:
    """Encodes, addresses and decodes the messages between replicas.

    Args:
      endpoint: ZeroMQ endpoint of the process.
      cluster_id: ID of the cluster; messages of other clusters are dropped.
      own_id: Member ID of this replica.
      replicas: Founding replicas, from the settings.
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
        self._founder_peers = {
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
        """Adds replicas to send introductions to."""
        for member in members:
            if member.member_id != self._own_id:
                self._contacts[member.replica_id] = make_peer(member)

    def introduce_to_all(self, introduction: founding.Introduction) -> None:
        """Sends an introduction to every known replica except its sender."""
        data = founding.LINK_MESSAGES.encode(introduction)
        for peer in {**self._founder_peers, **self._contacts}.values():
            if peer.peer_id != introduction.member.replica_id:
                self._endpoint.send(peer, _CHANNEL, data)

    def connect(self, members: entries_lib.Members) -> None:
        """Updates member addresses and closes connections to former ones."""
        peers = {
            member.member_id: make_peer(member) for member in members.members
        }
        for member_id, peer in self._peers.items():
            if peers.get(member_id) != peer:
                self._endpoint.disconnect(peer)
        self._peers = peers

    def send(self, receiver: str, message: messages.Message) -> bool:
        """Sends a message to a member.

        A receiver that is not a known member yet, such as the leader on a new
        replica, is answered on the connection of its last message.

        Returns:
          False if the message was dropped.
        """
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
        """Answers an introduction on the connection it arrived on."""
        data = founding.LINK_MESSAGES.encode(introduction)
        return self._endpoint.answer(route, _CHANNEL, data)

    def unwrap(
        self, received: endpoint_lib.Received
    ) -> founding.Introduction | tuple[str, messages.Message] | None:
        """Decodes a message of the consensus channel.

        Returns:
          An introduction, a pair of sender and message, or None for a message
          to another cluster or replica.


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
    """Returns the peer that represents a member."""
    return endpoint_lib.Peer(
        peer_id=member.replica_id,
        address=member.address,
        public_key=member.public_key,
    )
