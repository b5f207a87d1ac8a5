"""Owner side of a node: admits attempts and sends them to a local server."""

from collections.abc import Callable
import dataclasses
import time

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import answer_scheduler
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import answer_turns as answer_turns_lib
from lovagesaddle.node import attempt_admitter
from lovagesaddle.node import body_receiver as body_receiver_lib
from lovagesaddle.node import held_answers
from lovagesaddle.node import offered_bodies
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner_answers
from lovagesaddle.node import seen_attempts
from lovagesaddle.node import server_exchange
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.node import software_gate as software_gate_lib
from lovagesaddle.node import stop_limit as stop_limit_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics

NO_RATE_LIMIT = -1.0
NO_SLOWDOWN = -1.0
LeavingReport = Callable[[str, int], None]
RouteCheck = Callable[[hop.RunRequest, str], bool]
_log = logs.get_logger("owner")


class Owner:
    """Admits attempts and sends them to the local backend servers.

    Args:
      pool: Connections to the servers.
      shared_quarantine: Quarantine of requests that crash servers.
      options: Policies for admission.
      names: Names of the headers that are sent to backend servers.
      body_receiver: Receives large bodies in parts; None if every body comes in
        one piece.
      allows_route: Returns whether this node's table allows a request to run
        at the service with the given name.
      stop_limit: Refuses what this node can't answer before it stops; refuses
        nothing if None.
      held: Keeps large answers for entries that ask for their parts.
      answer_turns: Shares the outbound link among large answers; None if its
        rate is unknown.
      software_gate: Refuses requests for servers of versions that may run none;
        refuses nothing if None.
    """

    def __init__(
        self,
        *,
        pool: client.ConnectionPool,
        shared_quarantine: shared_quarantine_lib.SharedQuarantine,
        options: owned_server.OwnerOptions | None = None,
        names: header_names.HeaderNames = header_names.DEFAULT,
        body_receiver: body_receiver_lib.BodyReceiver | None = None,
        allows_route: RouteCheck | None = None,
        stop_limit: stop_limit_lib.StopLimit | None = None,
        held: held_answers.HeldAnswers | None = None,
        answer_turns: answer_turns_lib.AnswerTurns | None = None,
        software_gate: software_gate_lib.SoftwareGate | None = None,
    ) -> None:
        self._answer_turns = answer_turns
        self.held = held or held_answers.HeldAnswers(
            None, answer_scheduler.MAX_PART_BYTES
        )
        self._software_gate = software_gate or software_gate_lib.SoftwareGate(
            0.0, lambda: None, metrics.Metrics()
        )
        self._stop_limit = stop_limit or stop_limit_lib.StopLimit(
            metrics.Metrics()
        )
        self._bodies = offered_bodies.OfferedBodies(
            body_receiver, self._stop_limit
        )
        self._allows_route = allows_route or _allow_route
        self._body_receiver = body_receiver
        self._exchange = server_exchange.ServerExchange(
            pool=pool,
            shared_quarantine=shared_quarantine,
            names=names,
            held=self.held,
        )
        self._shared_quarantine = shared_quarantine
        self._options = options or owned_server.OwnerOptions()
        self._owned: dict[str, owned_server.OwnedServer] = {}
        self._seen_attempts = seen_attempts.SeenAttempts()
        self._sent = metrics.Counter()
        self._admitter = attempt_admitter.AttemptAdmitter(shared_quarantine)
        self._report_leaving: LeavingReport = _ignore_leaving

    @property
    def sent(self) -> int:
        """Number of requests sent to local backend servers."""
        return self._sent.value

    @property
    def answer_wait_s(self) -> float:
        """Time that the link needs for the large answers held, in seconds."""
        return 0.0 if self._answer_turns is None else self._answer_turns.wait_s

    @property
    def rate_limit(self) -> float:
        """Lowest stated requests a second of a local server; -1 for none."""
        limits = [each.rate_limit for each in self._list_admissions()]
        return min((x for x in limits if x is not None), default=NO_RATE_LIMIT)

    @property
    def slowdown(self) -> float:
        """Highest told slowdown of a local server; -1 if none is told."""
        told = [each.stated_slowdown for each in self._list_admissions()]
        return max((x for x in told if x is not None), default=NO_SLOWDOWN)

    @property
    def held_back(self) -> int:
        """Slots of local servers left free as they make requests wait."""
        return sum(each.held_back for each in self._list_admissions())

    @property
    def expected_late(self) -> int:
        """Number of requests refused as they would have missed their target."""
        return self._admitter.expected_late

    def open(
        self,
        server: snapshots.BackendServer,
        address: str,
        instance: str = "",
        born_ms: int = 0,
    ) -> None:
        """Starts to admit requests for a server.

        Args:
          server: The server, as in the snapshot.
          address: `ip:port` at which it serves HTTP.
          instance: Instance ID that the server reported, or empty. It is sent
            with each request, so that another server that has taken over the
            address refuses the request.
          born_ms: Start of its process, in milliseconds since 1970; 0 if
            unknown.
        """
        previous = self._owned.get(server.server_id)
        owned = owned_server.OwnedServer(
            server,
            address,
            self._options,
            instance,
            self._body_receiver,
            born_ms,
            self._answer_turns,
        )
        if previous is not None and instance and previous.instance == instance:
            owned.adopt_rate(previous.admission.rate_limit)
        self._owned[server.server_id] = owned
        self._software_gate.add_server(server)
        _log.info(
            "server_opened",
            server=server.server_id,
            incarnation=server.incarnation,
            slots=server.slots,
            address=address,
            instance=instance,
        )

    def identify(self, server: snapshots.BackendServer, born_ms: int) -> None:
        """Sets what became known of a server's process after it was opened.

        Args:
          server: The server, with the version of its software.
          born_ms: Start of its process, in milliseconds since 1970.
        """
        owned = self._owned.get(server.server_id)
        if owned is not None:
            owned.server = server
            owned.born_ms = born_ms
            self._software_gate.add_server(server)

    def watch_leaving(self, report: LeavingReport) -> None:
        """Sets what is called when an answer states that its server leaves.

        The owner refuses new requests before it calls `report`, which gets the
        ID and the incarnation of the server.
        """
        self._report_leaving = report

    def close(self, server_id: str, reason: str) -> None:
        """Removes a server and refuses the requests queued for it."""
        owned = self._owned.pop(server_id, None)
        if owned is not None:
            owned.step(admission_events.ServerDown())
            self._software_gate.remove_server(server_id)
        _log.info("server_closed", server=server_id, reason=reason)

    def drain(self, server_id: str) -> None:
        """Refuses queued and new requests; running ones are finished."""
        owned = self._owned.get(server_id)
        if owned is not None:
            owned.drain()

    def mark_down(self, server_id: str) -> None:
        """Refuses requests for a server that accepts no connection."""
        owned = self._owned.get(server_id)
        if owned is not None:
            owned.mark_down()

    def mark_up(self, server_id: str) -> None:
        """Admits requests again for a server that accepts connections."""
        owned = self._owned.get(server_id)
        if owned is not None and owned.down and not owned.draining:
            owned.down = False
            owned.step(admission_events.ServerUp(slots=owned.server.slots))
            _log.info("server_up", server=server_id)

    def has_crashed(self, server_id: str) -> bool:
        """Returns whether the current incarnation of a server has crashed."""
        owned = self._owned.get(server_id)
        return owned is not None and owned.crashed

    def is_idle(self, server_id: str) -> bool:
        """Returns whether a server has no request, or is not open.

        An answer that an entry has in part counts as a request.
        """
        owned = self._owned.get(server_id)
        is_idle = owned is None or owned.is_idle()
        return is_idle and not self.held.holds(server_id)

    def list_busy(self) -> tuple[str, ...]:
        """Returns the IDs of the servers that aren't idle, sorted."""
        server_ids = {*self._owned, *self.held.list_server_ids()}
        return tuple(
            sorted(each for each in server_ids if not self.is_idle(each))
        )

    def run(
        self, request: hop.RunRequest, guard: watchdog.Guard
    ) -> hop.RunAnswer:
        """Admits one attempt and sends it to its server, or refuses it.

        Args:
          request: The attempt, with its whole body or the last part of it.
          guard: Ends the attempt at its deadline or when the entry disconnects.
        """
        owned = self._owned.get(request.server_id)
        if owned is None:
            self._bodies.drop(request)
            return owner_answers.make_refusal(
                request, offered_bodies.SERVER_UNKNOWN, None
            )
        answer = self._run(request, owned, guard)
        if request.known is None and not owned.has_stated:
            return answer
        return dataclasses.replace(answer, stated=owned.describe_statement())

    def _run(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
    ) -> hop.RunAnswer:
        if not self._seen_attempts.add(request.attempt_id):
            reason = admission_events.RefusalReason.DUPLICATE.value
            return owner_answers.make_refusal(request, reason, owned)
        if not self._allows_route(request, owned.server.service):
            self._bodies.drop(request)
            _log.info(
                "route_outdated",
                attempt=request.attempt_id,
                service=owned.server.service,
                publication=request.publication,
            )
            return owner_answers.make_refusal(
                request, hop.ROUTE_OUTDATED, owned
            )
        # Its version may become known while the request runs.
        server = owned.server
        if not self._software_gate.enter(server):
            self._bodies.drop(request)
            return self._refuse_version(request, owned)
        try:
            return self._run_allowed(request, owned, guard)
        finally:
            self._software_gate.leave(server)

    def _refuse_version(
        self, request: hop.RunRequest, owned: owned_server.OwnedServer
    ) -> hop.RunAnswer:
        if logs.allows_request_line(failed=True):
            _log.info(
                "version_barred",
                attempt=request.attempt_id,
                server=request.server_id,
                software=owned.server.software or "",
            )
        return owner_answers.make_refusal(request, hop.VERSION_BARRED, owned)

    def _run_allowed(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
    ) -> hop.RunAnswer:
        if request.offset:
            completed = self._bodies.complete(request)
            if completed is None:
                return owner_answers.make_refusal(
                    request, offered_bodies.BODY_LOST, owned
                )
            request = completed
        if self._apply_known(request, owned) or self._stop_limit.refuses(
            attempt=request.attempt_id,
            deadline=guard.deadline,
            kind=request.route,
            estimate_run_time=lambda: owned.estimate_run_time(request.route),
        ):
            reason = admission_events.RefusalReason.DRAINING.value
            return owner_answers.make_refusal(request, reason, owned)
        running = self._admitter.admit(request, owned, guard)
        if isinstance(running, hop.RunAnswer):
            return running
        if not self._software_gate.may_send(owned.server):
            owned.step(
                admission_events.Cancelled(request_id=request.attempt_id)
            )
            return self._refuse_version(request, owned)
        owned.start(request.attempt_id, running)
        self._sent.add()
        sent_at = time.monotonic()
        with self._stop_limit.track(request.route):
            answer = self._exchange.run(request, owned, guard, running)
        self._software_gate.count_answer(
            owned.server, request.route, sent_at, answer
        )
        if owned.stated.is_leaving and not owned.draining:
            self._drain_leaving(owned)
        return answer

    def offer(
        self, offer: hop.BodyOffer, guard: watchdog.Guard
    ) -> hop.RunAnswer | hop.BodyTaken:
        """Waits until a large body may be sent; see `OfferedBodies.offer`."""
        return self._bodies.offer(
            self._owned.get(offer.server_id), offer, guard
        )

    def estimate_run_time(self, request: hop.RunRequest) -> float:
        """Returns the expected run time of an attempt, in seconds."""
        owned = self._owned.get(request.server_id)
        return 0.0 if owned is None else owned.estimate_run_time(request.route)

    def refuse(
        self, request: hop.RunRequest, reason: str, retry_after_s: float
    ) -> hop.RunAnswer:
        """Refuses an attempt that is not run."""
        self._bodies.drop(request)
        owned = self._owned.get(request.server_id)
        return owner_answers.make_refusal(request, reason, owned, retry_after_s)

    def receive_part(self, part: hop.BodyPart) -> hop.RunAnswer | hop.BodyTaken:
        """Receives a part of a body, or refuses its request."""
        return self._bodies.receive_part(self._owned.get(part.server_id), part)

    def _apply_known(
        self, request: hop.RunRequest, owned: owned_server.OwnedServer
    ) -> bool:
        """Applies what the entry knows; returns whether to refuse for it."""
        known = request.known
        if known is None:
            return False
        if not known.may_concern(owned.instance, owned.born_ms):
            return False
        owned.adopt_rate(known.rate_limit)
        if not known.is_leaving:
            return False
        is_certain = owned.born_ms and known.born_ms
        if is_certain and not owned.draining:
            owned.mark_leaving()
            self._drain_leaving(owned)
        return True

    def _list_admissions(self) -> list[admission.Admission]:
        return [owned.admission for owned in tuple(self._owned.values())]

    def _drain_leaving(self, owned: owned_server.OwnedServer) -> None:
        owned.drain()
        server = owned.server
        self._report_leaving(server.server_id, server.incarnation)


def _ignore_leaving(server_id: str, incarnation: int) -> None:
    """Does nothing; the owner itself refuses new requests."""
    del server_id, incarnation


def _allow_route(request: hop.RunRequest, service: str) -> bool:
    """Leaves the choice of the service to the entry."""
    del request, service
    return True
