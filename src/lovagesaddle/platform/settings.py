"""Loads the settings sections that only the `platform` package reads."""

import dataclasses
import pathlib
from typing import Annotated, Any, TypeVar

import msgspec
from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

SECTION = "platform"
BOUNDS_SECTION = "bounds"
MS_PER_S = 1000
Duration = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
T = TypeVar("T")
Stoppable = TypeVar("Stoppable", schema.ControlSettings, schema.NodeSettings)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Bound:
    """A bound of the platform and the setting that it fills.

    Attributes:
      name: The platform's name.
      field: Name of the setting; programs without it pass the bound over.
      kind: Type of the value.
      units: Units of the platform in one of the setting.
      needs: Another bound that has to be true; empty for none.
    """

    name: str
    field: str
    kind: Any
    units: float = 1.0
    needs: str = ""


_BOUNDS = (
    # Time after SIGTERM at which the platform kills a process.
    _Bound(name="GraceS", field="grace_s", kind=Duration),
    _Bound(name="QuotaWindowS", field="quota_window_s", kind=Duration),
    _Bound(name="QuotaOverrun", field="quota_overrun", kind=Count),
    _Bound(name="QuotaSlack", field="quota_slack", kind=Count),
    # Binds VMs that are cut off only where the other bound says so.
    _Bound(
        name="RevokeMs",
        field="withdrawal_bound_s",
        kind=Duration,
        units=MS_PER_S,
        needs="RevokeClosed",
    ),
    _Bound(
        name="RollbackMs",
        field="rollback_bound_s",
        kind=Duration,
        units=MS_PER_S,
    ),
    _Bound(name="ExposureShare", field="exposure_share", kind=Share),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeAddresses:
    """Addresses at which a node serves the platform's calls.

    Attributes:
      ready_address: `ip:port` of the readiness check.
      beat_address: `ip:port` for heartbeats of the local backend server.
    """

    ready_address: schema.HttpAddress
    beat_address: schema.HttpAddress


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlAddresses:
    """Addresses at which a replica serves the platform's calls.

    Attributes:
      operator_address: `ip:port` for the operator's calls.
      metrics_address: `ip:port` that serves the metrics of the process.
      founds: Whether a replica with an empty data folder may found the
        cluster.
    """

    operator_address: schema.HttpAddress
    metrics_address: schema.HttpAddress
    founds: schema.Switch


def load_section(
    path: pathlib.Path, kind: type[T]
) -> result.Result[T, loader.Problems]:
    """Returns the platform's section, or every mistake in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure((_make_problem(path, f"can't be read: {error}"),))
    document = ini.parse_document(text, file=str(path))
    for section in document.sections:
        if section.name == SECTION:
            converted = sections.convert_section(section, kind)
            if converted.value is None:
                return result.Failure(converted.problems)
            return result.Success(converted.value)
    return result.Failure(
        (_make_problem(path, f"section [{SECTION}] is missing"),)
    )


def apply_bounds(
    path: pathlib.Path, settings: Stoppable
) -> result.Result[Stoppable, loader.Problems]:
    """Returns the settings with the platform's bounds, or every mistake.

    The section holds all bounds under the platform's names. Those that are not
    used by the program, and a missing section, are passed over.
    """
    text = path.read_text(encoding="utf-8")
    document = ini.parse_document(text, file=str(path))
    fields = {field.name for field in dataclasses.fields(settings)}
    changes: dict[str, Any] = {}
    problems: list[errors.FileProblem] = []
    for section in document.sections:
        if section.name != BOUNDS_SECTION:
            continue
        for bound in _BOUNDS:
            entry = section.find(bound.name.lower())
            if entry is None or bound.field not in fields:
                continue
            if bound.needs and not _is_set(section, bound.needs):
                continue
            try:
                value = msgspec.convert(entry.value, bound.kind, strict=False)
            except msgspec.ValidationError as error:
                problems.append(
                    section.make_problem(bound.name.lower(), str(error))
                )
                continue
            changes[bound.field] = value / bound.units
    if problems:
        return result.Failure(tuple(problems))
    if "quota_window_s" in changes:
        # Client accounts compete for room where their requests are bounded.
        changes["placement"] = schema.EXPECTED_TIME
    return result.Success(dataclasses.replace(settings, **changes))


def _is_set(section: ini.Section, name: str) -> bool:
    entry = section.find(name.lower())
    return entry is not None and entry.value == "true"


def _make_problem(path: pathlib.Path, cause: str) -> errors.FileProblem:
    return errors.FileProblem(
        file=str(path), line=0, section=SECTION, key="", cause=cause
    )
