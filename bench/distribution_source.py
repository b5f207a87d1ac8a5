"""Runs replicas with a log in memory, for the distribution measurement.

Consensus is left out: a change is committed at once, so that only the path
from the replicas to the nodes is measured.
"""

from collections.abc import Callable
import dataclasses
import threading
import time
from typing import Self

import zmq

from bench import fleet_state
from lovagesaddle.control import distribution
from lovagesaddle.control import ports
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps
from lovagesaddle.transport import endpoint as endpoint_lib

ANY_PORT = "tcp://127.0.0.1:*"
REPLICAS = 3
STAMP_S = 0.5
POLL_S = 0.02
LEASE_S = 6.0
EXPIRY_SHARE = 0.34
SERVICE_FLEET_NODES = 1100


class Log(ports.ReplicaPort):
    """Commits commands at once to a log that all replicas share."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.state = state_lib.make_initial_state()
        self._hashed = state_lib.make_initial_snapshot()
        self._services = fleet_state.build_snapshot(
            SERVICE_FLEET_NODES
        ).services
        self._publications = 0
        self.commit(commands.FoundCluster(cluster_id="bench"))
        self.publish()

    def commit(self, command: commands.Command) -> int:
        """Commits a command; returns its version."""
        with self.lock:
            version = self.state.snapshot.version + 1
            applied = state_lib.apply_command(self.state, version, command)
            self.state = applied.state
            self._hashed = state_lib.rehash_state(self._hashed, self.state)
            return version

    def publish(self) -> int:
        """Publishes all services, one of them changed; returns the version."""
        self._publications += 1
        index = self._publications % len(self._services)
        changed = dataclasses.replace(
            self._services[index], revision=1 + self._publications
        )
        self._services = (
            *self._services[:index],
            changed,
            *self._services[index + 1 :],
        )
        return self.commit(
            commands.PublishServices(
                publish_id=f"p{self._publications}",
                operator="bench",
                base_version=self.state.publication_version,
                services=self._services,
            )
        )

    def view(self) -> ports.ClusterView:
        """Returns the state after the newest entry."""
        with self.lock:
            return ports.ClusterView(
                state=self.state,
                hashed=self._hashed,
                is_leader=False,
                leader_id="r0",
                stamp=stamps.LeaderStamp(
                    term=1, counter=int(time.monotonic() / STAMP_S)
                ),
                stamp_age_s=0.0,
                current_at=time.monotonic(),
            )

    def propose(
        self,
        command: commands.Command,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Commits the command."""
        del on_refused
        on_applied(self.commit(command))


class Replica:
    """Runs the distribution of one replica on a thread of its own."""

    def __init__(
        self,
        *,
        name: str,
        log: Log,
        context: zmq.Context[zmq.Socket[bytes]],
        list_replicas: Callable[[], tuple[peers.Peer, ...]],
        heartbeat_s: float,
    ) -> None:
        self.name = name
        self.endpoint = endpoint_lib.Endpoint(
            context=context, own_id=name, bind_address=ANY_PORT
        )
        self.fleet = distribution.Distribution(
            own_id=name,
            endpoint=self.endpoint,
            replica=log,
            list_replicas=list_replicas,
            heartbeat_s=heartbeat_s,
            lease_s=LEASE_S,
            expiry_share=EXPIRY_SHARE,
        )
        self._log = log
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread and closes the endpoint."""
        self._stopping.set()
        self._thread.join()
        self.endpoint.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            now = time.monotonic()
            view = dataclasses.replace(
                self._log.view(), is_leader=self.name == "r0"
            )
            self.fleet.observe(view, now)
            self.fleet.tick(now)
            for received in self.endpoint.receive(POLL_S):
                self.fleet.receive(received, time.monotonic())


class Replicas:
    """Runs all replicas with their shared log, as a context manager.

    Args:
      heartbeat_s: Time between heartbeats, in seconds.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.log = Log()
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self.members = tuple(
            Replica(
                name=f"r{number}",
                log=self.log,
                context=self._context,
                list_replicas=self.list_peers,
                heartbeat_s=heartbeat_s,
            )
            for number in range(REPLICAS)
        )
        self._peers = tuple(
            peers.Peer(peer_id=r.name, address=r.endpoint.address)
            for r in self.members
        )

    def __enter__(self) -> Self:
        for replica in self.members:
            replica.start()
        return self

    def __exit__(self, *_: object) -> None:
        for replica in self.members:
            replica.stop()
        self._context.term()

    @property
    def leader(self) -> Replica:
        """The replica that acts as leader."""
        return self.members[0]

    def list_peers(self) -> tuple[peers.Peer, ...]:
        """Returns the ID and address of every replica."""
        return self._peers
