"""Penalty of slow and failing endpoints: rises at once, decays slowly."""

import attrs

#: Half-life of the part of the penalty above 1. Traffic returns over a few
#: half-lives, so that an endpoint that still fails gets little of it.
_HALF_LIFE_S = 5.0
_MAX_PENALTY = 64.0
_FAILURE_PENALTY = 8.0
#: Exclusion after a failure, doubled with each further one.
_FIRST_EXCLUSION_S = 1.0
_MAX_EXCLUSION_S = 30.0
#: Ratios of observed to expected first-token time up to this are noise.
_NOISE_RATIO = 2.0
#: Time after which a further failure starts again at the first exclusion.
_SERIES_S = 60.0


@attrs.define
class Health:
    """Penalty factor and exclusion of one endpoint."""

    _excess_penalty: float = 0
    _updated_s: float = 0
    _failures: int = 0
    _failed_at_s: float = float('-inf')
    _excluded_until_s: float = float('-inf')

    @property
    def excluded_until_s(self) -> float:
        """Time until which the endpoint gets no work."""
        return self._excluded_until_s

    def penalty(self, now: float) -> float:
        """Returns the factor on the endpoint's score, at least 1."""
        elapsed = max(0, now - self._updated_s)
        return 1.0 + self._excess_penalty * 0.5 ** (elapsed / _HALF_LIFE_S)

    def is_excluded(self, now: float) -> bool:
        """Returns whether the endpoint gets no work."""
        return now < self._excluded_until_s

    def apply_ratio(self, ratio: float, now: float) -> None:
        """Records the ratio of an observed to the expected time."""
        if ratio > _NOISE_RATIO:
            self._raise_to(ratio, now)

    def apply_error(self, now: float) -> None:
        """Records a failed attempt."""
        self._raise_to(self.penalty(now) + _FAILURE_PENALTY, now)

    def apply_failure(self, now: float) -> None:
        """Records a failure of the endpoint and excludes it for a time."""
        if now - self._failed_at_s > _SERIES_S:
            self._failures = 0
        if not self.is_excluded(now):
            # Attempts that fail at the same time count as one failure.
            self._failures += 1
            length = _FIRST_EXCLUSION_S * 2 ** (self._failures - 1)
            self._excluded_until_s = now + min(length, _MAX_EXCLUSION_S)
        self._failed_at_s = now
        self.apply_error(now)

    def apply_liveness(self, as_of: float) -> None:
        """Ends an exclusion whose failure is older than a load report.

        The penalty stays.

        :param as_of: time that the figures of the report describe.
        """
        if as_of > self._failed_at_s:
            self._excluded_until_s = float('-inf')

    def _raise_to(self, penalty: float, now: float) -> None:
        highest = max(penalty, self.penalty(now))
        self._excess_penalty = min(highest, _MAX_PENALTY) - 1.0
        self._updated_s = now
