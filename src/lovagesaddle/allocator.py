"""Settings of the C library's memory allocator."""

import ctypes

from lovagesaddle.observability import logs

# Options of mallopt(3) in glibc.
TRIM_THRESHOLD = -1
MMAP_THRESHOLD = -3
LARGE_BYTES = 128 * 1024
_log = logs.get_logger("allocator")


def return_large_blocks() -> bool:
    """Returns large blocks to the system as soon as they are freed.

    glibc raises its thresholds to the largest block freed so far, up to 32 MB.
    Bodies then come from the heaps of threads, which keep what is freed, so
    that a process holds the largest body of each thread though only a few of
    them exist at a time. Thresholds that are set stay as they are.

    Returns:
      Whether the C library has these options. One without them manages its
      memory in another way.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except AttributeError:
        is_set = False
    else:
        is_set = all(
            set_option(option, LARGE_BYTES)
            for option in (MMAP_THRESHOLD, TRIM_THRESHOLD)
        )
    if not is_set:
        _log.warning("allocator_unchanged", cause="no thresholds to set")
    return is_set
