"""Defines the address and key of a process to connect to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """A process that this one can connect to.

    Attributes:
      peer_id: Name of the process, unique in the cluster.
      address: `tcp://ip:port` that the process binds.
      public_key: CurveZMQ public key in Z85; empty when links are not
        encrypted.
    """

    peer_id: str
    address: str
    public_key: str = ""
