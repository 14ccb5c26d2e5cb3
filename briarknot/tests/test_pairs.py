"""Guards I4 and I5 where prefill and decode run on different engines."""

import asyncio
import functools

import attrs
import pytest
import pytest_asyncio

from briarknot import schema
from briarknot.tests import _support, conftest
from briarknot_standins import engine, fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')

_TOKENS = 12
_REQUEST_COUNT = 4
_PREFILL = ('obb-a-engine-0', 'obb-a-engine-1')
_DECODE = ('obb-a-engine-2', 'obb-a-engine-3')
_PLAN = attrs.evolve(
    conftest.SMALL_PLAN,
    domains=(
        attrs.evolve(
            conftest.SMALL_PLAN.domains[0],
            engines=(
                fleet.EnginePlan(role=schema.fleet.Role.PREFILL, count=2),
                fleet.EnginePlan(role=schema.fleet.Role.DECODE, count=2),
            ),
        ),
    ),
    has_proxy=True,
)


async def _count_prefills(running):
    listed = [
        (await running.read_json(running.engines[name], '/runs'))['runs']
        for name in _PREFILL
    ]
    return sum(one['prefills'] for runs in listed for one in runs.values())


async def _has_prefilled(running, before):
    """Tells whether all requests are between prefill and decode."""
    return await _count_prefills(running) >= before + _REQUEST_COUNT


def _check_answer(answer, expected):
    if answer.is_complete:
        assert answer.text == expected
    else:
        assert expected.startswith(answer.text)
        # Its prefill has run, so "not run" would be false.
        assert answer.problem['outcome'] == 'unknown'


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def shared():
    """A fleet that all tests of the module use."""
    async with fleet.run_fleet(_PLAN) as running:
        await _support.bypass_proxy(running, _PREFILL)
        yield running


@pytest_asyncio.fixture(loop_scope='module')
async def running(shared):
    """The fleet, with all engines after each test."""
    yield shared
    for name, process in tuple(shared.engines.items()):
        if process.exit_status is not None:
            await shared.restart_endpoint(name)


@pytest.mark.parametrize(
    'killed', [_PREFILL[:1], _DECODE[:1], _PREFILL], ids=['p', 'd', 'all p']
)
async def test_engine_of_a_pair_is_killed(running, killed):
    """A failed KV transfer must not give a wrong text or a false "not run"."""
    before = await _count_prefills(running)
    for name in _DECODE:
        await running.fault_proxy.add_fault('hold', name, direction='forward')
    streams = [
        asyncio.create_task(
            running.complete('urgent', f'pair {killed} {number}', _TOKENS)
        )
        for number in range(_REQUEST_COUNT)
    ]
    await _support.wait_until(
        functools.partial(_has_prefilled, running, before)
    )
    for name in killed:
        running.engines[name].kill()
        await running.engines[name].wait()
    await running.fault_proxy.clear_faults()
    answers = await asyncio.gather(*streams)
    for number, answer in enumerate(answers):
        _check_answer(
            answer, engine.expected_text(f'pair {killed} {number}', _TOKENS)
        )
    complete_count = sum(one.is_complete for one in answers)
    assert bool(complete_count) == (killed != _PREFILL)
