"""Tests of the commands that an operator runs."""

import json
import os
import pathlib
import tempfile
from unittest import mock

from typer import testing

from lovagesaddle.cli import exits
from lovagesaddle.cli import main
from lovagesaddle.core import errors
from lovagesaddle.core.model import operator_messages
from lovagesaddle.transport import keys as keys_lib
from tests import fake_replica
from tests import fixtures

JUST_STARTED_S = 0.05
DIGEST = "sha256:" + "0a" * 32
DESK = f"""\
[service]
name = desk
revision = 1

[caller salto]
digests = {DIGEST}

[route proofs]
host = desk.example
path = /proofs
callers = salto
"""
MISTAKES = f"""\
[service]
name = Desk
revision = one

[caller salto]
digests = {DIGEST}
colour = red

[route proofs]
path = /proofs
timeout = 2
callers = salto
"""
SETTINGS = """\
[operator]
operator = ana
timeout = 5s

[replica c1]
address = {address}
"""


def test_five_mistakes_are_five_located_lines() -> None:
    """Checking a folder with five mistakes prints five lines and exits 2."""
    with _Desk(MISTAKES) as desk:
        found = desk.run("check", str(desk.folder))
    file = desk.folder / "desk.service.ini"
    lines = found.stdout.splitlines()
    assert [line[: line.index("/", len(str(file)))] for line in lines] == [
        f"{file}:2: service",
        f"{file}:3: service",
        f"{file}:7: caller salto",
        f"{file}:9: route proofs",
        f"{file}:11: route proofs",
    ], lines
    assert found.exit_code == exits.Exit.BAD_INPUT


def test_publish_is_accepted_and_then_in_force() -> None:
    """Publishing without a base replaces the last publication."""
    with _Desk(DESK) as desk:
        first = desk.run("publish", str(desk.folder), "--wait")
        second = desk.run("publish", str(desk.folder), "--json")
        history = desk.run("history", "--json")
    assert first.exit_code == 0, first.output
    assert first.stdout == "accepted as version 1\n"
    assert "in force on all 4 nodes" in first.stderr
    assert json.loads(second.stdout)["outcome"] == "accepted"
    bases = [
        p["base_version"] for p in json.loads(history.stdout)["publications"]
    ]
    assert bases == [1, 0]


def test_accounts_of_the_folder_are_published() -> None:
    """A publish has the accounts of the folder, and a mistake stops it."""
    text = f"[account pulo]\ndigests = {DIGEST}\n"
    with _Desk(DESK) as desk:
        path = desk.folder / "accounts.ini"
        path.write_text(text, encoding="utf-8")
        desk.run("publish", str(desk.folder))
        accounts = desk.cluster.state.snapshot.accounts
        path.write_text(text.replace("digests", "digest"), encoding="utf-8")
        statuses = [
            desk.run(command, str(desk.folder)).exit_code
            for command in ("check", "publish")
        ]
        path.unlink()
        desk.run("publish", str(desk.folder))
        remaining = desk.cluster.state.snapshot.accounts
    assert [(each.name, each.digests) for each in accounts or ()] == [
        ("pulo", (DIGEST,))
    ]
    assert statuses == [exits.Exit.BAD_INPUT, exits.Exit.BAD_INPUT]
    assert not remaining


def test_conflict_names_the_winner() -> None:
    """A publish on an old base exits 1 and names the winning publish."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder), "--id", "first")
        lost = desk.run("publish", str(desk.folder), "--base", "0")
    assert lost.exit_code == exits.Exit.REFUSED
    assert "published by ana (id first)" in lost.stderr


def test_base_is_never_that_of_a_replica_that_lags() -> None:
    """Right after a restart of all replicas, the base is the last publish."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder), "--id", "pub-101")
        desk.restart_replicas()
        found = desk.run("publish", str(desk.folder), "--id", "pub-102")
    assert found.exit_code == 0, found.output
    assert [
        kept.publication.base_version
        for kept in desk.cluster.state.publications
    ] == [0, 1]


