"""Tests of answers by a table that may no longer be the newest."""

from collections.abc import Iterator
import contextlib
import json
from unittest import mock

from bench import backend
from bench import stand_in

from lovagesaddle import clocks
from lovagesaddle.core.model import outcomes
from lovagesaddle.node import program
from tests import fixtures
from tests import nodes
from tests import served_mesh

ADDED_HOST = "added.example"


def test_refusal_by_an_unproved_table_is_not_final() -> None:
    """A node that can't prove its table to be the newest refuses for now.

    The newest one may have the route, the method, the caller or the limit.
    """
    with served_mesh.run_mesh(1, proves=False) as (_, (node,), server):
        address = node.http_address
        replies = (
            nodes.send(address, Host=ADDED_HOST),
            nodes.send(address, "PUT"),
            nodes.send(address, token="wrong"),
            nodes.send(address, "POST", body=b"x" * 1_100_000),
        )
        for reply in replies:
            assert reply.status == 503, reply
            assert "Retry-After" in reply.headers
            assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
        assert "unproved_refusals_total 4" in node.metrics.render()
        assert server.state.most_running == 0


def test_request_that_the_unproved_table_allows_is_served() -> None:
    """Losing all of control does not stop calls."""
    with served_mesh.run_mesh(1, proves=False) as (_, (node,), _):
        reply = nodes.send(node.http_address, "POST", "/a", body=b"xy")
        assert reply.status == 200, reply
        assert json.loads(reply.body)["length"] == 2


def test_proof_makes_a_refusal_final() -> None:
    """A node that proves its table answers as before."""
    with served_mesh.run_mesh(1, proves=False) as (mesh, (node,), _):
        assert nodes.send(node.http_address, Host=ADDED_HOST).status == 503
        mesh.control.proves = True
        mesh.control.change()
        assert nodes.send(node.http_address, Host=ADDED_HOST).status == 404
        assert nodes.send(node.http_address, token="wrong").status == 401


def test_added_route_is_served_once_the_node_has_asked() -> None:
    """A request waits for the version that a node lacks, and is served by it.

    A node that has been paused gets its first requests before it has heard
    anything of control.
    """
    with served_mesh.run_mesh(1, proves=False) as (mesh, (node,), _):

        def catch_up() -> None:
            mesh.control.proves = True
            mesh.control.change(services=(nodes.make_service(host=ADDED_HOST),))

        mesh.control.on_proof_requested = catch_up
        reply = nodes.send(node.http_address, Host=ADDED_HOST)
        assert reply.status == 200, reply
        assert nodes.send(node.http_address).status == 404


def test_proof_runs_out_while_the_vm_is_suspended() -> None:
    """A node that goes on after a suspension does not trust its old proof.

    The steady clock of the system stands still meanwhile.
    """
    with served_mesh.run_mesh(1) as (_, (node,), _):
        assert nodes.send(node.http_address, Host=ADDED_HOST).status == 404
        resumed_at = clocks.read_uptime() + 2 * nodes.PROOF_S
        with mock.patch.object(clocks, "read_uptime", lambda: resumed_at):
            reply = nodes.send(node.http_address, Host=ADDED_HOST)
        assert reply.status == 503, reply


@contextlib.contextmanager
def _run_outdated_entry() -> Iterator[
    tuple[nodes.Mesh, program.NodeProgram, backend.Backend]
]:
    """Runs an entry that gets no further version, and the owner of a server.

    The entry believes its table to be proved, like a node whose bound has not
    passed yet.
    """
    with served_mesh.run_mesh() as (mesh, (_, entry), server):
        mesh.control.held_back = {"n1"}
        yield mesh, entry, server


def test_dropped_route_is_refused_by_an_owner_that_knows() -> None:
    """A request on a route that the owner's newer table lacks does not run."""
    with _run_outdated_entry() as (mesh, entry, server):
        mesh.control.change(services=(nodes.make_service(host=ADDED_HOST),))
        reply = nodes.send(entry.http_address, "POST")
        assert reply.status == 503, reply
        assert "Retry-After" in reply.headers
        assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
        assert server.state.most_running == 0


def test_request_on_a_moved_route_runs_at_the_new_service() -> None:
    """An entry that learns of a newer table from an owner routes by that."""
    with (
        _run_outdated_entry() as (mesh, entry, old_server),
        backend.Backend(stand_in.BackendOptions()) as new_server,
    ):
        owner = mesh.start("n2")
        mesh.control.held_back = set()
        mesh.control.change(
            services=(
                nodes.make_service(),
                nodes.make_service("artwork", host=ADDED_HOST),
            )
        )
        served_mesh.announce(owner, new_server, service="artwork")
        mesh.control.held_back = {"n1"}
        mesh.control.change(
            services=(
                nodes.make_service("artwork"),
                nodes.make_service(host=ADDED_HOST),
            )
        )

        def catch_up() -> None:
            mesh.control.held_back = set()
            mesh.control.change()

        mesh.control.on_proof_requested = catch_up
        reply = nodes.send(entry.http_address, "POST", body=b"xy")
        assert reply.status == 200, reply
        assert json.loads(reply.body)["length"] == 2
        assert new_server.state.most_running == 1
        assert old_server.state.most_running == 0


load_tests = fixtures.collect(__name__)
