"""Defines edits of services and documents, which change only parts of them."""

import dataclasses

from lovagesaddle.core.model import services as services_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEdit:
    """An edit that adds or changes a service.

    Attributes:
      service: The new service, with only its added and changed routes.
      removed_routes: Names of the base's routes that are removed.
      is_whole: Whether `service` has all of its routes, in order, so that
        the base's routes are not used.
    """

    service: services_lib.Service
    removed_routes: tuple[str, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicesEdit:
    """An edit that turns one set of services into another.

    Attributes:
      edits: Added and changed services.
      removed: Names of the base's services that are removed.
      is_whole: Whether `edits` has all services, in order, so that the
        base's services are not used.
    """

    edits: tuple[ServiceEdit, ...] = ()
    removed: tuple[str, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Splice:
    """Bytes copied from the base document, followed by new bytes.

    Attributes:
      start: Position of the copied bytes in the base, in bytes.
      length: Number of copied bytes.
      added: New bytes that follow the copied ones.
    """

    start: int
    length: int
    added: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentEdit:
    """A document as an edit of the document that it is based on.

    Attributes:
      serial: As in Document.
      base_serial: As in Document.
      splices: Splices that make up the content, in order.
      checksum: CRC-32 of the content.
    """

    serial: int
    base_serial: int
    splices: tuple[Splice, ...]
    checksum: int
