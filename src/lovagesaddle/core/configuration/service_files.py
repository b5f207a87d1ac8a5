"""Parses a service file into a service and a list of all problems."""

import dataclasses
import re

import msgspec

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
    """A valid route and the section that defines it."""

    section: ini.Section
    route: services.Route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFile:
    """The result of parsing one service file.

    Attributes:
      file: Name of the file.
      service: The service; None when there is any problem.
      service_section: The [service] section; None if it is missing.
      routes: Valid routes, also when other parts of the file have problems.
      problems: All problems that can be found without other files.
    """

    file: str
    service: services.Service | None
    service_section: ini.Section | None
    routes: tuple[LocatedRoute, ...]
    problems: tuple[errors.FileProblem, ...]

    @property
    def name(self) -> str:
        """Name of the service; empty when the file has none."""
        if self.service_section is None:
            return ""
        entry = self.service_section.find("name")
        return "" if entry is None else entry.value


def parse_service_file(text: str, *, file: str) -> ServiceFile:
    """Parses a service file and collects all problems in it.

    Args:
      text: Content of the file.
      file: Name of the file, for the problems.
    """
    return _Parser(ini.parse_document(text, file=file)).parse()


class _Parser:
    """Converts the sections of one file and collects its problems."""

    def __init__(self, document: ini.Document) -> None:
        self._document = document
        self._problems = list(document.problems)

    def parse(self) -> ServiceFile:
        document = self._document
        main_section = self._find_service_section()
        service_values = (
            None
            if main_section is None
            else self._convert_service(main_section)
        )
        callers = self._parse_callers()
        caller_names = {s.label for s in document.sections if s.kind == _CALLER}
        routes = self._parse_routes(caller_names)
        for section in document.sections:
            if section.name != _SERVICE and section.kind not in (
                _CALLER,
                _ROUTE,
            ):
                self._add_problem(section, "", "section is unknown")
        service = None
        if service_values is not None and not self._problems:
            service = services.Service(
                name=service_values.name,
                revision=service_values.revision,
                callers=tuple(sorted(callers, key=lambda c: c.name)),
                routes=tuple(
                    sorted(
                        (each.route for each in routes), key=lambda r: r.name
                    )
                ),
                depends_on=tuple(sorted(service_values.depends_on)),
                health_path=service_values.health_path,
            )
        return ServiceFile(
            file=document.file,
            service=service,
            service_section=main_section,
            routes=tuple(routes),
            problems=tuple(self._problems),
        )

    def _find_service_section(self) -> ini.Section | None:
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

    def _convert_service(
        self, section: ini.Section
    ) -> service_sections.ServiceSection | None:
        converted = sections.convert_section(
            section, service_sections.ServiceSection
        )
        self._problems.extend(converted.problems)
        return converted.value

    def _parse_callers(self) -> list[services.Caller]:
        callers: list[services.Caller] = []
        caller_of: dict[str, str] = {}
        for section in self._list_named_sections(_CALLER):
            converted = sections.convert_section(
                section,
                service_sections.CallerSection,
                preset={"name": section.label},
            )
            self._problems.extend(converted.problems)
            if converted.value is None:
                continue
            digests = converted.value.digests
            for cause in _check_digests(digests, section, caller_of):
                self._add_problem(section, "digests", cause)
            caller_of.update((digest, section.label) for digest in digests)
            callers.append(services.Caller(name=section.label, digests=digests))
        return callers

    def _parse_routes(self, callers: set[str]) -> list[LocatedRoute]:
        routes: list[LocatedRoute] = []
        for section in self._list_named_sections(_ROUTE):
            converted = sections.convert_section(
                section,
                service_sections.RouteSection,
                preset={"name": section.label},
            )
            self._problems.extend(converted.problems)
            if converted.partial_value is None:
                continue
            invalid_keys = {problem.key for problem in converted.problems}
            problems = [
                problem
                for problem in _check_route(
                    section, converted.partial_value, callers
                )
                if problem.key not in invalid_keys
            ]
            self._problems.extend(problems)
            if converted.value is not None and not problems:
                route = _make_route(converted.value)
                routes.append(LocatedRoute(section=section, route=route))
        return routes

    def _list_named_sections(self, kind: str) -> list[ini.Section]:
        matching: list[ini.Section] = []
        for section in self._document.sections:
            if section.kind != kind:
                continue
            if re.match(service_sections.NAME_PATTERN, section.label):
                matching.append(section)
            else:
                cause = f"section needs a name in lower case: [{kind} NAME]"
                self._add_problem(section, "", cause)
        return matching

    def _add_problem(self, section: ini.Section, key: str, cause: str) -> None:
        self._problems.append(section.make_problem(key, cause))


def _check_digests(
    digests: tuple[str, ...], section: ini.Section, caller_of: dict[str, str]
) -> list[str]:
    causes = [
        f'"{digest}" is not of the form sha256:<64 hex digits>'
        for digest in digests
        if not _DIGEST.match(digest)
    ]
    if not 1 <= len(digests) <= MAX_DIGESTS:
        causes.append(f"{len(digests)} digests are given; 1 or 2 are allowed")
    causes.extend(
        f"digest belongs to caller {caller_of[digest]} already"
        for digest in digests
        if digest in caller_of and caller_of[digest] != section.label
    )
    return causes


def _check_route(
    section: ini.Section,
    route: service_sections.RouteSection,
    callers: set[str],
) -> list[errors.FileProblem]:
    problems = [
        section.make_problem("methods", f'"{method}" is not an HTTP method')
        for method in route.methods
        if method not in METHODS and route.methods != ANY
    ]
    if section.find("host") is None:
        problems.append(section.make_problem("host", "key is missing"))
    if not route.methods:
        problems.append(section.make_problem("methods", "no method is given"))
    cause = _check_path(route.path)
    if cause:
        problems.append(section.make_problem("path", cause))
    problems.extend(
        section.make_problem("callers", f'caller "{name}" is not in this file')
        for name in route.callers
        if name not in callers and route.callers != ANY
    )
    if route.split and not any(part.weight for part in route.split):
        problems.append(
            section.make_problem("split", "the weights add up to 0")
        )
    if route.needs_account and route.callers != ANY:
        cause = "only a route with callers = any can need an account"
        problems.append(section.make_problem("needs-account", cause))
    if not route.callers and not route.services:
        cause = "nobody may use the route; name callers or services"
        problems.append(section.make_problem("callers", cause))
    return problems


def _check_path(path: str) -> str:
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
        methods=_normalize_words(section.methods),
        timeout_s=section.timeout_s,
        retries=section.retries,
        priority=section.priority,
        idempotent=section.idempotent,
        callers=_normalize_words(section.callers),
        services=tuple(sorted(set(section.services))),
        max_body_bytes=section.max_body_bytes,
        is_open=section.callers == ANY,
        target_latency_s=section.target_latency_s or 0.0,
        split=section.split,
        needs_account=True if section.needs_account else msgspec.UNSET,
    )


def _normalize_words(words: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the words sorted, without duplicates; none if they are ANY."""
    return () if words == ANY else tuple(sorted(set(words)))
