"""A planned stop cuts a request that it took while it was closing."""

import dataclasses
import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

# bentancor-placas: proof-status has 1,500 ms and works up to 1,300 ms.
RUN_S = 1.2
DEADLINE_MS = 1500
# 8 ms one way to clients: a request arrives this long after its connection.
ROUND_TRIP_S = 0.016
# The SIGTERM comes this long after a request was sent.
OFFSET_S = 0.6
STABLE_S = 3.5
RESTART_S = 0.5
GRACE_S = 6.0
ROUNDS = 3


@dataclasses.dataclass(kw_only=True)
class Sent:
    """One request of the client.

    Attributes:
      name: Its ID.
      sent_at: When its last byte was sent.
      ended_at: When it ended.
      status: Status of its answer; 0 if the connection ended without one.
    """

    name: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = -1


class Client:
    """Sends one request after another, as long as it gets work.

    It opens a connection for each, as the node asks for it while it stops.

    Args:
      mesh: The mesh.
      ip: Its machine.
    """

    def __init__(self, mesh: stand_ins.Mesh, ip: str) -> None:
        self._mesh = mesh
        self._ip = ip
        self.ended = threading.Event()
        self.sent: list[Sent] = []
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    def wait_for_sent(self) -> None:
        """Waits until the next request has been sent."""
        count = len(self.sent)
        while len(self.sent) == count or not self.sent[-1].sent_at:
            time.sleep(0.005)

    def stop(self) -> None:
        """Ends after the request that runs."""
        self.ended.set()
        self._thread.join()

    def _work(self) -> None:
        while not self.ended.is_set():
            number = len(self.sent) + 1
            self._send(Sent(name=f"status-{self._ip}-{number}"))

    def _send(self, request: Sent) -> None:
        address = self._mesh.get_outbound(self._ip)
        connection = http.client.HTTPConnection(address, timeout=1.0)
        try:
            connection.connect()
        except OSError:
            time.sleep(0.1)
            return
        time.sleep(ROUND_TRIP_S)
        connection.sock.settimeout(DEADLINE_MS / 1000)
        self.sent.append(request)
        headers = {
            "Host": stand_ins.HOST,
            stand_ins.REQUEST_ID: request.name,
            stand_ins.DEADLINE: str(DEADLINE_MS),
        }
        try:
            connection.request("GET", "/proofs/7", headers=headers)
            request.sent_at = time.monotonic()
            response = connection.getresponse()
            response.read()
            request.status = response.status
        except (OSError, http.client.HTTPException) as error:
            request.status = 0
            self._mesh.record.write(f"{request.name} got no answer: {error!r}")
        else:
            self._mesh.record.write(f"{request.name} got {request.status}")
        finally:
            connection.close()
            request.ended_at = time.monotonic()


def play(record: stand_ins.Record, has_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    with stand_ins.Mesh(record, nodes=3, has_zones=True) as mesh:
        for number, ip in enumerate(mesh.nodes):
            mesh.open_upstream(ip, f"i-{number}", RUN_S).start_heartbeats()
        document = stand_ins.make_document("00000001")
        record.write(f"publish: {mesh.publish(document)}")
        stand_ins.wait_for(lambda: all(map(mesh.is_ready, mesh.nodes)), "ready")
        lost = 0
        for ip in mesh.nodes[:ROUNDS]:
            time.sleep(STABLE_S)
            lost += _stop_once(mesh, ip, has_trouble)
        record.write(f"{lost} requests were read, passed on and cut")
        return stand_ins.BROKEN if lost else stand_ins.HELD


def _stop_once(mesh: stand_ins.Mesh, ip: str, has_trouble: bool) -> int:
    """Stops and starts a node; returns how many requests it cut."""
    client = Client(mesh, ip)
    client.wait_for_sent()
    client.wait_for_sent()
    time.sleep(OFFSET_S)
    stopped_at = time.monotonic()
    if has_trouble:
        mesh.stop(ip)
        time.sleep(RESTART_S)
        mesh.start(ip, is_first=False)
        stand_ins.wait_for(lambda: mesh.is_ready(ip), "ready again")
    else:
        time.sleep(GRACE_S)
    client.stop()
    return sum(_is_lost(mesh, each, stopped_at) for each in client.sent)


def _is_lost(mesh: stand_ins.Mesh, sent: Sent, stopped_at: float) -> bool:
    """Returns whether the rule counts a request as cut by the stop."""
    runs = [name for each in mesh.upstreams for _, name in each.runs]
    if sent.status or sent.name not in runs:
        return False
    if sent.ended_at >= sent.sent_at + DEADLINE_MS / 1000:
        return False
    # An upstream that is still at work in the last sixth of the grace time on
    # a request of the first three seconds is an excuse.
    is_excused = (
        sent.sent_at <= stopped_at + GRACE_S / 2
        and sent.sent_at + RUN_S >= stopped_at + GRACE_S * 5 / 6
    )
    mesh.record.write(
        f"{sent.name} was sent {sent.sent_at - stopped_at:.3f} s after the"
        f" SIGTERM, ran at an upstream and was cut at"
        f" {sent.ended_at - stopped_at:.3f} s, excused: {is_excused}"
    )
    return not is_excused


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, play)
