"""Tests of quotas on whole nodes in one process, and of their settings."""

from collections.abc import Iterator
import contextlib
import pathlib
import re
import time
from typing import Any
from unittest import mock
import urllib.request

from bench import backend
from bench import stand_in
from returns import result

from lovagesaddle import clocks
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import quotas as core_quotas
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.node import program
from lovagesaddle.node import quotas as quotas_lib
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema
from tests import fixtures
from tests import nodes
from tests import platform_stand_in
from tests import quota_mesh
from tests import served_mesh

# Its tokens are there by LATER_S.
ACCOUNT = quota_mesh.make_account("lab", 0.1, 30.0)
QUOTA: dict[str, Any] = {
    "quota_window_s": 5.0,
    "quota_overrun": 0.1,
    "quota_slack": 20.0,
}
BOUND = 53
# Time after which every part is in use, and less than a proof of the fake
# control holds, in seconds.
LATER_S = 1000.0
TEMPLATE = pathlib.Path(__file__).parents[1] / "deploy" / "node.ini"


@contextlib.contextmanager
def run_mesh(
    **quota: Any,
) -> Iterator[tuple[nodes.FakeControl, list[program.NodeProgram]]]:
    """Runs three nodes whose callers all send for one account."""
    access = table_lib.Access(
        allowed=True,
        status=0,
        client="lab",
        reason=table_lib.AccessReason.OPEN,
        account=ACCOUNT,
    )
    read_uptime = clocks.read_uptime
    with (
        mock.patch.object(table_lib.Table, "authorise", lambda *_: access),
        nodes.Mesh(nodes.make_service()) as mesh,
        backend.Backend(stand_in.BackendOptions()) as server,
    ):
        started = [mesh.start(f"n{number}", **quota) for number in range(3)]
        served_mesh.announce(started[0], server)
        mesh.control.change(accounts=(ACCOUNT,))
        with mock.patch.object(
            clocks, "read_uptime", lambda: read_uptime() + LATER_S
        ):
            mesh.control.change()
            yield mesh.control, started


def read_metrics(node: program.NodeProgram) -> dict[str, float]:
    """Returns the metrics of quotas."""
    url = f"http://{node.admin_address}/metrics"
    with urllib.request.urlopen(url) as page:
        text = page.read().decode()
    return {
        name: float(value)
        for name, value in re.findall(r"^(quota_\S+) (\S+)$", text, re.M)
    }


def test_account_is_bounded_over_all_entries() -> None:
    """Beyond the bound callers get 429, a time to return, and ran nothing."""
    with run_mesh(**QUOTA) as (_, started):
        replies = [
            nodes.send(started[number % 3].http_address)
            for number in range(BOUND + 7)
        ]
        served = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status != 200]
        assert ACCOUNT.burst < len(served) <= BOUND
        assert {reply.status for reply in refused} == {429}
        for reply in refused:
            assert int(reply.headers["Retry-After"]) >= 1
            assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
        pages = [read_metrics(node) for node in started]
        name = 'quota_admitted_total{account="lab"}'
        assert sum(page[name] for page in pages) == len(served)
        name = 'quota_refusals_total{account="lab",reason="over"}'
        assert sum(page[name] for page in pages) == len(refused)
        assert all(page["quota_asks_total"] for page in pages)


def test_entry_that_reaches_no_holder_can_not_tell() -> None:
    """It refuses for now: the account may be within its quota."""
    with run_mesh(**QUOTA) as (control, started):
        control.cut_off = {"n1", "n2"}
        address = started[1].http_address
        replies = [nodes.send(address) for _ in range(BOUND)]
        [*own, last] = (reply.status for reply in replies)
        # The node itself holds a third of the quota.
        assert ACCOUNT.burst / 3 <= own.count(200) <= BOUND / 3
        assert last == 503
        assert replies[-1].headers[outcomes.OUTCOME_HEADER] == "not-run"


def test_callers_of_a_used_up_account_return_spread_and_not_at_once() -> None:
    """Hundreds of callers were told to return within 4 to 59 ms."""
    quotas = quotas_lib.Quotas(
        node_id="n",
        rules=quota_mesh.RULES,
        proofs=table_proofs.TableProofs(2.0),
        metrics=metrics_lib.Metrics(),
    )
    with (
        mock.patch.object(
            core_quotas.NodeQuotas,
            "judge",
            lambda *_, **__: (core_quotas.Verdict.OVER, 0.004),
        ),
        mock.patch.object(
            core_quotas.NodeQuotas, "admit", lambda *_, **__: (None, ())
        ),
        mock.patch.object(
            core_quotas.NodeQuotas, "retry", lambda *_, **__: (None, ())
        ),
    ):
        refused = quotas.admit(ACCOUNT, time.monotonic() + 1)
    assert isinstance(refused, quotas_lib.Refused)
    assert refused.retry_after_s >= quotas_lib.LEAST_RETRY_S


def test_request_that_did_not_run_keeps_its_token() -> None:
    """A server that is gone costs the account nothing."""
    with run_mesh(**QUOTA) as (control, started):
        servers = control.snapshot.servers
        control.change(servers=())
        for _ in range(2 * BOUND):
            reply = nodes.send(started[0].http_address)
            assert reply.status == 503
        control.change(servers=servers)
        assert nodes.send(started[0].http_address).status == 200


def test_quotas_apply_only_where_the_settings_name_them() -> None:
    """Elsewhere no request is counted and no message is sent."""
    with run_mesh() as (control, started):
        for _ in range(BOUND + 7):
            assert nodes.send(started[0].http_address).status == 200
        assert read_metrics(started[0]) == {}
        assert not any(
            channel.name == "QUOTAS" for _, channel in control.handlers
        )


def _fill(**bounds: float) -> schema.NodeSettings:
    """Returns the settings by the platform's template."""
    platform = platform_stand_in.Platform(pathlib.Path("unused"))
    fields = platform._describe("127.0.0.1", is_first=True)
    fields["Bounds"] |= {"RetryBudgetExtra": 31.32, **bounds}
    with contextlib.ExitStack() as stack:
        path = fixtures.make_folder(stack) / "node.ini"
        path.write_text(
            platform_stand_in.fill_in(TEMPLATE.read_text("utf-8"), fields),
            encoding="utf-8",
        )
        loaded = loader.load_node(path, ignored_sections=("platform", "bounds"))
        assert isinstance(loaded, result.Success), loaded
        applied = settings_lib.apply_bounds(path, loaded.unwrap())
    settings: schema.NodeSettings = applied.unwrap()
    return settings


def test_bounds_of_the_platform_may_be_fractions() -> None:
    """A node did not start where the retry reserve was a fraction."""
    assert _fill().retry_reserve == 31.32


def test_template_takes_the_rule_of_the_platform() -> None:
    """A platform without quotas names none of their bounds."""
    assert quotas_lib.make_rules(_fill()) is None
    rules = quotas_lib.make_rules(
        _fill(QuotaWindowS=5, QuotaOverrun=0.1, QuotaSlack=20)
    )
    assert rules == quota_mesh.RULES


load_tests = fixtures.collect(__name__)
