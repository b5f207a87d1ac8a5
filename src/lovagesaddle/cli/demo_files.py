"""Defines the service files and the kinds of requests of the demo."""

import hashlib

from lovagesaddle.cli import demo_traffic
from lovagesaddle.core.configuration import service_sets
from lovagesaddle.core.model import services

FOUNDATION_TOKEN = "demo-token-of-a-foundation"
WORKSHOP_TOKEN = "demo-token-of-the-workshop"
DESK_HOST = "orderdesk.example"
ARTWORK_HOST = "artwork.example"

_DESK = """\
[service]
name = orderdesk
revision = {revision}
depends-on = artwork

[caller foundation-salto]
digests = {digest}

[route proofs]
host = {host}
path = /proofs
timeout = {timeout}
retries = 2
priority = urgent
idempotent = yes
callers = foundation-salto

[route confirmations]
host = {host}
path = /confirmations
methods = POST
callers = foundation-salto
"""
_ARTWORK = """\
[service]
name = artwork
revision = 1

[caller workshop]
digests = {digest}

[route layouts]
host = {host}
path = /layouts
retries = 2
idempotent = yes
callers = workshop

[route uploads]
host = {host}
path = /uploads
methods = POST
priority = bulk
callers = workshop
"""

TARGETS = (
    demo_traffic.Target(
        name="proof check",
        method="GET",
        host=DESK_HOST,
        prefix="/proofs",
        token=FOUNDATION_TOKEN,
    ),
    demo_traffic.Target(
        name="confirmation",
        method="POST",
        host=DESK_HOST,
        prefix="/confirmations",
        token=FOUNDATION_TOKEN,
        body=b"engrave plaque ",
    ),
    demo_traffic.Target(
        name="layout lookup",
        method="GET",
        host=ARTWORK_HOST,
        prefix="/layouts",
        token=WORKSHOP_TOKEN,
    ),
    demo_traffic.Target(
        name="upload",
        method="POST",
        host=ARTWORK_HOST,
        prefix="/uploads",
        token=WORKSHOP_TOKEN,
        body=b"logo " * 1000,
    ),
)


def make_services(
    *, revision: int, timeout: str
) -> tuple[services.Service, ...]:
    """Returns the checked services of the demo.

    Args:
      revision: Revision of the order desk.
      timeout: Timeout of the order desk's proof checks, in the notation of a
        service file.
    """
    desk = _DESK.format(
        revision=revision,
        digest=_digest(FOUNDATION_TOKEN),
        host=DESK_HOST,
        timeout=timeout,
    )
    artwork = _ARTWORK.format(digest=_digest(WORKSHOP_TOKEN), host=ARTWORK_HOST)
    sources = (
        service_sets.SourceFile(file="orderdesk.service.ini", text=desk),
        service_sets.SourceFile(file="artwork.service.ini", text=artwork),
    )
    checked: tuple[services.Service, ...]
    checked = service_sets.check_files(sources).unwrap()
    return checked


def _digest(token: str) -> str:
    return f"sha256:{hashlib.sha256(token.encode()).hexdigest()}"
