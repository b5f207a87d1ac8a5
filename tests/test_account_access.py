"""Tests of requests with the keys of client accounts."""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import io
from typing import Any
from unittest import mock

from bench import backend
from bench import stand_in
import msgspec

from lovagesaddle import clocks
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import account_keys
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import client
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.node import program
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema
from tests import fixtures
from tests import nodes
from tests import routing_mesh
from tests import served_mesh

KEY = "2thhkmgjqnirth5mgjy5"
OTHER_KEY = "rcpihhacruddedev3nax"
WRONG_KEY = "qqqqqqqqqqqqqqqqqqqq"
ACCOUNT_HEADER = "request-account"
BOUND_S = 5.0
NAMES = dataclasses.replace(header_names.DEFAULT, passes_credentials=True)
# What carries no key that may be let in, with the refusal.
REFUSED_HEADERS = (
    (None, 401),
    ("", 401),
    (f"Token {WRONG_KEY}", 401),
    (f"Bearer {KEY}", 401),
    (f"Basic {KEY}", 401),
    (KEY, 401),
    (f"Bearer {KEY}, Token {KEY}", 401),
    (f"Token {KEY.upper()}", 401),
    ("Token", 400),
    ("Token ", 400),
    (f"Token {KEY}, Token {KEY}", 400),
    (f"Token {KEY}, ", 401),
    (f"Token {KEY} x", 400),
    (f"Token \xe9{KEY}", 400),
    (f"Token {KEY}\x7f", 400),
    ("Token " + "a" * 513, 400),
)


def _make_account(
    name: str = "pulo", *keys: str, priority: int = 3
) -> services.ClientAccount:
    return services.ClientAccount(
        name=name,
        digests=tuple(sorted(map(account_keys.compute_digest, keys or (KEY,)))),
        priority=priority,
    )


ACCOUNTS = (_make_account(),)


def _make_table(
    *paths: tuple[str, bool],
    accounts: tuple[services.ClientAccount, ...] = ACCOUNTS,
) -> table_lib.Table:
    """Returns a table with one route for each path; some need a key."""
    snapshot = routing_mesh.make_snapshot(
        *(
            dataclasses.replace(
                routing_mesh.make_route(path.strip("/"), path=path),
                methods=(),
                is_open=True,
                needs_account=True if is_keyed else msgspec.UNSET,
            )
            for path, is_keyed in paths
            or (("/keyed/", True), ("/free/", False))
        )
    )
    return table_lib.Table(dataclasses.replace(snapshot, accounts=accounts))


def _authorise(
    table: table_lib.Table, path: str, header: str | None
) -> table_lib.Access:
    match = table.match(host=routing_mesh.HOST, path=path, method="GET")
    assert isinstance(match, table_lib.Match), match
    key = account_keys.parse_header(header or "")
    return table.authorise(match, table_lib.Credential(account_key=key))


def test_key_lets_its_account_in() -> None:
    """The scheme may be in any case; the key may not."""
    for header in (f"Token {KEY}", f"tOKEN   {KEY} "):
        access = _authorise(_make_table(), "/keyed/1", header)
        assert access.allowed and access.account == _make_account()
        assert access.client == "pulo"


def test_request_without_a_known_key_is_refused() -> None:
    """Other schemes, two headers, odd bytes and wrong keys let nobody in."""
    for header, status in REFUSED_HEADERS:
        access = _authorise(_make_table(), "/keyed/1", header)
        assert (access.allowed, access.status) == (False, status), header
        assert access.account is None


def test_exempt_route_needs_no_key_and_still_names_the_account() -> None:
    """A key that comes along is used if it is known."""
    for header, _ in REFUSED_HEADERS:
        access = _authorise(_make_table(), "/free/1", header)
        assert access.allowed and access.account is None, header
    access = _authorise(_make_table(), "/free/1", f"Token {KEY}")
    assert access.allowed and access.account == _make_account()


def test_without_accounts_left_no_request_passes() -> None:
    """Routes need a key, and keys stay hidden, if the last account is gone."""
    table = _make_table(accounts=())
    assert table.has_accounts
    assert _authorise(table, "/keyed/1", f"Token {KEY}").status == 401
    assert not _make_table(("/free/", False), accounts=()).has_accounts


def test_path_in_doubt_needs_a_key_where_any_route_does() -> None:
    """A path that a server may read as a keyed one isn't let in without."""
    table = _make_table()
    doubtful = "/free/%2e%2e/keyed/1"
    assert _authorise(table, doubtful, None).status == 401
    assert _authorise(table, doubtful, f"Token {KEY}").allowed
    assert _authorise(_make_table(("/free/", False)), doubtful, None).allowed


