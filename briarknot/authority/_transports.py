"""Transports for orders to engines, in a registry."""

import asyncio
import collections.abc
import socket
import struct
import typing

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import httpclient, registry, schema, sentinels

_SENT = prometheus_client.Counter(
    'briarknot_orders_sent',
    'Orders sent by transport and result.',
    ('transport', 'result'),
)
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_MS_PER_S = 1000
#: SO_LINGER with a time of 0: closing resets the connection and drops the
#: bytes that were not sent.
_LINGER_ZERO = struct.pack('ii', 1, 0)

#: Returns whether the sender has authority at this moment.
MaySend = collections.abc.Callable[[], bool]


@attrs.frozen
class Accepted:
    """The engine accepted the order."""


@attrs.frozen
class Refused(sentinels.Sentinel):
    """Sentinel for an order that the engine refused.

    :param reason: body of the engine's response.
    """

    reason: str


@attrs.frozen
class NoAnswer(sentinels.Sentinel):
    """Sentinel for an order without an answer, or one that was not sent.

    :param reason: what went wrong.
    :param may_arrive: whether the order may still reach the engine.
    """

    reason: str
    may_arrive: bool = True


Answer = Accepted | Refused | NoAnswer


class Transport(typing.Protocol):
    """Sends one order to an engine."""

    async def send_order(
        self, url: str, order: schema.endpoints.Order, may_send: MaySend
    ) -> Answer:
        """Sends an order once.

        :param url: base URL of the engine.
        :param order: the order.
        :param may_send: checked immediately before the order is sent.
        """


#: Factories of transports; they take the time limit of an order in seconds.
TRANSPORTS: registry.Registry[collections.abc.Callable[[float], Transport]] = (
    registry.Registry('order transport')
)


@TRANSPORTS.register('fencing')
@attrs.frozen
class FencingTransport:
    """For engines that refuse orders with an old fencing number.

    :param timeout_s: time limit of an order, in seconds.
    """

    timeout_s: float

    async def send_order(
        self, url: str, order: schema.endpoints.Order, may_send: MaySend
    ) -> Answer:
        """Sends an order once."""
        async with httpclient.make_session() as session:
            answer = await _send(session, url, order, may_send, self.timeout_s)
        _SENT.labels('fencing', type(answer).__name__.lower()).inc()
        return answer


@TRANSPORTS.register('unfenced')
@attrs.frozen
class UnfencedTransport:
    """For engines that ignore the fencing number.

    A successor waits for a bounded time before it sends orders; no byte of an
    earlier order may arrive after that. Therefore the kernel drops
    unacknowledged bytes after the time limit, a round trip on the same
    connection directly before the order shows that it is not delayed, and the
    connection is reset when it is closed.

    :param timeout_s: time limit of the round trip and of the order together,
        in seconds.
    """

    timeout_s: float

    async def send_order(
        self, url: str, order: schema.endpoints.Order, may_send: MaySend
    ) -> Answer:
        """Sends an order once."""
        connector = httpclient.Connector(
            limit=1, socket_factory=self._make_socket
        )
        half_s = self.timeout_s / 2
        async with httpclient.make_session(connector=connector) as session:
            state = await fetch_engine_state(session, url, half_s)
            answer: Answer = NoAnswer(str(state), may_arrive=False)
            if isinstance(state, schema.endpoints.EngineState):
                answer = await _send(session, url, order, may_send, half_s)
        _SENT.labels('unfenced', type(answer).__name__.lower()).inc()
        return answer

    def _make_socket(self, address: tuple[typing.Any, ...]) -> socket.socket:
        family, kind, protocol, *_ = address
        made = socket.socket(family, kind, protocol)
        made.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self.timeout_s * _MS_PER_S),
        )
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        return made


def make_transport(checks_fencing: bool, timeout_s: float) -> Transport:
    """Makes the transport for an engine.

    :param checks_fencing: whether the engine refuses old fencing numbers.
    :param timeout_s: time limit of an order, in seconds.

    >>> make_transport(True, 2)
    FencingTransport(timeout_s=2)
    """
    name = 'fencing' if checks_fencing else 'unfenced'
    return TRANSPORTS.get(name)(timeout_s)


async def fetch_engine_state(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> schema.endpoints.EngineState | NoAnswer:
    """Requests an engine's state, which names the orders it has accepted.

    :param session: session whose connections are used.
    :param url: base URL of the engine.
    :param timeout_s: time limit, in seconds.
    """
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.get(f'{url}/orders') as response,
        ):
            body = await response.read()
            if response.status != _OK:
                return NoAnswer(f'status {response.status}')
    # TimeoutError is a subclass of OSError.
    except (aiohttp.ClientError, OSError) as error:
        return NoAnswer(repr(error))
    try:
        return schema.from_plain(
            schema.endpoints.EngineState, orjson.loads(body)
        )
    except (TypeError, ValueError) as bad_state:
        return NoAnswer(repr(bad_state))


async def _send(
    session: aiohttp.ClientSession,
    url: str,
    order: schema.endpoints.Order,
    may_send: MaySend,
    timeout_s: float,
) -> Answer:
    if not may_send():
        return NoAnswer('the sender has no authority', may_arrive=False)
    try:
        async with (
            # aiohttp rounds its own time limits up to whole seconds.
            asyncio.timeout(timeout_s),
            session.post(
                f'{url}/orders', json=schema.to_plain(order)
            ) as response,
        ):
            body = await response.read()
            status = response.status
    except aiohttp.ClientConnectorError as error:
        return NoAnswer(repr(error), may_arrive=False)
    except (aiohttp.ClientError, OSError) as error:
        return NoAnswer(repr(error))
    if status == _ACCEPTED:
        return Accepted()
    if status == _CONFLICT:
        return Refused(body.decode(errors='replace'))
    return NoAnswer(f'status {status}')
