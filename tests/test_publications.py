"""Tests of publications that the log carries as edits."""

import dataclasses
import random
import zlib

from bench import publication_documents

from lovagesaddle.control import machine as machine_lib
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import command_codec
from lovagesaddle.core.configuration import document_edits
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from tests import fixtures

ROUTES = 24
SEEDS = range(80)
CONFLICT = commands.PublishOutcome.CONFLICT
ACCEPTED = commands.PublishOutcome.ACCEPTED


def test_splices_give_exactly_the_target() -> None:
    """Any two documents, of objects or not, differ by some splices."""
    for seed in SEEDS:
        source = random.Random(seed)
        base = _draw_content(source)
        target = _mutate(base, source)
        for old, new in ((base, target), (target, base), (b"", target)):
            edit = document_edits.compute_edit(
                _document(1, old), _document(2, new)
            )
            assert (
                document_edits.apply_edit(_document(1, old), edit).content
                == new
            )


def test_splices_of_another_base_stop_the_replica() -> None:
    """An edit is not applied to a document that it was not made from."""
    edit = document_edits.compute_edit(
        _document(1, b'{"first": "some route of this document"}'),
        _document(2, b'{"first": "some route of this document"}{}'),
    )
    assert edit.splices[0].length
    try:
        document_edits.apply_edit(
            _document(1, b'{"x": "another document"}'), edit
        )
    except errors.ConsensusError as error:
        assert "does not follow" in error.cause
    else:
        raise AssertionError("it was applied")


def test_edited_publications_lead_to_the_same_state() -> None:
    """A log of edits gives the very state that whole commands give."""
    author = publication_documents.Author(ROUTES)
    whole = state_lib.make_initial_state()
    machine = machine_lib.Machine()
    for version in range(1, 12):
        if version == 6:
            author.add_routes(ROUTES)
        command = author.write_command()
        whole = state_lib.apply_command(whole, version, command).state
        kind = _apply(machine, command)
        assert kind is not commands.PublishServices or version == 1
        assert machine.state == whole
    assert whole.publication_version == 11


def test_edit_that_was_overtaken_is_a_conflict() -> None:
    """Of two changes of the same publication the second one is refused."""
    author = publication_documents.Author(ROUTES)
    machine = machine_lib.Machine()
    _apply(machine, author.write_command())
    before = machine.state
    first = author.write_command()
    stored = publication_edits.to_stored_command(before, first)
    other = dataclasses.replace(first, publish_id="another")
    late = publication_edits.to_stored_command(before, other)
    assert isinstance(late, commands.EditPublication)
    for command in (stored, late, stored):
        machine.apply((_entry(machine, commands.COMMANDS.encode(command)),))
    outcomes = {
        kept.publish_id: kept.result.outcome for kept in machine.state.results
    }
    assert outcomes[other.publish_id] is CONFLICT
    # A resend is answered as the first time, also as an edit.
    assert outcomes[first.publish_id] is ACCEPTED
    assert machine.state.document == first.document


def test_publication_without_a_base_document_is_whole() -> None:
    """What an edit can't be made from is never named as its base."""
    author = publication_documents.Author(ROUTES)
    machine = machine_lib.Machine()
    first = author.write_command()
    assert _apply(machine, first) is commands.PublishServices
    plain = dataclasses.replace(
        first, publish_id="p", base_version=1, document=None
    )
    assert _apply(machine, plain) is commands.EditPublication
    # The document in force is gone, but its serial counts on.
    command = author.write_command()
    assert _apply(machine, command) is commands.PublishServices
    assert machine.state.document == command.document
    stale = dataclasses.replace(plain, publish_id="q")
    assert _apply(machine, stale) is commands.PublishServices
    assert machine.state.results[-1].result.outcome is CONFLICT


def test_whole_publications_of_old_logs_are_applied() -> None:
    """A replica that is updated replays the log that it left."""
    author = publication_documents.Author(ROUTES)
    machine = machine_lib.Machine()
    for _ in range(3):
        payload = commands.COMMANDS.encode(author.write_command())
        assert payload[0] == 2
        machine.apply((_entry(machine, payload),))
    assert machine.state.serial == 3


def test_packed_command_is_checked() -> None:
    """A large command survives being packed; a malformed one is an error."""
    command = publication_documents.Author(4 * ROUTES).write_command()
    payload = command_codec.encode(command)
    assert len(payload) < len(commands.COMMANDS.encode(command)) / 2
    assert command_codec.decode(payload, peer="test") == command
    packed = zlib.compress(payload)
    twice = commands.COMMANDS.encode(commands.PackedCommand(data=packed))
    # Room for anything, packed.
    bomb = zlib.compress(bytes(command_codec.MAX_UNCOMPRESSED_BYTES + 1))
    huge = commands.COMMANDS.encode(commands.PackedCommand(data=bomb))
    cut = commands.COMMANDS.encode(commands.PackedCommand(data=packed[:-20]))
    for malformed in (payload[:-9], twice, huge, cut):
        try:
            command_codec.decode(malformed, peer="test")
        except errors.CodecError:
            continue
        raise AssertionError(f"{malformed[:9]!r} was taken")


def _apply(
    machine: machine_lib.Machine, command: commands.PublishServices
) -> type[commands.StoredCommand]:
    """Returns the class of what the log carried."""
    payload = machine.encode_command(command)
    machine.apply((_entry(machine, payload),))
    return type(command_codec.decode(payload, peer="test"))


def _entry(machine: machine_lib.Machine, payload: bytes) -> entries_lib.Entry:
    return entries_lib.Entry(
        index=machine.version + 1,
        term=1,
        kind=entries_lib.EntryKind.COMMAND,
        payload=payload,
    )


def _document(serial: int, content: bytes) -> documents.Document:
    return documents.Document(
        serial=serial, base_serial=serial - 1, content=content
    )


def _draw_content(source: random.Random) -> bytes:
    words = (b"{", b"}", b"},{", b'"a": ', b"route-", b"x" * 40, b"\n", b"}}")
    count = source.randrange(200)
    return b"".join(source.choice(words) for _ in range(count))


def _mutate(base: bytes, source: random.Random) -> bytes:
    content = bytearray(base)
    for _ in range(source.randrange(6)):
        at = source.randrange(len(content) + 1)
        until = at + source.randrange(120)
        content[at:until] = _draw_content(source)[: source.randrange(90)]
    return bytes(content)


load_tests = fixtures.collect(__name__)
