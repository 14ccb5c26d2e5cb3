"""Tests answers of the store and of engines that only look complete."""

import pytest

from briarknot import platform, schema
from briarknot.gateway.tests import _cut_replies, _support
from briarknot.platform import _engine_orders, _values

_TIMEOUT_S = 3.0
_ROWS = '{"rows":[],"ver":3,"nowMs":1,"morePages":false}'
_WRITE = _values.Operation('t', 'k', 1, None)
#: Each call to the store, with the status and body of its whole answer.
_CALLS = {
    'row': (lambda client: client.read_row('t', 'k'), 200, _ROWS),
    'table': (lambda client: client.read_table('t'), 200, _ROWS),
    'feed': (lambda client: client.watch_table('t', 3, 0.1), 200, _ROWS),
    'history': (lambda client: client.watch_table('t', 3, 0.1), 410, 'gone'),
    'hosts': (lambda client: client.list_hosts(), 200, _ROWS),
    'commit': (lambda client: client.commit(_WRITE), 200, '{"ver":4}'),
    'conflict': (lambda client: client.commit(_WRITE), 412, '{"rows":[]}'),
    'object': (lambda client: client.read_object('o'), 200, 'text'),
    'no_object': (lambda client: client.read_object('o'), 404, 'none'),
    'write': (lambda client: client.write_object('o', b'x'), 200, '{}'),
    'objects': (
        lambda client: client.list_objects('o'),
        200,
        '{"names":[],"morePages":false}',
    ),
}
#: Calls whose answer is decoded.
_DECODED = ('row', 'table', 'feed', 'hosts', 'conflict', 'objects')
#: A read of rows, a write, and the call whose answer is not decoded.
_KINDS = ('table', 'commit', 'object')
_REPORT = '{"sequence":3}'


async def _call_store(send, *replies):
    async with (
        _cut_replies.serve_replies(*replies) as address,
        platform.make_store_session() as session,
    ):
        client = platform.make_client(session, f'http://{address}', _TIMEOUT_S)
        return await send(client)


async def _call_engine(reply, *, order):
    # A read is sent once more on a new connection.
    async with (
        _cut_replies.serve_replies(reply, reply) as address,
        _engine_orders.make_order_session() as session,
    ):
        orders = _engine_orders.make_engine_orders(session)
        engine = schema.serving.Worker(id='e', service='s', address=address)
        if not order:
            return await orders.count_orders(engine)
        return await orders.send(
            _engine_orders.StageOrder(
                engine=engine,
                stage=schema.serving.Stage.DECODE,
                holder='h',
                fence=1,
                expected=3,
            )
        )


@pytest.mark.parametrize(
    ('call', 'name', 'then'),
    [
        *((call, *way) for call in _KINDS for way in _cut_replies.WAYS),
        *(
            (one, 'no_length', 'reset')
            for one in sorted(_CALLS.keys() - _KINDS)
        ),
    ],
)
async def test_answer_of_the_store_that_breaks_off_is_none(call, name, then):
    """A part of an object was read as the whole one."""
    send, status, text = _CALLS[call]
    cut = _cut_replies.make_cut(name, then, text, status=status)
    answer = await _call_store(send, cut, cut)
    assert isinstance(answer, platform.Unavailable)
    assert answer.may_have_applied


@pytest.mark.parametrize('call', _DECODED)
async def test_answer_of_the_store_that_ends_early_is_none(call):
    """An answer without a length that ended early raised an error."""
    send, status, text = _CALLS[call]
    cut = _cut_replies.make_cut(
        'no_length', _support.CLOSE, text[:-1], status=status
    )
    answer = await _call_store(send, cut, cut)
    assert isinstance(answer, platform.Unavailable)


@pytest.mark.parametrize('status', _cut_replies.STATUSES)
@pytest.mark.parametrize('call', _KINDS)
async def test_status_of_the_store_that_is_not_final_is_none(call, status):
    """A status that HTTP doesn't define counted as a result."""
    send, _, text = _CALLS[call]
    reply = _support.make_reply(status, text, then=_support.CLOSE)
    answer = await _call_store(send, reply, reply)
    assert isinstance(answer, platform.Unavailable)
    assert answer.may_have_applied


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_report_that_breaks_off_is_none(name, then):
    """A report that was cut counted as the state of its engine."""
    cut = _cut_replies.make_cut(name, then, _REPORT)
    count = await _call_engine(cut, order=False)
    assert isinstance(count, _engine_orders.Unreported)


@pytest.mark.parametrize('status', [*_cut_replies.STATUSES, 404, 500, 503])
async def test_report_that_is_no_success_is_none(status):
    """The body of an error counted as the state of its engine."""
    reply = _support.make_reply(status, _REPORT, then=_support.CLOSE)
    count = await _call_engine(reply, order=False)
    assert isinstance(count, _engine_orders.Unreported)


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
@pytest.mark.parametrize('status', [200, 202, 409])
async def test_answer_to_an_order_that_breaks_off_is_unknown(
    status, name, then
):
    """An order whose answer was cut counted as accepted, or as refused."""
    cut = _cut_replies.make_cut(name, then, '{}', status=status)
    outcome = await _call_engine(cut, order=True)
    assert outcome is _engine_orders.OrderOutcome.UNKNOWN


@pytest.mark.parametrize('status', _cut_replies.STATUSES)
async def test_order_with_a_status_that_is_not_final_is_unknown(status):
    """The order counted as refused, although it may be carried out."""
    reply = _support.make_reply(status, '{}', then=_support.CLOSE)
    outcome = await _call_engine(reply, order=True)
    assert outcome is _engine_orders.OrderOutcome.UNKNOWN
