"""Penalty of slow and failing endpoints: quick to rise, slow to fall."""

import attrs

#: Time in which an endpoint's excess penalty halves. Traffic returns over a
#: few half-lives, so that an endpoint that is still bad gets little of it.
_HALF_LIFE_S = 5.0
_MAX_PENALTY = 64.0
_FAILURE_PENALTY = 8.0
#: Exclusion after a failure, doubled with each further one.
_FIRST_EXCLUSION_S = 1.0
_MAX_EXCLUSION_S = 30.0
#: First-token times below this multiple of the expectation are noise.
_NOISE_RATIO = 2.0
#: A failure later than this starts a new series.
_SERIES_S = 60.0


@attrs.define
class Health:
    """Penalty factor and exclusion of one endpoint."""

    _excess: float = 0
    _at_s: float = 0
    _failures: int = 0
    _failed_at_s: float = float('-inf')
    _excluded_until_s: float = float('-inf')

    @property
    def excluded_until_s(self) -> float:
        """Time until which the endpoint gets no work."""
        return self._excluded_until_s

    def penalty(self, now: float) -> float:
        """Returns the factor by which the endpoint's score grows, from 1."""
        elapsed = max(0, now - self._at_s)
        return 1.0 + self._excess * 0.5 ** (elapsed / _HALF_LIFE_S)

    def is_excluded(self, now: float) -> bool:
        """Tells whether the endpoint gets no work."""
        return now < self._excluded_until_s

    def apply_ratio(self, ratio: float, now: float) -> None:
        """Takes an observed time over the expected time."""
        if ratio > _NOISE_RATIO:
            self._raise_to(ratio, now)

    def apply_error(self, now: float) -> None:
        """Takes an attempt that did not end well."""
        self._raise_to(self.penalty(now) + _FAILURE_PENALTY, now)

    def apply_failure(self, now: float) -> None:
        """Excludes the endpoint for a while."""
        if now - self._failed_at_s > _SERIES_S:
            self._failures = 0
        if not self.is_excluded(now):
            # Attempts that break together are one failure.
            self._failures += 1
            length = _FIRST_EXCLUSION_S * 2 ** (self._failures - 1)
            self._excluded_until_s = now + min(length, _MAX_EXCLUSION_S)
        self._failed_at_s = now
        self.apply_error(now)

    def apply_sign_of_life(self, as_of: float) -> None:
        """Ends an exclusion that is older than a report; the penalty stays.

        :param as_of: time that the report describes.
        """
        if as_of > self._failed_at_s:
            self._excluded_until_s = float('-inf')

    def _raise_to(self, penalty: float, now: float) -> None:
        highest = max(penalty, self.penalty(now))
        self._excess = min(highest, _MAX_PENALTY) - 1.0
        self._at_s = now
