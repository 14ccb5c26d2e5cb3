"""Times of the store's clock in the clock of this process."""

import math

import attrs

#: Time after which a difference of the clocks is measured anew. Clocks that differ
#: by 100 millionths drift apart by 0.12 s in two of these windows.
_WINDOW_S = 600.0


@attrs.define(eq=False)
class StoreClock:
    """Converts times of the store, never to a later time than the true one.

    A call is sent before the store reads its clock for the answer. So the time of
    sending less the store's time is at most the difference of the clocks, and the
    largest value of recent calls is the closest.
    """

    _window_began_s: float = -math.inf
    _difference_s: float = -math.inf
    _difference_before_s: float = -math.inf

    def record(self, sent_s: float, store_s: float) -> None:
        """Records an answer.

        :param sent_s: local time before the call was sent.
        :param store_s: time of the store's clock in the answer.
        """
        if sent_s - self._window_began_s > _WINDOW_S:
            self._window_began_s = sent_s
            self._difference_before_s = self._difference_s
            self._difference_s = -math.inf
        self._difference_s = max(self._difference_s, sent_s - store_s)

    def forget(self) -> None:
        """Forgets all answers, because the store has another clock now."""
        self._window_began_s = -math.inf
        self._difference_s = -math.inf
        self._difference_before_s = -math.inf

    def convert(self, store_s: float) -> float:
        """Returns the local time of a time of the store's clock, or earlier.

        :param store_s: the time; 0 if it is not known.
        :returns: the local time; negative infinity without an answer.
        """
        if not store_s:
            return -math.inf
        return store_s + max(self._difference_s, self._difference_before_s)
