"""An unknown kind of route is accepted, and its requests run twice.

`PROTOCOL.md` names the kinds `idempotent`, `non_idempotent` and `upload`. A
configuration with the kind `download` is acknowledged and put in force, and
its requests are repeated like idempotent ones when an answer is lost.
"""

import collections
import pathlib
import sys
import time

import stand_ins

HOST = "desk.example"
SERVICE = "alpha"
HEARTBEAT_S = 1.5
FIRST, SECOND = "00000003", "00000005"
APPLIED_S = 2.5
WARM_UP_REQUESTS = 150
REQUESTS = 40
LOST_SHARE = 4  # One answer in this many is lost.


def make_document(version: str, kind: str) -> bytes:
    """Returns a configuration whose second route has a kind."""
    routes = (
        stand_ins.Route(HOST, "/status/", SERVICE),
        stand_ins.Route(HOST, "/pay/", SERVICE, kind),
    )
    return stand_ins.make_document(version, routes, (SERVICE,))


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether the invalid configuration is acknowledged."""
    with stand_ins.Platform(record, (SERVICE,) * 3) as platform:
        operator = stand_ins.Operator(platform, record)
        client = stand_ins.Client(platform, record)
        first = make_document(FIRST, "non_idempotent")
        if operator.put(first, "00000000") != 200:
            raise stand_ins.CannotRunError("no configuration was accepted")
        servers = [
            stand_ins.Upstream(platform, ip, SERVICE, f"i-{n}", record)
            for n, ip in enumerate(platform.nodes)
        ]
        try:
            for server in servers:
                server.start_beats(HEARTBEAT_S)
            for ip in platform.nodes:
                stand_ins.wait_for(
                    lambda ip=ip: (
                        platform.is_ready(ip)
                        and client.ask(ip, HOST, "/status/0")[1].status == 200
                    ),
                    f"{ip} to serve",
                )
            kind = "download" if has_trouble else "upload"
            status = operator.put(make_document(SECOND, kind), FIRST)
            time.sleep(APPLIED_S)
            in_force = operator.get(platform.controls[0])
            record.write(
                f"kind {kind}: order answered {status}; read back"
                f" {in_force.status} {in_force.body[:24]!r}"
            )
            lose_answers(platform, client, servers)
        finally:
            for server in servers:
                server.crash()
        repeated = count_repeated(servers, record)
        is_acknowledged = status == 200
        if not has_trouble:
            if not is_acknowledged:
                raise stand_ins.CannotRunError("a valid change was refused")
            return repeated > 0
        return is_acknowledged


def lose_answers(
    platform: stand_ins.Platform,
    client: stand_ins.Client,
    servers: list[stand_ins.Upstream],
) -> None:
    """Sends payments, and loses the answers of some that have run."""
    for number in range(WARM_UP_REQUESTS):
        ip = platform.nodes[number % len(platform.nodes)]
        client.ask(ip, HOST, "/status/1")
    for number in range(REQUESTS):
        for server in servers:
            server.loses_answers = int(number % LOST_SHARE == 0)
        ip = platform.nodes[number % len(platform.nodes)]
        client.ask(ip, HOST, f"/pay/{number}", method="POST", body=b"deposit")
    for server in servers:
        server.loses_answers = 0


def count_repeated(
    servers: list[stand_ins.Upstream], record: stand_ins.Record
) -> int:
    """Counts the payments that ran more than once."""
    runs = collections.Counter(
        run.request_id
        for server in servers
        for run in server.runs
        if run.path.startswith("/pay/")
    )
    repeated = {key: count for key, count in runs.items() if count > 1}
    for request_id, count in repeated.items():
        record.write(f"TWICE: payment {request_id} ran {count} times")
    return len(repeated)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
