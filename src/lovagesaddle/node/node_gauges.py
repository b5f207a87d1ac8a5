"""Gauges of a node on its metrics address."""

from collections.abc import Callable

from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import metrics as metrics_lib

UNPROVED_AGE_S = -1.0


def register_gauges(
    metrics: metrics_lib.Metrics,
    *,
    read_version: Callable[[], int],
    proofs: table_proofs.TableProofs,
    control: ports.ControlPort,
    owner: owner_lib.Owner,
) -> None:
    """Registers what a node knows, and what its local server gets.

    Args:
      metrics: Metrics of the process.
      read_version: Returns the version of the routing table; 0 for none.
      proofs: Proofs of the age of the routing table.
      control: Control thread, which counts its traffic.
      owner: Sends requests to the local backend server.
    """

    def read_table_age() -> float:
        age_s = proofs.compute_age()
        return UNPROVED_AGE_S if age_s is None else age_s

    metrics.set_gauge(
        "table_version",
        "Version of the routing table; 0 for none.",
        read_version,
    )
    metrics.set_gauge(
        "table_age_seconds",
        "How old the routing table may be; -1 if nothing proves it.",
        read_table_age,
    )
    metrics.set_gauge(
        "control_bytes_total",
        "Bytes of configuration traffic, both ways.",
        lambda: control.control_bytes,
        kind="counter",
    )
    metrics.set_gauge(
        "server_requests_total",
        "Requests sent to the local backend server.",
        lambda: owner.sent,
        kind="counter",
    )
    metrics.set_gauge(
        "held_answers",
        "Large answers whose rest other nodes have not asked for yet.",
        lambda: owner.held.count,
    )
    metrics.set_gauge(
        "answer_link_wait_seconds",
        "Time that the outbound link needs for the large answers held now.",
        lambda: owner.answer_wait_s,
    )
    metrics.set_gauge(
        "server_rate_limit",
        "Requests a second that the local backend server takes from"
        " all nodes; -1 if it states no limit.",
        lambda: owner.rate_limit,
    )
    metrics.set_gauge(
        "server_slowdown",
        "How much longer than usual work takes at the local backend server,"
        " as it last told; -1 if it doesn't tell.",
        lambda: owner.slowdown,
    )
    metrics.set_gauge(
        "server_slots_held_back",
        "Slots left free as the local backend server makes requests wait.",
        lambda: owner.held_back,
    )
    metrics.set_gauge(
        "server_expected_late_total",
        "Requests refused as another backend server may answer in time.",
        lambda: owner.expected_late,
        kind="counter",
    )
