"""Lets the threads that answer callers wait for a proof of the table's age."""

from collections.abc import Callable
import threading

from lovagesaddle import clocks
from lovagesaddle.core.routing import table_age
from lovagesaddle.node import ports
from lovagesaddle.observability import logs

MS_PER_S = 1000
_log = logs.get_logger("routing")


class TableProofs:
    """Holds the newest proof of the table's age; any thread may use it.

    Args:
      max_age_s: Largest age at which the table is acted on without reserve, in
        seconds.
      withdrawal_bound_s: Time after which a key that was taken away is refused
        everywhere, in seconds; 0 for no bound.
    """

    def __init__(
        self, max_age_s: float, withdrawal_bound_s: float = 0.0
    ) -> None:
        self._age = table_age.TableAge(max_age_s, withdrawal_bound_s)
        self._changed = threading.Condition()
        self._control: ports.ControlPort | None = None

    def connect(self, control: ports.ControlPort) -> None:
        """Starts to ask for proofs through the control thread."""
        self._control = control

    def record(self, current_at: float) -> None:
        """Records a proof, once the table that it concerns is in force.

        Args:
          current_at: Monotonic time in seconds; everything that was accepted
            before it is part of the table.
        """
        with self._changed:
            self._age.record_proof(current_at, clocks.read_uptime())
            self._changed.notify_all()

    def compute_age(self) -> float | None:
        """Returns how old the table may be, in seconds; None if unproved."""
        return self._age.compute_age(clocks.read_uptime())

    def prove(self) -> bool:
        """Returns whether the table is young enough; may wait for a proof.

        The table has to be read after the call: it is at least as new as the
        one that the proof concerns.
        """
        if self._is_proved():
            return True
        with self._changed:
            decision = self._age.decide(clocks.read_uptime())
        if decision.asks:
            self._log_unproved()
            self._ask()
        with self._changed:
            return self._changed.wait_for(
                self._is_proved,
                max(0.0, decision.wait_until - clocks.read_uptime()),
            )

    def takes_keys(self) -> bool:
        """Returns whether keys of client accounts may be taken.

        It is called after the request has arrived and before the table is
        read. While no key is taken, it asks for a proof from time to time.
        """
        if self._age.takes_keys(clocks.read_uptime()):
            return True
        with self._changed:
            asks = self._age.asks_for_keys(clocks.read_uptime())
        if asks:
            self._log_unproved()
            self._ask()
        return False

    def await_version(self, is_newer: Callable[[], bool]) -> bool:
        """Asks for the newest version and waits a moment until it is in force.

        Args:
          is_newer: Returns whether the awaited version is in force.

        Returns:
          Whether it is.
        """
        self._ask()
        with self._changed:
            return self._changed.wait_for(is_newer, table_age.PROOF_WAIT_S)

    def _is_proved(self) -> bool:
        return self._age.is_proved(clocks.read_uptime())

    def _ask(self) -> None:
        if self._control is not None:
            self._control.request_proof()

    def _log_unproved(self) -> None:
        age_s = self.compute_age()
        if logs.allows_request_line(failed=True):
            _log.warning(
                "table_unproved",
                age_ms="none" if age_s is None else int(age_s * MS_PER_S),
            )
