"""Applies the quotas of client accounts to callers' requests.

Requests wait at most `WAIT_S` for a token, and only where the node holds none
and a holder may still have one. The control thread answers other nodes.
"""

import dataclasses
import random
import threading
import time

from lovagesaddle import clocks
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quota_ledger
from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_rules
from lovagesaddle.core.routing import quotas as quotas_lib
from lovagesaddle.http import wsgi
from lovagesaddle.node import call_answers
from lovagesaddle.node import peer_messages
from lovagesaddle.node import ports
from lovagesaddle.node import quota_metrics
from lovagesaddle.node import table_proofs
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint

# Longest wait for a token, in seconds; three silent holders are given up.
WAIT_S = 0.12
# When a caller returns whose wait ended before the answers came, in seconds.
LATE_ANSWERS_S = 0.25
# Least time until a caller returns to holders that have nothing left, in
# seconds. One of them may be asked again sooner, but the account's other
# callers ask it as well.
LEAST_RETRY_S = 0.25
# Callers that were refused together return spread over this share more.
RETRY_SPREAD = 0.5
MS_PER_S = 1000
OVER_QUOTA = "over-quota"
QUOTA_UNKNOWN = "quota-unknown"
_log = logs.get_logger("quotas")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request may run; `receipt` is None if no quota applies to it."""

    receipt: quotas_lib.Receipt | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A request did not run.

    Attributes:
      is_over: Whether the account is over its quota; otherwise this node can't
        tell at present.
      retry_after_s: When there may be room, in seconds.
    """

    is_over: bool
    retry_after_s: float


