"""Tests answers to entry processes that only look complete."""

import contextlib

import attrs
import multidict
import pytest

from briarknot import config, links, outcomes, platform, schema
from briarknot.entry import (
    _attempts,
    _context,
    _identity,
    _recorder,
    _requests,
    _service_calls,
    _stream,
)
from briarknot.gateway.tests import _cut_replies, _support

_fleet = schema.fleet
_NODE = schema.settings.Node(host='h', domain='d')
_SETTINGS = schema.settings.EntrySettings(node=_NODE)
_IDENTITY = _identity.Identity(
    account=_fleet.Account(name='a'), rank=_fleet.Rank(name='r'), priority=0
)
_REQUEST_ID = 'q1'
_BODY_BYTES = 4 << 20
_CHUNK = 'data: {"request_id":"q1","text":"x"}\n\n'
_HANDLES = {
    'handle': '{"kv_handle":"k1"}',
    'cut': '{"kv_handle":"k1"',
    'object': '{}',
    'list': '[]',
}
_REQUEST = _requests.CompletionRequest(model='m', prompt='p')


@contextlib.asynccontextmanager
async def _open_context(url):
    """Makes an entry process's components, with one worker of a service."""
    endpoint = _fleet.ServiceEndpoint(name='w', domain='d', url=url)
    document = _fleet.Fleet(
        services=(_fleet.Service(name='s', endpoints=(endpoint,)),)
    )
    hello = schema.messages.Hello(host='h', domain='d', program='entry')
    async with (
        _attempts.make_session(_SETTINGS.timing) as session,
        platform.make_store_session() as store_session,
    ):
        context = _context.make_context(
            _SETTINGS,
            platform.make_client(store_session, 'http://127.0.0.1:1', 1),
            links.make_hub(hello, 'secret'),
            session,
        )
        context.follower._install(config.InForce(fleet=document), 'test')
        yield context


async def _call_service(*replies, body=b''):
    async with (
        _cut_replies.serve_replies(*replies) as address,
        _open_context(f'http://{address}') as context,
    ):
        call = _service_calls.Call(
            service_name='s',
            method='POST',
            path='/x',
            headers=multidict.CIMultiDict(),
            body=body,
            idempotency_key='',
            identity=_IDENTITY,
        )
        recorder = _recorder.make_recorder(_REQUEST_ID, _NODE, 'service')
        return await _service_calls.run_call(context, call, recorder)


@attrs.frozen
class _Choice:
    """A choice of a prefill engine."""

    prefill_engine: _fleet.Engine
    reason: str = ''


async def _complete(reply, *, prefill=None):
    """Sends a completion to an engine that answers as given."""
    texts = []

    async def collect(deltas):
        texts.extend(one.text for one in deltas)

    async with (
        _cut_replies.serve_replies(reply) as address,
        _cut_replies.serve_replies(prefill) as prefill_address,
        _attempts.make_session(_SETTINGS.timing) as session,
    ):
        sender = _attempts.make_sender(session, _SETTINGS.timing)
        choice = None
        if prefill is not None:
            choice = _Choice(
                _fleet.Engine(name='p', url=f'http://{prefill_address}')
            )
        target = _attempts.Target(
            name='e',
            url=f'http://{address}/v1/completions',
            headers={},
            choice=choice,
        )
        return await sender.send(target, _REQUEST, _REQUEST_ID, 0, 0, collect)


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_service_answer_that_breaks_off_is_no_success(name, then):
    """The caller got a part of the answer as the whole one."""
    cut = _cut_replies.make_cut(name, then, 'part')
    answer = await _call_service(cut)
    assert isinstance(answer, outcomes.Refusal)
    assert answer.outcome is outcomes.Outcome.UNKNOWN


@pytest.mark.parametrize('pause_s', [0, 0.05, 0.5])
@pytest.mark.parametrize(
    'then', [_support.RESET, _support.CLOSE, _support.HALF_CLOSE]
)
async def test_early_service_answer_is_no_success(then, pause_s):
    """The worker cut the connection while the body was being written."""
    cut = _cut_replies.make_cut('no_length', then, 'part', pause_s=pause_s)
    early = _cut_replies.make_early(cut)
    answer = await _call_service(early, body=bytes(_BODY_BYTES))
    assert isinstance(answer, outcomes.Refusal)
    assert answer.outcome is outcomes.Outcome.UNKNOWN


@pytest.mark.parametrize('status', _cut_replies.STATUSES)
async def test_service_status_that_is_not_final_is_no_answer(status):
    """The caller got a status that HTTP doesn't define."""
    reply = _support.make_reply(status, 'x', then=_support.CLOSE)
    answer = await _call_service(reply)
    assert isinstance(answer, outcomes.Refusal)
    assert answer.outcome is outcomes.Outcome.UNKNOWN


@pytest.mark.parametrize('text', [_CHUNK, 'data: [DONE]\n\n'])
@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_completion_that_breaks_off_is_not_finished(name, then, text):
    """A part of the tokens was delivered as the whole completion."""
    end = await _complete(_cut_replies.make_cut(name, then, text))
    assert isinstance(end, _stream.Broken)


@pytest.mark.parametrize('status', _cut_replies.STATUSES)
async def test_completion_status_that_is_not_final_is_not_finished(status):
    """A status that HTTP doesn't define counted as the engine's answer."""
    text = f'{_CHUNK}data: [DONE]\n\n'
    end = await _complete(
        _support.make_reply(status, text, then=_support.CLOSE)
    )
    assert isinstance(end, _stream.Broken)


@pytest.mark.parametrize(
    ('name', 'then', 'text'),
    [
        *((*way, 'handle') for way in _cut_replies.WAYS),
        ('no_length', _support.CLOSE, 'cut'),
        ('no_length', _support.CLOSE, 'object'),
        ('no_length', _support.CLOSE, 'list'),
    ],
)
async def test_prefill_that_breaks_off_is_broken(name, then, text):
    """A cut handle was sent to an engine, or raised an error."""
    whole = _support.make_reply(200, f'{_CHUNK}data: [DONE]\n\n')
    prefill = _cut_replies.make_cut(name, then, _HANDLES[text])
    end = await _complete(whole, prefill=prefill)
    assert isinstance(end, _stream.Broken)
    assert 'prefill' in end.reason
