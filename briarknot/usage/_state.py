"""What a process knows of the usage reports of the fleet."""

import math
import time

import attrs

from briarknot.usage import _clock, _counts, _receivers

#: Time after a grant for which its holder counts as such. A holder has one granted
#: in each window of 5 s.
_HOLDER_MEMORY_S = 12.0
#: Time for which the clock of a host counts.
_CLOCK_MEMORY_S = 5.0
_MS_PER_S = 1000


@attrs.define(eq=False)
class Status:
    """The latest known holder of the duty, and the latest fixed window.

    :param holder: host of the holder; empty if none is known.
    :param fence: fencing number of its latest grant.
    :param granted_s: time of that grant by the steady clock.
    :param fixed_window: latest window whose report is stored; 0 if none is known.
    """

    holder: str = ''
    fence: int = 0
    granted_s: float = -math.inf
    fixed_window: int = 0

    def record_grant(self, holder: str, fence: int, granted_s: float) -> bool:
        """Records a grant, unless a later one is known.

        :param holder: its holder.
        :param fence: its fencing number.
        :param granted_s: its time.
        :returns: whether the holder is another one.
        """
        if fence <= self.fence:
            return False
        is_changed = holder != self.holder
        self.holder = holder
        self.fence = fence
        self.granted_s = granted_s
        return is_changed

    def record_fixed(self, window: int) -> None:
        """Records that the report of a window is stored, and of all before it.

        :param window: the window.
        """
        self.fixed_window = max(self.fixed_window, window)

    def get_holder(self, now: float) -> str:
        """Returns the holder, or an empty text where its grant is too old.

        :param now: time by the steady clock.
        """
        return self.holder if now - self.granted_s < _HOLDER_MEMORY_S else ''


@attrs.define(eq=False)
class Usage:
    """State of a process, without a network.

    :param born_ms: start of the process in Unix milliseconds.
    :param counts: counts of this process and those that it received.
    :param clock: true time.
    :param status: what is known of the reports.
    :param receivers: processes that get counts.
    :param acknowledged: latest change that a receiver has, by its host and the
        failure domain of sums.
    :param heard_clock: clock that a collector has stated.
    :param reported_clocks: clocks of the processes that report to this one.
    """

    born_ms: int
    counts: _counts.Counts
    clock: _clock.TrueClock
    status: Status
    receivers: _receivers.Receivers
    acknowledged: dict[tuple[str, str], int] = attrs.field(factory=dict)
    heard_clock: _clock.Clock | None = None
    reported_clocks: dict[str, _clock.Clock] = attrs.field(factory=dict)
    _summed_clocks: dict[str, tuple[float, _clock.Clock]] = attrs.field(
        factory=dict
    )

    def record_clock(self, host: str, clock: _clock.Clock, now: float) -> None:
        """Records the clock of a host, as sums state it.

        :param host: the host.
        :param clock: its clock.
        :param now: time by the steady clock.
        """
        self._summed_clocks[host] = (now, clock)

    def choose_clock(self, era: int, now: float) -> _clock.Clock | None:
        """Returns the clock that most hosts agree on, as sums state them.

        :param era: era of the store.
        :param now: time by the steady clock.
        """
        return _clock.choose_clock(
            (
                clock
                for seen_s, clock in self._summed_clocks.values()
                if now - seen_s < _CLOCK_MEMORY_S
            ),
            era,
        )


def make_usage() -> Usage:
    """Makes the state of a process that has counted nothing."""
    wall_s = time.time()
    clock = _clock.TrueClock()
    clock.observe(wall_s, time.clock_gettime(time.CLOCK_BOOTTIME))
    return Usage(
        int(wall_s * _MS_PER_S),
        _counts.Counts(),
        clock,
        Status(),
        _receivers.Receivers(),
    )
