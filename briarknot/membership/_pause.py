"""Detects gaps in the execution of this process."""

import asyncio
import collections.abc
import time

import attrs

#: Checks per limit, so that a gap is detected soon after the process resumes.
_CHECKS_PER_LIMIT = 4


def read_boot_clock() -> float:
    """Returns the time since boot in seconds, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class PauseDetector:
    """Detects gaps; made by :func:`make_pause_detector`."""

    _limit_s: float
    _on_pause: collections.abc.Callable[[float], None]
    _clock: collections.abc.Callable[[], float]
    _checked_at_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Measures the first gap from now."""
        self._checked_at_s = self._clock()

    def check(self) -> float:
        """Checks for a gap and reports one to ``on_pause``.

        After a pause any task may run first. A task that must not act on old
        state calls this before it acts.

        :returns: length of the gap in seconds, or 0.
        """
        now = self._clock()
        gap_s = now - self._checked_at_s
        self._checked_at_s = now
        if gap_s <= self._limit_s:
            return 0
        self._on_pause(gap_s)
        return gap_s

    async def run(self) -> None:
        """Checks periodically, until cancelled."""
        self._checked_at_s = self._clock()
        while True:
            await asyncio.sleep(self._limit_s / _CHECKS_PER_LIMIT)
            self.check()


def make_pause_detector(
    limit_s: float,
    on_pause: collections.abc.Callable[[float], None],
    clock: collections.abc.Callable[[], float] = read_boot_clock,
) -> PauseDetector:
    """Makes a detector; the caller starts its ``run`` as a task.

    :param limit_s: longest gap that is not a pause, in seconds.
    :param on_pause: called with the length of the gap in seconds.
    :param clock: clock in seconds.

    >>> gaps, times = [], iter([0, 1, 9])
    >>> detector = make_pause_detector(2, gaps.append, lambda: next(times))
    >>> detector.check(), detector.check(), gaps
    (0, 8, [8])
    """
    return PauseDetector(limit_s, on_pause, clock)
