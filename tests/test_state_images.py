"""Tests of the encoding of the replicated state."""

from bench import publication_documents
import msgspec

from lovagesaddle.control import replicated_state
from lovagesaddle.control import state_images
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.consensus import entries as entries_lib
from tests import fixtures

ROUTES = 40
MANY_ROUTES = 1_600
PUBLICATIONS = state_lib.MAX_PUBLICATIONS + 6


def test_state_survives_an_image() -> None:
    """A decoded image equals the encoded state, with its publications."""
    state = _publish(PUBLICATIONS)
    assert len(state.publications) == state_lib.MAX_PUBLICATIONS
    assert state_images.decode_state(state_images.encode_state(state)) == state
    nothing = state_lib.make_initial_state()
    data = state_images.encode_state(nothing)
    assert state_images.decode_state(data) == nothing


def test_image_of_an_earlier_release_is_read() -> None:
    """An upgraded replica restores an image of an earlier release."""
    state = _publish(3)
    old = msgspec.msgpack.encode(state)
    machine = replicated_state.ReplicatedState()
    machine.restore(entries_lib.Image(index=3, term=1, data=old))
    assert machine.state == state


def test_image_holds_what_changed_between_publications() -> None:
    """The history of many small changes takes less space than the state."""
    once = len(state_images.encode_state(_publish(1, MANY_ROUTES)))
    often = len(state_images.encode_state(_publish(PUBLICATIONS, MANY_ROUTES)))
    assert often < 2 * once


def test_malformed_image_stops_the_replica() -> None:
    """A malformed image raises an error that stops the replica.

    A CodecError would be handled by dropping a message.
    """
    whole = state_images.encode_state(_publish(2))
    old = msgspec.msgpack.encode(_publish(2))
    for data in (b"", b"\x01", b"\x07" + whole[1:], whole[:-9], old[:-9]):
        machine = replicated_state.ReplicatedState()
        try:
            machine.restore(entries_lib.Image(index=2, term=1, data=data))
        except errors.ConsensusError as error:
            assert error.step == "decode snapshot"
        else:
            raise AssertionError(f"{data[:2]!r} was accepted")


def _publish(count: int, routes: int = ROUTES) -> state_lib.State:
    author = publication_documents.Author(routes)
    state = state_lib.make_initial_state()
    for version in range(1, count + 1):
        command = author.write_command()
        state = state_lib.apply_command(state, version, command).state
    return state


load_tests = fixtures.collect(__name__)
