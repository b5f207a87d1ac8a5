"""Opens the HTTP listeners of a node."""

import dataclasses

from lovagesaddle.http import hop
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from lovagesaddle.http import watchdog
from lovagesaddle.node import admin
from lovagesaddle.node import answer_turns as answer_turns_lib
from lovagesaddle.node import application
from lovagesaddle.node import entry as entry_lib
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.settings import schema

ADMIN_THREADS = 2
MAX_ADMIN_BODY_BYTES = 64 * 1024
# Space for the headers, which an envelope between nodes contains in addition to
# the body.
ENVELOPE_MARGIN_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHandlers:
    """Holds what answers the requests of callers and of other nodes.

    Attributes:
      entry: Answers callers.
      owner: Runs the attempts that other nodes send.
      signer: Checks and signs the messages between nodes.
      guards: Watches deadlines and requesters that disconnect.
      answer_turns: Lets parts of large answers take turns on the link; None if
        its rate is unknown.
    """

    entry: entry_lib.Entry
    owner: owner_lib.Owner
    signer: hop.EnvelopeSigner
    guards: watchdog.Watchdog
    answer_turns: answer_turns_lib.AnswerTurns | None = None


def open_listeners(
    settings: schema.NodeSettings, handlers: RequestHandlers
) -> tuple[server_lib.HttpServer, server_lib.HttpServer]:
    """Returns the server for callers and the server for nodes.

    Both are the same server if the settings have no hop address.
    """
    if not settings.hop_address:
        shared = _listen(
            settings,
            settings.http_address,
            _make_application(handlers, application.RequestSource.ALL),
        )
        return shared, shared
    callers = _make_application(handlers, application.RequestSource.CALLERS)
    nodes = _make_application(handlers, application.RequestSource.NODES)
    return (
        _listen(settings, settings.http_address, callers),
        _listen(settings, settings.hop_address, nodes),
    )


def open_admin_listener(
    settings: schema.NodeSettings, app: admin.AdminApplication
) -> server_lib.HttpServer:
    """Returns the server for the local VM."""
    return server_lib.HttpServer(
        application=app,
        dispatcher=thread_pools.PoolDispatcher(
            threads={thread_pools.PoolKind.CALLER: ADMIN_THREADS},
            classify=admin.classify,
        ),
        options=server_lib.ServerOptions(
            address=settings.admin_address,
            max_body_bytes=MAX_ADMIN_BODY_BYTES,
        ),
    )


def _make_application(
    handlers: RequestHandlers, source: application.RequestSource
) -> application.Application:
    return application.Application(
        entry=handlers.entry,
        owner=handlers.owner,
        signer=handlers.signer,
        guards=handlers.guards,
        source=source,
        answer_turns=handlers.answer_turns,
    )


def _listen(
    settings: schema.NodeSettings, address: str, app: application.Application
) -> server_lib.HttpServer:
    kinds = (
        thread_pools.PoolKind.CALLER,
        thread_pools.PoolKind.SERVICE,
        thread_pools.PoolKind.OWNER,
    )
    return server_lib.HttpServer(
        application=app,
        dispatcher=thread_pools.PoolDispatcher(
            threads=dict.fromkeys(kinds, settings.threads),
            classify=application.classify,
        ),
        options=server_lib.ServerOptions(
            address=address,
            max_body_bytes=settings.max_body_bytes + ENVELOPE_MARGIN_BYTES,
        ),
    )
