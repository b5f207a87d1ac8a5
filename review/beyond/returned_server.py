"""A server that said farewell gets work again after its node's restart.

A server deregisters, which its node acknowledges, and goes on serving for some
seconds. The node is killed and restarted; two heartbeats that the server sent
before its farewell arrive late. The node registers the server again.
"""

import pathlib
import sys
import time

import stand_ins

HOST = "desk.example"
SERVICE = "alpha"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
STABLE_S = 3.0
SERVES_ON_S = 9.0


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether the server got requests long after its farewell."""
    document = stand_ins.make_document(
        "00000003", (stand_ins.Route(HOST, "/a/", SERVICE),), (SERVICE,)
    )
    with stand_ins.Platform(record, (SERVICE,) * 4) as platform:
        operator = stand_ins.Operator(platform, record)
        client = stand_ins.Client(platform, record)
        if operator.put(document, "00000000") != 200:
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
                        and client.ask(ip, HOST, "/a/0")[1].status == 200
                    ),
                    f"{ip} to serve",
                )
            time.sleep(STABLE_S)
            is_broken = leave(platform, client, servers, record, has_trouble)
        finally:
            for server in servers:
                server.crash()
        return is_broken


def leave(
    platform: stand_ins.Platform,
    client: stand_ins.Client,
    servers: list[stand_ins.Upstream],
    record: stand_ins.Record,
    has_trouble: bool,
) -> bool:
    """Lets a server leave; returns whether it got work after `DrainMs`."""
    ip, server = platform.nodes[0], servers[0]
    server.stop_beats()
    late = [server.make_beat()]
    time.sleep(HEARTBEAT_S)
    late.append(server.make_beat())
    record.write(f"server {server.instance}: two heartbeats are held up")
    if server.deregister() != 200:
        raise stand_ins.CannotRunError("the farewell was not acknowledged")
    server.is_leaving = True
    acknowledged_at = time.monotonic()
    restarted_at = acknowledged_at
    if has_trouble:
        platform.kill(ip)
        platform.start(ip)
        restarted_at = time.monotonic()
        stand_ins.wait_for(lambda: platform.is_ready(ip), f"{ip} ready")
    for heartbeat in late:
        server.send(*heartbeat)
        time.sleep(0.2)
    counts_from = max(acknowledged_at + DRAIN_S, restarted_at + STABLE_S) + 0.5
    while time.monotonic() < acknowledged_at + SERVES_ON_S:
        for node in platform.nodes:
            client.ask(node, HOST, "/a/1")
        time.sleep(0.05)
    late_runs = [run for run in server.runs if run.at > counts_from]
    for run in late_runs:
        after_s = run.at - acknowledged_at
        record.write(
            f"DRAIN broken: {run.request_id} ran at {run.instance}"
            f" {after_s:.1f} s after its farewell was acknowledged"
        )
    return bool(late_runs)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
