"""A planned stop cuts uploads long before the time that the platform gives.

On a deployment with `GraceS` 10 a node gets SIGTERM while its clients send
uploads at which a server works for 4.6 s. The node ends after 6 s at the
latest, whatever `GraceS` is, and closes the connections of the uploads that
are still at work, without an answer.
"""

import pathlib
import signal
import sys
import threading
import time

import stand_ins

HOST = "artwork.example"
SERVICE = "artwork"
HEARTBEAT_S = 1.5
GRACE_S = 10
WORK_S = 4.6
DEADLINE_MS = 6000
BODY = bytes(60_000)
STABLE_S = 4.0
READY_INTERVAL_S = 1.0
MISSES = 2
SEND_INTERVAL_S = 0.2


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether an upload that was passed on got no answer."""
    route = stand_ins.Route(
        HOST, "/logo/", SERVICE, "upload", timeout_ms=DEADLINE_MS
    )
    document = stand_ins.make_document("00000003", (route,), (SERVICE,))
    bounds = {"GraceS": GRACE_S, "ConfigApplyMs": 2500, "DrainMs": 2500}
    with stand_ins.Platform(record, (SERVICE,) * 4, bounds) as platform:
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
                        and client.ask(ip, HOST, "/logo/0")[1].status == 200
                    ),
                    f"{ip} to serve",
                )
            time.sleep(STABLE_S)
            for server in servers:
                server.work_s = WORK_S
            return stop_node(platform, client, servers, record, has_trouble)
        finally:
            for server in servers:
                server.crash()


def stop_node(
    platform: stand_ins.Platform,
    client: stand_ins.Client,
    servers: list[stand_ins.Upstream],
    record: stand_ins.Record,
    has_trouble: bool,
) -> bool:
    """Stops a node under load; returns whether it cut an upload."""
    ip = platform.nodes[0]
    stopped_at = time.monotonic()
    if has_trouble:
        platform.send_signal(ip, signal.SIGTERM)
        killer = threading.Timer(GRACE_S, platform.processes[ip].kill)
        killer.daemon = True
        killer.start()
    cut: list[str] = []

    def upload() -> None:
        sent_at = time.monotonic() - stopped_at
        request_id, reply = client.ask(
            ip,
            HOST,
            "/logo/1",
            method="POST",
            body=BODY,
            deadline_ms=DEADLINE_MS,
        )
        ended_at = time.monotonic() - stopped_at
        runs = [
            run
            for server in servers
            for run in server.runs
            if run.request_id == request_id
        ]
        in_time = ended_at - sent_at < DEADLINE_MS / 1000 - 0.5
        if not reply.status and runs and in_time:
            cut.append(request_id)
            record.write(
                f"LOST broken: {request_id}, sent {sent_at:.2f} s after the"
                f" SIGTERM, ran at {runs[0].instance} and was cut at"
                f" {ended_at:.2f} s: {reply.error}"
            )

    uploads: list[threading.Thread] = []
    misses, asked_at = 0, stopped_at
    while misses < MISSES and time.monotonic() < stopped_at + 3.0:
        uploads.append(threading.Thread(target=upload))
        uploads[-1].start()
        time.sleep(SEND_INTERVAL_S)
        if time.monotonic() - asked_at >= READY_INTERVAL_S:
            asked_at += READY_INTERVAL_S
            misses = 0 if platform.is_ready(ip) else misses + 1
            record.write(f"platform: {misses} misses in a row at {ip}")
    for thread in uploads:
        thread.join()
    if has_trouble:
        status = platform.processes[ip].wait()
        after_s = time.monotonic() - stopped_at
        record.write(f"{ip} ended with {status} after {after_s:.2f} s")
    return bool(cut)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
