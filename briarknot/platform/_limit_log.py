"""Counts and logs the clients that were refused or closed for a limit."""

import collections
import time

import attrs
import prometheus_client

from briarknot import telemetry
from briarknot.platform import _client_states

#: Hundreds of clients may be refused per second; one line per second and limit
#: tells how many.
_PERIOD_S = 1.0
_LIMITED = prometheus_client.Counter(
    'briarknot_platform_clients_limited',
    'Connections and requests that were refused or closed, by limit.',
    ('limit',),
)


@attrs.define(eq=False)
class LimitLog:
    """Counts refusals, and logs at most one per second for each limit."""

    _logged_s: dict[_client_states.Limit, float] = attrs.field(factory=dict)
    _unlogged: collections.Counter[_client_states.Limit] = attrs.field(
        factory=collections.Counter
    )

    def record(
        self,
        client: _client_states.Client,
        limit: _client_states.Limit,
        held_bytes: int,
        clients: int,
    ) -> None:
        """Records that a client is refused or closed.

        :param client: the client, before it is.
        :param limit: why.
        :param held_bytes: counted bytes of all clients.
        :param clients: number of connections.
        """
        _LIMITED.labels(limit.value).inc()
        self._unlogged[limit] += 1
        now = time.monotonic()
        if now - self._logged_s.get(limit, -_PERIOD_S) < _PERIOD_S:
            return
        self._logged_s[limit] = now
        telemetry.log_event(
            'client_limited',
            limit=limit.value,
            count=self._unlogged.pop(limit),
            address=client.address,
            phase=client.phase.name.lower(),
            client_bytes=client.held_bytes,
            held_bytes=held_bytes,
            clients=clients,
        )
