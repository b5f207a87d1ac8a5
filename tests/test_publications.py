"""Tests of publications that the log stores as edits."""

import dataclasses
import random
import zlib

from bench import publication_documents

from lovagesaddle.control import replicated_state
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
    """For any two documents, the splices turn one into the other.

    This includes documents that are not made up of objects in braces.
    """
    for seed in SEEDS:
        source = random.Random(seed)
        base = _draw_content(source)
        target = _mutate(base, source)
        for old, new in ((base, target), (target, base), (b"", target)):
            edit = document_edits.compute_edit(
                _make_document(1, old), _make_document(2, new)
            )
            assert (
                document_edits.apply_edit(_make_document(1, old), edit).content
                == new
            )


def test_splices_of_another_base_stop_the_replica() -> None:
    """An edit is not applied to another document than its base."""
    edit = document_edits.compute_edit(
        _make_document(1, b'{"first": "some route of this document"}'),
        _make_document(2, b'{"first": "some route of this document"}{}'),
    )
    assert edit.splices[0].length
    try:
        document_edits.apply_edit(
            _make_document(1, b'{"x": "another document"}'), edit
        )
    except errors.ConsensusError as error:
        assert "does not follow" in error.cause
    else:
        raise AssertionError("the edit was applied to another document")


def test_edited_publications_lead_to_the_same_state() -> None:
    """A log of edits leads to the same state as a log of whole commands."""
    author = publication_documents.Author(ROUTES)
    whole = state_lib.make_initial_state()
    machine = replicated_state.ReplicatedState()
    for version in range(1, 12):
        if version == 6:
            author.add_routes(ROUTES)
        command = author.write_command()
        whole = state_lib.apply_command(whole, version, command).state
        kind = _apply(machine, command)
        assert kind is not commands.PublishServices or version == 1
        assert machine.state == whole
    assert whole.publication_version == 11


def test_edit_of_a_superseded_publication_is_a_conflict() -> None:
    """Of two edits of the same publication, the second gets a conflict."""
    author = publication_documents.Author(ROUTES)
    machine = replicated_state.ReplicatedState()
    _apply(machine, author.write_command())
    before = machine.state
    first = author.write_command()
    stored = publication_edits.to_stored_command(before, first)
    other = dataclasses.replace(first, publish_id="another")
    late = publication_edits.to_stored_command(before, other)
    assert isinstance(late, commands.EditPublication)
    for command in (stored, late, stored):
        machine.apply(
            (_make_entry(machine, commands.COMMANDS.encode(command)),)
        )
    outcomes = {
        kept.publish_id: kept.result.outcome for kept in machine.state.results
    }
    assert outcomes[other.publish_id] is CONFLICT
    # A resend gets the first result again, also when it is an edit.
    assert outcomes[first.publish_id] is ACCEPTED
    assert machine.state.document == first.document


def test_publication_without_a_base_document_is_whole() -> None:
    """A publication is stored whole if the state has no base to edit."""
    author = publication_documents.Author(ROUTES)
    machine = replicated_state.ReplicatedState()
    first = author.write_command()
    assert _apply(machine, first) is commands.PublishServices
    plain = dataclasses.replace(
        first, publish_id="p", base_version=1, document=None
    )
    assert _apply(machine, plain) is commands.EditPublication
    # The document is gone, but the next serial must still be higher.
    command = author.write_command()
    assert _apply(machine, command) is commands.PublishServices
    assert machine.state.document == command.document
    stale = dataclasses.replace(plain, publish_id="q")
    assert _apply(machine, stale) is commands.PublishServices
    assert machine.state.results[-1].result.outcome is CONFLICT


def test_whole_publications_of_old_logs_are_applied() -> None:
    """A replica replays the log that an earlier release wrote."""
    author = publication_documents.Author(ROUTES)
    machine = replicated_state.ReplicatedState()
    for _ in range(3):
        payload = commands.COMMANDS.encode(author.write_command())
        assert payload[0] == 2
        machine.apply((_make_entry(machine, payload),))
    assert machine.state.serial == 3


def test_packed_command_is_checked() -> None:
    """A large command is compressed and restored; a malformed one is refused.

    Malformed commands are truncated, compressed twice or too large.
    """
    command = publication_documents.Author(4 * ROUTES).write_command()
    payload = command_codec.encode(command)
    assert len(payload) < len(commands.COMMANDS.encode(command)) / 2
    assert command_codec.decode(payload, peer="test") == command
    compressed = zlib.compress(payload)
    twice = commands.COMMANDS.encode(commands.PackedCommand(data=compressed))
    # Decompresses to more than the maximum size.
    bomb = zlib.compress(bytes(command_codec.MAX_UNCOMPRESSED_BYTES + 1))
    huge = commands.COMMANDS.encode(commands.PackedCommand(data=bomb))
    truncated = commands.COMMANDS.encode(
        commands.PackedCommand(data=compressed[:-20])
    )
    for malformed in (payload[:-9], twice, huge, truncated):
        try:
            command_codec.decode(malformed, peer="test")
        except errors.CodecError:
            continue
        raise AssertionError(f"{malformed[:9]!r} was accepted")


def _apply(
    machine: replicated_state.ReplicatedState, command: commands.PublishServices
) -> type[commands.StoredCommand]:
    """Applies `command` and returns the class that the log stored it as."""
    payload = machine.encode_command(command)
    machine.apply((_make_entry(machine, payload),))
    return type(command_codec.decode(payload, peer="test"))


def _make_entry(
    machine: replicated_state.ReplicatedState, payload: bytes
) -> entries_lib.Entry:
    return entries_lib.Entry(
        index=machine.version + 1,
        term=1,
        kind=entries_lib.EntryKind.COMMAND,
        payload=payload,
    )


def _make_document(serial: int, content: bytes) -> documents.Document:
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
