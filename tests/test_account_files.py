"""Tests of the file of client accounts beside the service files."""

import contextlib

from lovagesaddle.cli import service_folders
from lovagesaddle.core.configuration import account_files
from lovagesaddle.core.configuration import comparison
from lovagesaddle.core.configuration import service_files
from lovagesaddle.core.model import services
from tests import fixtures

DIGEST = "sha256:" + "0a" * 32
OTHER = "sha256:" + "0b" * 32
FILE = f"""\
[account pulo]
digests = {OTHER}
  {DIGEST}
priority = urgent
rate = 12.5
burst = 40

[account fell]
digests = sha256:{"0c" * 32}
"""
DESK = """\
[service]
name = desk
revision = 1

[route all]
host = desk.example
callers = any
needs-account = yes
"""


def test_accounts_are_read_whole() -> None:
    """Each has the value or default of every key, and is sorted by name."""
    with contextlib.ExitStack() as stack:
        folder = fixtures.make_folder(stack)
        assert service_folders.load_accounts(folder).unwrap() == ()
        (folder / account_files.FILE_NAME).write_text(FILE, encoding="utf-8")
        fell, pulo = service_folders.load_accounts(folder).unwrap()
    assert pulo == services.ClientAccount(
        name="pulo",
        digests=(DIGEST, OTHER),
        priority=services.Priority.URGENT,
        rate_per_s=12.5,
        burst=40.0,
    )
    assert (fell.priority, fell.rate_per_s) == (services.Priority.NORMAL, 0.0)


def test_every_mistake_has_its_place() -> None:
    """A digest that has two holders, or may be a key, is not repeated."""
    text = f"""\
[account pulo]
digests = {DIGEST}
[account fell]
digests = {DIGEST} secretkey
rate = -1
[account Moor]
digests = {OTHER}
[caller tarn]
[account tarn]
"""
    problems = account_files.parse_accounts(text, file="f").failure()
    assert [(problem.line, problem.key) for problem in problems] == [
        (4, "digests"),
        (4, "digests"),
        (5, "rate"),
        (6, ""),
        (8, ""),
        (9, "digests"),
    ], problems
    assert not [each for each in problems if "secretkey" in each.format()]


def test_route_that_needs_an_account_takes_any_caller() -> None:
    """The key of an account stands in the place of a caller's token."""
    closed = service_files.parse_service_file(DESK, file="f")
    assert closed.service is not None
    (route,) = closed.service.routes
    assert route.needs_account is True and route.is_open
    opened = service_files.parse_service_file(
        DESK.replace("needs-account = yes\n", ""), file="f"
    )
    assert opened.service is not None
    (change,) = comparison.compare_services(
        (opened.service,), (closed.service,)
    )
    assert (change.before, change.after) == ("no", "yes")
    mistaken = DESK.replace("callers = any", "services = art")
    (problem,) = service_files.parse_service_file(mistaken, file="f").problems
    assert (problem.line, problem.key) == (8, "needs-account"), problem


load_tests = fixtures.collect(__name__)
