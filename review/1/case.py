"""A core machine that loses its disk twice takes the whole control with it.

A core machine loses its disk and returns empty; the leader adds it again under
its new identity. Just then it loses its disk once more. The leader has made the
second identity a voter, beside the first one, which it has not removed yet: two
of four voters are gone for good. The two machines that were never touched find
no majority any more, and the acknowledged configuration can't be read.
"""

import pathlib
import random
import sys
import time

import stand_ins

HOST = "desk.example"
SERVICE = "alpha"
LOSSES = 40
LOSSES_WITHOUT_TROUBLE = 3
LIMIT_S = 75.0
RETURN_S = 6.0
CATCH_UP_S = 4.0
RECOVERY_S = 15.0
# Time after a new identity was added at which the disk is lost again.
FIRST_S, LAST_S = 0.04, 0.12


def make_document(serial: int) -> bytes:
    """Returns a configuration with one route."""
    route = stand_ins.Route(HOST, "/a/", SERVICE)
    return stand_ins.make_document(f"{serial:08x}", (route,), (SERVICE,))


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether the configuration can't be read back."""
    with stand_ins.Platform(record, (SERVICE,)) as platform:
        operator = stand_ins.Operator(platform, record)
        newest = make_document(3)
        if operator.put(newest, "00000000") != 200:
            raise stand_ins.CannotRunError("no configuration was accepted")
        time.sleep(1.0)
        victim = platform.controls[-1]
        ends_at = time.monotonic() + LIMIT_S
        losses = 0
        while losses < (LOSSES if has_trouble else LOSSES_WITHOUT_TROUBLE):
            losses += 1
            platform.lose_disk(victim)
            if not has_trouble:
                time.sleep(CATCH_UP_S + 1.0)
            elif not wait_until_added(platform, victim):
                break
            if time.monotonic() > ends_at:
                break
        record.write(f"{victim} lost its disk {losses} times")
        return not is_read_back(platform, operator, record, newest)


def wait_until_added(platform: stand_ins.Platform, victim: str) -> bool:
    """Waits until the empty machine is added again, and a moment longer.

    Returns:
      Whether it was added.
    """
    counts = count_changes(platform)
    deadline = time.monotonic() + RETURN_S
    while count_changes(platform) == counts:
        if time.monotonic() > deadline:
            return False
        time.sleep(0.002)
    time.sleep(random.uniform(FIRST_S, LAST_S))
    return platform.processes[victim].poll() is None


def count_changes(platform: stand_ins.Platform) -> int:
    """Counts the changes of the members that the programs have logged."""
    return sum(
        platform.log_path(ip).read_bytes().count(b"event=replicas_changed")
        for ip in platform.controls[:-1]
    )


def is_read_back(
    platform: stand_ins.Platform,
    operator: stand_ins.Operator,
    record: stand_ins.Record,
    newest: bytes,
) -> bool:
    """Reads until the configuration comes, for longer than `RecoveryS`."""
    ends_at = time.monotonic() + CATCH_UP_S + RECOVERY_S + 1.0
    while time.monotonic() < ends_at:
        for ip in platform.controls:
            reply = operator.get(ip)
            record.write(f"operator: Config.Get at {ip}: {reply.status}")
            if reply.status == 200:
                return reply.body == newest
        time.sleep(0.5)
    return False


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(run, str(pathlib.Path(__file__).parent)))
