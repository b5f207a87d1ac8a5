"""Checks one INI section against a frozen dataclass.

The key of a field is its name with "-" for "_" and without the unit at its
end: `max_body_bytes` is written `max-body`. The unit of a field stands in its
annotation as `msgspec.Meta(extra={"unit": units.Unit.SIZE})`.
"""

from collections.abc import Collection, Mapping
import dataclasses
import typing
from typing import Any, Generic, TypeVar

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import units

T = TypeVar("T")

_UNIT_SUFFIXES = ("_s", "_bytes")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Converted(Generic[T]):
    """A checked section.

    Attributes:
      value: The dataclass; None when there is any problem.
      draft: The same with defaults in place of wrong keys, so that the other
        keys can be checked all the same; None when a key without a default
        is missing or wrong.
      problems: Every mistake of the section.
    """

    value: T | None
    draft: T | None
    problems: tuple[errors.FileProblem, ...]


def convert_section(
    section: ini.Section,
    kind: type[T],
    *,
    given: Mapping[str, Any] | None = None,
    left_out: Collection[str] = (),
) -> Converted[T]:
    """Returns `section` as an instance of `kind`.

    Args:
      section: Section as it was read.
      kind: Frozen dataclass whose fields are the section's keys.
      given: Values of fields that no key may set, such as the label.
      left_out: Fields that no key may set and that keep their default.
    """
    values: dict[str, Any] = dict(given or {})
    hidden = {*values, *left_out}
    fields = [f for f in _list_fields(kind) if f.name not in hidden]
    known = {name_key(field.name) for field in fields}
    problems = [
        section.report(entry.key, "key is unknown")
        for entry in section.entries
        if entry.key not in known
    ]
    hints = typing.get_type_hints(kind, include_extras=True)
    for field in fields:
        key = name_key(field.name)
        entry = section.find(key)
        if entry is None:
            if _is_required(field):
                problems.append(section.report(key, "key is missing"))
            continue
        try:
            values[field.name] = _convert_entry(entry, hints[field.name])
        except ValueError as error:
            problems.append(section.report(key, _describe(entry, error)))
    draft = None
    if all(f.name in values for f in fields if _is_required(f)):
        draft = kind(**values)
    return Converted(
        value=None if problems else draft,
        draft=draft,
        problems=tuple(problems),
    )


def name_key(field_name: str) -> str:
    """Returns the INI key of a field."""
    for suffix in _UNIT_SUFFIXES:
        field_name = field_name.removesuffix(suffix)
    return field_name.replace("_", "-")


def _list_fields(kind: type[Any]) -> tuple[dataclasses.Field[Any], ...]:
    return dataclasses.fields(kind)


def _is_required(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _convert_entry(entry: ini.Entry, hint: Any) -> Any:
    plain = units.parse_value(entry.value, _find_unit(hint))
    return msgspec.convert(plain, hint, strict=False)


def _find_unit(hint: Any) -> units.Unit:
    for mark in getattr(hint, "__metadata__", ()):
        if isinstance(mark, msgspec.Meta) and mark.extra:
            unit: units.Unit = mark.extra["unit"]
            return unit
    return units.Unit.PLAIN


def _describe(entry: ini.Entry, error: ValueError) -> str:
    cause = str(error)
    if isinstance(error, msgspec.ValidationError):
        return f'"{entry.value}" is refused: {cause}'
    return cause
