"""Tests of encrypted links and of the allowed keys."""

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


class EncryptedEndpoints:
    """Opens endpoints with keys, each with its own context."""

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
        """Opens an endpoint with a key pair."""
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
    """Links with an unknown, a missing or a wrong server key carry nothing."""
    with contextlib.ExitStack() as stack:
        endpoints = EncryptedEndpoints(stack)
        pairs = [keys.generate_keys() for _ in range(3)]
        endpoints.allow(pairs[1], "n1")
        server = endpoints.open("r0", pairs[0], binds=True)
        allowed_client = endpoints.open("n1", pairs[1])
        public = pairs[0].public
        (asked,) = _ask(allowed_client, server, public, WAIT_S)
        assert (asked.sender_id, asked.data) == ("n1", b"\x01ask")
        unknown = endpoints.open("n1", pairs[2])
        assert not _ask(unknown, server, public, REFUSED_WAIT_S)
        plain = stack.enter_context(
            endpoint.Endpoint(
                context=stack.enter_context(zmq.Context()), own_id="n1"
            )
        )
        assert not _ask(plain, server, public, REFUSED_WAIT_S)
        mismatched = endpoints.open("n1", pairs[1])
        wrong = pairs[2].public
        assert not _ask(mismatched, server, wrong, REFUSED_WAIT_S)


def test_a_key_authenticates_its_own_process_only() -> None:
    """A message whose sender does not own the link's key is dropped."""
    with contextlib.ExitStack() as stack:
        endpoints = EncryptedEndpoints(stack)
        pairs = [keys.generate_keys() for _ in range(2)]
        endpoints.allow(pairs[1], "n1")
        server = endpoints.open("r0", pairs[0], binds=True)
        for name, is_received in (("n1", True), ("n1/x", True), ("n2", False)):
            client = endpoints.open(name, pairs[1])
            wait_s = WAIT_S if is_received else REFUSED_WAIT_S
            messages = _ask(client, server, pairs[0].public, wait_s)
            assert bool(messages) is is_received, name


def test_two_keys_are_valid_during_a_rotation() -> None:
    """A key added to the file of a running server is accepted at once."""
    with contextlib.ExitStack() as stack:
        endpoints = EncryptedEndpoints(stack)
        old, new, own = (keys.generate_keys() for _ in range(3))
        endpoints.allow(old, "n1")
        server = endpoints.open("r0", own, binds=True)
        assert _ask(endpoints.open("n1", old), server, own.public, WAIT_S)
        endpoints.allow(new, "n1")
        assert _ask(endpoints.open("n1", new), server, own.public, WAIT_S)
        assert _ask(endpoints.open("n1", old), server, own.public, WAIT_S)
        endpoints.allowed_file.write_text(f"{new.public} n1  # rotated\n")
        late = endpoints.open("n1", old)
        assert not _ask(late, server, own.public, REFUSED_WAIT_S)


def test_key_files_are_private_and_checked() -> None:
    """Key files are readable by their owner only and checked when read.

    They are not overwritten, and errors name the file.
    """
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
    """A key may start with the comment character, which is valid in Z85."""
    with tempfile.TemporaryDirectory() as folder:
        allowed = pathlib.Path(folder) / "allowed"
        key = "#" * keys.KEY_CHARACTERS
        allowed.write_text(f"# both valid\n\n{key} n1 # old\n")
        assert keys.AllowedKeys(allowed).find_owner(key) == "n1"


load_tests = fixtures.collect(__name__)
