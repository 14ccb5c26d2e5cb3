"""Guards I4: an answer is complete and the caller's own, or visibly failed."""

import asyncio
import functools
import itertools
import random
import re

import attrs
import pytest
import pytest_asyncio

from briarknot import schema
from briarknot.tests import _support, conftest
from briarknot_standins import engine, fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')

_TOKENS = 24
_DECODE_SILENCE_S = 0.8
_PREFILL_SILENCE_S = 2.0
_POLL_S = 0.02
_REMOTE_ENGINE = 'frk-a-engine-0'
_PLAN = attrs.evolve(
    conftest.SMALL_PLAN,
    domains=(
        fleet.DomainPlan(
            name='obb-a',
            region='obb',
            engines=(fleet.EnginePlan(count=3),),
            entries=2,
        ),
        fleet.DomainPlan(name='frk-a', region='frk'),
    ),
    timing=schema.settings.Timing(
        document_poll_s=0.2,
        load_poll_s=0.25,
        decode_silence_s=_DECODE_SILENCE_S,
        prefill_silence_s=_PREFILL_SILENCE_S,
    ),
    has_proxy=True,
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def shared():
    """A fleet that all tests of the module use."""
    async with fleet.run_fleet(_PLAN) as running:
        yield running


@pytest_asyncio.fixture(loop_scope='module')
async def running(shared):
    """The fleet, without faults before and after each test."""
    yield shared
    await shared.fault_proxy.clear_faults()
    for name, process in tuple(shared.engines.items()):
        if process.exit_status is not None:
            await shared.restart_endpoint(name)
        await shared.set_faults(
            shared.engines[name],
            crash_at_token=-1,
            break_at_token=-1,
            stray_share=0,
        )


async def _start_streams(running, name, count, tokens=_TOKENS):
    """Starts completions in the first failure domain."""
    prompts = [f'{name} number {number}' for number in range(count)]
    local = itertools.cycle(
        entry for entry in running.entries if entry.domain == 'obb-a'
    )
    return [
        asyncio.create_task(
            running.complete('urgent', prompt, tokens, entry=next(local)),
            name=prompt,
        )
        for prompt in prompts
    ]


async def _check_streams(streams, tokens=_TOKENS):
    """Checks that no answer is wrong; returns how many are complete."""
    answers = await asyncio.gather(*streams)
    for stream, answer in zip(streams, answers, strict=True):
        expected = engine.expected_text(stream.get_name(), tokens)
        if answer.is_complete:
            assert answer.text == expected
        else:
            assert expected.startswith(answer.text)
            assert answer.problem['outcome'] in {'unknown', 'not run'}
    return sum(one.is_complete for one in answers)


async def _list_runs(running, name):
    """Returns the runs of an engine, oldest first."""
    listed = await running.read_json(running.engines[name], '/runs')
    return [run for one in listed['runs'].values() for run in one['runs']]


async def _list_decoded_tokens(running, names):
    """Returns how many tokens each stream has that is being decoded."""
    return [
        run['tokens']
        for name in names
        for run in await _list_runs(running, name)
        if run['end'] == 'running' and run['tokens']
    ]


async def _has_streams(running, names, min_count=1):
    """Tells whether the engines are decoding enough streams."""
    return len(await _list_decoded_tokens(running, names)) >= min_count


async def _decode_at(running, names, name, count):
    """Starts completions; returns them once all decode at some engines.

    Engines with recent failures get less work than others. Where a stream ends
    before all decode there, its answer is checked, and None is returned.
    """
    streams = await _start_streams(running, name, count)
    while not any(stream.done() for stream in streams):
        if await _has_streams(running, names, count):
            return streams
        await asyncio.sleep(_POLL_S)
    assert await _check_streams(streams) == count
    return None


def _list_local_engines(running):
    return [name for name in running.engines if name != _REMOTE_ENGINE]


async def _find_decoding_engine(running, names):
    """Returns an engine that decodes a stream, and its tokens so far."""
    for name in names:
        tokens = await _list_decoded_tokens(running, [name])
        if tokens:
            return name, max(tokens)
    return None


@pytest.mark.parametrize('seed', range(4))
async def test_engine_crashes_at_a_token(running, seed):
    """A stream must resume at the exact token at which its engine crashed."""
    streams = await _start_streams(running, f'dies {seed}', 6, tokens=60)
    name, token = await _support.wait_until(
        functools.partial(
            _find_decoding_engine, running, _list_local_engines(running)
        )
    )
    # Far enough ahead that the stream has not reached it yet.
    ahead = 12 + random.Random(seed).randrange(36)
    await running.set_faults(
        running.engines[name], crash_at_token=token + ahead
    )
    assert await _check_streams(streams, tokens=60) > 3
    assert running.engines[name].exit_status is not None


@pytest.mark.parametrize('cleanly', [True, False])
@pytest.mark.parametrize('token', [1, 23])
async def test_response_ends_early(running, token, cleanly):
    """A response that ends early must not be taken for a complete one."""
    for process in running.engines.values():
        await running.set_faults(
            process, break_at_token=token, break_cleanly=cleanly
        )
    streams = await _start_streams(running, f'breaks {token} {cleanly}', 3)
    assert await _check_streams(streams) > 0


async def test_stray_chunks(running):
    """Late chunks and chunks of other streams must not reach a caller."""
    for process in running.engines.values():
        await running.set_faults(process, stray_share=0.5)
    streams = await _start_streams(running, 'strays', 12)
    assert await _check_streams(streams) == len(streams)
    metrics = [await running.read_metrics(one) for one in running.entries]
    for reason in ('repeated', 'other_request'):
        counted = f'briarknot_dropped_chunks_total{{reason="{reason}"}}'
        assert any(counted in text for text in metrics)


@pytest.mark.parametrize('phase', ['headers', 'decode'])
async def test_connections_go_silent(running, phase):
    """A connection that stays silent must not block its request."""
    local = _list_local_engines(running)
    if phase == 'headers':
        for name in local:
            await running.fault_proxy.add_fault(
                'hold', name, direction='backward', seconds=30
            )
    streams = await _support.wait_until(
        functools.partial(_decode_at, running, local, f'silent {phase}', 3)
    )
    for name in local:
        await running.fault_proxy.add_fault('silence', name)
        await running.fault_proxy.clear_faults(name)
    detection_s = _PREFILL_SILENCE_S + _DECODE_SILENCE_S
    async with asyncio.timeout(4 * detection_s):
        assert await _check_streams(streams) == len(streams)


async def _has_domain_summaries(running):
    """Tells whether current summaries of the other domain have arrived."""
    pattern = re.compile(
        r'peer_messages_total\{direction="received",kind="domainsummary"\} (\S+)',
        re.IGNORECASE,
    )
    texts = [
        await running.read_metrics(entry)
        for entry in running.entries
        if entry.domain == 'obb-a'
    ]
    found = [pattern.search(text) for text in texts]
    # The first summaries may be older than the document.
    return all(match and float(match.group(1)) > 2 for match in found)


async def test_resume_in_another_domain(running):
    """Streams must resume elsewhere when their domain loses its engines."""
    local = _list_local_engines(running)
    await _support.wait_until(functools.partial(_has_domain_summaries, running))
    await _support.bypass_proxy(running, local)
    streams = await _start_streams(running, 'domain', 1, tokens=60)
    await _support.wait_until(functools.partial(_has_streams, running, local))
    idle = [name for name in local if not await _has_streams(running, [name])]
    # Idle engines first: a retry at an engine that is just ending would count
    # as another crash of its request.
    for group in (idle, local):
        for name in group:
            running.engines[name].kill()
        for name in group:
            await running.engines[name].wait()
    assert await _check_streams(streams, tokens=60) == 1
    assert await _has_resumed(running, _REMOTE_ENGINE)


async def _has_resumed(running, name):
    return any(
        run['start'] and run['end'] == 'completed'
        for run in await _list_runs(running, name)
    )


async def test_entry_killed_with_open_streams(running):
    """The streams of a killed entry process must not look complete."""
    spare = await running.start_entry('obb-a', 10)
    running.entries.remove(spare)
    await _support.wait_until(functools.partial(running.is_ready, spare))
    streams = [
        asyncio.create_task(
            running.complete('urgent', f'killed {number}', 80, entry=spare)
        )
        for number in range(4)
    ]
    await _support.wait_until(
        functools.partial(_has_streams, running, running.engines, 4)
    )
    spare.process.kill()
    for number, answer in enumerate(await asyncio.gather(*streams)):
        assert answer.problem and not answer.is_complete
        expected = engine.expected_text(f'killed {number}', 80)
        assert expected.startswith(answer.text) and expected != answer.text


async def test_no_engine_left(running):
    """A stream that can't resume must end with an error, not with [DONE]."""
    await _support.bypass_proxy(running, running.engines)
    streams = await _start_streams(running, 'none left', 3, tokens=80)
    await _support.wait_until(
        functools.partial(_has_streams, running, running.engines, 3)
    )
    for process in running.engines.values():
        process.kill()
    assert await _check_streams(streams, tokens=80) == 0
    assert all(one.result().problem['outcome'] == 'unknown' for one in streams)
