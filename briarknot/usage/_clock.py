"""True time, as most processes of the fleet see it.

Wall clocks differ between hosts, and may jump by seconds and back. The clock that
includes suspension and the store's clock are steady, but neither is the time of day.
"""

import typing

import attrs

#: Larger changes of the wall clock against the steady one are jumps; smaller ones
#: are corrections by time synchronization.
_MAX_CORRECTION_S = 0.2
#: Time after which a jump is taken for the end of an earlier error.
_MAX_JUMP_S = 600.0
#: Smaller differences are not reported; they move few requests to another window.
_DIFFERENCE_S = 0.5


@attrs.frozen
class Clock:
    """A wall clock in relation to the store's clock.

    :param offset_s: the wall clock less the store's clock.
    :param era: era of the store for which that holds.
    """

    offset_s: float
    era: int


@attrs.define(eq=False)
class TrueClock:
    """True time in relation to the clock of this process that is steady.

    :param agreed: clock that most processes agree on; None if it is not known.
    """

    agreed: Clock | None = None
    _local_s: float | None = None
    _jumped_s: float | None = None
    _agreed_s: float | None = None

    @property
    def is_different(self) -> bool:
        """Whether the local wall clock is not the one that is agreed on."""
        if self._agreed_s is None or self._local_s is None:
            return False
        return abs(self._agreed_s - self._local_s) > _DIFFERENCE_S

    def observe(self, wall_s: float, now: float) -> None:
        """Reads the local wall clock.

        :param wall_s: Unix time by the wall clock.
        :param now: time by the steady clock, in seconds.
        """
        offset_s = wall_s - now
        if self._local_s is None:
            self._local_s = offset_s
        elif abs(offset_s - self._local_s) <= _MAX_CORRECTION_S:
            self._local_s = offset_s
            self._jumped_s = None
        elif self._jumped_s is None:
            self._jumped_s = now
        elif now - self._jumped_s > _MAX_JUMP_S:
            self._local_s = offset_s
            self._jumped_s = None

    def state(self, store_less_s: float, era: int) -> Clock | None:
        """Returns the local wall clock in relation to the store's clock.

        :param store_less_s: the steady clock less the store's clock.
        :param era: era of the store.
        """
        if self._local_s is None:
            return None
        return Clock(self._local_s + store_less_s, era)

    def agree(self, clock: Clock | None, store_less_s: float, era: int) -> None:
        """Takes the time from the clock that most processes agree on.

        :param clock: the clock; None if it is not known.
        :param store_less_s: the steady clock less the store's clock.
        :param era: era of the store for which that holds.
        """
        if clock is None or clock.era != era:
            return
        self.agreed = clock
        self._agreed_s = clock.offset_s - store_less_s

    def read(self, now: float) -> float:
        """Returns the true time.

        :param now: time by the steady clock, in seconds.
        """
        if self._agreed_s is not None:
            return now + self._agreed_s
        return now + (self._local_s or 0)


def choose_clock(clocks: typing.Iterable[Clock], era: int) -> Clock | None:
    """Returns the clock that most hosts agree on.

    :param clocks: a clock of each host.
    :param era: era of the store.
    """
    offsets_s = sorted(one.offset_s for one in clocks if one.era == era)
    if not offsets_s:
        return None
    return Clock(offsets_s[(len(offsets_s) - 1) // 2], era)
