"""Incarnation numbers."""

import time

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def make_incarnation(at_least: int = 0) -> int:
    """Returns a new incarnation number.

    Hosts have no disks, so it is the wall clock in milliseconds, which grows
    with each start. If the clock was set back, a peer's suspicion of the
    higher number raises the new one above it.

    :param at_least: lowest allowed number, e.g. the last one plus one.

    >>> make_incarnation(at_least=2**60) == 2**60
    True
    """
    now_ms = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    return max(now_ms, at_least)
