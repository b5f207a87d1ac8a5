"""Tests of the settings files of the programs."""

from collections.abc import Callable
import pathlib
import tempfile
from typing import TypeVar

from returns import result

from lovagesaddle.settings import loader
from lovagesaddle.settings import schema
from lovagesaddle.settings import seeds
from tests import fixtures

T = TypeVar("T")

CONTROL = """\
[control]
replica-id = c1
address = tcp://127.0.0.1:7001
failure-domain = a
data-folder = /var/lib/lovagesaddle
cluster-id = bajio
election-timeout = 300ms

[replica c1]
address = tcp://127.0.0.1:7001

[replica c2]
address = tcp://127.0.0.1:7002

[log]
level = debug
"""

NODE = """\
[node]
node-id = n1
failure-domain = a
region = centro
http-address = 127.0.0.1:8001
admin-address = 127.0.0.1:8101
control-address = tcp://127.0.0.1:8201
cluster-id = bajio
max-body = 4MB

[replica c1]
address = tcp://127.0.0.1:7001
"""


def test_control_settings_are_read() -> None:
    """Units are converted and defaults applied in control settings."""
    settings = _write(CONTROL, loader.load_control).unwrap()
    assert settings.election_timeout_s == 0.3
    assert settings.lease_s == 6.0
    assert [r.replica_id for r in settings.replicas] == ["c1", "c2"]
    assert settings.log == schema.LogSettings(level="debug")


def test_node_settings_are_read() -> None:
    """Sizes in node settings are converted to bytes."""
    settings = _write(NODE, loader.load_node).unwrap()
    assert settings.max_body_bytes == 4 * 1024 * 1024
    assert settings.heartbeat_s == 1.0


def test_every_mistake_is_located_at_once() -> None:
    """Each mistake is reported with its line, section and key."""
    text = (
        NODE.replace("node-id = n1", "node-id = N!")
        .replace("region = centro\n", "")
        .replace("max-body = 4MB", "max-body = 4\nthreads = 0\nspeed = 9")
        .replace("[replica c1]", "[replicas c1]")
        + "address = tcp://127.0.0.1:7002\nnonsense\n"
    )
    problems = _write(text, loader.load_node).failure()
    found = {(p.line, p.section, p.key) for p in problems}
    assert found == {
        (0, "replica", ""),
        (1, "node", "region"),
        (2, "node", "node-id"),
        (8, "node", "max-body"),
        (9, "node", "threads"),
        (10, "node", "speed"),
        (12, "replicas c1", ""),
        (14, "replicas c1", "address"),
        (15, "replicas c1", ""),
    }, found


def test_replica_whose_address_differs_is_refused() -> None:
    """A replica whose own address differs from its entry is refused."""
    text = CONTROL.replace(":7001\nfailure", ":7009\nfailure")
    (problem,) = _write(text, loader.load_control).failure()
    assert (problem.line, problem.key) == (3, "address")


def test_key_without_allowed_keys_is_refused() -> None:
    """A secret key without a file of allowed keys is refused."""
    text = CONTROL + "[keys]\nsecret-key-file = c1.key\n"
    (problem,) = _write(text, loader.load_control).failure()
    assert (problem.section, problem.key) == ("keys", "secret-key-file")


def test_missing_file_is_a_located_problem() -> None:
    """A settings file that can't be read is reported with its name."""
    (problem,) = loader.load_node(pathlib.Path("/nonexistent.ini")).failure()
    assert problem.format().startswith("/nonexistent.ini:0: /: can't be read")


def _write(
    text: str,
    load: Callable[[pathlib.Path], result.Result[T, loader.Problems]],
) -> result.Result[T, loader.Problems]:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.ini"
        path.write_text(text, encoding="utf-8")
        return load(path)


def test_seeds_stand_for_replicas() -> None:
    """The replicas of seeds use the port of the process's own address."""
    replicas = seeds.make_replicas(
        ("10.1.0.4:8641", "10.2.0.5:8641", "10.1.0.4:9000"),
        "tcp://10.1.0.9:7380",
    )
    assert [(replica.replica_id, replica.address) for replica in replicas] == [
        ("10.1.0.4", "tcp://10.1.0.4:7380"),
        ("10.2.0.5", "tcp://10.2.0.5:7380"),
    ]


load_tests = fixtures.collect(__name__)
