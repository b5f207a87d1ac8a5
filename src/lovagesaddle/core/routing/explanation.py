"""Explains how the mesh would handle a request, and why."""

import dataclasses
from urllib import parse

from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import table as table_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sender:
    """The sender of the request to explain; at most one field is set.

    Attributes:
      caller: Name of a caller in the service's file.
      service: Name of an internal service.
      token_digest: `sha256:<hex>` of a bearer token.
    """

    caller: str = ""
    service: str = ""
    token_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """How a node with a given snapshot would handle one request.

    Attributes:
      version: Version of the snapshot.
      method: HTTP method.
      host: Host to match, with its port if it was given.
      path: Path without the query.
      status: HTTP status of a refusal; 0 when the request would be
        forwarded.
      reason: Reason of the decision, with the same value as in the log lines
        of a node.
      allow: Methods of the path when the method is not allowed.
      service: Service of the matched route; empty without a match.
      route: The matched route; None without a match.
      client: Name of the sender; empty when unknown.
      servers: Backend servers that may be picked, in no order of preference.
      draining: IDs of the service's servers that accept no new requests.
    """

    version: int
    method: str
    host: str
    path: str
    status: int
    reason: str
    allow: tuple[str, ...] = ()
    service: str = ""
    route: services_lib.Route | None = None
    client: str = ""
    servers: tuple[table_lib.Candidate, ...] = ()
    draining: tuple[str, ...] = ()


def explain_request(
    snapshot: snapshots.Snapshot, *, method: str, url: str, sender: Sender
) -> Explanation:
    """Returns how a node with `snapshot` in force would handle a request.

    Args:
      snapshot: The snapshot that the node routes by.
      method: HTTP method, in any case.
      url: Absolute URL; its host serves as the Host header.
      sender: Sender of the request; an empty one has no credential.
    """
    parts = parse.urlsplit(url)
    table = table_lib.Table(snapshot)
    host, path = parts.netloc, parts.path or "/"
    found = table.match(host=host, path=path, method=method.upper())
    described = Explanation(
        version=snapshot.version,
        method=method.upper(),
        host=host,
        path=path,
        status=0,
        reason="",
    )
    if isinstance(found, table_lib.Miss):
        return dataclasses.replace(
            described,
            status=found.status,
            reason=found.reason.value,
            allow=found.allow,
        )
    access = table.authorise(found, _make_credential(snapshot, found, sender))
    return dataclasses.replace(
        described,
        status=access.status,
        reason=access.reason.value,
        service=found.service,
        route=found.route,
        client=access.client,
        servers=table.list_candidates(found.service),
        draining=_list_draining(snapshot, found.service),
    )


def _make_credential(
    snapshot: snapshots.Snapshot, match: table_lib.Match, sender: Sender
) -> table_lib.Credential:
    if sender.caller:
        digest = _get_digest(snapshot, match.service, sender.caller)
        return table_lib.Credential(token_digest=digest)
    return table_lib.Credential(
        token_digest=sender.token_digest, service=sender.service
    )


def _get_digest(
    snapshot: snapshots.Snapshot, service_name: str, caller_name: str
) -> str:
    for service in snapshot.services:
        for caller in service.callers:
            if (service.name, caller.name) == (service_name, caller_name):
                return caller.digests[0]
    # No caller has this text as its digest, so the table refuses the caller as
    # unknown.
    return f"unknown caller {caller_name}"


def _list_draining(
    snapshot: snapshots.Snapshot, service: str
) -> tuple[str, ...]:
    return tuple(
        server.server_id
        for server in snapshot.servers
        if server.service == service
        and server.state is snapshots.ServerState.DRAINING
    )
