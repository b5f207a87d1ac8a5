"""What the platform and clients see: memory above its limit, lost answers."""

import contextlib
import http.client
import signal
import threading

import platform_3 as platform

RESTART_S = 0.5


class MemoryLimit:
    """Does what the platform does with processes above MemoryMb.

    It counts the resident memory only.

    Attributes:
      ends: How often the process of each machine was over its limit.
      peaks: Highest memory of each machine, in MB.
      stopped: Set to end the watch.
    """

    def __init__(self, mesh: platform.Mesh) -> None:
        self._mesh = mesh
        machines = [*mesh.cores, *mesh.sidecars]
        self._limits_mb = {
            ip: mesh.describe(ip)["Limits"]["MemoryMb"] for ip in machines
        }
        self.ends = dict.fromkeys(machines, 0)
        self.peaks = dict.fromkeys(machines, 0.0)
        self.stopped = threading.Event()
        for ip in machines:
            threading.Thread(
                target=self._watch, args=(ip,), daemon=True
            ).start()

    def _watch(self, ip: str) -> None:
        while not self.stopped.wait(0.005):
            process = self._mesh.processes[ip]
            used_mb = platform.read_rss_mb(process.pid)
            self.peaks[ip] = max(self.peaks[ip], used_mb)
            if process.poll() is not None:
                self._mesh.record.add(f"{ip} ended with {process.returncode}")
            elif used_mb > self._limits_mb[ip]:
                self._mesh.record.add(f"{ip} uses {used_mb:.0f} MB: over limit")
                self._mesh.signal(ip, signal.SIGKILL)
                process.wait()
            else:
                continue
            self.ends[ip] += 1
            if not self.stopped.wait(RESTART_S):
                self._mesh.start(ip, founds=False)


class KeptConnection:
    """A client that sends one request after another on a kept connection.

    Attributes:
      lost: IDs of requests that got no answer although the connection had
        answered before.
      answered: Number of requests that were answered with 200.
      stopped: Set to end the client.
      thread: Its thread.
    """

    def __init__(self, mesh: platform.Mesh, ip: str, name: str) -> None:
        self._mesh = mesh
        self._address = f"{ip}:{mesh.outbound}"
        self._name = name
        self._count = 0
        self.stopped = threading.Event()
        self.lost: list[str] = []
        self.answered = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped.is_set():
            connection = http.client.HTTPConnection(self._address, timeout=4)
            with contextlib.suppress(OSError, http.client.HTTPException):
                self._use(connection)
            connection.close()
            self.stopped.wait(0.2)

    def _use(self, connection: http.client.HTTPConnection) -> None:
        is_kept = False
        while not self.stopped.is_set():
            self._count += 1
            request_id = f"{self._name}-{self._count:04d}"
            headers = {
                "Host": platform.HOST,
                platform.REQUEST_ID: request_id,
                platform.DEADLINE: "2000",
            }
            try:
                connection.request("POST", "/pufi791/k", b"body", headers)
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException) as error:
                self._mesh.record.add(f"kept {request_id}: {error!r}")
                if is_kept:
                    self.lost.append(request_id)
                raise
            self._mesh.record.add(f"kept {request_id}: {response.status}")
            if response.status != 200:
                raise OSError("not served")
            self.answered += 1
            is_kept = True
