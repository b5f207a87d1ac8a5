"""A delayed heartbeat gives a machine the name of a service that has left it.

The machine of a server goes, and its address goes to a machine of another
service. The node of the new machine is restarted on its own; then a delayed
heartbeat of the old server arrives. Until the next heartbeat of the new server,
requests that begin at this machine carry the name of the old service.
"""

import pathlib
import sys
import time

import stand_ins

HOST = "desk.example"
OLD, NEW = "alpha", "beta"
ADDRESS_REUSE_S = 2.0
HEARTBEAT_S = 1.5
TRIES = 6
REQUESTS = 5


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether a request carried the name of another service."""
    document = stand_ins.make_document(
        "00000003",
        (
            stand_ins.Route(HOST, "/a/", OLD),
            stand_ins.Route(HOST, "/b/", NEW),
            stand_ins.Route(HOST, "/pay/", OLD, "non_idempotent"),
        ),
        (OLD, NEW),
    )
    with stand_ins.Platform(record, (OLD, OLD, NEW, NEW)) as platform:
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
                wait_until_served(platform, client, ip)
            late = replace_machine(platform, servers, record)
            wait_until_served(platform, client, platform.nodes[0])
            is_broken = False
            for _ in range(TRIES):
                is_broken |= restart_node(
                    platform, client, servers, late if has_trouble else None
                )
                if is_broken:
                    break
        finally:
            for server in servers.values():
                server.crash()
        return is_broken


def wait_until_served(
    platform: stand_ins.Platform, client: stand_ins.Client, ip: str
) -> None:
    """Waits until a node is ready and serves both services."""
    stand_ins.wait_for(
        lambda: (
            platform.is_ready(ip)
            and client.ask(ip, HOST, "/a/0")[1].status == 200
            and client.ask(ip, HOST, "/b/0")[1].status == 200
        ),
        f"{ip} to serve",
    )


def replace_machine(
    platform: stand_ins.Platform,
    servers: dict[str, stand_ins.Upstream],
    record: stand_ins.Record,
) -> tuple[str, bytes]:
    """Gives an address to a machine of the other service.

    Returns:
      The last heartbeat of the old server, which is held up on its way.
    """
    ip = platform.nodes[0]
    late = servers[ip].make_beat()
    record.write(f"server {servers[ip].instance}: a heartbeat is held up")
    servers[ip].crash()
    platform.kill(ip)
    time.sleep(ADDRESS_REUSE_S + 0.5)
    platform.machines[ip].service = NEW
    platform.start(ip)
    servers[ip] = stand_ins.Upstream(platform, ip, NEW, "i-new", record)
    servers[ip].start_beats(HEARTBEAT_S)
    return late


def restart_node(
    platform: stand_ins.Platform,
    client: stand_ins.Client,
    servers: dict[str, stand_ins.Upstream],
    late: tuple[str, bytes] | None,
) -> bool:
    """Restarts the new machine's node, and lets the heartbeat arrive.

    Returns:
      Whether a request that began there carried another service's name.
    """
    ip = platform.nodes[0]
    platform.kill(ip)
    platform.start(ip)
    stand_ins.wait_for(lambda: platform.is_ready(ip), f"{ip} ready")
    if late is not None:
        # The old server has ended; the new one's object only carries the bytes.
        servers[ip].send(*late)
    begun = [client.ask(ip, HOST, "/a/1")[0] for _ in range(REQUESTS)]
    foreign = [
        run
        for server in servers.values()
        for run in server.runs
        if run.request_id in begun and run.caller != NEW
    ]
    wait_until_served(platform, client, ip)
    return bool(foreign)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
