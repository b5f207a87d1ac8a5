"""Metrics of quotas: what each account used, and what holders granted."""

from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quotas as quotas_lib
from lovagesaddle.observability import metrics as metrics_lib

# A counter is never removed, so accounts beyond these share one label.
MAX_ACCOUNTS = 200
OTHER_ACCOUNTS = "other"


class QuotaMetrics:
    """Counts requests by account, and the messages about quotas.

    Args:
      metrics: Metrics of this process.
      quotas: Quotas of this node.
    """

    def __init__(
        self, metrics: metrics_lib.Metrics, quotas: quotas_lib.NodeQuotas
    ) -> None:
        self._metrics = metrics
        self._names: set[str] = set()
        self._admitted: dict[str, metrics_lib.Counter] = {}
        self._refused: dict[tuple[str, bool], metrics_lib.Counter] = {}
        self._waits = metrics.get_counter(
            "quota_waits_total", "Requests that had to wait for a token"
        )
        self._returned = metrics.get_counter(
            "quota_returned_total",
            "Tokens returned by requests that didn't run",
        )
        self._asks = metrics.get_counter(
            "quota_asks_total", "Asks of other nodes that this node received"
        )
        self._answers = {
            state: metrics.get_counter(
                "quota_answers_total",
                "Answers of other holders that this node received, by state",
                labels={"state": state.name.lower()},
            )
            for state in messages.HolderState
        }
        metrics.set_gauge(
            "quota_leased_tokens",
            "Tokens of this node's parts that entries may hold",
            quotas.count_leased,
        )
        metrics.set_gauge(
            "quota_expired_tokens_total",
            "Tokens of this node's parts that ran out and count as used",
            quotas.count_expired,
            kind="counter",
        )

    def count_admitted(self, account: str) -> None:
        """Counts a request that used a token."""
        counter = self._admitted.get(account)
        if counter is None:
            counter = self._metrics.get_counter(
                "quota_admitted_total",
                "Requests that used a token, by account",
                labels={"account": self._bound(account)},
            )
            self._admitted[account] = counter
        counter.add()

    def count_refused(self, account: str, *, is_over: bool) -> None:
        """Counts a request that got no token."""
        counter = self._refused.get((account, is_over))
        if counter is None:
            counter = self._metrics.get_counter(
                "quota_refusals_total",
                "Requests refused by a quota, by account and reason",
                labels={
                    "account": self._bound(account),
                    "reason": "over" if is_over else "unknown",
                },
            )
            self._refused[account, is_over] = counter
        counter.add()

    def count_returned(self, *, is_returned: bool) -> None:
        """Counts a token that came back, if it could."""
        if is_returned:
            self._returned.add()

    def count_wait(self) -> None:
        """Counts a request that had to wait."""
        self._waits.add()

    def count_received(self, message: messages.QuotaMessage) -> None:
        """Counts a message of another node."""
        if isinstance(message, messages.Ask):
            self._asks.add()
        else:
            self._answers[message.state].add()

    def _bound(self, account: str) -> str:
        if len(self._names) < MAX_ACCOUNTS:
            self._names.add(account)
        return account if account in self._names else OTHER_ACCOUNTS