class Quotas:
    """Admits the requests of accounts with a quota; any thread may use it.

    Args:
      node_id: ID of this node.
      rules: Rule on quotas; None if quotas are not applied, which costs
        nothing.
      proofs: Proofs of the age of the routing table.
      metrics: Metrics of this process.
    """

    def __init__(
        self,
        *,
        node_id: str,
        rules: quota_rules.QuotaRules | None,
        proofs: table_proofs.TableProofs,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._proofs = proofs
        self._lock = threading.Lock()
        self._changed: dict[str, threading.Condition] = {}
        self._random = random.Random()
        self._control: ports.ControlPort | None = None
        self._quotas: quotas_lib.NodeQuotas | None = None
        if rules is not None:
            self._quotas = quotas_lib.NodeQuotas(
                node_id=node_id, rules=rules, now=clocks.read_uptime()
            )
            self._metrics = quota_metrics.QuotaMetrics(metrics, self._quotas)

    def connect(self, control: ports.ControlPort) -> None:
        """Starts to exchange messages through the control thread."""
        self._control = control
        if self._quotas is not None:
            control.subscribe(endpoint.Channel.QUOTAS, self._receive)

    def install(self, snapshot: snapshots.Snapshot, *, joined: bool) -> None:
        """Installs a newer snapshot, before a proof of it is recorded."""
        if self._quotas is None or not joined:
            return
        with self._lock:
            self._quotas.install(
                snapshot.nodes,
                snapshot.accounts or (),
                now=clocks.read_uptime(),
                table_age_s=self._proofs.compute_age(),
            )

    def admit(
        self, account: services.ClientAccount | None, deadline: float
    ) -> Admitted | Refused:
        """Uses a token of the account; may wait for one.

        Args:
          account: Account that sent the request; None for none.
          deadline: When the caller gets an answer at the latest, in monotonic
            seconds.
        """
        if self._quotas is None or account is None or account.rate_per_s <= 0:
            return Admitted()
        name = account.name
        with self._lock:
            receipt, sends = self._quotas.admit(
                name,
                now=clocks.read_uptime(),
                table_age_s=self._proofs.compute_age(),
            )
        self._send(sends)
        if receipt is None:
            return self._await_token(name, deadline)
        self._metrics.count_admitted(name)
        return Admitted(receipt=receipt)

    def give_back(self, admitted: Admitted) -> None:
        """Returns the token of a request that is proved not to have run."""
        if self._quotas is None or admitted.receipt is None:
            return
        with self._lock:
            returned = self._quotas.give_back(admitted.receipt)
        self._metrics.count_returned(is_returned=returned)

    def _await_token(self, name: str, deadline: float) -> Admitted | Refused:
        assert self._quotas is not None
        left_s = min(WAIT_S, max(0.0, deadline - time.monotonic()))
        ends_at = clocks.read_uptime() + left_s
        with self._lock:
            self._quotas.change_waiting(name, 1)
        try:
            outcome = self._try(name, ends_at)
            while outcome is None:
                outcome = self._try(name, ends_at)
        finally:
            with self._lock:
                self._quotas.change_waiting(name, -1)
        self._metrics.count_wait()
        if isinstance(outcome, Admitted):
            self._metrics.count_admitted(name)
        else:
            self._record_refusal(name, outcome)
        return outcome

    def _try(self, name: str, ends_at: float) -> Admitted | Refused | None:
        """Takes a token, asks for one or waits a moment; None to go on."""
        assert self._quotas is not None
        with self._lock:
            now = clocks.read_uptime()
            age_s = self._proofs.compute_age()
            receipt, sends = self._quotas.retry(
                name, now=now, table_age_s=age_s
            )
            if receipt is None and not sends:
                verdict, retry_s = self._quotas.judge(
                    name, now=now, table_age_s=age_s
                )
                if verdict is not quotas_lib.Verdict.WAIT:
                    is_over = verdict is quotas_lib.Verdict.OVER
                    return Refused(
                        is_over=is_over,
                        retry_after_s=max(retry_s, LEAST_RETRY_S),
                    )
                if now >= ends_at:
                    return Refused(is_over=False, retry_after_s=LATE_ANSWERS_S)
                changed = self._changed.setdefault(
                    name, threading.Condition(self._lock)
                )
                changed.wait(min(quota_ledger.PATIENCE_S, ends_at - now))
        self._send(sends)
        return None if receipt is None else Admitted(receipt=receipt)

    def _record_refusal(self, name: str, refused: Refused) -> None:
        self._metrics.count_refused(name, is_over=refused.is_over)
        if logs.allows_request_line(failed=True):
            _log.info(
                "quota_refused",
                account=name,
                reason=OVER_QUOTA if refused.is_over else QUOTA_UNKNOWN,
                retry_after_ms=int(refused.retry_after_s * MS_PER_S),
            )

    def _receive(self, sender_id: str, data: bytes) -> None:
        assert self._quotas is not None
        message = peer_messages.decode(
            messages.QUOTA_MESSAGES, data, peer=sender_id, log=_log
        )
        if message is None:
            return
        with self._lock:
            sends = self._quotas.receive(
                sender_id,
                message,
                now=clocks.read_uptime(),
                table_age_s=self._proofs.compute_age(),
            )
            changed = self._changed.get(message.account)
            if changed is not None and isinstance(message, messages.Grant):
                changed.notify_all()
        self._metrics.count_received(message)
        self._send(sends)

    def _send(self, sends: tuple[quotas_lib.Send, ...]) -> None:
        for send in sends:
            if self._control is not None:
                data = messages.QUOTA_MESSAGES.encode(send.message)
                self._control.send(send.node_id, endpoint.Channel.QUOTAS, data)

    def make_answer(
        self, refused: Refused, names: header_names.HeaderNames
    ) -> wsgi.Answer:
        """Returns the refusal of a request, with a time to return at."""
        spread = 1 + RETRY_SPREAD * self._random.random()
        seconds = call_answers.format_retry_after(
            refused.retry_after_s * spread, names
        )
        return wsgi.make_failure(
            429 if refused.is_over else 503,
            OVER_QUOTA if refused.is_over else QUOTA_UNKNOWN,
            outcomes.RequestOutcome.NOT_RUN,
            (("Retry-After", seconds),),
        )


def make_rules(
    settings: schema.NodeSettings,
) -> quota_rules.QuotaRules | None:
    """Returns the rule on quotas by the settings; None if there is none."""
    if not settings.quota_window_s:
        return None
    return quota_rules.QuotaRules(
        window_s=settings.quota_window_s,
        overrun=settings.quota_overrun,
        slack=settings.quota_slack,
    )
