"""Checks a whole set of service files, each by itself and all together."""

from collections.abc import Iterable
import dataclasses

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import service_files
from lovagesaddle.core.configuration import units
from lovagesaddle.core.model import services

Problems = tuple[errors.FileProblem, ...]
CheckResult = result.Result[tuple[services.Service, ...], Problems]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFile:
    """A service file that was collected.

    Attributes:
      file: Its name as the operator knows it.
      text: Its content.
    """

    file: str
    text: str


def check_files(sources: Iterable[SourceFile]) -> CheckResult:
    """Returns the services of a complete set of files, sorted by name.

    One mistake anywhere fails the whole set; the failure holds every
    mistake, by file and line.
    """
    parsed = [
        service_files.parse_service_file(source.text, file=source.file)
        for source in sources
    ]
    problems = [problem for file in parsed for problem in file.problems]
    problems.extend(_find_repeated_names(parsed))
    problems.extend(_find_dangling(parsed))
    problems.extend(_find_overlaps(parsed))
    if problems:
        ordered = sorted(problems, key=lambda p: (p.file, p.line, p.key))
        return result.Failure(tuple(ordered))
    found = [file.service for file in parsed if file.service is not None]
    return result.Success(tuple(sorted(found, key=lambda s: s.name)))


def _find_repeated_names(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    first: dict[str, str] = {}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        if file.service_section is None or not file.name:
            continue
        earlier = first.setdefault(file.name, file.file)
        if earlier != file.file:
            cause = f'service "{file.name}" stands in {earlier} already'
            problems.append(file.service_section.make_problem("name", cause))
    return problems


def _find_dangling(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    names = {file.name for file in parsed}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        places = [
            (placed.section, key)
            for placed in file.routes
            for key in ("services", "split")
        ]
        if file.service_section is not None:
            places.append((file.service_section, "depends-on"))
        for section, key in places:
            entry = section.find(key)
            words = units.split_words(entry.value) if entry else ()
            problems.extend(
                section.make_problem(key, f'service "{name}" does not exist')
                for name in (word.partition(":")[0] for word in words)
                if name not in names
            )
    return problems


def _find_overlaps(
    parsed: list[service_files.ServiceFile],
) -> list[errors.FileProblem]:
    first: dict[tuple[str, str, str], str] = {}
    problems: list[errors.FileProblem] = []
    for file in parsed:
        for placed in file.routes:
            route, section = placed.route, placed.section
            place = f"{section.file}:{section.line}"
            taken: set[str] = set()
            for method in route.methods or service_files.METHODS:
                key = (route.host, route.path_prefix, method)
                earlier = first.setdefault(key, place)
                if earlier != place:
                    taken.add(earlier)
            problems.extend(
                section.make_problem(
                    "path", f"matches the same requests as {earlier}"
                )
                for earlier in sorted(taken)
            )
    return problems
