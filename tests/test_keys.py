"""Tests of encrypted links and of the keys that may open them."""

import contextlib
import pathlib
import tempfile

import zmq

from lovagesaddle.core import errors
from lovagesaddle.transport import endpoint
from lovagesaddle.transport import keys
from tests import fixtures

ANY_PORT = "tcp://127.0.0.1:*"
WAIT_S = 5.0
REFUSED_WAIT_S = 0.3


class Site:
    """Endpoints with keys, each with a context of its own."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.allowed_file = self.folder / "allowed"
        self.allowed_file.write_text("")

    def allow(self, pair: keys.KeyPair, owner: str) -> None:
        """Adds a line to the allowed keys."""
        text = self.allowed_file.read_text()
        self.allowed_file.write_text(f"{text}{pair.public} {owner}\n")

    def open(
        self, own_id: str, pair: keys.KeyPair, *, binds: bool = False
    ) -> endpoint.Endpoint:
        """Opens an endpoint that uses a key pair."""
        link_keys = keys.LinkKeys(
            pair=pair, allowed=keys.AllowedKeys(self.allowed_file)
        )
        return self._stack.enter_context(
            endpoint.Endpoint(
                context=self._stack.enter_context(zmq.Context()),
                own_id=own_id,
                bind_address=ANY_PORT if binds else None,
                keys=link_keys,
            )
        )


def _ask(
    client: endpoint.Endpoint,
    server: endpoint.Endpoint,
    server_key: str,
    wait_s: float,
) -> tuple[endpoint.Received, ...]:
    peer = endpoint.Peer(
        peer_id="r0", address=server.address, public_key=server_key
    )
    client.send(peer, endpoint.Channel.OPERATOR, b"\x01ask")
    waited = 0.0
    while waited < wait_s:
        received = server.receive(0.05)
        client.receive(0.0)
        if received:
            return received
        waited += 0.05
    return ()


def test_only_allowed_keys_get_anything_in() -> None:
    """An unknown key, a plain link and a wrong server key reach nobody."""
    with contextlib.ExitStack() as stack:
        site = Site(stack)
        pairs = [keys.generate_keys() for _ in range(3)]
        site.allow(pairs[1], "n1")
        server = site.open("r0", pairs[0], binds=True)
        good = site.open("n1", pairs[1])
        public = pairs[0].public
        (asked,) = _ask(good, server, public, WAIT_S)
        assert (asked.sender_id, asked.data) == ("n1", b"\x01ask")
        unknown = site.open("n1", pairs[2])
        assert not _ask(unknown, server, public, REFUSED_WAIT_S)
        plain = stack.enter_context(
            endpoint.Endpoint(
                context=stack.enter_context(zmq.Context()), own_id="n1"
            )
        )
        assert not _ask(plain, server, public, REFUSED_WAIT_S)
        misled = site.open("n1", pairs[1])
        wrong = pairs[2].public
        assert not _ask(misled, server, wrong, REFUSED_WAIT_S)


def test_a_key_speaks_for_its_own_process_only() -> None:
    """A process with an allowed key can't speak as another one."""
    with contextlib.ExitStack() as stack:
        site = Site(stack)
        pairs = [keys.generate_keys() for _ in range(2)]
        site.allow(pairs[1], "n1")
        server = site.open("r0", pairs[0], binds=True)
        for name, is_heard in (("n1", True), ("n1/x", True), ("n2", False)):
            client = site.open(name, pairs[1])
            wait_s = WAIT_S if is_heard else REFUSED_WAIT_S
            heard = _ask(client, server, pairs[0].public, wait_s)
            assert bool(heard) is is_heard, name


def test_two_keys_are_valid_during_a_rotation() -> None:
    """A key that is added while the server runs opens links at once."""
    with contextlib.ExitStack() as stack:
        site = Site(stack)
        old, new, own = (keys.generate_keys() for _ in range(3))
        site.allow(old, "n1")
        server = site.open("r0", own, binds=True)
        assert _ask(site.open("n1", old), server, own.public, WAIT_S)
        site.allow(new, "n1")
        assert _ask(site.open("n1", new), server, own.public, WAIT_S)
        assert _ask(site.open("n1", old), server, own.public, WAIT_S)
        site.allowed_file.write_text(f"{new.public} n1  # rotated\n")
        late = site.open("n1", old)
        assert not _ask(late, server, own.public, REFUSED_WAIT_S)


def test_key_files_are_private_and_checked() -> None:
    """Keys are written once, for their owner, and damage is named."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.key"
        pair = keys.generate_keys()
        keys.write_keys(path, pair)
        assert path.stat().st_mode & 0o777 == keys.SECRET_FILE_MODE
        assert keys.read_keys(path) == pair
        assert pair.secret not in repr(pair)
        other = path.read_text().replace(pair.public, pair.public[::-1])
        allowed = pathlib.Path(folder) / "allowed"
        allowed.write_text("short n1\n")
        damaged = pathlib.Path(folder) / "damaged"
        damaged.write_text(other)
        for wrong in (
            lambda: keys.write_keys(path, pair),
            lambda: keys.read_keys(damaged),
            lambda: keys.read_keys(allowed),
            lambda: keys.AllowedKeys(allowed),
        ):
            try:
                wrong()
            except errors.SettingsError as error:
                assert folder in error.peer
                continue
            raise AssertionError("nothing was raised")


def test_a_key_may_hold_the_mark_of_a_comment() -> None:
    """Every character of Z85 may stand in a key, also the first."""
    with tempfile.TemporaryDirectory() as folder:
        allowed = pathlib.Path(folder) / "allowed"
        key = "#" * keys.KEY_CHARACTERS
        allowed.write_text(f"# both valid\n\n{key} n1 # old\n")
        assert keys.AllowedKeys(allowed).find_owner(key) == "n1"


load_tests = fixtures.collect(__name__)
