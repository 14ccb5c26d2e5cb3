"""Guards the bound on engines that one crashing request takes down."""

import asyncio

import attrs
import pytest

from briarknot import schema
from briarknot.tests import conftest
from briarknot_standins import engine, fleet

_MARKER = 'crash-me'
#: Endpoints in each set of entry processes that can reach each other.
_BOUND = 2
_MIXED = (fleet.EnginePlan(count=6),)
_PAIRS = (
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


def _list_down(running):
    return [
        name
        for name, engine_process in running.engines.items()
        if engine_process.exit_status is not None
    ]


async def _wait_links(running):
    """Waits until each entry process is linked with both others."""
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


@pytest.mark.parametrize('engines', [_MIXED, _PAIRS], ids=['mixed', 'pairs'])
async def test_crashing_request(engines):
    """One request that crashes engines must not take down a whole domain."""
    async with fleet.run_fleet(_make_plan(engines)) as running:
        await _wait_links(running)
        for process in running.engines.values():
            await running.set_faults(process, crash_marker=_MARKER)
        innocent = [
            asyncio.create_task(
                running.complete('urgent', f'innocent {number}', 40)
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.2)
        # The first copy goes alone; what follows comes through all entries.
        prompt = f'{_MARKER} again'
        answers = await _resend(running, running.entries[0], 1, prompt)
        resent = await asyncio.gather(
            *[
                _resend(running, entry, 6, prompt)
                for entry in running.entries * 2
            ]
        )
        whole = await asyncio.gather(*innocent)
        down = _list_down(running)
        assert 0 < len(down) <= _BOUND, down
        assert not any(one.is_complete for one in answers)
        assert {one.problem['cause'] for group in resent for one in group} <= {
            'quarantined'
        }
        for number, answer in enumerate(whole):
            assert answer.is_complete, answer.problem
            expected = engine.expected_text(f'innocent {number}', 40)
            assert answer.text == expected
            again = await running.complete('urgent', f'innocent {number}', 4)
            assert again.is_complete, again.problem


async def test_copies_at_all_entries():
    """A copy that waits for its turn must not crash a third engine."""
    async with fleet.run_fleet(_make_plan(_MIXED)) as running:
        await _wait_links(running)
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
        down = _list_down(running)
        # Each copy may have been in flight when the first crash was noticed.
        assert 0 < len(down) <= _BOUND + copies - 1, down
