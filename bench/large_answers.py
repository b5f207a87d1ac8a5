"""Peak memory of an owner and an entry while large answers pass.

`python -m bench.large_answers KIND` starts the programs of the platform as
processes on loopback, and for 1, 4 and 16 downloads at a time prints by how
much the peak resident memory (VmHWM) of owner and entry grew over that after
small requests. KIND is `download`, or `idempotent` to pass answers whole.
"""

from concurrent import futures
import json
import pathlib
import re
import sys
import tempfile

from tests import nodes
from tests import platform_stand_in

ANSWER_BYTES = 8_000_000
COUNTS = (1, 4, 16)
WARM_UP_REQUESTS = 200
DEADLINE_MS = 20_000
SLOTS = 16
KB = 1024
PATH = "/guides/"
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


def main(kind: str) -> None:
    """Prints one line for each number of downloads at a time."""
    for count in COUNTS:
        owner_kb, entry_kb, whole = measure(kind, count)
        print(
            f"{kind}: {count} at a time: owner +{owner_kb / KB:.1f} MB,"
            f" entry +{entry_kb / KB:.1f} MB, {whole} of {count} whole"
        )


def measure(kind: str, count: int) -> tuple[int, int, int]:
    """Returns the growth of both peaks in kB, and how many answers came."""
    with (
        tempfile.TemporaryDirectory() as folder,
        platform_stand_in.Platform(pathlib.Path(folder)) as platform,
    ):
        document = json.loads(platform_stand_in.make_document("00000001"))
        rules = document["Listeners"][0]["RouteRules"]
        guides = {
            **rules[1],
            "Name": "guides",
            "RouteKind": kind,
            "Match": {"PathPrefix": PATH},
            "Action": {**rules[1]["Action"], "TimeoutMs": DEADLINE_MS},
        }
        rules.append(guides)
        status = platform.publish(json.dumps(document).encode(), "00000000")
        if status != 200:
            raise RuntimeError(f"the document was answered {status}")
        owner, entry = platform.nodes
        server = platform.open_server(owner, "i-1", SLOTS)
        nodes.wait_for(lambda: platform.is_ready(entry), "the entry")
        outbound = platform.get_outbound(entry)
        nodes.wait_for(lambda: _get(outbound, 0) == 4, "the server")
        for number in range(WARM_UP_REQUESTS):
            _get(outbound, number)
        before = [_read_peak(platform, ip) for ip in (owner, entry)]
        server.body = bytes(ANSWER_BYTES)
        with futures.ThreadPoolExecutor(count) as pool:
            sizes = list(
                pool.map(lambda n: _get(outbound, 1000 + n), range(count))
            )
        after = [_read_peak(platform, ip) for ip in (owner, entry)]
        whole = sum(size == ANSWER_BYTES for size in sizes)
        return after[0] - before[0], after[1] - before[1], whole


def _get(address: str, number: int) -> int:
    """Returns the size of a download; 0 if it failed."""
    try:
        reply = platform_stand_in.ask(
            address,
            f"{number:016x}",
            method="GET",
            path=f"{PATH}{number}",
            body=None,
            deadline_ms=DEADLINE_MS,
        )
    except OSError:
        return 0
    return len(reply.body) if reply.status == 200 else 0


def _read_peak(platform: platform_stand_in.Platform, ip: str) -> int:
    pid = platform.programs[ip].pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    found = _PEAK.search(status)
    assert found is not None
    return int(found[1])


if __name__ == "__main__":
    main(sys.argv[1])
