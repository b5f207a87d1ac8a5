"""Tells which additional kinds of routes a deployment has.

The settings of deployments with such a kind don't differ from those of others,
so the first document in force after the founding tells: the kinds that it uses
are the deployment's. Later documents may use no others, until an operator adds
one. The failure it answers: a kind that this deployment's callers don't know
came into force with an edit, and requests of that route ran twice.
"""

from collections.abc import Iterable

import msgspec

from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents

Kinds = tuple[str, ...] | msgspec.UnsetType


def add(kinds: Kinds, added: Iterable[str]) -> Kinds:
    """Returns the kinds with others added, sorted; unset if there is none."""
    return tuple(sorted({*(kinds or ()), *added})) or msgspec.UNSET


def compute_kinds(
    kinds: Kinds,
    in_force: documents.Document | None,
    command: commands.PublishServices,
) -> Kinds:
    """Returns the kinds of the deployment after an accepted publication.

    Args:
      kinds: The kinds before it.
      in_force: The document before it; None if there has never been one.
      command: The publication.
    """
    if in_force is not None:
        return kinds
    return add(kinds, (use.kind for use in command.kinds or ()))


def check_kinds(
    kinds: Kinds,
    in_force: documents.Document | None,
    command: commands.PublishServices,
) -> tuple[str, ...]:
    """Returns a cause for each kind that the deployment doesn't have.

    Args:
      kinds: The kinds of the deployment.
      in_force: The document in force; None if there has never been one.
      command: The publication.
    """
    if in_force is None:
        return ()
    return tuple(
        f'kind "{use.kind}" is not one of this deployment - at `{use.place}`'
        for use in command.kinds or ()
        if use.kind not in (kinds or ())
    )
