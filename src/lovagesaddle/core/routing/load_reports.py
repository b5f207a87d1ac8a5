"""Load reports that an owner sends about its server with each answer."""

import dataclasses

import msgspec

LOAD_HEADER = "Owner-Load"
FIELD_COUNT = 7
MAX_FIELD_DIGITS = 12
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of a backend server as its owner sees it.

    Attributes:
      running: Number of requests in progress.
      queued: Number of requests that wait for a slot.
      limit: Number of requests that the owner runs at a time now.
      latency_s: Recent mean run time, in seconds; 0 when unknown.
      draining: Whether the owner refuses all new requests.
      link_wait_s: Expected time that a large body waits for the inbound link
        of the owner, in seconds.
      start_wait_s: Time until the rate that the server states allows another
        request to start, in seconds; 0 without such a limit.
      slowdown: Factor by which work takes longer there now than usual; unset
        if the server doesn't tell.
      usual_run_s: Usual run time of the kind of the request that is answered
        with this report, in seconds; unset as `slowdown` is, or if unknown.
    """

    running: int
    queued: int
    limit: int
    latency_s: float
    draining: bool = False
    link_wait_s: float = 0.0
    start_wait_s: float = 0.0
    slowdown: float | msgspec.UnsetType = msgspec.UNSET
    usual_run_s: float | msgspec.UnsetType = msgspec.UNSET


def format_load_report(report: LoadReport) -> str:
    """Returns the value of the Owner-Load header."""
    latency_us = int(report.latency_s * US_PER_S)
    return (
        f"{report.running},{report.queued},{report.limit},"
        f"{latency_us},{int(report.draining)},"
        f"{int(report.link_wait_s * US_PER_S)},"
        f"{int(report.start_wait_s * US_PER_S)}"
    )


def parse_load_report(value: str) -> LoadReport | None:
    """Parses the value of an Owner-Load header; None if it is malformed.

    The header is only a hint, so a malformed one is not an error.
    """
    fields = value.split(",")
    if len(fields) != FIELD_COUNT:
        return None
    if not all(
        field.isascii() and field.isdigit() and len(field) <= MAX_FIELD_DIGITS
        for field in fields
    ):
        return None
    running, queued, limit, latency_us, draining, link_us, start_us = map(
        int, fields
    )
    return LoadReport(
        running=running,
        queued=queued,
        limit=limit,
        latency_s=latency_us / US_PER_S,
        draining=draining == 1,
        link_wait_s=link_us / US_PER_S,
        start_wait_s=start_us / US_PER_S,
    )