def test_owner_refuses_what_its_newer_table_does_not_let_in() -> None:
    """Requests of entries that hold an older table are checked again."""
    key_id = account_keys.parse_header(f"Token {KEY}").key_id
    other_id = account_keys.parse_header(f"Token {OTHER_KEY}").key_id
    for account, sent_id, path, admitted in (
        ("", b"", "/keyed/1", False),
        ("", b"", "/free/1", True),
        ("pulo", key_id, "/keyed/1", True),
        ("pulo", other_id, "/keyed/1", False),
        ("pulo", other_id, "/free/1", False),
        ("fell", key_id, "/keyed/1", False),
    ):
        found = _make_table().routes_to(
            routing_mesh.SERVICE,
            host=routing_mesh.HOST,
            path=path,
            method="GET",
            account=account,
            key_id=sent_id,
        )
        assert found is admitted, (account, path)


def _make_service(
    *, needs_account: bool = True, **fields: Any
) -> services.Service:
    if needs_account:
        fields["needs_account"] = True
    return nodes.make_service(is_open=True, **fields)


def _ask(
    node: program.NodeProgram, header: str = f"Token {KEY}", claimed: str = ""
) -> nodes.Reply:
    """Sends a request; `claimed` is what the caller says its account is."""
    return nodes.send(
        node.http_address, Authorization=header, Request_Account=claimed
    )


@contextlib.contextmanager
def _run(
    count: int = 2, **fields: Any
) -> Iterator[tuple[nodes.Mesh, program.NodeProgram, list[client.Request]]]:
    """Runs nodes with one account; gives the last one and all it sends.

    What is sent contains the requests to other nodes and to the server. The
    nodes pass credentials on, as on the platform.
    """
    make_program = functools.partial(program.NodeProgram, names=NAMES)
    sent: list[client.Request] = []
    exchange = client.ConnectionPool.exchange

    def record(pool: Any, address: str, request: Any, guard: Any) -> Any:
        sent.append(request)
        return exchange(pool, address, request, guard)

    with (
        nodes.Mesh(_make_service(**fields)) as mesh,
        backend.Backend(stand_in.BackendOptions()) as server,
        mock.patch.object(client.ConnectionPool, "exchange", record),
        mock.patch.object(program, "NodeProgram", make_program),
    ):
        started = [
            mesh.start(f"n{number}", withdrawal_bound_s=BOUND_S)
            for number in range(count)
        ]
        served_mesh.announce(started[0], server)
        mesh.control.change(accounts=(_make_account(),))
        yield mesh, started[-1], sent


def _find_account(sent: list[client.Request]) -> list[str]:
    """Returns the values of the account's header that the server got."""
    headers = {key.lower(): sent[-1].headers[key] for key in sent[-1].headers}
    return [headers[ACCOUNT_HEADER]] if ACCOUNT_HEADER in headers else []


def test_server_gets_the_account_and_nobody_the_key() -> None:
    """The account's header is the system's, whatever the caller sent."""
    stream = io.StringIO()
    with (
        logs.LogWriter(stream, schema.LogSettings(level="debug"), owned=False),
        _run() as (mesh, node, sent),
    ):
        assert _ask(node, claimed="fell").status == 200
        assert _find_account(sent) == ["pulo"]
        mesh.control.change(services=(_make_service(needs_account=False),))
        for sent_header, expected in (
            (f"Token {KEY}", ["pulo"]),
            (f"Token {WRONG_KEY}", []),
            (f"Basic {KEY}", []),
        ):
            assert _ask(node, sent_header, claimed="fell").status == 200
            assert _find_account(sent) == expected, sent_header
        mesh.control.change(services=(_make_service(),))
        for header, status in REFUSED_HEADERS:
            if header is None or "\xe9" in header or "\x7f" in header:
                continue
            reply = _ask(node, header)
            assert reply.status == status, header
            assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
            assert KEY.encode() not in reply.body
        metrics = node.metrics.render()
    assert 'access_refusals_total{reason="unknown-account-key"}' in metrics
    texts = [stream.getvalue(), metrics, *(repr(each) for each in sent)]
    assert "access_denied" in texts[0]
    for text in texts:
        for secret in (KEY, KEY.upper(), WRONG_KEY):
            assert secret not in text, text


