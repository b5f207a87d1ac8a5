"""Computes the cost of failures at target size: `python -m bench.capacity`.

Computes versions, bytes and replica majorities for an ordinary day and for
larger losses, from the sizes of the target and from encoded messages of this
package. Nothing is timed; how costs grow with size is measured elsewhere.
"""

import dataclasses
import itertools
import math

import msgspec

from bench import fleet_state
from bench import results
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.membership import change_batcher
from lovagesaddle.core.model import snapshots
from lovagesaddle.settings import schema

NODES = 1_100
FAILURE_DOMAINS = 6
REGIONS = 3
CALLS_PER_S = 110_000
PUBLISHES_PER_DAY = 960
VM_LOSSES_PER_DAY = 4
RESTARTS_PER_DAY = 170
RACK_NODES = 40
CONTROL_VMS = 7
SECONDS_PER_DAY = 86_400
RETURN_WITHIN_S = 30
VERSIONS_PER_LOSS = 3  # expiry, join of the node, join of its server
VERSIONS_PER_RESTART = 4  # drain, leave, join of the node, join of its server


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Placement of control replicas in regions and failure domains.

    Attributes:
      name: Description for the table.
      regions: For each region, the number of replicas in each domain.
    """

    name: str
    regions: tuple[tuple[int, ...], ...]

    @property
    def replicas(self) -> int:
        """Total number of replicas."""
        return sum(sum(region) for region in self.regions)

    @property
    def quorum(self) -> int:
        """Number of replicas that is a majority."""
        return self.replicas // 2 + 1

    def spare_after_domain(self) -> int:
        """Returns the replicas beyond the quorum once a domain is lost.

        The domain is the one with most replicas; a negative number means that
        the quorum is lost.
        """
        worst = max(itertools.chain.from_iterable(self.regions))
        return self.replicas - worst - self.quorum

    def spare_after_region(self) -> int:
        """Returns the replicas beyond the quorum once a region is lost.

        The region is the one with most replicas; a negative number means that
        the quorum is lost.
        """
        worst = max(sum(region) for region in self.regions)
        return self.replicas - worst - self.quorum


PLACEMENTS = (
    Placement(name="3 in 3 domains, 1 region", regions=((1, 1, 1),)),
    Placement(name="5 in 3 domains, 1 region", regions=((2, 2, 1),)),
    Placement(
        name="3 in 6 domains, 3 regions", regions=((1, 0), (1, 0), (1, 0))
    ),
    Placement(
        name="5 in 6 domains, 3 regions", regions=((1, 1), (1, 1), (1, 0))
    ),
    Placement(
        name="7 in 6 domains, 3 regions", regions=((2, 1), (1, 1), (1, 1))
    ),
)


def compute_day() -> results.Sample:
    """Computes the versions of an ordinary day, and bytes for each node."""
    membership = (
        VM_LOSSES_PER_DAY * VERSIONS_PER_LOSS
        + RESTARTS_PER_DAY * VERSIONS_PER_RESTART
    )
    server_bytes = _measure_server_delta()
    service_bytes = _measure_service_delta()
    received_bytes = (
        membership * server_bytes + PUBLISHES_PER_DAY * service_bytes
    )
    return _make_sample(
        "ordinary day",
        results.Figure(
            name="versions", value=membership + PUBLISHES_PER_DAY, unit="1/day"
        ),
        results.Figure(name="delta of a server", value=server_bytes, unit="B"),
        results.Figure(
            name="delta of a service", value=service_bytes, unit="B"
        ),
        results.Figure(
            name="deltas received by a node",
            value=received_bytes / SECONDS_PER_DAY,
            unit="B/s",
            bound=10_000,
        ),
        results.Figure(
            name="calls at a node", value=CALLS_PER_S / NODES, unit="1/s"
        ),
    )


def compute_loss(name: str, nodes: int, domain_nodes: int) -> results.Sample:
    """Computes the cost of the loss and return of nodes.

    Args:
      name: Variant name, which says what is lost.
      nodes: Number of nodes that are lost together.
      domain_nodes: Nodes of the failure domain, of which a share may expire
        at once.
    """
    share = _get_default_expiry_share()
    expired = min(nodes, math.floor(domain_nodes * share))
    server_bytes = _measure_server_delta()
    rejoin_bytes = 2 * nodes * server_bytes
    return _make_sample(
        name,
        results.Figure(name="nodes lost", value=nodes, unit="1"),
        results.Figure(name="nodes expired at once", value=expired, unit="1"),
        results.Figure(
            name=f"versions at most, return within {RETURN_WITHIN_S} s",
            value=min(
                2 * nodes, math.ceil(RETURN_WITHIN_S / change_batcher.BATCH_S)
            ),
            unit="1",
        ),
        results.Figure(
            name="delta bytes of the return, a node",
            value=rejoin_bytes,
            unit="B",
        ),
        results.Figure(
            name="snapshots served in all",
            value=nodes * _measure_snapshot() / 1e6,
            unit="MB",
        ),
    )


def main() -> int:
    """Prints the tables; returns 1 if a bound is exceeded."""
    domain = NODES // FAILURE_DOMAINS
    samples = (
        compute_day(),
        compute_loss("a VM", 1, domain),
        compute_loss("a rack", RACK_NODES, domain),
        compute_loss("a failure domain", domain, domain),
    )
    for sample in samples:
        print(results.format_table((sample,)), end="\n\n")
    print(
        results.format_table(
            _make_placement_sample(placement) for placement in PLACEMENTS
        )
    )
    for breach in results.list_breaches(samples):
        print(f"breach: {breach}")
    return 1 if results.list_breaches(samples) else 0


def _make_placement_sample(placement: Placement) -> results.Sample:
    return _make_sample(
        placement.name,
        results.Figure(name="replicas", value=placement.replicas, unit="1"),
        results.Figure(name="quorum", value=placement.quorum, unit="1"),
        results.Figure(
            name="spare after the worst domain",
            value=placement.spare_after_domain(),
            unit="1",
        ),
        results.Figure(
            name="spare after the worst region",
            value=placement.spare_after_region(),
            unit="1",
        ),
    )


def _make_sample(variant: str, *figures: results.Figure) -> results.Sample:
    return results.Sample(
        experiment="capacity", variant=variant, seed=0, figures=figures
    )


def _measure_server_delta() -> int:
    snapshot = fleet_state.build_snapshot(NODES)
    changed = dataclasses.replace(
        snapshot.servers[0], state=snapshots.ServerState.DRAINING
    )
    target = dataclasses.replace(
        snapshot, version=2, servers=(changed, *snapshot.servers[1:])
    )
    return _measure_delta(snapshot, target)


def _measure_service_delta() -> int:
    snapshot = fleet_state.build_snapshot(NODES)
    changed = dataclasses.replace(snapshot.services[0], revision=2)
    target = dataclasses.replace(
        snapshot, version=2, services=(changed, *snapshot.services[1:])
    )
    return _measure_delta(snapshot, target)


def _measure_delta(
    snapshot: snapshots.Snapshot, target: snapshots.Snapshot
) -> int:
    base = delta.hash_snapshot(snapshot)
    change = delta.compute_delta(base, delta.rehash_snapshot(base, target))
    return len(msgspec.msgpack.encode(change))


def _measure_snapshot() -> int:
    return len(msgspec.msgpack.encode(fleet_state.build_snapshot(NODES)))


def _get_default_expiry_share() -> float:
    fields = {f.name: f for f in dataclasses.fields(schema.ControlSettings)}
    return float(fields["expiry_share"].default)  # type: ignore[arg-type]


if __name__ == "__main__":
    raise SystemExit(main())
