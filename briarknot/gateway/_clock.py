"""Clock of knowledge that must not look recent after a suspension."""

import time


def read_clock() -> float:
    """Reads a clock that includes the time of suspension of the host.

    :returns: the time in seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
