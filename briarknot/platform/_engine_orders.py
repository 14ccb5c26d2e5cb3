"""Orders to engines on the platform, and the reports that they give."""

import enum
import typing

import aiohttp
import attrs
import orjson

from briarknot import schema, sentinels, telemetry
from briarknot.platform import _headers, _sessions

#: Time limit of a call. Engines answer at once.
_TIMEOUT_S = 1.0
_MAX_ANSWER_BYTES = 1 << 20
_OK = 200
_ACCEPTED = 202
#: Statuses of final responses; others don't say what the engine does.
_FINAL_STATUSES = range(200, 600)
_STAGES = {
    schema.serving.Stage.PREFILL: 'prefill',
    schema.serving.Stage.DECODE: 'decode',
}
_CALL_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    #: The engine carries it out, or its state is already the ordered one.
    ACCEPTED = 'accepted'
    #: The engine does not carry it out.
    REFUSED = 'refused'
    #: No answer arrived; it may be carried out seconds later.
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class StageOrder:
    """An order to change the stage of an engine.

    :param engine: the engine.
    :param stage: its next stage.
    :param holder: process that has the authority.
    :param fence: number that increases with each grant of the authority.
    :param expected: number of orders that the engine has accepted before.
    """

    engine: schema.serving.Worker
    stage: schema.serving.Stage
    holder: str
    fence: int
    expected: int


@attrs.frozen
class Unreported(sentinels.Sentinel):
    """Sentinel for an engine without a readable report.

    :param reason: what went wrong.
    """

    reason: str


@attrs.define(eq=False)
class EngineOrders:
    """Sends orders to engines."""

    _session: aiohttp.ClientSession

    async def count_orders(
        self, engine: schema.serving.Worker
    ) -> int | Unreported:
        """Reads how many orders an engine has accepted since its start.

        :param engine: the engine.
        """
        url = f'http://{engine.address}/v1/report'
        try:
            async with self._session.get(
                url, headers={_headers.EXPECTED_WORKER: engine.id}
            ) as response:
                body = await _sessions.read_limited(response, _MAX_ANSWER_BYTES)
                if response.status != _OK:
                    return Unreported(f'status {response.status}')
        except _CALL_ERRORS as error:
            return Unreported(f'{type(error).__name__}: {error}')
        return _decode_count(body)

    async def send(self, order: StageOrder) -> OrderOutcome:
        """Sends an order to change the stage.

        :param order: the order.
        """
        body = {
            'op': 'stage',
            'stage': _STAGES[order.stage],
            'holder': order.holder,
            'fence': order.fence,
            'expected': order.expected,
        }
        try:
            async with self._session.post(
                f'http://{order.engine.address}/v1/order',
                data=orjson.dumps(body),
                headers={
                    _headers.EXPECTED_WORKER: order.engine.id,
                    'Content-Type': 'application/json',
                },
            ) as response:
                await _sessions.read_limited(response, _MAX_ANSWER_BYTES)
                status = response.status
        except aiohttp.ClientConnectorError:
            return OrderOutcome.REFUSED
        except _CALL_ERRORS as error:
            telemetry.log_event(
                'order_unanswered', worker=order.engine.id, reason=str(error)
            )
            return OrderOutcome.UNKNOWN
        if status in {_OK, _ACCEPTED}:
            return OrderOutcome.ACCEPTED
        if status not in _FINAL_STATUSES:
            telemetry.log_event(
                'order_unanswered',
                worker=order.engine.id,
                reason=f'status {status}',
            )
            return OrderOutcome.UNKNOWN
        telemetry.log_event(
            'order_refused', worker=order.engine.id, status=status
        )
        return OrderOutcome.REFUSED


def _decode_count(body: bytes | None) -> int | Unreported:
    if body is None:
        return Unreported('the answer does not end')
    try:
        count: typing.Any = orjson.loads(body)['sequence']
    except (KeyError, TypeError, ValueError) as error:
        return Unreported(f'{type(error).__name__}: {error}')
    if type(count) is not int:
        return Unreported(f'expected a number, found {count!r}')
    return count


def make_engine_orders(session: aiohttp.ClientSession) -> EngineOrders:
    """Makes the client of orders.

    :param session: session whose calls have a time limit.
    """
    return EngineOrders(session)


def make_order_session() -> aiohttp.ClientSession:
    """Makes a session for orders and reports; a running loop is needed."""
    return _sessions.make_store_session(_TIMEOUT_S)