def test_id_with_a_wrong_base_passes_without_one() -> None:
    """After a conflict, the same ID may publish on the last base."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder), "--id", "pub-101")
        again = ("publish", str(desk.folder), "--id", "pub-102")
        lost = desk.run(*again, "--base", "0")
        passed = desk.run(*again)
        resent = desk.run(*again, "--base", "0")
    assert lost.exit_code == exits.Exit.REFUSED
    assert "published by ana (id pub-101)" in lost.stderr
    assert passed.exit_code == 0, passed.output
    assert resent.stdout == passed.stdout


def test_unanswered_publish_is_reported_as_unknown() -> None:
    """Without an answer, the command prints how to learn the outcome."""
    with _Desk(DESK, answered=False) as desk:
        lost = desk.run(
            "publish", str(desk.folder), "--base", "7", "--id", "p9"
        )
    assert lost.exit_code == exits.Exit.OUTCOME_UNKNOWN
    assert "outcome is unknown" in lost.stderr
    assert f"publish {desk.folder} --base 7 --id p9" in lost.stderr


def test_publish_id_of_other_files_is_refused() -> None:
    """An ID that published other files does not count for these."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder), "--id", "p1")
        desk.write(DESK.replace("revision = 1", "revision = 2"))
        other = desk.run("publish", str(desk.folder), "--id", "p1")
    assert other.exit_code == exits.Exit.REFUSED
    assert "this ID published other files as version 1" in other.stderr


def test_version_that_lags_is_named_at_the_timeout() -> None:
    """At the timeout the command exits 5 and names the lagging nodes."""
    with _Desk(DESK) as desk:
        desk.cluster.in_force_version = 0
        late = desk.run("publish", str(desk.folder), "--wait", "--timeout", "0")
    assert late.exit_code == exits.Exit.NOT_IN_FORCE
    assert "waiting for n3" in late.stderr


