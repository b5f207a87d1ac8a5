"""Peak memory of nodes whose backend servers send bodies without end.

`python -m bench.endless_bodies KIND --callers 6` starts the programs of the
platform as processes on loopback: three nodes on VMs of 150 MB, with a backend
server each. Some callers ask for answers whose bodies never end, six others
for sound ones, for 15 s. Prints the peak resident memory (VmHWM) of each node
and how many sound answers came. KIND is how the bodies are framed: `unframed`,
`chunked`, `length` or `not-run`, a refusal whose body has no length.
"""

import argparse
import collections
from concurrent import futures
import dataclasses
import functools
import itertools
import pathlib
import re
import tempfile
import time

from tests import nodes
from tests import platform_stand_in

NODES = 3
SLOTS = 18
SOUND_CALLERS = 6
PLAY_S = 15.0
SOUND_GAP_S = 0.05
KB = 1024
ENDLESS_PATH = "/proofs/endless/"
PIECE = b"x" * (64 * KB)
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")
SCRIPTS = {
    "unframed": platform_stand_in.Endless(status=200, headers={}, piece=PIECE),
    "chunked": platform_stand_in.Endless(
        status=200, headers={"Transfer-Encoding": "chunked"}, piece=CHUNK
    ),
    # Less than the budget that one answer gets on an idle node.
    "length": platform_stand_in.Endless(
        status=200, headers={"Content-Length": "8000000"}, piece=PIECE
    ),
    "not-run": platform_stand_in.Endless(
        status=503, headers={platform_stand_in.NOT_RUN: "1"}, piece=PIECE
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What was seen.

    Attributes:
      peaks_mb: Peak resident memory of each node, in MB.
      idle_mb: The same before the first endless answer.
      sound: How many requests for sound answers got each status.
      endless: The same for the other requests.
    """

    peaks_mb: tuple[float, ...]
    idle_mb: tuple[float, ...]
    sound: dict[int, int]
    endless: dict[int, int]


def play(
    script: platform_stand_in.Endless, callers: int, play_s: float = PLAY_S
) -> Outcome:
    """Plays some seconds of endless answers beside sound ones."""
    with (
        tempfile.TemporaryDirectory() as folder,
        platform_stand_in.Platform(pathlib.Path(folder), NODES) as platform,
        futures.ThreadPoolExecutor(callers + SOUND_CALLERS) as pool,
    ):
        servers = [
            platform.open_server(ip, f"i-{number}", SLOTS)
            for number, ip in enumerate(platform.nodes)
        ]
        for server in servers:
            server.endless = {ENDLESS_PATH: script}
        document = platform_stand_in.make_document("00000001")
        if platform.publish(document, "00000000") != 200:
            raise AssertionError("the document was refused")
        for ip in platform.nodes:
            nodes.wait_for(functools.partial(_is_served, platform, ip), ip)
        idle = tuple(_read_peak(platform, ip) for ip in platform.nodes)
        until = time.monotonic() + play_s
        endless = [
            pool.submit(
                _repeat, platform, number, "/proofs/endless/", 0.0, until
            )
            for number in range(callers)
        ]
        sound = [
            pool.submit(
                _repeat, platform, number, "/proofs/", SOUND_GAP_S, until
            )
            for number in range(SOUND_CALLERS)
        ]
        futures.wait((*endless, *sound))
        return Outcome(
            peaks_mb=tuple(_read_peak(platform, ip) for ip in platform.nodes),
            idle_mb=idle,
            sound=_count(sound),
            endless=_count(endless),
        )


def _repeat(
    platform: platform_stand_in.Platform,
    number: int,
    path: str,
    gap_s: float,
    until: float,
) -> list[int]:
    """Sends one request after the other; returns their statuses."""
    statuses: list[int] = []
    ip = platform.nodes[number % NODES]
    while time.monotonic() < until:
        statuses.append(_get(platform, ip, f"{number}-{len(statuses)}", path))
        time.sleep(gap_s)
    return statuses


def _is_served(platform: platform_stand_in.Platform, ip: str) -> bool:
    return _get(platform, ip, "ready") == 200


def _count(calls: list[futures.Future[list[int]]]) -> dict[int, int]:
    return dict(
        collections.Counter(itertools.chain(*(each.result() for each in calls)))
    )


def _get(
    platform: platform_stand_in.Platform,
    ip: str,
    name: str,
    path: str = "/proofs/",
) -> int:
    """Returns the status of an answer; 0 if none came."""
    try:
        return platform_stand_in.ask(
            platform.get_outbound(ip),
            f"{ip}{path}{name}",
            method="GET",
            path=f"{path}{name}",
            body=None,
        ).status
    except OSError:
        return 0


def _read_peak(platform: platform_stand_in.Platform, ip: str) -> float:
    """Returns the peak resident memory of a node, in MB."""
    pid = platform.programs[ip].pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    found = _PEAK.search(status)
    assert found is not None, status
    return int(found[1]) / KB


def main() -> None:
    """Plays one kind of endless answers and prints what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=sorted(SCRIPTS))
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    outcome = play(SCRIPTS[options.kind], options.callers)
    peaks = ", ".join(f"{each:.0f}" for each in outcome.peaks_mb)
    idle = ", ".join(f"{each:.0f}" for each in outcome.idle_mb)
    print(
        f"{options.kind}: {options.callers} callers, peaks {peaks} MB"
        f" (idle {idle}), sound {outcome.sound}, endless {outcome.endless}"
    )


if __name__ == "__main__":
    main()
