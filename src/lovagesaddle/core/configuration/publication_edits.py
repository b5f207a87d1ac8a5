"""Converts publications to and from edits of the preceding publication.

The log stores a publication as such an edit where possible.
"""

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import document_edits
from lovagesaddle.core.configuration import service_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents


def to_stored_command(
    state: state_lib.State, command: commands.StoredCommand
) -> commands.StoredCommand:
    """Returns `command` in the form in which the log stores it.

    A publication that builds on the newest one becomes an edit of the newest
    one; any other command stays as it is. `from_stored_command` is the inverse.

    Args:
      state: State that the proposing replica has applied. If another
        publication is accepted before `command` is applied, `command`
        conflicts with that publication, both as an edit and as a whole
        publication.
      command: Proposed command.
    """
    if not isinstance(command, commands.PublishServices):
        return command
    if not state.publications or not _is_based_on_newest(state, command):
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
        accounts=delta.unset_if_empty(
            delta.list_changed(
                state.snapshot.accounts or (), command.accounts or ()
            )
        ),
        removed_accounts=delta.unset_if_empty(
            delta.list_removed(
                state.snapshot.accounts or (), command.accounts or ()
            )
        ),
        kinds=command.kinds,
    )


def from_stored_command(
    state: state_lib.State, stored: commands.StoredCommand
) -> commands.Command:
    """Returns the command that a log entry represents.

    Args:
      state: State before the entry.
      stored: Command as the entry stores it.

    Raises:
      errors.ConsensusError: The edit doesn't match the state's document; the
        replica must stop.
    """
    if not isinstance(stored, commands.EditPublication):
        return stored
    if stored.edited != state.publication_version:
        # The edited publication has been superseded. Applying this command
        # only repeats an earlier result or reports a conflict.
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
        document=_apply_document_edit(state.document, stored),
        limits=stored.limits,
        accounts=delta.unset_if_empty(
            delta.merge(
                state.snapshot.accounts or (),
                stored.accounts or (),
                stored.removed_accounts or (),
            )
        ),
        kinds=stored.kinds,
    )


def check_stored_command(
    state: state_lib.State, command: commands.StoredCommand
) -> str:
    """Checks that applying a command would not make replicas stop.

    Args:
      state: State that the proposing replica has applied.
      command: Command that another process asks this replica to propose.

    Returns:
      Why the command must not be proposed; empty if it may be.
    """
    if not isinstance(command, commands.EditPublication):
        return ""
    if command.edited < state.publication_version:
        # A newer publication exists, so the edit will never be applied.
        return ""
    if command.edited > state.publication_version:
        return f"publication {command.edited} is not applied here yet"
    try:
        _apply_document_edit(state.document, command)
    except errors.ConsensusError as error:
        return error.cause
    return ""


def _is_based_on_newest(
    state: state_lib.State, command: commands.PublishServices
) -> bool:
    if command.document is None:
        return command.base_version == state.publication_version
    # After a publication without a document, the stored document, if there is
    # one, has no content.
    return (
        state.document is not None
        and bool(state.document.content)
        and command.document.base_serial == state.document.serial
    )


def _apply_document_edit(
    base: documents.Document | None, stored: commands.EditPublication
) -> documents.Document | None:
    if stored.document is None or base is None:
        return None
    return document_edits.apply_edit(base, stored.document)
