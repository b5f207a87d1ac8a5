"""Tests of calls with an Idempotency-Key, through whole nodes."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import pathlib
import tempfile

from bench import admin
from bench import backend
from bench import stand_in
from bench import verdicts

from lovagesaddle.core.model import outcomes
from lovagesaddle.node import program
from tests import fixtures
from tests import nodes

KEY = "key-1"


@contextlib.contextmanager
def _run_mesh(
    count: int = 3,
) -> Iterator[tuple[nodes.Mesh, list[program.NodeProgram], pathlib.Path]]:
    """Runs nodes that hold shards; the first owns a server that logs runs."""
    with (
        tempfile.TemporaryDirectory() as folder,
        nodes.Mesh(nodes.make_service()) as mesh,
        backend.Backend(
            stand_in.BackendOptions(record=f"{folder}/runs")
        ) as server,
    ):
        started = [
            mesh.start(f"n{number}", failure_domain=f"d{number}")
            for number in range(count)
        ]
        admin.announce(
            started[0].admin_address, "orderdesk", server.address, 20, 100
        )
        mesh.control.assign_shards()
        yield mesh, started, pathlib.Path(folder) / "runs"


def _count_runs(record: pathlib.Path) -> int:
    return sum(run.event == "start" for run in verdicts.read_runs(record))


def test_resend_gets_the_stored_answer() -> None:
    """A resend through another node is answered without a second run."""
    with _run_mesh() as (_, started, record):
        first = nodes.send(
            started[1].http_address, "POST", body=b"plaque", Idempotency_Key=KEY
        )
        again = nodes.send(
            started[2].http_address, "POST", body=b"plaque", Idempotency_Key=KEY
        )
        assert (first.status, again.status) == (200, 200)
        assert again.body == first.body
        assert again.headers["Idempotency-Replayed"] == "true"
        assert _count_runs(record) == 1


def test_other_body_is_422() -> None:
    """The same key with another body is refused and does not run."""
    with _run_mesh() as (_, started, record):
        address = started[1].http_address
        nodes.send(address, "POST", body=b"one", Idempotency_Key=KEY)
        other = nodes.send(address, "POST", body=b"two", Idempotency_Key=KEY)
        assert other.status == 422
        assert other.headers[outcomes.OUTCOME_HEADER] == "not-run"
        assert _count_runs(record) == 1


def test_racing_resends_run_once() -> None:
    """Of concurrent resends through all nodes one runs; all get its answer."""
    with (
        _run_mesh() as (_, started, record),
        futures.ThreadPoolExecutor(6) as pool,
    ):
        replies = list(
            pool.map(
                lambda node: nodes.send(
                    node.http_address,
                    "POST",
                    body=b"x",
                    Run_Ms="200",
                    Idempotency_Key=KEY,
                ),
                started * 2,
            )
        )
        assert [reply.status for reply in replies] == [200] * 6
        assert len({reply.body for reply in replies}) == 1
        assert _count_runs(record) == 1


def test_lost_answer_is_never_run_again() -> None:
    """After a lost answer a resend does not run; its outcome is unknown."""
    with _run_mesh() as (_, started, record):
        for node in started[1:]:
            reply = nodes.send(
                node.http_address,
                "POST",
                Act="lose-answer",
                Idempotency_Key=KEY,
            )
            assert reply.status in (409, 502)
            assert reply.headers[outcomes.OUTCOME_HEADER] == "unknown"
        assert _count_runs(record) == 1


def test_without_a_majority_nothing_runs() -> None:
    """An entry that reaches no majority of holders refuses the request."""
    with _run_mesh() as (mesh, started, record):
        mesh.control.cut_off.update(("n0", "n2"))
        reply = nodes.send(started[1].http_address, "POST", Idempotency_Key=KEY)
        assert reply.status == 503
        assert _count_runs(record) == 0


def test_handover_keeps_the_answer() -> None:
    """A stored answer survives the replacement of a holder."""
    with _run_mesh() as (mesh, started, record):
        address = started[1].http_address
        first = nodes.send(address, "POST", body=b"x", Idempotency_Key=KEY)
        mesh.start("n3", failure_domain="d2")
        mesh.control.leave("n2")
        mesh.control.assign_shards()
        again = nodes.send(address, "POST", body=b"x", Idempotency_Key=KEY)
        assert (again.status, again.body) == (200, first.body)
        assert _count_runs(record) == 1


def test_only_well_formed_keys_are_claimed() -> None:
    """A malformed key gets 400; the key of a safe method is ignored."""
    with _run_mesh() as (_, started, record):
        address = started[1].http_address
        bad = nodes.send(address, "POST", Idempotency_Key="x" * 300)
        assert bad.status == 400
        for _ in range(2):
            assert nodes.send(address, "GET", Idempotency_Key=KEY).status == 200
        assert _count_runs(record) == 2


load_tests = fixtures.collect(__name__)
