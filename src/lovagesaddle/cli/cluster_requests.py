"""Operations on the cluster that several commands of the CLI share.

Each function builds its requests and sends them with a client of `client`.
"""

from collections.abc import Callable
import dataclasses
import time

import msgspec

from lovagesaddle.cli import client as client_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services

POLL_INTERVAL_S = 0.1

Client = client_lib.Client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """Progress of the distribution of a version.

    Attributes:
      version: Version that is waited for.
      in_force_version: Lowest version that a reporting node has installed.
      node_count: Nodes of the snapshot; 0 while no replica answers.
      lagging: Nodes with an older version; the list is capped.
      in_force: Whether every node has installed the version.
    """

    version: int
    in_force_version: int
    node_count: int
    lagging: tuple[str, ...]
    in_force: bool


def fetch_base_version(client: Client) -> client_lib.Answer[int]:
    """Returns the version of the last publication; 0 before the first.

    Only the leader can answer, after confirmation by a majority: every publish
    based on an older version from a lagging replica would conflict.
    """
    request = operator_messages.NewestRequest(
        request_id=client_lib.UNASSIGNED_ID
    )
    answer = client.write(request, operator_messages.NewestAnswer)
    return answer.map(lambda newest: newest.publication_version)


def fetch_status(
    client: Client,
) -> client_lib.Answer[operator_messages.StatusAnswer]:
    """Returns the least stale status of the cluster."""
    return client.read(
        operator_messages.StatusRequest(request_id=client_lib.UNASSIGNED_ID),
        operator_messages.StatusAnswer,
    )


def fetch_services(
    client: Client, version: int
) -> client_lib.Answer[operator_messages.ServicesAnswer]:
    """Returns the services of a publication; version 0 is the last one."""
    return client.read(
        operator_messages.ServicesRequest(
            request_id=client_lib.UNASSIGNED_ID, version=version
        ),
        operator_messages.ServicesAnswer,
    )


def publish_services(
    client: Client,
    published: tuple[services.Service, ...],
    *,
    publish_id: str,
    base_version: int,
    accounts: tuple[services.ClientAccount, ...] = (),
) -> client_lib.Answer[commands.PublishResult]:
    """Sends services and accounts to the leader and returns the result.

    On failure the outcome is unknown: to learn it, the same publish ID, base,
    services and accounts must be sent again.
    """
    command = commands.PublishServices(
        publish_id=publish_id,
        operator=client.settings.operator,
        base_version=base_version,
        services=published,
        accounts=accounts or msgspec.UNSET,
    )
    request = operator_messages.PublishRequest(
        request_id=client_lib.UNASSIGNED_ID, command=command
    )
    answer = client.write(request, operator_messages.PublishAnswer)
    return answer.map(lambda answered: answered.result)


def has_different_content(
    client: Client, version: int, published: tuple[services.Service, ...]
) -> bool:
    """Returns whether the publication at `version` is known to differ."""
    found = fetch_services(client, version).value_or(None)
    return found is not None and found.found and found.services != published


def wait_in_force(
    client: Client,
    version: int,
    *,
    timeout_s: float,
    report: Callable[[Progress], None],
) -> Progress:
    """Waits until every node has installed `version`, at most `timeout_s`.

    Args:
      client: Client connected to the replicas.
      version: Version to wait for.
      timeout_s: Longest wait in seconds.
      report: Called whenever the progress has changed.
    """
    deadline = time.monotonic() + timeout_s
    last = None
    while True:
        progress = _fetch_progress(client, version)
        if progress != last:
            report(progress)
            last = progress
        if progress.in_force or time.monotonic() >= deadline:
            return progress
        time.sleep(POLL_INTERVAL_S)


def _fetch_progress(client: Client, version: int) -> Progress:
    status = fetch_status(client).value_or(None)
    if status is None:
        return Progress(
            version=version,
            in_force_version=0,
            node_count=0,
            lagging=(),
            in_force=False,
        )
    return Progress(
        version=version,
        in_force_version=status.in_force_version,
        node_count=status.node_count,
        lagging=status.lagging,
        in_force=status.in_force_version >= version and status.stale_s == 0,
    )
