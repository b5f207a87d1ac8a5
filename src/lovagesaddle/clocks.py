"""The clock by which processes measure the age of what they know.

It goes on while the VM is suspended, which the steady clock of the system does
not on Linux: leases, proofs and timeouts then run out as for everybody else.
Nobody can step it.
"""

import time


def read_uptime() -> float:
    """Returns the seconds since the VM was started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
