"""Converts the platform's configuration documents into publications."""

from collections.abc import Iterable
import hashlib
import string
from typing import Annotated, Any, Literal

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import paths
from lovagesaddle.core.model import services
from lovagesaddle.platform import tenants as tenants_lib

MS_PER_S = 1000
MAX_SERIAL_DIGITS = 8
HEX_DIGITS = frozenset(string.hexdigits)
LARGE_ANSWER_KIND = "download"
IDEMPOTENT_KINDS = frozenset({"idempotent", LARGE_ANSWER_KIND})
# Kinds that only some deployments have; the replicated state holds which.
ADDITIONAL_KINDS = frozenset({LARGE_ANSWER_KIND})
OPERATOR = "platform"
# Bodies are bounded by the limits on callers, which change independently of
# the routes.
MAX_NUMBER = 2**31 - 1
MAX_BYTES = 2**63 - 1
UNBOUNDED_BYTES = MAX_BYTES

Text = Annotated[str, msgspec.Meta(min_length=1)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
HeaderBytes = Annotated[int, msgspec.Meta(ge=1, le=MAX_BYTES)]
BodyBytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
Duration = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/")]


class DocumentError(errors.LovagesaddleError):
    """Raised for a document that can't be published."""


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    max_header_bytes: HeaderBytes
    max_body_bytes: BodyBytes
    header_timeout_ms: Duration
    idle_timeout_ms: Duration


class _Part(msgspec.Struct, frozen=True, rename="pascal"):
    service: Text
    weight: Natural


class _Match(msgspec.Struct, frozen=True, rename="pascal"):
    path_prefix: Prefix


class _Action(msgspec.Struct, frozen=True, rename="pascal"):
    timeout_ms: Duration
    attempts: Positive = 1
    service: str = ""
    weighted_split: tuple[_Part, ...] = ()


class _Rule(msgspec.Struct, frozen=True, rename="pascal"):
    name: Text
    # States whether requests may be retried, not how the route is matched.
    route_kind: Literal["idempotent", "non_idempotent", "upload", "download"]
    match: _Match
    action: _Action
    target_latency_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    priority: Natural = 0
    auth_exempt: bool = False


class _Listener(msgspec.Struct, frozen=True, rename="pascal"):
    # The host name in the requests, not an address to listen on.
    host: Text
    route_rules: tuple[_Rule, ...] = ()


class _Cluster(msgspec.Struct, frozen=True, rename="pascal"):
    # A cluster of the document is one service and its backend servers.
    name: Text
    health_path: str = ""


class _Configuration(msgspec.Struct, frozen=True, rename="pascal"):
    # The operator's serial number of this document, in hexadecimal.
    version: Text
    limits: _Limits
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...]
    # Without this field, routes need no key; an empty list opens none of them.
    tenants: tuple[tenants_lib.Tenant, ...] | msgspec.UnsetType = msgspec.UNSET


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)


def parse_serial(text: str) -> int:
    """Returns the serial number of a document.

    Raises:
      DocumentError: The text is empty, too long or not hexadecimal.
    """
    if not 0 < len(text) <= MAX_SERIAL_DIGITS:
        raise _make_error(
            f'"{text}" is not a number of 1 to {MAX_SERIAL_DIGITS} digits'
        )
    # `int` would also take a sign, spaces, underscores and "0x".
    if not HEX_DIGITS.issuperset(text):
        raise _make_error(f'"{text}" is not hexadecimal')
    return int(text, 16)


def parse_publication(content: bytes, base: str) -> commands.PublishServices:
    """Returns the command that publishes a document.

    Its ID is a digest of the document and its base, so that every replica
    recognizes a resent document as the same publish.

    Args:
      content: The document as received.
      base: Serial number of the document that it is based on, as received;
        empty for none.

    Raises:
      DocumentError: The document is invalid.
    """
    try:
        configuration = _CONFIGURATION_DECODER.decode(content)
        accounts = tenants_lib.convert_tenants(configuration.tenants or ())
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _make_error(str(error)) from error
    base_serial = parse_serial(base) if base else 0
    return commands.PublishServices(
        publish_id=hashlib.sha256(
            f"{base_serial:x}\n".encode() + content
        ).hexdigest(),
        operator=OPERATOR,
        base_version=0,
        services=_convert_services(configuration),
        document=documents.Document(
            serial=parse_serial(configuration.version),
            base_serial=base_serial,
            content=content,
        ),
        limits=services.CallerLimits(
            max_header_bytes=configuration.limits.max_header_bytes,
            max_body_bytes=configuration.limits.max_body_bytes,
            header_timeout_s=configuration.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=configuration.limits.idle_timeout_ms / MS_PER_S,
        ),
        accounts=accounts or msgspec.UNSET,
        kinds=_find_additional_kinds(configuration) or msgspec.UNSET,
    )


