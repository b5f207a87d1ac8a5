"""Parses the heartbeats and deregistrations of backend servers.

`node.server_heartbeats` decides what follows from them.
"""

import dataclasses
from typing import Annotated, Any, Literal

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.model import addresses
from lovagesaddle.node import local_servers

Count = Annotated[int, msgspec.Meta(ge=1, le=local_servers.MAX_SLOTS)]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$")
]
# Processes exchange numbers of 64 bits.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
UNKNOWN_BORN_MS = 0


class HeartbeatError(errors.LovagesaddleError):
    """Raised for a heartbeat or deregistration that can't be parsed."""


class _Beat(msgspec.Struct, frozen=True, rename="pascal"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Address
    slots: Count
    state: Literal["ready", "draining"]
    sequence: Number
    # Time for which the server remains slow after its start.
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    # Start of the server's process, in milliseconds since 1970.
    born: Number = msgspec.field(default=UNKNOWN_BORN_MS, name="born")
    # Read only where versions are rolled out; elsewhere it may be anything.
    version: Any = None


class _Farewell(msgspec.Struct, frozen=True):
    born: Number = UNKNOWN_BORN_MS


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Beat)
_DEREGISTRATION_DECODER = msgspec.json.Decoder(_Farewell)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Beat:
    """One periodic heartbeat of a backend server.

    Attributes:
      announcement: Service, address and capacity of the server.
      sequence: Increases with every heartbeat of one server process.
      is_leaving: Whether the server is draining.
    """

    announcement: local_servers.Announcement
    sequence: int
    is_leaving: bool


def parse_heartbeat(
    instance: str, content: bytes, *, reads_version: bool = False
) -> Beat:
    """Returns the heartbeat in the body of a call.

    Args:
      instance: Name of the server, from the path of the call.
      content: Body of the call.
      reads_version: Whether versions are rolled out, so that the version of the
        server's software is needed.

    Raises:
      HeartbeatError: The body is malformed.
    """
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _make_error(instance, str(error)) from error
    if not addresses.has_valid_port(heartbeat.address):
        raise _make_error(instance, f"port of {heartbeat.address} is invalid")
    software = ""
    if reads_version:
        software = heartbeat.version
        if not isinstance(software, str) or not software:
            raise _make_error(instance, "the version of its software is absent")
    return Beat(
        announcement=local_servers.Announcement(
            service=heartbeat.service,
            address=heartbeat.address,
            slots=heartbeat.slots,
            # An owner keeps exactly one connection per slot.
            connections=heartbeat.slots,
            instance=instance,
            born_ms=heartbeat.born,
            is_warm=not heartbeat.cold_remaining_ms,
            software=software,
        ),
        sequence=heartbeat.sequence,
        is_leaving=heartbeat.state == "draining",
    )


def parse_deregistration(instance: str, content: bytes) -> int:
    """Returns the start of the server process that ends.

    Returns:
      Milliseconds since 1970; `UNKNOWN_BORN_MS` when it is not stated.

    Raises:
      HeartbeatError: The body is malformed.
    """
    if not content.strip():
        return UNKNOWN_BORN_MS
    try:
        return _DEREGISTRATION_DECODER.decode(content).born
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _make_error(instance, str(error)) from error


def _make_error(instance: str, cause: str) -> HeartbeatError:
    return HeartbeatError(step="parse heartbeat", peer=instance, cause=cause)
