"""Guards against suspect requests that run at the same time.

Two requests, each through its own entry process, are in flight at an engine
when it crashes. The one that caused the crash must not crash a second engine
while the other request runs there.
"""

import asyncio

import attrs

from briarknot_standins import engine, fleet

_POLL_S = 0.05
_TIMEOUT_S = 60
#: About 2 s of decoding.
_TOKENS = 80
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(
        fleet.DomainPlan(
            name='obb-a',
            region='obb',
            engines=(fleet.EnginePlan(count=3),),
            entries=2,
        ),
    ),
)


async def _list_running(running, name):
    """Returns the ids of the requests that an engine runs now."""
    log = await running.read_json(running.engines[name], '/runs')
    return {
        request_id
        for request_id, view in log['runs'].items()
        if view['runs'][-1]['end'] == 'running'
    }


async def _wait_running(running, name, count):
    async with asyncio.timeout(_TIMEOUT_S):
        found = set()
        while len(found) < count:
            await asyncio.sleep(_POLL_S)
            found = await _list_running(running, name)


async def _count_overlaps(running, names, tasks):
    """Counts the samples in which more than one request was running."""
    first, second = names
    overlaps = 0
    while not all(task.done() for task in tasks):
        on_first = await _list_running(running, first)
        on_second = await _list_running(running, second)
        # A request that still runs did so while the other engine was read.
        still_running = on_first & await _list_running(running, first)
        overlaps += len(still_running | on_second) > 1
        await asyncio.sleep(_POLL_S)
    return overlaps


async def test_suspects_of_two_entries_run_one_at_a_time():
    """A lock in each entry process alone would let two suspects run at once."""
    async with fleet.run_fleet(_PLAN) as running:
        crashed, *others = sorted(running.engines)
        document = running.document
        remaining = [one for one in document.engines if one.name == crashed]
        await running.commit(attrs.evolve(document, engines=tuple(remaining)))
        # Far longer than the periods after which the document takes effect.
        await asyncio.sleep(2)
        tasks = [
            asyncio.create_task(
                running.complete('urgent', entry.host, _TOKENS, entry=entry)
            )
            for entry in running.entries
        ]
        await _wait_running(running, crashed, len(tasks))
        await running.commit(document)
        await asyncio.sleep(0.8)
        running.engines[crashed].kill()
        assert not await _count_overlaps(running, others, tasks)
        for entry, task in zip(running.entries, tasks, strict=True):
            answer = await task
            assert answer.text == engine.expected_text(entry.host, _TOKENS)
            assert 'engine: crashed' in entry.process.read_output()
