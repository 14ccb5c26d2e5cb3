"""Choice of a worker of a plain service."""

import collections
import collections.abc
import random

import attrs

from briarknot import schema

#: A worker that failed gets no new call for this long.
_AVOID_S = 1.0
#: Two random candidates are enough to avoid the busiest worker without all
#: processes choosing the same one.
_CANDIDATES = 2


@attrs.frozen
class Attempt:
    """A call that is in flight.

    :param endpoint_name: worker that runs it.
    """

    endpoint_name: str


@attrs.frozen
class Choice:
    """A worker for a call.

    :param endpoint: the worker.
    :param reason: sentence with the figures, for the journal.
    """

    endpoint: schema.fleet.ServiceEndpoint
    reason: str


@attrs.frozen
class NoWorker:
    """Sentinel for a call that no worker of the own domain can take.

    :param cause: cause of the refusal.
    :param reason: sentence with the figures.
    """

    cause: str
    reason: str

    def __bool__(self) -> bool:
        """Counts as false, so that callers can test for it."""
        return False


@attrs.define(eq=False)
class Workers:
    """Workers of plain services as this process sees them."""

    _domain: str
    _random: random.Random
    _in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def choose(
        self,
        service: schema.fleet.Service,
        now: float,
        exclude: collections.abc.Container[str],
    ) -> Choice | NoWorker:
        """Chooses the less busy of two random workers of the own domain.

        :param service: the service.
        :param now: monotonic time in seconds.
        :param exclude: workers that were tried.
        """
        own = [
            endpoint
            for endpoint in service.endpoints
            if endpoint.domain == self._domain
            and not endpoint.leaving
            and endpoint.name not in exclude
        ]
        healthy = [
            endpoint
            for endpoint in own
            if self._avoided_until_s.get(endpoint.name, 0) <= now
        ]
        usable = healthy or own
        if not usable:
            return NoWorker(
                'no_endpoint',
                f'no worker of {service.name} in {self._domain} takes calls',
            )
        drawn = self._random.sample(usable, min(_CANDIDATES, len(usable)))
        chosen = min(drawn, key=lambda one: self._in_flight[one.name])
        return Choice(
            chosen,
            f'{self._in_flight[chosen.name]} calls in flight there, '
            f'{len(usable)} of {len(own)} workers usable',
        )

    def start_attempt(self, endpoint_name: str) -> Attempt:
        """Counts a call against a worker.

        :param endpoint_name: the worker.
        """
        self._in_flight[endpoint_name] += 1
        return Attempt(endpoint_name)

    def end_attempt(self, attempt: Attempt, now: float, *, ok: bool) -> None:
        """Ends a call.

        :param attempt: result of :meth:`start_attempt`.
        :param now: monotonic time in seconds.
        :param ok: whether the worker answered.
        """
        self._in_flight[attempt.endpoint_name] -= 1
        if not ok:
            self._avoided_until_s[attempt.endpoint_name] = now + _AVOID_S


def make_workers(domain: str, seed: int) -> Workers:
    """Makes the view of a failure domain's workers.

    :param domain: own failure domain.
    :param seed: seed of the random choice.
    """
    return Workers(domain, random.Random(seed))
