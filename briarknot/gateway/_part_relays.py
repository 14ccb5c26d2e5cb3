"""Collects the shared parts that processes of a failure domain have sent to engines.

Each process of a large fleet would otherwise get a message of every other one about
each prompt: 75 a second with 88 gateways, which took most of the time that a gateway
spent on messages.
"""

import attrs

from briarknot import schema

#: Time for which a part is kept that another relay should have sent. It exceeds the
#: time after which a relay that is silent is passed over.
_MAX_AGE_S = 2.0
_MS_PER_S = 1000

CachedPart = schema.messages.CachedPart
Parts = tuple[CachedPart, ...]


@attrs.define(eq=False)
class _Outbox:
    """Parts that wait to be sent, the latest report of each."""

    _reports: dict[tuple[str, str], tuple[float, CachedPart]] = attrs.field(
        factory=dict
    )
    _sent_s: float = float('-inf')

    def add(self, parts: Parts, now: float) -> None:
        """Adds parts."""
        for one in parts:
            key = (one.worker, one.part)
            self._reports.pop(key, None)
            self._reports[key] = (now, one)

    def take(self, period_s: float, now: float) -> Parts:
        """Returns the parts that are due."""
        if not self._reports or now - self._sent_s < period_s:
            return ()
        self._sent_s = now
        parts = tuple(_age(one, now - at) for at, one in self._reports.values())
        self._reports.clear()
        return parts

    def drop_outdated(self, now: float) -> None:
        """Drops parts that another relay must have sent by now."""
        while self._reports:
            key, (at, _) = next(iter(self._reports.items()))
            if now - at < _MAX_AGE_S:
                return
            del self._reports[key]


@attrs.define(eq=False)
class PartRelay:
    """Parts that this process sends on while it is the first relay."""

    _near: _Outbox = attrs.field(factory=_Outbox)
    _far: _Outbox = attrs.field(factory=_Outbox)

    def add(self, parts: Parts, now: float) -> None:
        """Adds parts that a process of the domain has reported.

        :param parts: the parts.
        :param now: monotonic time in seconds.
        """
        for outbox in (self._near, self._far):
            outbox.add(parts, now)
            outbox.drop_outdated(now)

    def take_near(self, period_s: float, now: float) -> Parts:
        """Returns the parts that are due for the processes of the domain.

        :param period_s: shortest time between two messages.
        :param now: monotonic time in seconds.
        """
        return self._near.take(period_s, now)

    def take_far(self, period_s: float, now: float) -> Parts:
        """Returns the parts that are due for other domains.

        :param period_s: shortest time between two messages.
        :param now: monotonic time in seconds.
        """
        return self._far.take(period_s, now)


def _age(part: CachedPart, seconds: float) -> CachedPart:
    ready_in_ms = part.ready_in_ms - int(seconds * _MS_PER_S)
    return attrs.evolve(part, ready_in_ms=max(0, ready_in_ms))


def make_part_relay() -> PartRelay:
    """Makes a relay that has collected nothing."""
    return PartRelay()
