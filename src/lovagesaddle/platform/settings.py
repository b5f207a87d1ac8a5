"""The part of a settings file that only this folder reads."""

import dataclasses
import pathlib
from typing import TypeVar

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

SECTION = "platform"
T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeAddresses:
    """Where a node takes the platform's calls.

    Attributes:
      ready_address: `ip:port` that is asked whether callers may come.
      beat_address: `ip:port` for the words of the local backend server.
    """

    ready_address: schema.HttpAddress
    beat_address: schema.HttpAddress


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlAddresses:
    """Where a replica takes the platform's calls, and how it starts.

    Attributes:
      operator_address: `ip:port` for the operator's calls.
      metrics_address: `ip:port` that shows the process's counters.
      founds: Whether an empty data folder may found the cluster.
    """

    operator_address: schema.HttpAddress
    metrics_address: schema.HttpAddress
    founds: schema.Switch


def load_section(
    path: pathlib.Path, kind: type[T]
) -> result.Result[T, loader.Problems]:
    """Returns the section of this folder, or every mistake in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure((_locate(path, f"can't be read: {error}"),))
    document = ini.parse_document(text, file=str(path))
    for section in document.sections:
        if section.name == SECTION:
            converted = sections.convert_section(section, kind)
            if converted.value is None:
                return result.Failure(converted.problems)
            return result.Success(converted.value)
    return result.Failure((_locate(path, f"section [{SECTION}] is missing"),))


def _locate(path: pathlib.Path, cause: str) -> errors.FileProblem:
    return errors.FileProblem(
        file=str(path), line=0, section=SECTION, key="", cause=cause
    )
