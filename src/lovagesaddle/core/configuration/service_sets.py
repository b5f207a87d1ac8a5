"""Checks a complete set of service files, individually and together."""

from collections.abc import Iterable
import dataclasses

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import service_files
from lovagesaddle.core.configuration import units
from lovagesaddle.core.model import paths
from lovagesaddle.core.model import services

Problems = tuple[errors.FileProblem, ...]
CheckResult = result.Result[tuple[services.Service, ...], Problems]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFile:
    """The text of a service file.

    Attributes:
      file: Name of the file as the operator knows it.
      text: Content of the file.
    """

    file: str
    text: str


def check_files(sources: Iterable[SourceFile]) -> CheckResult:
    """Returns the services of a complete set of files, sorted by name.

    A single problem fails the whole set; the failure lists all problems,
    sorted by file and line.
    """
    parsed = [
        service_files.parse_service_file(source.text, file=source.file)
        for source in sources
    ]
    problems = [problem for file in parsed for problem in file.problems]
    problems.extend(_check_service_names(parsed))
    problems.extend(_check_references(parsed))
    problems.extend(_check_overlapping_routes(parsed))
    if problems:
        ordered = sorted(problems, key=lambda p: (p.file, p.line, p.key))
        return result.Failure(tuple(ordered))
    valid = [file.service for file in parsed if file.service is not None]
    return result.Success(tuple(sorted(valid, key=lambda s: s.name)))


def _check_service_names(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    file_of: dict[str, str] = {}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        if file.service_section is None or not file.name:
            continue
        earlier = file_of.setdefault(file.name, file.file)
        if earlier != file.file:
            cause = f'service "{file.name}" is already defined in {earlier}'
            problems.append(file.service_section.make_problem("name", cause))
    return problems


def _check_references(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    names = {file.name for file in parsed}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        references = [
            (located.section, key)
            for located in file.routes
            for key in ("services", "split")
        ]
        if file.service_section is not None:
            references.append((file.service_section, "depends-on"))
        for section, key in references:
            entry = section.find(key)
            words = units.split_words(entry.value) if entry else ()
            problems.extend(
                section.make_problem(key, f'service "{name}" does not exist')
                for name in (word.partition(":")[0] for word in words)
                if name not in names
            )
    return problems


def _check_overlapping_routes(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    place_of: dict[tuple[str, str, str], str] = {}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        for located in file.routes:
            route, section = located.route, located.section
            place = f"{section.file}:{section.line}"
            overlapping: set[str] = set()
            for method in route.methods or service_files.METHODS:
                prefix = paths.normalise_prefix(route.path_prefix)
                key = (route.host, prefix, method)
                earlier = place_of.setdefault(key, place)
                if earlier != place:
                    overlapping.add(earlier)
            problems.extend(
                section.make_problem(
                    "path", f"matches the same requests as {earlier}"
                )
                for earlier in sorted(overlapping)
            )
    return problems
