"""Lists the differences between two sets of services."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import TypeVar

import msgspec

from lovagesaddle.core.model import services

ItemT = TypeVar("ItemT", services.Caller, services.Route)

_PART_FIELDS = ("callers", "routes")


class ChangeKind(enum.Enum):
    """Whether a service or a part of it was added, removed or changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One difference between two sets of services.

    Attributes:
      kind: Whether the place was added, removed or changed.
      place: Path to a service, a part of it or a field, such as
        "service desk / route confirm / timeout_s".
      before: Old value as text; empty unless a field changed.
      after: New value as text; empty unless a field changed.
    """

    kind: ChangeKind
    place: str
    before: str
    after: str


def compare_services(
    old: Sequence[services.Service], new: Sequence[services.Service]
) -> tuple[Change, ...]:
    """Returns the changes from `old` to `new`, sorted by service name."""
    before = {service.name: service for service in old}
    after = {service.name: service for service in new}
    changes: list[Change] = []
    for name in sorted({*before, *after}):
        place = f"service {name}"
        changes.extend(
            _compare_service(place, before.get(name), after.get(name))
        )
    return tuple(changes)


def _compare_service(
    place: str,
    old: services.Service | None,
    new: services.Service | None,
) -> list[Change]:
    if old is None or new is None:
        return [_make_presence_change(place, added=old is None)]
    changes = _compare_fields(place, old, new)
    changes += _compare_parts(f"{place} / caller", old.callers, new.callers)
    changes += _compare_parts(f"{place} / route", old.routes, new.routes)
    return changes


def _compare_parts(
    place: str, old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> list[Change]:
    before: dict[str, ItemT] = {part.name: part for part in old}
    after: dict[str, ItemT] = {part.name: part for part in new}
    changes: list[Change] = []
    for name in sorted({*before, *after}):
        part = f"{place} {name}"
        if name in before and name in after:
            changes += _compare_fields(part, before[name], after[name])
        else:
            changes.append(_make_presence_change(part, added=name in after))
    return changes


def _compare_fields(
    place: str,
    old: services.Service | services.Caller | services.Route,
    new: services.Service | services.Caller | services.Route,
) -> list[Change]:
    return [
        Change(
            kind=ChangeKind.CHANGED,
            place=f"{place} / {field.name}",
            before=_format(
                _name_priority(field.name, getattr(old, field.name))
            ),
            after=_format(_name_priority(field.name, getattr(new, field.name))),
        )
        for field in dataclasses.fields(old)
        if not (
            isinstance(old, services.Service) and field.name in _PART_FIELDS
        )
        and getattr(old, field.name) != getattr(new, field.name)
    ]


def _make_presence_change(place: str, *, added: bool) -> Change:
    kind = ChangeKind.ADDED if added else ChangeKind.REMOVED
    return Change(kind=kind, place=place, before="", after="")


def _name_priority(field: str, value: object) -> object:
    if field == "priority" and isinstance(value, int):
        return services.format_priority(value)
    return value


def _format(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, services.SplitPart):
        return f"{value.service}:{value.weight}"
    if isinstance(value, tuple):
        return " ".join(_format(item) for item in value) or "none"
    if value is msgspec.UNSET:
        return "no"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
