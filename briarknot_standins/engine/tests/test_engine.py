"""Checks the engine protocol and the faults on which other tests rely."""

import asyncio
import contextlib

import aiohttp
import attrs
import hypothesis
import orjson
import pytest
from hypothesis import strategies

from briarknot.schema import fleet
from briarknot_standins import engine, platform, serving

_FAST = engine.EngineConfig(time_compression=1000, report_lag_s=0)
# At this speed a stream outlasts the test.
_SLOW = attrs.evolve(_FAST, time_compression=1)
_ENDLESS = 100_000


@attrs.frozen
class Answer:
    """What a client received of one stream."""

    status: int
    text: str
    last: dict
    done: bool


@contextlib.asynccontextmanager
async def open_engine(config=_FAST, crash=engine.exit_process):
    """Serves an engine and opens a client."""
    async with serving.serve(engine.make_app(config, crash)) as url:
        async with aiohttp.ClientSession(url) as client:
            yield client


def make_body(prompt='a b c', **members):
    """Makes the body of a completion request."""
    body = {'request_id': 'r', 'model': 'standin', 'max_tokens': 8}
    return {**body, 'prompt': prompt, **members}


async def complete(client, prompt='a b c', **members):
    """Sends a completion request and reads the whole answer."""
    body = make_body(prompt, **members)
    async with client.post('/v1/completions', json=body) as response:
        status, raw = response.status, await response.text()
    events = [line[6:] for line in raw.split('\n\n') if line[:6] == 'data: ']
    chunks = [orjson.loads(event) for event in events if event != '[DONE]']
    text = ''.join(chunk['text'] for chunk in chunks)
    done = bool(events) and events[-1] == '[DONE]'
    return Answer(status, text, chunks[-1] if chunks else {}, done)


async def get_json(client, path):
    """Reads a JSON resource."""
    async with client.get(path) as response:
        return await response.json()


async def send(client, path, **members):
    """Posts JSON and returns the status and the body."""
    async with client.post(path, json=members) as response:
        return response.status, await response.json()


async def wait_load(client, **expected):
    """Waits until the load report has the expected values."""
    while True:
        report = await get_json(client, '/load')
        if expected.items() <= report.items():
            return
        await asyncio.sleep(0.005)


@hypothesis.given(strategies.text(), strategies.integers(0, 20))
def test_resumed_text_continues_the_first(prompt, offset):
    """Guards against a resumed text that differs from the original answer."""
    first = engine.expected_text(prompt, offset)
    rest = engine.expected_text(prompt, 20, offset)
    assert first + rest == engine.expected_text(prompt, 20)


async def test_stream_is_complete_and_resumes():
    """Guards against text that is repeated or lost where a stream resumes."""
    async with open_engine() as client:
        whole = await complete(client)
        rest = await complete(client, resume_from=5)
        runs = await get_json(client, '/runs?request_id=r')
    assert whole.done and whole.text == engine.expected_text('a b c', 8)
    assert rest.text == engine.expected_text('a b c', 8, 5)
    assert rest.last['usage']['completion_tokens'] == 8
    assert rest.last['finish_reason'] == 'length'
    seen = runs['runs']['r']
    assert (seen['count'], seen['tokens']) == (2, 11)
    assert seen['runs'][0]['checksum'] == engine.checksum(whole.text)


async def test_answer_may_end_before_the_limit():
    """Guards against answers that all have the maximum length.

    Tests of the estimate of output lengths need shorter answers.
    """
    async with open_engine() as client:
        answer = await complete(client, 'x answer_tokens=3', max_tokens=9)
    assert answer.last['finish_reason'] == 'stop'
    assert answer.last['usage']['completion_tokens'] == 3


async def test_prefix_cache_is_bounded_and_publishes_its_blocks():
    """Guards against events that do not match the cached blocks.

    Prefix affinity would then rely on blocks that are not cached.
    """
    config = attrs.evolve(_FAST, cache_blocks=2, cache_event_delay_s=0)
    prompt = 'word ' * 4100
    async with open_engine(config) as client:
        await complete(client, prompt)
        again = await complete(client, prompt)
        await complete(client, 'other ' * 2000)
        events = await get_json(client, '/cache/events?after=1')
    blocks = list(engine.hash_blocks(prompt))
    assert again.last['usage']['cached_tokens'] == 4000
    assert events['events'][0]['block'] == blocks[1]
    assert [event['kind'] for event in events['events']] == [
        'stored',
        'stored',
        'evicted',
    ]
    assert events['next'] == 4


async def test_lost_cache_events_leave_a_gap():
    """Guards against sequence numbers without a gap after a lost event.

    A reader detects lost events by the gap.
    """
    config = attrs.evolve(_FAST, cache_event_loss=1, cache_event_delay_s=0)
    async with open_engine(config) as client:
        await complete(client, 'word ' * 2000)
        await send(client, '/faults', cache_event_loss=0)
        await complete(client, 'other ' * 2000)
        events = await get_json(client, '/cache/events?after=0')
    assert [event['seq'] for event in events['events']] == [2]


