"""Tests of how long versions take while parents die one after another."""

from lovagesaddle.core.distribution import relay_tree
from tests import fixtures
from tests import mesh as mesh_lib

DOMAIN = "a"
NODES = 28
REPLICAS = 6
# Limit for an accepted version to be in force at every node that runs.
IN_FORCE_S = 2.0
# Operators publish again as soon as their last publication is answered.
PUBLISH_GAP_S = 0.45
DEATH_GAP_S = 1.0
DEATHS = 4
STORM_S = 9.0
REST_S = 10.0
# Heartbeats, their answers and checks of children and parents.
MOST_TICKS_PER_S = 8
SETTLE_S = 6.0


def _start() -> mesh_lib.Mesh:
    mesh = mesh_lib.Mesh(replica_count=REPLICAS, is_paced=True)
    mesh.add_nodes(NODES, DOMAIN)
    mesh.run(4)
    mesh.run_until_converged()
    return mesh


def _list_parents(mesh: mesh_lib.Mesh) -> list[str]:
    """Returns the nodes that are parents of others, by name."""
    tree = relay_tree.RelayTree(mesh.state.snapshot.nodes)
    return sorted(node.node_id for node in tree.roots)


def _list_candidates(mesh: mesh_lib.Mesh) -> list[str]:
    """Returns the nodes that one node prefers as parents, best first."""
    tree = relay_tree.RelayTree(mesh.state.snapshot.nodes)
    child = min(set(mesh.nodes) - {root.node_id for root in tree.roots})
    return [node.node_id for node in tree.rank_parents(child)]


def _measure_lags(
    mesh: mesh_lib.Mesh, deaths: list[tuple[float, str]]
) -> list[float]:
    """Publishes in quick succession while nodes or replicas die.

    Args:
      mesh: Converged mesh.
      deaths: Times after the start, in virtual seconds, and process IDs.

    Returns:
      How long each version took to be in force at every node that runs.
    """
    start = mesh.now
    accepted: dict[int, float] = {}
    lags: dict[int, float] = {}
    next_publication_at = start
    while mesh.now < start + STORM_S + SETTLE_S:
        while deaths and mesh.now >= start + deaths[0][0]:
            mesh.kill(deaths.pop(0)[1])
        if next_publication_at <= mesh.now < start + STORM_S:
            next_publication_at = mesh.now + PUBLISH_GAP_S
            accepted[mesh.publish(f"s{len(accepted)}")] = mesh.now
        mesh.run(mesh_lib.TICK_S)
        lowest = min(mesh.get_versions().values())
        for version, moment in accepted.items():
            if version <= lowest and version not in lags:
                lags[version] = mesh.now - moment
    assert len(lags) == len(accepted), (len(lags), len(accepted))
    return list(lags.values())


def test_parents_that_die_in_turn_delay_no_version() -> None:
    """Nodes whose parents and their replacements die keep up with versions.

    A node that tried one dead candidate after another, and waited for
    heartbeats of each, stayed behind for as long as all of them together.
    """
    mesh = _start()
    parents = _list_parents(mesh)[:DEATHS]
    deaths = [(turn * DEATH_GAP_S, name) for turn, name in enumerate(parents)]
    lags = _measure_lags(mesh, deaths)
    assert max(lags) <= IN_FORCE_S, max(lags)


def test_candidates_that_die_at_once_delay_no_version() -> None:
    """A node loses all parents that it would choose before a replica."""
    mesh = _start()
    deaths = [(0.0, name) for name in _list_candidates(mesh)[:DEATHS]]
    lags = _measure_lags(mesh, deaths)
    assert max(lags) <= IN_FORCE_S, max(lags)


def test_nodes_without_news_rest_between_heartbeats() -> None:
    """A node that waits for nothing ticks a few times a second only.

    Hundreds of idle nodes spend their processors on ticks otherwise.
    """
    mesh = _start()
    for node in mesh.nodes.values():
        node.ticks = 0
    mesh.run(REST_S)
    most = max(node.ticks for node in mesh.nodes.values())
    assert most <= MOST_TICKS_PER_S * REST_S, most


load_tests = fixtures.collect(__name__)
