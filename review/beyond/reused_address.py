"""A reused address: requests of one service run at a server of another one.

A server falls silent for good, and the node beside it is killed and restarted
by the platform. After `AddrReuseS` the address goes to a server of another
service. The restarted node still looks for its own server, takes the new one
for it, and sends it the requests of the old service.
"""

import pathlib
import sys
import time

import stand_ins

HOST = "desk.example"
OLD, NEW = "alpha", "beta"
ADDRESS_REUSE_S = 2.0
HEARTBEAT_S = 1.5
WATCHED_S = 6.0
MACHINES = 2  # They go one after the other, until a request is misrouted.


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether a request ran at a service that no route names."""
    document = stand_ins.make_document(
        "00000003",
        (
            stand_ins.Route(HOST, "/a/", OLD),
            stand_ins.Route(HOST, "/b/", NEW),
            stand_ins.Route(HOST, "/pay/", OLD, "non_idempotent"),
        ),
        (OLD, NEW),
    )
    services = (OLD, OLD, OLD, NEW, NEW, NEW)
    with stand_ins.Platform(record, services) as platform:
        operator = stand_ins.Operator(platform, record)
        client = stand_ins.Client(platform, record)
        if operator.put(document, "00000000") != 200:
            raise stand_ins.CannotRunError("no configuration was accepted")
        servers = {
            ip: stand_ins.Upstream(
                platform, ip, platform.machines[ip].service, f"i-{n}", record
            )
            for n, ip in enumerate(platform.nodes)
        }
        try:
            for server in servers.values():
                server.start_beats(HEARTBEAT_S)
            for ip in platform.nodes:
                stand_ins.wait_for(
                    lambda ip=ip: (
                        platform.is_ready(ip)
                        and client.ask(ip, HOST, "/a/0")[1].status == 200
                        and client.ask(ip, HOST, "/b/0")[1].status == 200
                    ),
                    f"{ip} to serve",
                )
            for ip in platform.nodes[:MACHINES]:
                if has_trouble:
                    make_trouble(platform, ip, servers, record)
                send_requests(platform, client)
                if count_misrouted(servers, record):
                    break
        finally:
            for server in servers.values():
                server.crash()
        return count_misrouted(servers, record) > 0


def make_trouble(
    platform: stand_ins.Platform,
    ip: str,
    servers: dict[str, stand_ins.Upstream],
    record: stand_ins.Record,
) -> None:
    """Reuses an address while its node has been restarted."""
    servers[ip].crash()
    ended_at = time.monotonic()
    time.sleep(0.3)
    platform.kill(ip)
    time.sleep(0.3)
    platform.start(ip)
    time.sleep(max(0.0, ended_at + ADDRESS_REUSE_S + 0.5 - time.monotonic()))
    platform.machines[ip].service = NEW
    platform.write_settings(ip)
    servers[ip] = stand_ins.Upstream(platform, ip, NEW, f"i-new-{ip}", record)
    servers[ip].start_beats(HEARTBEAT_S)


def send_requests(
    platform: stand_ins.Platform, client: stand_ins.Client
) -> None:
    """Sends requests of the first service to every node."""
    ends_at = time.monotonic() + WATCHED_S
    while time.monotonic() < ends_at:
        for ip in platform.nodes:
            client.ask(ip, HOST, "/a/1")
            client.ask(ip, HOST, "/pay/1", method="POST", body=b"deposit")
        time.sleep(0.05)


def count_misrouted(
    servers: dict[str, stand_ins.Upstream], record: stand_ins.Record
) -> int:
    """Counts the requests that ran at a service that no route names."""
    misrouted = [
        run
        for server in servers.values()
        for run in server.runs
        if (run.service == NEW) != run.path.startswith("/b/")
    ]
    for run in misrouted:
        record.write(
            f"ROUTE broken: {run.method} {run.path} ({run.request_id}) ran at"
            f" {run.instance} of service {run.service}"
        )
    return len(misrouted)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
