"""What turns one set of services into another, route by route."""

import dataclasses

from lovagesaddle.core.model import services as services_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEdit:
    """An added or changed service.

    Attributes:
      service: The new service, with its added and changed routes only.
      removed_routes: Names of routes of the base that are gone.
      is_whole: Whether `service` has all of its routes, in their order, and
        the base's are not used.
    """

    service: services_lib.Service
    removed_routes: tuple[str, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicesEdit:
    """What turns a set of services into another one.

    Attributes:
      edits: Added and changed services.
      removed: Names of services of the base that are gone.
      is_whole: Whether `edits` has all services, in their order, and the
        base's are not used.
    """

    edits: tuple[ServiceEdit, ...] = ()
    removed: tuple[str, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Splice:
    """Some bytes of the base, then some of the target's own.

    Attributes:
      start: Position in the base, in bytes.
      length: Bytes that are copied from there.
      added: Bytes that follow them.
    """

    start: int
    length: int
    added: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentEdit:
    """A document as an edit of the one it builds on.

    Attributes:
      serial: As in the document.
      base_serial: As in the document.
      splices: What its content consists of, in order.
      checksum: CRC-32 of the content.
    """

    serial: int
    base_serial: int
    splices: tuple[Splice, ...]
    checksum: int