def _find_additional_kinds(
    configuration: _Configuration,
) -> tuple[commands.KindUse, ...]:
    """Returns the additional kinds, each with the first rule that names it."""
    places: dict[str, str] = {}
    for number, listener in enumerate(configuration.listeners):
        for rule_number, rule in enumerate(listener.route_rules):
            if rule.route_kind in ADDITIONAL_KINDS:
                place = (
                    f"$.Listeners[{number}].RouteRules[{rule_number}].RouteKind"
                )
                places.setdefault(rule.route_kind, place)
    return tuple(
        commands.KindUse(kind=kind, place=place)
        for kind, place in sorted(places.items())
    )


def _convert_services(
    configuration: _Configuration,
) -> tuple[services.Service, ...]:
    names = [cluster.name for cluster in configuration.clusters]
    _check_unique("service", names)
    routes: dict[str, list[services.Route]] = {name: [] for name in names}
    for listener in configuration.listeners:
        _check_unique(
            f"prefix of host {listener.host}",
            (
                paths.normalise_prefix(rule.match.path_prefix)
                for rule in listener.route_rules
            ),
        )
        for rule in listener.route_rules:
            route = _convert_route(
                listener,
                rule,
                has_tenants=configuration.tenants is not msgspec.UNSET,
            )
            for part in route.split:
                _check_service(part.service, rule, routes)
            owner = rule.action.service or route.split[0].service
            _check_service(owner, rule, routes)
            routes[owner].append(route)
    # If two listeners have the same host, a route of one may get the same name
    # as a route of the other.
    for name, service_routes in routes.items():
        _check_unique(
            f"route of service {name}", (route.name for route in service_routes)
        )
    return tuple(
        services.Service(
            name=cluster.name,
            revision=0,
            callers=(),
            routes=tuple(
                sorted(routes[cluster.name], key=lambda route: route.name)
            ),
            depends_on=(),
            health_path=cluster.health_path,
        )
        for cluster in sorted(configuration.clusters, key=lambda c: c.name)
    )


def _convert_route(
    listener: _Listener, rule: _Rule, *, has_tenants: bool
) -> services.Route:
    action = rule.action
    if bool(action.service) == bool(action.weighted_split):
        raise _make_error(
            f"route {rule.name} needs exactly one of a service and a split"
        )
    if action.weighted_split and not any(
        part.weight for part in action.weighted_split
    ):
        raise _make_error(f"weights of route {rule.name} add up to 0")
    return services.Route(
        # The host makes the name unique: rules of different hosts may have the
        # same name.
        name=f"{rule.name}@{listener.host}{rule.match.path_prefix}",
        host=listener.host.lower(),
        path_prefix=rule.match.path_prefix,
        methods=(),
        timeout_s=action.timeout_ms / MS_PER_S,
        retries=action.attempts - 1,
        priority=rule.priority,
        idempotent=rule.route_kind in IDEMPOTENT_KINDS,
        callers=(),
        services=(),
        max_body_bytes=UNBOUNDED_BYTES,
        is_open=True,
        target_latency_s=rule.target_latency_ms / MS_PER_S,
        split=tuple(
            services.SplitPart(service=part.service, weight=part.weight)
            for part in action.weighted_split
        ),
        needs_account=(
            True if has_tenants and not rule.auth_exempt else msgspec.UNSET
        ),
        has_large_answers=(
            True if rule.route_kind == LARGE_ANSWER_KIND else msgspec.UNSET
        ),
    )


def _check_service(name: str, rule: _Rule, known: dict[str, Any]) -> None:
    if name not in known:
        raise _make_error(f"route {rule.name} names unknown service {name}")


def _check_unique(what: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise _make_error(f"{what} is not unique: {name}")
        seen.add(name)


def _make_error(cause: str) -> DocumentError:
    return DocumentError(step="parse document", peer="operator", cause=cause)
