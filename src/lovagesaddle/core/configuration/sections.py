"""Converts and validates INI sections against frozen dataclasses.

The key of a field is its name with "-" for "_" and without the unit suffix:
the field `max_body_bytes` has the key `max-body`. The unit of a field is given
in its annotation as `msgspec.Meta(extra={"unit": units.Unit.SIZE})`.
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
    """The result of converting a section.

    Attributes:
      value: Instance of the dataclass; None when there is any problem.
      partial_value: Instance with the default in place of each invalid value,
        so that the other keys can still be checked; None when a key without
        a default is missing or invalid.
      problems: All problems of the section.
    """

    value: T | None
    partial_value: T | None
    problems: tuple[errors.FileProblem, ...]


def convert_section(
    section: ini.Section,
    kind: type[T],
    *,
    preset: Mapping[str, Any] | None = None,
    excluded: Collection[str] = (),
) -> Converted[T]:
    """Converts `section` to an instance of `kind`.

    Args:
      section: Parsed section.
      kind: Frozen dataclass with one field for each key of the section.
      preset: Values of fields that can't be set by a key, such as the label.
      excluded: Fields that can't be set by a key and keep their default.

    Returns:
      The instance, and all problems of the section.
    """
    values: dict[str, Any] = dict(preset or {})
    unsettable = {*values, *excluded}
    fields = [f for f in _list_fields(kind) if f.name not in unsettable]
    known_keys = {to_key(field.name) for field in fields}
    problems = [
        section.make_problem(entry.key, "key is unknown")
        for entry in section.entries
        if entry.key not in known_keys
    ]
    hints = typing.get_type_hints(kind, include_extras=True)
    for field in fields:
        key = to_key(field.name)
        entry = section.find(key)
        if entry is None:
            if _is_required(field):
                problems.append(section.make_problem(key, "key is missing"))
            continue
        try:
            values[field.name] = _convert_entry(entry, hints[field.name])
        except ValueError as error:
            problems.append(
                section.make_problem(key, _describe_error(entry, error))
            )
    partial_value = None
    if all(f.name in values for f in fields if _is_required(f)):
        partial_value = kind(**values)
    return Converted(
        value=None if problems else partial_value,
        partial_value=partial_value,
        problems=tuple(problems),
    )


def to_key(field_name: str) -> str:
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
    parsed = units.parse_value(entry.value, _get_unit(hint))
    return msgspec.convert(parsed, hint, strict=False)


def _get_unit(hint: Any) -> units.Unit:
    for metadata in getattr(hint, "__metadata__", ()):
        if isinstance(metadata, msgspec.Meta) and metadata.extra:
            unit: units.Unit = metadata.extra["unit"]
            return unit
    return units.Unit.PLAIN


def _describe_error(entry: ini.Entry, error: ValueError) -> str:
    cause = str(error)
    if isinstance(error, msgspec.ValidationError):
        return f'"{entry.value}" is refused: {cause}'
    return cause
