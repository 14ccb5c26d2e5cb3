"""Retry budget: limits retries to a share of recent successes."""

import attrs

from briarknot import sentinels

#: Time over which unused retries accumulate, so that a long time without
#: failures does not allow a retry storm.
_WINDOW_S = 10.0


@attrs.frozen
class RetryGranted:
    """A retry that may be sent."""


@attrs.frozen(kw_only=True)
class RetryRefused(sentinels.Sentinel):
    """Sentinel for a retry beyond the budget.

    :param reason: sentence with the figures, for the journal.
    """

    reason: str


@attrs.define(eq=False)
class RetryBudget:
    """Token bucket that is filled by successes and used by retries."""

    _share: float
    _floor_per_s: float
    _tokens: float
    _recent_successes: float = 0
    _updated_s: float | None = None

    def record_success(self, now: float) -> None:
        """Records a completed request, which adds to the budget."""
        self._advance(now)
        self._recent_successes += 1
        self._tokens = min(self._tokens + self._share, self._bound)

    def try_acquire(self, now: float) -> RetryGranted | RetryRefused:
        """Takes one retry from the budget.

        :param now: monotonic time in seconds.
        """
        self._advance(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return RetryGranted()
        return RetryRefused(
            reason=(
                f'retry budget spent: {self._tokens:.2f} retries left, filled '
                f'by {self._share:.2f} for each success and '
                f'{self._floor_per_s:.2f} a second'
            )
        )

    @property
    def _bound(self) -> float:
        return max(1, self._share * self._recent_successes + self._floor_bound)

    @property
    def _floor_bound(self) -> float:
        return self._floor_per_s * _WINDOW_S

    def _advance(self, now: float) -> None:
        before = now if self._updated_s is None else self._updated_s
        elapsed = max(0, now - before)
        self._recent_successes *= max(0, 1 - elapsed / _WINDOW_S)
        self._tokens += self._floor_per_s * elapsed
        self._tokens = min(self._tokens, self._bound)
        self._updated_s = max(now, before)


def make_retry_budget(share: float, floor_per_s: float) -> RetryBudget:
    """Makes a retry budget.

    :param share: retries for each success, such as 0.1.
    :param floor_per_s: retries a second that are allowed without successes.

    >>> budget = make_retry_budget(share=0.1, floor_per_s=0.1)
    >>> [bool(budget.try_acquire(now=0)) for _ in range(2)]
    [True, False]
    """
    return RetryBudget(share, floor_per_s, max(1, floor_per_s * _WINDOW_S))
