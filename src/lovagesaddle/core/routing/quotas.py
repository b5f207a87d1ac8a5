"""Quotas at one node: its ledger as an entry and its parts as a holder."""

from collections.abc import Iterable

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import quota_holder
from lovagesaddle.core.routing import quota_ledger
from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_rules

Receipt = quota_ledger.Receipt
Send = quota_ledger.Send
Verdict = quota_ledger.Verdict


class NodeQuotas:
    """Decides on requests of accounts with a quota, for one node.

    What a node asks itself is answered at once, without a message.

    Args:
      node_id: ID of this node.
      rules: Rule on quotas.
      now: Start of the process, by a clock that counts suspensions.
    """

    def __init__(
        self, *, node_id: str, rules: quota_rules.QuotaRules, now: float
    ) -> None:
        self._node_id = node_id
        self._rules = rules
        self._holder = quota_holder.QuotaHolder(
            node_id=node_id, rules=rules, now=now
        )
        self._ledger = quota_ledger.QuotaLedger(
            node_id=node_id,
            rules=rules,
            find_parts=lambda: self._holder.parts,
        )

    def install(
        self,
        nodes: Iterable[snapshots.Node],
        accounts: Iterable[services.ClientAccount],
        *,
        now: float,
        table_age_s: float | None,
    ) -> None:
        """Installs a newer table; see `quota_holder.QuotaHolder.install`."""
        self._holder.install(nodes, accounts, now=now, table_age_s=table_age_s)

    def admit(
        self, account: str, *, now: float, table_age_s: float | None
    ) -> tuple[Receipt | None, tuple[Send, ...]]:
        """Counts a request and uses a token for it, if there is one.

        Returns:
          The token, and messages to send.
        """
        self._ledger.record_request(account, now)
        receipt = self._ledger.take(account, now)
        sends: tuple[Send, ...] = ()
        if receipt is not None:
            sends = self._ask(account, now, table_age_s)
        swept = self._send(self._ledger.sweep(now), now, table_age_s)
        return receipt, (*sends, *swept)

    def retry(
        self, account: str, *, now: float, table_age_s: float | None
    ) -> tuple[Receipt | None, tuple[Send, ...]]:
        """Uses a token for a request that waits, or asks for one.

        Returns:
          The token, and messages to send.
        """
        receipt = self._ledger.take(account, now)
        if receipt is not None:
            return receipt, ()
        sends = self._ask(account, now, table_age_s)
        return self._ledger.take(account, now), sends

    def change_waiting(self, account: str, by: int) -> None:
        """Counts the requests that wait for a token."""
        self._ledger.change_waiting(account, by)

    def judge(
        self, account: str, *, now: float, table_age_s: float | None
    ) -> tuple[Verdict, float]:
        """See `quota_ledger.QuotaLedger.judge`.

        A node whose table is not proved young enough asks nobody: it can't
        tell who holds the parts, and the holders may be no better off.
        """
        if not self._is_proved(table_age_s):
            return Verdict.UNKNOWN, quota_ledger.SILENCE_S
        return self._ledger.judge(account, now)

    def give_back(self, receipt: Receipt) -> bool:
        """See `quota_ledger.QuotaLedger.give_back`."""
        return self._ledger.give_back(receipt)

    def receive(
        self,
        sender_id: str,
        message: messages.QuotaMessage,
        *,
        now: float,
        table_age_s: float | None,
    ) -> tuple[Send, ...]:
        """Handles a message of another node or of this one."""
        if isinstance(message, messages.Grant):
            self._ledger.receive(sender_id, message, now)
            return ()
        grant = self._holder.answer(
            sender_id, message, now=now, table_age_s=table_age_s
        )
        if grant is None:
            return ()
        return (Send(node_id=sender_id, message=grant),)

    def count_leased(self) -> int:
        """Returns the tokens that entries may hold of this node's parts."""
        return self._holder.count_leased()

    def count_expired(self) -> int:
        """Returns the tokens of its parts that ran out without a report."""
        return self._holder.count_expired()

    def _is_proved(self, table_age_s: float | None) -> bool:
        return table_age_s is not None and table_age_s <= self._rules.proof_s

    def _ask(
        self, account: str, now: float, table_age_s: float | None
    ) -> tuple[Send, ...]:
        if not self._is_proved(table_age_s):
            return ()
        asks = self._ledger.plan_asks(account, now)
        return self._send(asks, now, table_age_s)

    def _send(
        self, sends: tuple[Send, ...], now: float, table_age_s: float | None
    ) -> tuple[Send, ...]:
        """Answers what this node asks itself; returns the other messages."""
        remote = tuple(send for send in sends if send.node_id != self._node_id)
        for send in sends:
            if send.node_id == self._node_id:
                answers = self.receive(
                    self._node_id,
                    send.message,
                    now=now,
                    table_age_s=table_age_s,
                )
                for answer in answers:
                    assert isinstance(answer.message, messages.Grant)
                    self._ledger.receive(self._node_id, answer.message, now)
        return remote