async def test_urgent_request_goes_first():
    """Guards against an engine that ignores priorities.

    Such an engine would hide errors in the ranks of requests.
    """
    config = attrs.evolve(_SLOW, max_streams=1)
    async with open_engine(config) as client, asyncio.TaskGroup() as group:
        busy = complete(client, request_id='busy', max_tokens=_ENDLESS)
        group.create_task(busy)
        await wait_load(client, running=1)
        for position, name in enumerate(('late', 'urgent'), start=1):
            waiting = complete(
                client, request_id=name, priority=-position, max_tokens=1
            )
            group.create_task(waiting)
            await wait_load(client, queued=position)
        await send(client, '/v1/cancel', request_id='busy')
        await wait_load(client, running=0, queued=0)
        runs = await get_json(client, '/runs')
    assert list(runs['runs']) == ['busy', 'urgent', 'late']
    assert runs['runs']['busy']['runs'][0]['end'] == 'cancelled'


async def test_disconnect_frees_the_slot():
    """Guards against slots that stay occupied after a caller disconnects."""
    async with open_engine(_SLOW) as client:
        body = make_body(max_tokens=_ENDLESS)
        response = await client.post('/v1/completions', json=body)
        response.close()
        await wait_load(client, running=0, kv_blocks_free=_SLOW.kv_blocks)
        runs = await get_json(client, '/runs')
    assert runs['runs']['r']['runs'][0]['end'] == 'disconnected'


async def test_decode_engine_imports_the_prompt():
    """Guards against a decode engine that accepts a prompt without KV cache."""
    decoder = attrs.evolve(_FAST, role=fleet.Role.DECODE)
    async with open_engine() as first, open_engine(decoder) as second:
        body = make_body()
        _, export = await send(first, '/v1/prefill', **body)
        source = {'url': str(first._base_url).rstrip('/')}
        source['kv_handle'] = export['kv_handle']
        answer = await complete(second, kv_from=source)
        other = await complete(second, 'other prompt', kv_from=source)
        source['kv_handle'] = 'gone'
        gone = await complete(second, kv_from=source)
        bare = await complete(second)
        runs = await get_json(second, '/runs')
    assert answer.text == engine.expected_text('a b c', 8)
    assert answer.last['usage']['cached_tokens'] == 3
    assert [other.status, gone.status, bare.status] == [503, 503, 503]
    assert runs['runs']['r']['count'] == 1


async def send_order(client, epoch, sequence, **members):
    """Sends an order and returns the status and the reason."""
    order = {'epoch': epoch, 'sequence': sequence, 'kind': 'role'}
    order['value'] = 'decode'
    status, body = await send(client, '/orders', **(order | members))
    return status, body.get('reason')


async def test_role_change_refuses_and_aborts_work():
    """Guards against a role change whose interrupted requests go unreported."""
    config = attrs.evolve(_SLOW, max_streams=1, role_change_s=600)
    async with open_engine(config) as client:
        body = make_body(max_tokens=_ENDLESS)
        running = await client.post('/v1/completions', json=body)
        queued = asyncio.create_task(complete(client, request_id='queued'))
        await wait_load(client, queued=1)
        assert await send_order(client, 1, 1) == (202, None)
        assert (await complete(client)).status == 503
        with pytest.raises(aiohttp.ClientPayloadError):
            await running.read()
        assert (await queued).status == 503
        assert await send_order(client, 1, 2) == (409, 'busy')
        assert await send_order(client, 1, 1) == (202, None)
        await wait_load(client, phase='changing', role='mixed', epoch=1)
        state = await get_json(client, '/orders')
        runs = await get_json(client, '/runs')
    answers = [(entry['answer'], entry['cut']) for entry in state['audit']]
    assert answers == [('accepted', 1), ('busy', 0), ('repeated', 0)]
    assert len(state['log']) == 1
    assert list(runs['runs']) == ['r']
    assert runs['runs']['r']['runs'][0]['end'] == 'cut'


@pytest.mark.parametrize(
    ('check_fencing', 'expected'),
    [(True, (409, 'stale_epoch')), (False, (202, None))],
)
async def test_fencing_check_can_be_off(check_fencing, expected):
    """Guards against engines that all check fencing numbers, or none.

    Test fleets contain engines of both kinds.
    """
    config = attrs.evolve(_FAST, check_fencing=check_fencing, role_change_s=0)
    async with open_engine(config) as client:
        await send_order(client, 2, 7)
        await wait_load(client, phase='idle', role='decode', epoch=2)
        assert await send_order(client, 1, 8) == expected


