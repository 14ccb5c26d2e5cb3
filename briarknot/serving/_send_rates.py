"""Load that this process sends per second."""

import math

import attrs

#: Time constant of the averages. A process of a large fleet sends one or two
#: requests per second, of which a shorter time would hold too few.
_AVERAGE_S = 10.0
#: Shortest time over which the first requests are averaged.
_MIN_S = 1.0


@attrs.define(eq=False)
class _Sent:
    """Sum of what was sent, in which a send loses its weight over time.

    :param amount: the sum.
    :param first_s: monotonic time of the first send.
    :param last_s: monotonic time of the last send.
    """

    amount: float
    first_s: float
    last_s: float

    def get_amount(self, now: float) -> float:
        """Returns the sum at a time."""
        return self.amount * math.exp((self.last_s - now) / _AVERAGE_S)


@attrs.define(eq=False)
class SendRates:
    """Moving averages of what this process sends, by service and version."""

    _sent: dict[tuple[str, str], _Sent] = attrs.field(factory=dict)

    def record(
        self, service: str, version: str, amount: float, now: float
    ) -> None:
        """Records a request that is sent.

        :param service: name of the service.
        :param version: version of the worker.
        :param amount: its load.
        :param now: monotonic time in seconds.
        """
        sent = self._sent.setdefault((service, version), _Sent(0, now, now))
        sent.amount = sent.get_amount(now) + amount
        sent.last_s = now

    def get_per_s(
        self, service: str, version: str, now: float, amount: float
    ) -> float:
        """Returns the load per second with a request that is being sent.

        The first requests are averaged over the time since the first of them, so
        that processes which start together don't take the fleet for idle.

        :param service: name of the service.
        :param version: version of the workers.
        :param now: monotonic time in seconds.
        :param amount: load of the request.
        """
        sent = self._sent.get((service, version))
        if sent is None:
            return amount / _MIN_S
        known_s = -math.expm1((sent.first_s - now) / _AVERAGE_S) * _AVERAGE_S
        return (sent.get_amount(now) + amount) / max(_MIN_S, known_s)
