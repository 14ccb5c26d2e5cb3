"""Guards I8: a planned stop of an entry host interrupts no request."""

import asyncio

import attrs
import pytest

from briarknot.tests import _support, conftest
from briarknot_standins import engine, fleet

_TOKENS = 60
_PLAN = attrs.evolve(conftest.SMALL_PLAN, service_timeout_s=10)


async def _keep_sending(running, entry, answers):
    """Sends short requests until the host accepts no more connections."""
    for number in range(200):
        prompt = f'load {number}'
        try:
            answer = await running.complete('ordinary', prompt, 4, entry=entry)
        except OSError:
            return
        answers.append((prompt, answer))
        await asyncio.sleep(0.02)


@pytest.mark.parametrize('caller', ['stays', 'leaves'])
async def test_planned_stop_under_load(caller):
    """A host that is replaced must not lose its streams or bookings."""
    async with fleet.run_fleet(_PLAN) as running:
        entry, other = running.entries
        for process in running.services.values():
            await running.set_faults(process, delay_s=2)
        streams = [
            asyncio.create_task(
                running.complete(
                    'urgent', f'long {number}', _TOKENS, entry=entry
                )
            )
            for number in range(6)
        ]
        answers = []
        load = asyncio.create_task(_keep_sending(running, entry, answers))
        booking = asyncio.create_task(_support.call(running, entry, 'stop'))
        await asyncio.sleep(0.3)
        if caller == 'leaves':
            booking.cancel()
        entry.process.terminate()
        for number, answer in enumerate(await asyncio.gather(*streams)):
            assert answer.is_complete, answer.problem
            expected = engine.expected_text(f'long {number}', _TOKENS)
            assert answer.text == expected
        assert await entry.process.wait() == 0
        await load
        assert answers
        for prompt, answer in answers:
            if answer.is_complete:
                assert answer.text == engine.expected_text(prompt, 4)
            else:
                assert answer.problem['outcome'] == 'not run'
        again = await _support.call(running, other, 'stop')
        assert again.status == 200, again.body
        runs = await _support.count_runs(running, 'by_idempotency_key', 'stop')
        assert runs == 1
        if caller == 'stays':
            assert (await booking).body == again.body


async def test_refusal_of_a_stopping_host_closes_its_connection():
    """The next request on it crossed the end of the process, without an answer."""
    async with fleet.run_fleet(_PLAN) as running:
        entry, _ = running.entries
        stream = asyncio.create_task(
            running.complete('urgent', 'long', _TOKENS, entry=entry)
        )
        await asyncio.sleep(0.3)
        entry.process.terminate()
        status = 200
        while status != 503:
            async with running.session.post(
                f'{entry.url}/v1/completions', json={'model': 'x'}
            ) as response:
                status = response.status
                connection = response.headers.get('Connection', '')
            await asyncio.sleep(0.02)
        assert connection == 'close'
        assert (await stream).is_complete
