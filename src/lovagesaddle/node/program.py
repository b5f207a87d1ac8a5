"""Assembles the parts of a node and runs them in the caller's process."""

from collections.abc import Callable
import contextlib
import dataclasses
import time
from typing import Self

import zmq

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import answer_scheduler
from lovagesaddle.core.routing import body_scheduler
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import answer_budget
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import admin
from lovagesaddle.node import answer_turns as answer_turns_lib
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import body_receiver as body_receiver_lib
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.node import control_thread
from lovagesaddle.node import entry as entry_lib
from lovagesaddle.node import held_answers
from lovagesaddle.node import listeners
from lovagesaddle.node import local_servers
from lovagesaddle.node import mesh_secret
from lovagesaddle.node import node_gauges
from lovagesaddle.node import node_policies
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports
from lovagesaddle.node import probes
from lovagesaddle.node import quotas as quotas_lib
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import server_discovery
from lovagesaddle.node import server_health
from lovagesaddle.node import server_heartbeats
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.node import shutdown
from lovagesaddle.node import software_gate as software_gate_lib
from lovagesaddle.node import stop_limit as stop_limit_lib
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.settings import schema

LEAVE_TIMEOUT_S = 2.0
# Time that the process takes to end once its threads have stopped, on a busy
# VM.
EXIT_S = 0.4
BYTES_PER_MBIT = 125_000
# Two TCP retransmissions stay unacknowledged only if the link or VM is down.
HOP_ACK_TIMEOUT_S = 0.6
_log = logs.get_logger("node")

Context = zmq.Context[zmq.Socket[bytes]]
ControlFactory = Callable[
    [schema.NodeSettings, Context, ports.SnapshotSink],
    contextlib.AbstractContextManager[ports.ControlPort],
]


