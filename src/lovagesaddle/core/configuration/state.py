"""Implements the replicated state machine, which applies commands in log order.

Applying a command is deterministic and does no input or output, so all
replicas that have applied the same log have the same state.
"""

import dataclasses

import msgspec

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import digest
from lovagesaddle.core.configuration import membership
from lovagesaddle.core.configuration import references
from lovagesaddle.core.configuration import rollout_changes
from lovagesaddle.core.configuration import route_changes
from lovagesaddle.core.configuration import route_kinds
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots

MAX_PUBLICATIONS = 64
MAX_PUBLISH_RESULTS = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublicationRecord:
    """An accepted publication with its services.

    Attributes:
      publication: Metadata of the publication, as shown in the history.
      services: Complete set of services of the publication.
    """

    publication: operator_messages.Publication
    services: tuple[services.Service, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResultRecord:
    """The result of a publish; a resend of an accepted publish gets it too."""

    publish_id: str
    result: commands.PublishResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """The state that results from applying the replicated log.

    Attributes:
      snapshot: State that is distributed to nodes for routing.
      publications: The newest `MAX_PUBLICATIONS` publications, oldest first.
      results: Results of the newest `MAX_PUBLISH_RESULTS` accepted and as many
        refused publish IDs, oldest first.
      document: Newest published document; None if no publication has had
        one.
      kinds: Additional kinds of routes that this deployment has, sorted; unset
        for none.
    """

    snapshot: snapshots.Snapshot
    publications: tuple[PublicationRecord, ...] = ()
    results: tuple[ResultRecord, ...] = ()
    document: documents.Document | None = None
    kinds: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET

    @property
    def publication_version(self) -> int:
        """Version of the last publication; 0 before the first."""
        if not self.publications:
            return 0
        return self.publications[-1].publication.version

    @property
    def serial(self) -> int:
        """Serial of the newest document; 0 if there has been none."""
        return 0 if self.document is None else self.document.serial


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transition:
    """The outcome of applying one command.

    Attributes:
      state: State after the command.
      result: Result of a PublishServices command; None for other commands.
    """

    state: State
    result: commands.PublishResult | None


def make_initial_state() -> State:
    """Returns the state before the first entry."""
    return State(snapshot=snapshots.Snapshot(cluster_id="", version=0))


def apply_command(
    state: State, version: int, command: commands.Command | None
) -> Transition:
    """Applies the log entry at `version`.

    Args:
      state: State at an earlier version.
      version: Log index of the entry.
      command: Command of the entry; None for the consensus protocol's own
        entries.

    Returns:
      The state at `version`, and the result if the command is a publish.
    """
    match command:
        case commands.FoundCluster():
            snapshot = _advance_snapshot(
                state, version, cluster_id=command.cluster_id
            )
            return _replace_snapshot(state, snapshot)
        case commands.PublishServices():
            return _publish(state, version, command)
        case commands.ChangeMembership():
            changed = membership.change_members(
                state.snapshot, version, command
            )
            return _replace_snapshot(
                state, rollout_changes.add_first_versions(changed)
            )
        case commands.AssignShards():
            return _replace_snapshot(
                state,
                membership.assign_shards(state.snapshot, version, command),
            )
        case commands.AddKind():
            added = dataclasses.replace(
                state, kinds=route_kinds.add(state.kinds, (command.kind,))
            )
            return _replace_snapshot(added, _advance_snapshot(added, version))
        case commands.StartRollout():
            return _replace_snapshot(
                state, rollout_changes.start(state.snapshot, version, command)
            )
        case commands.StepRollout():
            return _replace_snapshot(
                state, rollout_changes.step(state.snapshot, version, command)
            )
        case None:
            return _replace_snapshot(state, _advance_snapshot(state, version))


def _advance_snapshot(
    state: State, version: int, *, cluster_id: str | None = None
) -> snapshots.Snapshot:
    return dataclasses.replace(
        state.snapshot,
        version=version,
        cluster_id=(
            state.snapshot.cluster_id if cluster_id is None else cluster_id
        ),
    )


def _replace_snapshot(state: State, snapshot: snapshots.Snapshot) -> Transition:
    changed = dataclasses.replace(state, snapshot=snapshot)
    return Transition(state=changed, result=None)


def _publish(
    state: State, version: int, command: commands.PublishServices
) -> Transition:
    for earlier in reversed(state.results):
        if earlier.publish_id == command.publish_id and _is_accepted(
            earlier.result
        ):
            unchanged = dataclasses.replace(
                state, snapshot=_advance_snapshot(state, version)
            )
            return Transition(state=unchanged, result=earlier.result)
    result = _check_publish(state, version, command)
    results = _add_result(
        state.results,
        ResultRecord(publish_id=command.publish_id, result=result),
    )
    if not _is_accepted(result):
        refused = dataclasses.replace(
            state, snapshot=_advance_snapshot(state, version), results=results
        )
        return Transition(state=refused, result=result)
    published = _share_routes(state.snapshot.services, command.services)
    accepted = State(
        snapshot=dataclasses.replace(
            state.snapshot,
            version=version,
            services=published,
            limits=command.limits,
            publication=version,
            accounts=delta.unset_if_empty(
                _share_accounts(
                    state.snapshot.accounts or (), command.accounts or ()
                )
            ),
        ),
        publications=(
            *state.publications,
            _make_record(version, command, published),
        )[-MAX_PUBLICATIONS:],
        results=results,
        document=_replace_document(state, command),
        kinds=route_kinds.compute_kinds(state.kinds, state.document, command),
    )
    return Transition(state=accepted, result=result)


def _add_result(
    results: tuple[ResultRecord, ...], added: ResultRecord
) -> tuple[ResultRecord, ...]:
    """Returns the results with one added, without the oldest of its kind.

    Refused publishes may be many and must not displace an accepted one: sent
    again, that would be refused.
    """
    kept = [r for r in results if r.publish_id != added.publish_id]
    is_accepted = _is_accepted(added.result)
    of_kind = [r for r in kept if _is_accepted(r.result) == is_accepted]
    if len(of_kind) >= MAX_PUBLISH_RESULTS:
        kept.remove(of_kind[0])
    return (*kept, added)


def _is_accepted(result: commands.PublishResult) -> bool:
    return result.outcome is commands.PublishOutcome.ACCEPTED


def _replace_document(
    state: State, command: commands.PublishServices
) -> documents.Document | None:
    if command.document is not None or state.document is None:
        return command.document
    # The old content is no longer in force, but the serial of the next document
    # must still be higher than the old document's serial.
    return dataclasses.replace(state.document, content=b"")


def _check_publish(
    state: State, version: int, command: commands.PublishServices
) -> commands.PublishResult:
    if _is_conflict(state, command):
        return _make_conflict(state)
    causes = (
        *_check_serial(state, command),
        *route_kinds.check_kinds(state.kinds, state.document, command),
        *references.check_references(command.services),
    )
    if causes:
        return commands.PublishResult(
            outcome=commands.PublishOutcome.REJECTED, version=0, causes=causes
        )
    return commands.PublishResult(
        outcome=commands.PublishOutcome.ACCEPTED, version=version
    )


def _is_conflict(state: State, command: commands.PublishServices) -> bool:
    if command.document is not None:
        return command.document.base_serial != state.serial
    return command.base_version != state.publication_version


def _check_serial(
    state: State, command: commands.PublishServices
) -> tuple[str, ...]:
    document = command.document
    if document is None or document.serial > state.serial:
        return ()
    return (f"serial {document.serial} is not above {state.serial}",)


def _make_conflict(state: State) -> commands.PublishResult:
    if not state.publications:
        return commands.PublishResult(
            outcome=commands.PublishOutcome.CONFLICT,
            version=0,
            causes=("nothing has been published yet; the base is 0",),
        )
    winner = state.publications[-1].publication
    return commands.PublishResult(
        outcome=commands.PublishOutcome.CONFLICT,
        version=winner.version,
        winner_id=winner.publish_id,
        winner_operator=winner.operator,
        causes=(f"the last publication is version {winner.version}",),
    )


def _make_record(
    version: int,
    command: commands.PublishServices,
    published: tuple[services.Service, ...],
) -> PublicationRecord:
    return PublicationRecord(
        publication=operator_messages.Publication(
            version=version,
            publish_id=command.publish_id,
            operator=command.operator,
            base_version=command.base_version,
            revisions=tuple(
                f"{service.name}={service.revision}"
                for service in command.services
            ),
        ),
        services=published,
    )


def _share_routes(
    old: tuple[services.Service, ...], new: tuple[services.Service, ...]
) -> tuple[services.Service, ...]:
    """Returns `new`, sorted by name, with equal objects taken from `old`."""
    by_name = {service.name: service for service in old}
    shared = (
        route_changes.share_routes(by_name.get(service.name), service)
        for service in new
    )
    return tuple(sorted(shared, key=lambda service: service.name))


def _share_accounts(
    old: tuple[services.ClientAccount, ...],
    new: tuple[services.ClientAccount, ...],
) -> tuple[services.ClientAccount, ...]:
    """Returns `new`, sorted by name, with equal objects taken from `old`."""
    if old == new:
        return old
    by_name = {account.name: account for account in old}
    return tuple(
        known if (known := by_name.get(account.name)) == account else account
        for account in sorted(new, key=lambda account: account.name)
    )


def set_snapshot_publication(state: State) -> State:
    """Returns the state with the publication's version set in its snapshot.

    States that were stored by an earlier release don't have it there.
    """
    if state.snapshot.publication == state.publication_version:
        return state
    snapshot = dataclasses.replace(
        state.snapshot, publication=state.publication_version
    )
    return dataclasses.replace(state, snapshot=snapshot)


def rehash_state(
    base: delta.HashedSnapshot, state: State
) -> delta.HashedSnapshot:
    """Returns the state's snapshot with its digest.

    The digest is updated from the digest of `base`.
    """
    return delta.rehash_snapshot(base, state.snapshot)


def make_initial_snapshot() -> delta.HashedSnapshot:
    """Returns the snapshot before the first entry, with its digest."""
    return delta.HashedSnapshot(
        snapshot=make_initial_state().snapshot, accumulator=digest.Accumulator()
    )
