"""Publications as edits of the one before, as the log carries them."""

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import document_edits
from lovagesaddle.core.configuration import service_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents


def to_stored_command(
    state: state_lib.State, command: commands.StoredCommand
) -> commands.StoredCommand:
    """Returns what `from_stored_command` turns back into `command`.

    Args:
      state: State that the proposing replica has applied. If another
        publication is accepted before the command is, the command has been
        overtaken, as an edit no less than as a whole.
      command: What is proposed.
    """
    if not isinstance(command, commands.PublishServices):
        return command
    if not state.publications or not _builds_on_newest(state, command):
        return command
    newest = state.publications[-1]
    document = None
    if command.document is not None and state.document is not None:
        document = document_edits.compute_edit(state.document, command.document)
    return commands.EditPublication(
        publish_id=command.publish_id,
        operator=command.operator,
        base_version=command.base_version,
        edited=newest.publication.version,
        services=service_edits.compute_edit(newest.services, command.services),
        document=document,
        limits=command.limits,
    )


def from_stored_command(
    state: state_lib.State, stored: commands.StoredCommand
) -> commands.Command:
    """Returns the command that an entry of the log stands for.

    Args:
      state: State before the entry.
      stored: What the entry carries.

    Raises:
      errors.ConsensusError: The log doesn't follow from the state; the
        replica must stop.
    """
    if not isinstance(stored, commands.EditPublication):
        return stored
    if stored.edited != state.publication_version:
        # Applying this only repeats an answer or names the winner.
        return commands.PublishServices(
            publish_id=stored.publish_id,
            operator=stored.operator,
            base_version=stored.edited,
            services=(),
        )
    base = state.publications[-1].services
    return commands.PublishServices(
        publish_id=stored.publish_id,
        operator=stored.operator,
        base_version=stored.base_version,
        services=service_edits.apply_edit(base, stored.services),
        document=_expand_document(state.document, stored),
        limits=stored.limits,
    )


def check_stored_command(
    state: state_lib.State, command: commands.StoredCommand
) -> str:
    """Returns why a command would stop replicas; empty when it would not.

    Args:
      state: State that the proposing replica has applied.
      command: What another process wants to have proposed.
    """
    if not isinstance(command, commands.EditPublication):
        return ""
    if command.edited < state.publication_version:
        # It has been overtaken for good, so it is not carried out.
        return ""
    if command.edited > state.publication_version:
        return f"publication {command.edited} is not applied here yet"
    try:
        _expand_document(state.document, command)
    except errors.ConsensusError as error:
        return error.cause
    return ""


def _builds_on_newest(
    state: state_lib.State, command: commands.PublishServices
) -> bool:
    if command.document is None:
        return command.base_version == state.publication_version
    # Without content, a later publication brought none.
    return (
        state.document is not None
        and bool(state.document.content)
        and command.document.base_serial == state.document.serial
    )


def _expand_document(
    base: documents.Document | None, stored: commands.EditPublication
) -> documents.Document | None:
    if stored.document is None or base is None:
        return None
    return document_edits.apply_edit(base, stored.document)
