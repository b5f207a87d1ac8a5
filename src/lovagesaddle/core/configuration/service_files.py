"""Reads one service file: what it says of its service, and every mistake."""

import dataclasses
import re

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.core.configuration import service_sections
from lovagesaddle.core.model import services

SUFFIX = ".service.ini"
MAX_DIGESTS = 2
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
ANY = (service_sections.ANY,)

_SERVICE = "service"
_CALLER = "caller"
_ROUTE = "route"
_DIGEST = re.compile(r"^sha256:[0-9a-f]{64}$")
_PATH = re.compile(r"^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocatedRoute:
    """A checked route and the section it stands in."""

    section: ini.Section
    route: services.Route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFile:
    """One service file as far as it could be read.

    Attributes:
      file: Name of the file.
      service: What the file states; None when there is any problem.
      service_section: The [service] section, if present.
      routes: Routes without a mistake of their own.
      problems: Every mistake that the file shows by itself.
    """

    file: str
    service: services.Service | None
    service_section: ini.Section | None
    routes: tuple[LocatedRoute, ...]
    problems: tuple[errors.FileProblem, ...]

    @property
    def name(self) -> str:
        """Name of the service; empty when the file gives none."""
        if self.service_section is None:
            return ""
        entry = self.service_section.find("name")
        return "" if entry is None else entry.value


def parse_service_file(text: str, *, file: str) -> ServiceFile:
    """Returns what `text` states and every mistake in it.

    Args:
      text: Content of the file.
      file: Name of the file, for the problems.
    """
    return _Reader(ini.parse_document(text, file=file)).read()


class _Reader:
    """Collects the parts and the problems of one file."""

    def __init__(self, document: ini.Document) -> None:
        self._document = document
        self._problems = list(document.problems)

    def read(self) -> ServiceFile:
        document = self._document
        main = self._find_main()
        head = None if main is None else self._convert_main(main)
        callers = self._read_callers()
        names = {s.label for s in document.sections if s.kind == _CALLER}
        routes = self._read_routes(names)
        for section in document.sections:
            if section.name != _SERVICE and section.kind not in (
                _CALLER,
                _ROUTE,
            ):
                self._report(section, "", "section is unknown")
        service = None
        if head is not None and not self._problems:
            service = services.Service(
                name=head.name,
                revision=head.revision,
                callers=tuple(sorted(callers, key=lambda c: c.name)),
                routes=tuple(
                    sorted((p.route for p in routes), key=lambda r: r.name)
                ),
                depends_on=tuple(sorted(head.depends_on)),
                health_path=head.health_path,
            )
        return ServiceFile(
            file=document.file,
            service=service,
            service_section=main,
            routes=tuple(routes),
            problems=tuple(self._problems),
        )

    def _find_main(self) -> ini.Section | None:
        for section in self._document.sections:
            if section.name == _SERVICE:
                return section
        self._problems.append(
            errors.FileProblem(
                file=self._document.file,
                line=0,
                section=_SERVICE,
                key="",
                cause="section [service] is missing",
            )
        )
        return None

    def _convert_main(
        self, section: ini.Section
    ) -> service_sections.ServiceSection | None:
        converted = sections.convert_section(
            section, service_sections.ServiceSection
        )
        self._problems.extend(converted.problems)
        return converted.value

    def _read_callers(self) -> list[services.Caller]:
        callers: list[services.Caller] = []
        owner_of: dict[str, str] = {}
        for section in self._list_labelled(_CALLER):
            converted = sections.convert_section(
                section,
                service_sections.CallerSection,
                preset={"name": section.label},
            )
            self._problems.extend(converted.problems)
            if converted.value is None:
                continue
            digests = converted.value.digests
            for cause in _list_digest_causes(digests, section, owner_of):
                self._report(section, "digests", cause)
            owner_of.update((digest, section.label) for digest in digests)
            callers.append(services.Caller(name=section.label, digests=digests))
        return callers

    def _read_routes(self, callers: set[str]) -> list[LocatedRoute]:
        placed: list[LocatedRoute] = []
        for section in self._list_labelled(_ROUTE):
            converted = sections.convert_section(
                section,
                service_sections.RouteSection,
                preset={"name": section.label},
            )
            self._problems.extend(converted.problems)
            if converted.partial_value is None:
                continue
            wrong = {problem.key for problem in converted.problems}
            found = [
                problem
                for problem in _list_route_problems(
                    section, converted.partial_value, callers
                )
                if problem.key not in wrong
            ]
            self._problems.extend(found)
            if converted.value is not None and not found:
                route = _make_route(converted.value)
                placed.append(LocatedRoute(section=section, route=route))
        return placed

    def _list_labelled(self, kind: str) -> list[ini.Section]:
        found: list[ini.Section] = []
        for section in self._document.sections:
            if section.kind != kind:
                continue
            if re.match(service_sections.NAME_PATTERN, section.label):
                found.append(section)
            else:
                cause = f"section needs a name in lower case: [{kind} NAME]"
                self._report(section, "", cause)
        return found

    def _report(self, section: ini.Section, key: str, cause: str) -> None:
        self._problems.append(section.make_problem(key, cause))


def _list_digest_causes(
    digests: tuple[str, ...], section: ini.Section, owner_of: dict[str, str]
) -> list[str]:
    causes = [
        f'"{digest}" is not of the form sha256:<64 hex digits>'
        for digest in digests
        if not _DIGEST.match(digest)
    ]
    if not 1 <= len(digests) <= MAX_DIGESTS:
        causes.append(f"{len(digests)} digests are given; 1 or 2 are allowed")
    causes.extend(
        f"digest belongs to caller {owner_of[digest]} already"
        for digest in digests
        if digest in owner_of and owner_of[digest] != section.label
    )
    return causes


def _list_route_problems(
    section: ini.Section,
    route: service_sections.RouteSection,
    callers: set[str],
) -> list[errors.FileProblem]:
    found = [
        section.make_problem("methods", f'"{method}" is not an HTTP method')
        for method in route.methods
        if method not in METHODS and route.methods != ANY
    ]
    if section.find("host") is None:
        found.append(section.make_problem("host", "key is missing"))
    if not route.methods:
        found.append(section.make_problem("methods", "no method is given"))
    cause = _judge_path(route.path)
    if cause:
        found.append(section.make_problem("path", cause))
    found.extend(
        section.make_problem("callers", f'caller "{name}" is not in this file')
        for name in route.callers
        if name not in callers and route.callers != ANY
    )
    if route.split and not any(part.weight for part in route.split):
        found.append(section.make_problem("split", "the weights add up to 0"))
    if not route.callers and not route.services:
        cause = "nobody may use the route; name callers or services"
        found.append(section.make_problem("callers", cause))
    return found


def _judge_path(path: str) -> str:
    if not _PATH.match(path):
        return f'"{path}" is not an absolute path'
    parts = path.split("/")[1:]
    if any(part in (".", "..") for part in parts):
        return f'"{path}" has a "." or ".." in it'
    if path != "/" and "" in parts:
        return f'"{path}" has an empty part or ends in "/"'
    return ""


def _make_route(section: service_sections.RouteSection) -> services.Route:
    return services.Route(
        name=section.name,
        host=section.host,
        path_prefix=section.path,
        methods=_list_unless_any(section.methods),
        timeout_s=section.timeout_s,
        retries=section.retries,
        priority=section.priority,
        idempotent=section.idempotent,
        callers=_list_unless_any(section.callers),
        services=tuple(sorted(set(section.services))),
        max_body_bytes=section.max_body_bytes,
        is_open=section.callers == ANY,
        target_latency_s=section.target_latency_s or 0.0,
        split=section.split,
    )


def _list_unless_any(words: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the words sorted, each once; none for the single word any."""
    return () if words == ANY else tuple(sorted(set(words)))