class NodeProgram(ports.SnapshotSink):
    """Serves callers, other nodes and the local backend server.

    It is a context manager: entering it starts the node and leaving it stops
    the node at once. `shut_down` stops the node gracefully.

    Args:
      settings: Settings of this node.
      context: ZeroMQ context of the process.
      make_control: Creates the control thread.
      routing_options: Policies of the entry, which routes callers' requests.
      owner_options: Policies of the owner, which runs requests on the local
        backend server.
      names: Names of the headers exchanged with callers and backend servers.
      read_service: Returns the service of this VM by the present settings; by
        those of the start if None.

    Attributes:
      heartbeats: Handles heartbeats of the backend server on this VM.
      metrics: Metrics of this process.
    """

    def __init__(
        self,
        settings: schema.NodeSettings,
        context: Context,
        *,
        make_control: ControlFactory = control_thread.create,
        routing_options: routing_lib.RoutingOptions | None = None,
        owner_options: owned_server.OwnerOptions | None = None,
        names: header_names.HeaderNames = header_names.DEFAULT,
        read_service: Callable[[], str] | None = None,
    ) -> None:
        self._names = names
        self._read_service = read_service or (lambda: settings.service)
        self._settings = settings
        self._context = context
        self._make_control = make_control
        self._stack = contextlib.ExitStack()
        self._stopping = False
        self.metrics = metrics_lib.Metrics()
        link_bytes_s = settings.link_mbps * BYTES_PER_MBIT
        self._part_bytes = body_scheduler.compute_part_bytes(link_bytes_s)
        body_receiver = (
            body_receiver_lib.BodyReceiver(link_bytes_s)
            if link_bytes_s
            else None
        )
        self._routing = routing_lib.Routing(
            failure_domain=settings.failure_domain,
            options=routing_options
            or node_policies.make_routing_options(settings),
            node_id=settings.node_id,
            part_bytes=self._part_bytes,
        )
        self._table_proofs = table_proofs.TableProofs(
            settings.max_table_age_s, settings.withdrawal_bound_s
        )
        budget = answer_budget.AnswerBudget(settings.memory_bytes)
        self._pool = client.ConnectionPool(
            request_id_header=names.request_id,
            allows_unframed=settings.unframed_answers,
            requires_request_id=names.echoes_request_id,
            budget=budget,
        )
        self._hop_pool = client.ConnectionPool(
            unacknowledged_s=HOP_ACK_TIMEOUT_S, budget=budget
        )
        self._shared_quarantine = shared_quarantine_lib.SharedQuarantine()
        self._stop_limit = stop_limit_lib.StopLimit(self.metrics)
        self._software_gate = software_gate_lib.SoftwareGate(
            settings.rollback_bound_s,
            self._table_proofs.compute_age,
            self.metrics,
        )
        self._watchdog = watchdog.Watchdog()
        turns = (
            answer_turns_lib.AnswerTurns(link_bytes_s) if link_bytes_s else None
        )
        self._owner = owner_lib.Owner(
            pool=self._pool,
            shared_quarantine=self._shared_quarantine,
            options=owner_options or node_policies.make_owner_options(settings),
            names=names,
            body_receiver=body_receiver,
            allows_route=self._routing.allows_route,
            stop_limit=self._stop_limit,
            held=held_answers.HeldAnswers(
                self._watchdog,
                answer_scheduler.compute_part_bytes(link_bytes_s),
            ),
            answer_turns=turns,
            software_gate=self._software_gate,
        )
        self._servers = local_servers.LocalServers(
            node_id=settings.node_id,
            owner=self._owner,
            rolls_out=self.rolls_out,
        )
        self.heartbeats = server_heartbeats.ServerHeartbeats(
            self._servers,
            check_health=server_health.HealthChecks(
                self._routing.find_health_path, names
            ).check,
        )
        self._control: ports.ControlPort | None = None
        self._discovery = self._make_discovery()
        self._claims = claims_lib.Claims(
            node_id=settings.node_id, is_enabled=settings.claims
        )
        self._quotas = quotas_lib.Quotas(
            node_id=settings.node_id,
            rules=quotas_lib.make_rules(settings),
            proofs=self._table_proofs,
            metrics=self.metrics,
        )
        self._limits: services.CallerLimits | None = None
        signer = hop.EnvelopeSigner(mesh_secret.read(settings))
        self._http, self._hops = listeners.open_listeners(
            settings,
            listeners.RequestHandlers(
                entry=self._make_entry(signer),
                owner=self._owner,
                signer=signer,
                guards=self._watchdog,
                answer_turns=turns,
            ),
        )
        self._admin = listeners.open_admin_listener(
            settings,
            admin.AdminApplication(
                servers=self._servers,
                metrics=self.metrics,
                read_health=self._read_health,
            ),
        )

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._pool)
            stack.enter_context(self._hop_pool)
            stack.enter_context(self._watchdog)
            stack.enter_context(self._claims)
            stack.enter_context(self._http)
            if self._hops is not self._http:
                stack.enter_context(self._hops)
            stack.enter_context(self._admin)
            # The control thread may install a table as soon as it is running.
            if self._discovery is not None:
                stack.enter_context(self._discovery)
            control = stack.enter_context(
                self._make_control(self._bound_settings, self._context, self)
            )
            self._control = control
            self._servers.connect(control)
            self._shared_quarantine.connect(control)
            self._claims.connect(control)
            self._quotas.connect(control)
            self._software_gate.connect(control.report_evidence)
            stack.enter_context(self._software_gate)
            self._table_proofs.connect(control)
            node_gauges.register_gauges(
                self.metrics,
                read_version=lambda: self._read_health().version,
                proofs=self._table_proofs,
                control=control,
                owner=self._owner,
            )
            if self._settings.probe:
                stack.enter_context(probes.Prober(self._servers))
            self._stack = stack.pop_all()
        _log.info(
            "node_started",
            node=self._settings.node_id,
            http=self.http_address,
            admin=self.admin_address,
        )
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping = True
        self._stack.close()
        _log.info("node_stopped", node=self._settings.node_id)

    def knows_service(self, service: str) -> bool:
        """Returns whether a service is published or configured for this VM."""
        own = self._settings.service
        return service == own or self._routing.has_service(service)

    @property
    def rolls_out(self) -> bool:
        """Whether versions of services' software are rolled out."""
        return self._settings.rollback_bound_s > 0

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this node.

        A node without a published configuration can only refuse requests.
        """
        table = self._routing.table
        is_published = table is not None and table.is_published
        return is_published and not self._stopping

    @property
    def http_address(self) -> str:
        """The bound `ip:port` for callers; nodes may use it too."""
        return self._http.address

    @property
    def admin_address(self) -> str:
        """The bound `ip:port` of the admin endpoints for the local VM."""
        return self._admin.address

    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        """Installs a newer snapshot; called on the control thread."""
        limits = hashed.snapshot.limits
        if limits is not None and limits != self._limits:
            self._limits = limits
            self._http.set_limits(limits)
            # An envelope from another node contains a whole request of a
            # caller, so its limit is higher. If callers and nodes share one
            # listener, the higher limit applies to both, and the limit of the
            # route still bounds a caller's body.
            self._hops.set_max_body(
                limits.max_body_bytes
                + limits.max_header_bytes
                + listeners.ENVELOPE_MARGIN_BYTES
            )
        self._claims.install(hashed.snapshot, joined=joined)
        self._quotas.install(hashed.snapshot, joined=joined)
        self._software_gate.install(hashed.snapshot)
        is_first = self._routing.table is None
        self._routing.install(hashed, joined=joined)
        if is_first and joined and self._discovery is not None:
            # Discovery could not poll before: the path of the health endpoint
            # is unknown until the first table.
            self._discovery.wake()

    def record_proof(self, current_at: float) -> None:
        """Records how current the table is; called on the control thread."""
        self._table_proofs.record(current_at)

    def add_crash_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Adds crash marks of other nodes to the quarantine."""
        self._shared_quarantine.add_marks(marks)

    def shut_down(self) -> bool:
        """Stops gracefully; returns whether no request was cut off."""
        self._stopping = True
        _log.info(
            "node_draining",
            node=self._settings.node_id,
            grace_s=self._settings.grace_s,
        )
        killed_at = time.monotonic() + self._settings.grace_s
        is_clean = shutdown.Shutdown(
            servers=self._servers,
            stop_limit=self._stop_limit,
            owner=self._owner,
            http=self._http,
            hops=self._hops,
            guards=self._watchdog,
            claims=self._claims,
            request_id_header=self._names.request_id,
        ).run(self._settings.grace_s)
        self._servers.withdraw_all("stopped")
        left_s = max(0.0, killed_at - EXIT_S - time.monotonic())
        if self._control is not None and not self._control.leave(
            min(LEAVE_TIMEOUT_S, left_s)
        ):
            _log.warning("leave_unconfirmed", node=self._settings.node_id)
        return is_clean

    @property
    def _bound_settings(self) -> schema.NodeSettings:
        return dataclasses.replace(
            self._settings,
            http_address=self._hops.address,
            admin_address=self.admin_address,
        )

    def _read_health(self) -> admin.Health:
        table = self._routing.table
        return admin.Health(
            joined=table is not None,
            version=table.version if table is not None else 0,
            servers=len(self._servers.list_announcements()),
            known_servers=self._routing.known_servers,
            stopping=self._stopping,
        )

    def _make_discovery(self) -> server_discovery.ServerDiscovery | None:
        if not (self._settings.service and self._settings.server_address):
            return None
        return server_discovery.ServerDiscovery(
            heartbeats=self.heartbeats,
            service=self._settings.service,
            read_service=self._read_service,
            address=self._settings.server_address,
            names=self._names,
            find_health_path=self._routing.find_health_path,
        )

    def _make_entry(self, signer: hop.EnvelopeSigner) -> entry_lib.Entry:
        attempt_sender = attempt_senders.HttpAttemptSender(
            node_id=self._settings.node_id,
            owner=self._owner,
            pool=self._hop_pool,
            signer=signer,
            part_bytes=self._part_bytes,
        )
        return entry_lib.Entry(
            routing=self._routing,
            proofs=self._table_proofs,
            attempt_sender=attempt_sender,
            servers=self._servers,
            heartbeats=self.heartbeats,
            shared_quarantine=self._shared_quarantine,
            claims=self._claims,
            guards=self._watchdog,
            stop_limit=self._stop_limit,
            quotas=self._quotas,
            metrics=self.metrics,
            names=self._names,
            caller_service=self._settings.service,
            claims_keys=self._settings.claims,
        )