def test_credentials_go_on_where_there_are_no_accounts() -> None:
    """The header of deployments without accounts stays as it was."""
    received = {"authorization": f"Token {KEY}", "accept": "*/*"}
    for has_accounts, kept in ((False, ["authorization"]), (True, [])):
        headers = headers_lib.filter_request(
            received, NAMES, has_accounts=has_accounts
        )
        assert [name for name, _ in headers] == [*kept, "accept"]


def test_refusal_is_final_once_it_is_proved() -> None:
    """A key that the table lacks may be in the newest one."""
    with _run() as (mesh, node, _):
        assert _ask(node, f"Token {WRONG_KEY}").status == 401
        resumed_at = clocks.read_uptime() + nodes.PROOF_S + 3.0
        with mock.patch.object(clocks, "read_uptime", lambda: resumed_at):
            for header in (f"Token {WRONG_KEY}", "", "Token"):
                reply = _ask(node, header)
                assert reply.status == 503, reply
                assert "Retry-After" in reply.headers
            assert _ask(node).status == 200
        assert 'access_refusals_total{reason="unproved"} 3' in (
            node.metrics.render()
        )
        assert mesh.control.proves


def test_keys_are_not_taken_past_the_bound() -> None:
    """A node that is cut off refuses keys, not routes without; not for good.

    It serves on for most of the bound, and again once it has a proof.
    """
    with _run() as (mesh, node, sent):
        cut_at = clocks.read_uptime() + nodes.PROOF_S
        for age_s, status in ((4.4, 200), (4.6, 503), (60.0, 503)):
            now = cut_at + age_s
            with mock.patch.object(clocks, "read_uptime", lambda now=now: now):
                reply = _ask(node)
                assert reply.status == status, (age_s, reply)
        assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
        assert "Retry-After" in reply.headers
        with mock.patch.object(clocks, "read_uptime", lambda: now):
            mesh.control.change(services=(_make_service(needs_account=False),))
            mesh.control.proves = False
        later = now + nodes.PROOF_S + 10.0
        asked: list[bool] = []
        mesh.control.on_proof_requested = lambda: asked.append(True)
        with mock.patch.object(clocks, "read_uptime", lambda: later):
            assert _ask(node, "").status == 200
            count = len(sent)
            assert _ask(node).status == 503
            assert len(sent) == count
            mesh.control.proves = True
            mesh.control.change()
            assert _ask(node).status == 200
        assert asked
        assert 'access_refusals_total{reason="withdrawal-bound"} 3' in (
            node.metrics.render()
        )


def test_proof_is_taken_before_the_table_is_read() -> None:
    """A node that is paused on the way has no proof for an older table.

    Between any two of its steps it may learn that the key is gone.
    """
    for name in ("prove", "takes_keys"):
        step = getattr(table_proofs.TableProofs, name)
        with _run() as (mesh, node, sent):

            def learn(
                proofs: Any, mesh: nodes.Mesh = mesh, step: Any = step
            ) -> Any:
                account = _make_account("pulo", OTHER_KEY)
                mesh.control.change(accounts=(account,), publication=99)
                return step(proofs)

            with mock.patch.object(table_proofs.TableProofs, name, learn):
                assert _ask(node).status == 401, name
            assert not sent


def test_key_that_the_owner_knows_to_be_gone_does_not_run() -> None:
    """An entry that is behind doesn't let a withdrawn key in, nor no key."""
    with _run() as (mesh, node, sent):
        mesh.control.held_back = {"n1"}
        mesh.control.change(publication=mesh.control.snapshot.version + 1)
        assert _ask(node).status == 200
        for change in (
            {"accounts": (_make_account("pulo", OTHER_KEY),)},
            {"accounts": ()},
        ):
            mesh.control.change(
                publication=mesh.control.snapshot.version + 1, **change
            )
            sent.clear()
            reply = _ask(node)
            assert reply.status == 503, reply
            assert all("/.lovagesaddle" in each.target for each in sent)


def test_keyless_request_waits_for_a_table_that_needs_keys() -> None:
    """A table from before the accounts came doesn't open routes."""
    with _run(needs_account=False) as (mesh, node, sent):
        assert _ask(node, "").status == 200
        mesh.control.held_back = {"n1"}
        mesh.control.change(services=(_make_service(),))
        sent.clear()
        assert _ask(node, "").status == 503
        assert all("/.lovagesaddle" in each.target for each in sent)


load_tests = fixtures.collect(__name__)
