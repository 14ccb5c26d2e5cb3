"""Guards the limit on engines that one request can crash.

A request that crashes its engine is retried on another engine and sent again
by its caller, so it could take down a whole failure domain.
"""

import asyncio

import attrs
import pytest

from briarknot import schema
from briarknot.tests import conftest
from briarknot_standins import engine, fleet

_MARKER = 'crash-me'
#: Engines that a request may crash in a set of linked entry processes.
_MAX_CRASHES = 2
_MIXED_ENGINES = (fleet.EnginePlan(count=6),)
_PREFILL_AND_DECODE_ENGINES = (
    fleet.EnginePlan(role=schema.fleet.Role.PREFILL, count=4),
    fleet.EnginePlan(role=schema.fleet.Role.DECODE, count=2),
)


def _make_plan(engines):
    return attrs.evolve(
        conftest.SMALL_PLAN,
        domains=(
            attrs.evolve(
                conftest.SMALL_PLAN.domains[0],
                engines=engines,
                entries=3,
            ),
        ),
    )


def _list_stopped_engines(running):
    return [
        name
        for name, engine_process in running.engines.items()
        if engine_process.exit_status is not None
    ]


async def _wait_linked(running):
    """Waits until each entry process has links to both others."""
    async with asyncio.timeout(30):
        texts = ['']
        while not all('peer_links{program="entry"} 2.0' in t for t in texts):
            await asyncio.sleep(0.1)
            texts = [await running.read_metrics(one) for one in running.entries]


async def _resend(running, entry, times, prompt):
    return [
        await running.complete('ordinary', prompt, 8, entry=entry)
        for _ in range(times)
    ]


@pytest.mark.parametrize(
    'engines',
    [_MIXED_ENGINES, _PREFILL_AND_DECODE_ENGINES],
    ids=['mixed', 'pairs'],
)
async def test_resent_crashing_request_is_quarantined(engines):
    """A request that crashes engines must not take down a whole domain."""
    async with fleet.run_fleet(_make_plan(engines)) as running:
        await _wait_linked(running)
        for process in running.engines.values():
            await running.set_faults(process, crash_marker=_MARKER)
        others = [
            asyncio.create_task(
                running.complete('urgent', f'innocent {number}', 40)
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.2)
        # The first copy runs alone; the later ones go through all entries.
        prompt = f'{_MARKER} again'
        answers = await _resend(running, running.entries[0], 1, prompt)
        resent = await asyncio.gather(
            *[
                _resend(running, entry, 6, prompt)
                for entry in running.entries * 2
            ]
        )
        other_answers = await asyncio.gather(*others)
        stopped = _list_stopped_engines(running)
        assert 0 < len(stopped) <= _MAX_CRASHES, stopped
        assert not any(one.is_complete for one in answers)
        assert {one.problem['cause'] for group in resent for one in group} <= {
            'quarantined'
        }
        for number, answer in enumerate(other_answers):
            assert answer.is_complete, answer.problem
            expected = engine.expected_text(f'innocent {number}', 40)
            assert answer.text == expected
            again = await running.complete('urgent', f'innocent {number}', 4)
            assert again.is_complete, again.problem


async def test_concurrent_copies_crash_few_engines():
    """A copy that waits for the suspect lock must not crash a third engine."""
    async with fleet.run_fleet(_make_plan(_MIXED_ENGINES)) as running:
        await _wait_linked(running)
        for process in running.engines.values():
            await running.set_faults(
                process, crash_marker=_MARKER, crash_at_token=2
            )
        prompt = f'{_MARKER} at once'
        copies = 3
        await asyncio.gather(
            *[
                _resend(running, entry, 4, prompt)
                for entry in running.entries[:copies]
            ]
        )
        stopped = _list_stopped_engines(running)
        # Each copy may have been in flight when the first crash was detected.
        assert 0 < len(stopped) <= _MAX_CRASHES + copies - 1, stopped