async def test_withdrawn_engine_takes_no_work():
    """Guards against a withdrawn engine that accepts requests.

    It would hide a request that is dispatched too late.
    """
    async with open_engine() as client:
        await send_order(client, 1, 1, kind='withdraw')
        await wait_load(client, phase='withdrawn')
        assert (await complete(client)).status == 503


async def test_marked_prompt_crashes_at_its_token():
    """Guards against a crash fault that misses its prompt or hits others."""
    crashes = []
    async with open_engine(_FAST, lambda: crashes.append(1)) as client:
        await send(client, '/faults', crash_marker='bad', crash_at_token=4)
        await complete(client, 'good')
        assert not crashes
        await complete(client, 'a bad one', max_tokens=4)
        assert not crashes
        await complete(client, 'a bad one')
        await send(client, '/faults', crash_at_token=-1)
        await complete(client, 'a bad one', max_tokens=0)
    assert len(crashes) == 2


async def test_broken_stream_continues_after_resume():
    """Guards against a resumed stream that breaks again at its first token."""
    async with open_engine() as client:
        await send(client, '/faults', break_at_token=3, break_cleanly=True)
        first = await complete(client)
        rest = await complete(client, resume_from=3)
        await send(client, '/faults', break_cleanly=False)
        with pytest.raises(aiohttp.ClientPayloadError):
            await complete(client)
        runs = await get_json(client, '/runs')
    assert not first.done and rest.done
    assert first.text + rest.text == engine.expected_text('a b c', 8)
    ends = [run['end'] for run in runs['runs']['r']['runs']]
    assert ends == ['broken', 'completed', 'broken']


async def test_stray_chunks_come_beside_the_answer():
    """Guards against stray chunks that replace chunks of the answer."""
    async with open_engine() as client:
        await complete(client, 'first', request_id='other')
        await send(client, '/faults', stray_share=1)
        answer = await complete(client, max_tokens=1)
    expected = engine.expected_text('a b c', 1)
    assert answer.text.endswith(expected)
    stray = answer.text.removesuffix(expected)
    assert stray and stray in engine.expected_text('first', 8)


async def test_crash_in_the_middle_of_a_change():
    """Guards against a crash fault that does not take effect in a change.

    Tests of recovery from an interrupted change rely on it.
    """
    crashed = asyncio.Event()
    config = attrs.evolve(_FAST, role_change_s=0)
    async with open_engine(config, crashed.set) as client:
        await send(client, '/faults', crash_in_change=True)
        await send_order(client, 1, 1)
        await crashed.wait()


async def test_model_change_loads_weights_and_loses_the_cache():
    """Guards against cache hits on blocks of the previous model."""
    prompt = 'word ' * 2000
    weights = platform.PlatformConfig(weights_bytes=100)
    async with serving.serve(platform.make_app(weights)) as url:
        config = attrs.evolve(_FAST, weights_url=url)
        async with open_engine(config) as client:
            await complete(client, prompt)
            await send_order(client, 1, 1, kind='model', value='standin@2')
            await wait_load(client, phase='idle', model='standin@2')
            again = await complete(client, prompt, model='standin@2')
            old = await complete(client, prompt, model='standin@1')
        async with aiohttp.ClientSession(url) as client:
            stats = await get_json(client, '/stats')
    assert again.last['usage']['cached_tokens'] == 0
    assert (old.status, stats['reads']) == (503, 1)


async def test_silence_affects_open_connections_only():
    """Guards against a silence fault that affects new connections.

    It could not be distinguished from a paused process.
    """
    async with open_engine(_SLOW) as client:
        body = make_body(max_tokens=_ENDLESS)
        running = await client.post('/v1/completions', json=body)
        await running.content.readline()
        await send(client, '/faults', silence_open=True)
        async with aiohttp.ClientSession(client._base_url) as other:
            assert (await complete(other, max_tokens=2)).done
        before = await get_json(client, '/runs?request_id=r')
        await asyncio.sleep(0.1)
        after = await get_json(client, '/runs?request_id=r')
        running.close()
    assert before['runs']['r']['runs'][0] == after['runs']['r']['runs'][0]


async def test_load_report_lags():
    """Guards against load reports that are always up to date.

    Tests of routing by outdated load rely on the lag.
    """
    config = attrs.evolve(_SLOW, report_lag_s=60)
    async with open_engine(config) as client:
        body = make_body(max_tokens=_ENDLESS)
        running = await client.post('/v1/completions', json=body)
        assert (await get_json(client, '/load'))['running'] == 0
        await send(client, '/faults', report_lag_s=0)
        assert (await get_json(client, '/load'))['running'] == 1
        running.close()


async def test_unknown_fault_is_refused():
    """Guards against a misspelt fault that is silently ignored.

    The test that sets it would then pass without the fault.
    """
    async with open_engine() as client:
        async with client.post('/faults', json={'crash': 1}) as response:
            assert response.status == 400
