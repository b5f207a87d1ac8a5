"""Processes that can be connected to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """A process that this one can connect to.

    Attributes:
      peer_id: Its name, unique in the cluster.
      address: `tcp://ip:port` that it binds.
      public_key: CurveZMQ public key, Z85; empty when links are plain.
    """

    peer_id: str
    address: str
    public_key: str = ""
