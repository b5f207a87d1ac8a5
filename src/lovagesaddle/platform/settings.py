"""Loads the settings sections that only the `platform` package reads."""

import dataclasses
import pathlib
from typing import Annotated, TypeVar

import msgspec
from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

SECTION = "platform"
BOUNDS_SECTION = "bounds"
# Time after SIGTERM at which the platform kills a process, in seconds.
GRACE_KEY = "GraceS".lower()
Seconds = Annotated[float, msgspec.Meta(gt=0)]
T = TypeVar("T")
Stoppable = TypeVar("Stoppable", schema.ControlSettings, schema.NodeSettings)


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
    used here, and a missing section, are passed over.
    """
    text = path.read_text(encoding="utf-8")
    document = ini.parse_document(text, file=str(path))
    for section in document.sections:
        entry = section.find(GRACE_KEY)
        if section.name != BOUNDS_SECTION or entry is None:
            continue
        try:
            grace_s = msgspec.convert(entry.value, Seconds, strict=False)
        except msgspec.ValidationError as error:
            return result.Failure(
                (section.make_problem(GRACE_KEY, str(error)),)
            )
        return result.Success(dataclasses.replace(settings, grace_s=grace_s))
    return result.Success(settings)


def _make_problem(path: pathlib.Path, cause: str) -> errors.FileProblem:
    return errors.FileProblem(
        file=str(path), line=0, section=SECTION, key="", cause=cause
    )