def test_diff_shows_what_a_folder_would_change() -> None:
    """The differences of a folder to the last publication are listed."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder))
        desk.write(
            DESK.replace("path = /proofs", "path = /proofs\nretries = 3")
        )
        changed = desk.run("diff", str(desk.folder))
        same = desk.run("diff", "1", "1")
    assert changed.stdout == (
        "~ service desk / route proofs / retries: 1 -> 3\n"
    )
    assert same.stdout == "no difference\n"


def test_status_warns_when_it_is_stale() -> None:
    """A status from an isolated replica prints a warning."""
    with _Desk(DESK) as desk:
        desk.cluster.stale_s = 30.0
        found = desk.run("status")
    assert "leader               none (term 3)" in found.stdout
    assert "in force everywhere  unknown, no leader answered" in found.stdout
    assert "heard from no leader for 30.0 s" in found.stderr


def test_replica_change_that_is_refused_exits_1() -> None:
    """A refused change of replicas prints the cause."""
    with _Desk(DESK) as desk:
        added = desk.run("replica", "add", "c4", "tcp://127.0.0.1:7004")
        removed = desk.run("replica", "remove", "c1")
    assert added.exit_code == 0, added.output
    assert removed.exit_code == exits.Exit.REFUSED
    assert "too few would be left" in removed.stderr


def test_unresponsive_replicas_exit_3() -> None:
    """A read command without an answer names the replicas."""
    with _Desk(DESK, answered=False) as desk:
        found = desk.run("status")
    assert found.exit_code == exits.Exit.UNREACHABLE
    assert "c1: no answer" in found.stderr


def test_explanation_names_the_route_and_the_refusal() -> None:
    """Explaining a request shows its route and why it is refused."""
    with _Desk(DESK) as desk:
        desk.run("publish", str(desk.folder))
        url = "http://desk.example/proofs/7"
        refused = desk.run("explain", "GET", url)
        admitted = desk.run("explain", "GET", url, "--caller", "salto")
    assert "refused with 401, not run: no-credential" in refused.stdout
    assert "admitted for salto (caller)" in admitted.stdout
    assert "no backend server takes new work" in admitted.stdout


def test_only_an_operator_whose_key_is_allowed_is_answered() -> None:
    """Keys of `keys new` open an encrypted link once they are allowed."""
    with _Desk(DESK, has_keys=True) as desk:
        refused = desk.run("status")
        desk.allow_operator()
        allowed = desk.run("status")
    assert refused.exit_code == exits.Exit.UNREACHABLE
    assert allowed.exit_code == 0, allowed.output


def test_key_file_is_never_written_over() -> None:
    """`keys new` refuses a file that exists; `keys show` reads it."""
    with _Desk(DESK) as desk:
        path = str(desk.folder / "ana.key")
        made = desk.run("keys", "new", path)
        again = desk.run("keys", "new", path)
        shown = desk.run("keys", "show", path)
    assert made.stdout == shown.stdout
    assert len(made.stdout.strip()) == 40
    assert isinstance(again.exception, errors.SettingsError)


class _Desk:
    """A folder of service files, a fake cluster and its settings."""

    def __init__(
        self, text: str, *, answered: bool = True, has_keys: bool = False
    ) -> None:
        self.cluster = fake_replica.FakeCluster()
        self._text = text
        self._timeout = "5s" if answered and not has_keys else "500ms"
        self._refusals = 0
        answer = self._answer if answered else lambda _: None
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._allowed = self.folder / "allowed"
        self._allowed.write_text("", encoding="utf-8")
        self._pair = keys_lib.generate_keys() if has_keys else None
        self._replica = fake_replica.FakeReplica(
            "c1", answer, keys=self._load_keys()
        )

    def __enter__(self) -> "_Desk":
        self._replica.__enter__()
        self.write(self._text)
        text = SETTINGS.format(address=self._replica.address)
        text = text.replace("5s", self._timeout)
        if self._pair is not None:
            self._public = self.run("keys", "new", str(self.folder / "k"))
            text += f"public-key = {self._pair.public}\n"
            text += f"[keys]\nsecret-key-file = {self.folder / 'k'}\n"
            text += f"allowed-keys-file = {self._allowed}\n"
        (self.folder / "settings.ini").write_text(text, encoding="utf-8")
        return self

    def __exit__(self, *_: object) -> None:
        self._replica.__exit__(None, None, None)
        self._temporary.cleanup()

    def restart_replicas(self) -> None:
        """Makes the replicas lag and refuse two requests for lack of a leader.

        Until then they answer status requests from an empty state.
        """
        self._refusals = 2

    def _answer(
        self, request: fake_replica.Message
    ) -> fake_replica.Message | None:
        if not self._refusals:
            return self.cluster.answer(request)
        if isinstance(request, operator_messages.StatusRequest):
            lagging = fake_replica.FakeCluster()
            lagging.stale_s = JUST_STARTED_S
            return lagging.answer(request)
        self._refusals -= 1
        return operator_messages.NotLeader(
            request_id=request.request_id,
            leader_id="",
            leader_address="",
            cause="this replica does not lead",
        )

    def allow_operator(self) -> None:
        line = f"{self._public.stdout.strip()} ana\n"
        self._allowed.write_text(line, encoding="utf-8")

    def write(self, text: str) -> None:
        path = self.folder / "desk.service.ini"
        path.write_text(text, encoding="utf-8")

    def run(self, *arguments: str) -> testing.Result:
        variables = {"LOVAGESADDLE_SETTINGS": str(self.folder / "settings.ini")}
        with mock.patch.dict(os.environ, variables):
            return testing.CliRunner().invoke(main.make_app(), arguments)

    def _load_keys(self) -> keys_lib.LinkKeys | None:
        if self._pair is None:
            return None
        return keys_lib.LinkKeys(
            pair=self._pair, allowed=keys_lib.AllowedKeys(self._allowed)
        )


load_tests = fixtures.collect(__name__)
