"""After a planned replacement, the loss of one disk ends the control for good.

A core machine is replaced as planned: the new one starts first and has its time
to catch up, then the old one gets SIGTERM and is gone. Half a second after that
one other core machine loses its disk. No machine returns the acknowledged
configuration any more.
"""

import pathlib
import sys
import time

import stand_ins

HOST = "desk.example"
SERVICE = "alpha"
CATCH_UP_S = 4.0
GRACE_S = 6.0
RECOVERY_S = 15.0
PAUSE_S = 0.5


def make_document(serial: int) -> bytes:
    """Returns a configuration with one route."""
    route = stand_ins.Route(HOST, "/a/", SERVICE)
    return stand_ins.make_document(f"{serial:08x}", (route,), (SERVICE,))


def run(record: stand_ins.Record, has_trouble: bool) -> bool:
    """Returns whether the configuration can't be read back."""
    with stand_ins.Platform(record, (SERVICE,)) as platform:
        operator = stand_ins.Operator(platform, record)
        if operator.put(make_document(3), "00000000") != 200:
            raise stand_ins.CannotRunError("no configuration was accepted")
        time.sleep(CATCH_UP_S)
        removed = platform.controls[-1]
        platform.add_core_machine()
        time.sleep(CATCH_UP_S + 1.0)
        platform.remove_core_machine(removed, GRACE_S)
        time.sleep(PAUSE_S)
        newest = make_document(5)
        if operator.put(newest, "00000003") != 200:
            raise stand_ins.CannotRunError("the last change was not accepted")
        if has_trouble:
            platform.lose_disk(platform.controls[0])
        return not is_read_back(platform, operator, record, newest)


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
