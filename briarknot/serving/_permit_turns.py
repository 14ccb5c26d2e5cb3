"""Turns of requests at a worker that has named a limit."""

import collections

import attrs

#: Permits in a window: a multiple of the limit, and a constant. The platform allows
#: one and a half times the limit in 4 s, and five requests more. The longer window
#: and the smaller constant cover requests that arrive later than others.
_WINDOW_S = 4.35
_LIMIT_S = 6.0
_EXTRA = 4
#: Share of a window's permits that may be issued at once, beyond an even pace.
_BURST_SHARE = 0.3
_MIN_BURST = 4
#: Permits of a window that are kept for more urgent requests, for each rank below
#: the most urgent one, and largest share of the window for that.
_RESERVED_PER_RANK = 2
_MAX_RESERVED_SHARE = 0.5


@attrs.define(eq=False)
class PermitTurns:
    """Turns in the last window, and later ones, in order."""

    _turns_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def find(self, permits: int, rank: int, now: float) -> float:
        """Returns the next turn.

        :param permits: number of permits in a window.
        :param rank: urgency of the request; 0 is the most urgent.
        :param now: monotonic time in seconds.
        :returns: monotonic time of the turn.
        """
        turns_s = self._turns_s
        while turns_s and turns_s[0] <= now - _WINDOW_S:
            turns_s.popleft()
        reserved = min(
            rank * _RESERVED_PER_RANK, int(permits * _MAX_RESERVED_SHARE)
        )
        turn_s = now
        usable = permits - reserved
        if len(turns_s) >= usable:
            turn_s = max(turn_s, turns_s[-usable] + _WINDOW_S)
        burst = max(_MIN_BURST, int(permits * _BURST_SHARE))
        pace_s = burst * _WINDOW_S / permits
        burst = max(1, burst - reserved)
        if len(turns_s) >= burst:
            turn_s = max(turn_s, turns_s[-burst] + pace_s)
        return max(turn_s, turns_s[-1]) if turns_s else turn_s

    def add(self, turn_s: float) -> None:
        """Adds a turn that was issued.

        :param turn_s: monotonic time of the turn, as it was found.
        """
        self._turns_s.append(turn_s)

    def assume_used(self, permits: int, end_s: float) -> None:
        """Assumes that all permits of a window were issued at an even pace.

        :param permits: number of permits in a window.
        :param end_s: monotonic time of the end of the window.
        """
        pace_s = _WINDOW_S / permits
        self._turns_s.extend(
            end_s - number * pace_s for number in reversed(range(permits))
        )


def count_permits(limit_per_s: float) -> int:
    """Returns the number of permits in a window.

    :param limit_per_s: requests per second that the worker takes.

    >>> count_permits(0), count_permits(1.1)
    (4, 10)
    """
    return int(limit_per_s * _LIMIT_S) + _EXTRA


def make_permit_turns() -> PermitTurns:
    """Makes turns of which none was issued."""
    return PermitTurns()
