"""A late first heartbeat brings back an upstream that has said it leaves."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0
RESTART_S = 0.5
# The upstream serves on for "many seconds" after its farewell.
SERVES_ON_S = 11.0
LATE_AFTER_RESTART_S = 2.0
REQUEST_GAP_S = 0.05
RUN_S = 0.4
# The last requests that are taken run into the end of the upstream.
SLACK_S = 0.5


class Orders:
    """Sends orders to the nodes whose machines stay untouched.

    Args:
      mesh: The mesh.
      ips: Their machines.
    """

    def __init__(self, mesh: stand_ins.Mesh, ips: list[str]) -> None:
        self._mesh = mesh
        self._ips = ips
        self.ended = threading.Event()
        self.statuses: dict[str, int] = {}
        threading.Thread(target=self._work, daemon=True).start()

    def _work(self) -> None:
        number = 0
        while not self.ended.wait(REQUEST_GAP_S):
            number += 1
            threading.Thread(
                target=self._send, args=(number,), daemon=True
            ).start()

    def _send(self, number: int) -> None:
        name = f"order-{number}"
        reply = self._mesh.ask(self._ips[number % len(self._ips)], name)
        self.statuses[name] = reply.status


def play(record: stand_ins.Record, has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    with stand_ins.Mesh(record, nodes=3) as mesh:
        first, second, third = mesh.nodes
        for number, ip in enumerate((first, second)):
            mesh.open_upstream(ip, f"i-{number}", RUN_S).start_heartbeats()
        document = stand_ins.make_document("00000001")
        record.write(f"publish: {mesh.publish(document)}")
        mesh.wait_until_served([first, second])
        stand_ins.wait_for(lambda: mesh.is_ready(third), "the third is ready")
        leaver = mesh.open_upstream(third, "i-leaver", RUN_S)
        late = leaver.make_heartbeat()
        record.write("i-leaver sends its first heartbeat, Sequence 1")
        if not has_trouble:
            record.write(f"it is answered {leaver.send(late)}")
        time.sleep(1.0)
        leaver.start_heartbeats()
        orders = Orders(mesh, [first, second])
        stand_ins.wait_for(lambda: bool(leaver.runs), "i-leaver is served")
        time.sleep(STABLE_S)
        record.write(f"i-leaver says farewell: {leaver.deregister()}")
        said_at = time.monotonic()
        touched_at = said_at
        time.sleep(0.2)
        if has_trouble:
            mesh.kill(third)
            time.sleep(RESTART_S)
            mesh.start(third, is_first=False)
            touched_at = time.monotonic()
            record.write("the process on its machine is started again")
            time.sleep(LATE_AFTER_RESTART_S)
            status = leaver.send(late)
            record.write(f"the late first heartbeat is answered {status}")
        time.sleep(max(0.0, said_at + SERVES_ON_S - time.monotonic()))
        record.write("i-leaver ends")
        leaver.end()
        time.sleep(SLACK_S)
        orders.ended.set()
        time.sleep(stand_ins.HEARTBEAT_S)
        return _judge(record, leaver, orders, said_at, touched_at)


def _judge(
    record: stand_ins.Record,
    leaver: stand_ins.Upstream,
    orders: Orders,
    said_at: float,
    touched_at: float,
) -> int:
    since = max(said_at + DRAIN_S, touched_at + STABLE_S)
    late_runs = [name for at, name in leaver.runs if at > since]
    lost = [name for name in late_runs if orders.statuses.get(name) != 200]
    record.write(
        f"{len(late_runs)} requests reached i-leaver later than {DRAIN_S} s"
        f" after its farewell was acknowledged, and {STABLE_S} s after the"
        f" restart; {len(lost)} of them were not served"
    )
    return stand_ins.BROKEN if late_runs else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, play)
