"""Guards against new work on endpoints that are leaving.

Both entry processes get work all the time. The endpoints' own logs tell what
reached them after the mark.
"""

import asyncio
import contextlib

import attrs

from briarknot import schema
from briarknot_standins import fleet

_DOMAIN = 'obb-a'
#: The stated target; the poll period makes the expected time a tenth of it.
_BOUND_S = 3
#: Time with work after the bound, enough for some tens of requests.
_AFTER_S = 2
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(
        fleet.DomainPlan(
            name=_DOMAIN,
            region='obb',
            engines=(fleet.EnginePlan(count=3),),
            services=2,
            entries=2,
        ),
    ),
    timing=schema.settings.Timing(document_poll_s=0.1),
)


async def _send_work(running, entry, number):
    """Sends short requests through one entry process, until cancelled."""
    count = 0
    while True:
        count += 1
        prompt = f'prompt {number} {count}'
        await running.complete('urgent', prompt, 2, entry=entry)
        await running.call_service('/checks', entry=entry)


@contextlib.asynccontextmanager
async def _work(running):
    tasks = [
        asyncio.create_task(_send_work(running, entry, number))
        for number in range(4)
        for entry in running.entries
    ]
    yield
    assert not any(task.done() for task in tasks)
    for task in tasks:
        task.cancel()


async def _read_runs(running):
    """Returns the number of requests that reached each endpoint."""
    engines = {
        name: len((await running.read_json(process, '/runs'))['runs'])
        for name, process in running.engines.items()
    }
    workers = {
        name: (await running.read_json(process, '/runs'))['total']
        for name, process in running.services.items()
    }
    return {**engines, **workers}


def _mark_leaving(endpoint):
    return attrs.evolve(endpoint, leaving=True)


async def _commit_marks(running):
    """Marks an engine and a worker, and removes another engine."""
    document = running.document
    first, second, last = document.engines
    service = document.services[0]
    worker, *others = service.endpoints
    await running.commit(
        attrs.evolve(
            document,
            engines=(_mark_leaving(first), last),
            services=(
                attrs.evolve(
                    service, endpoints=(_mark_leaving(worker), *others)
                ),
            ),
        )
    )
    return {first.name, second.name, worker.name}


async def test_leaving_endpoints_get_no_new_work():
    """An endpoint could be stopped while it still gets requests."""
    async with fleet.run_fleet(_PLAN) as running, _work(running):
        await asyncio.sleep(_AFTER_S)
        assert all((await _read_runs(running)).values())
        leaving = await _commit_marks(running)
        await asyncio.sleep(_BOUND_S)
        marked = await _read_runs(running)
        await asyncio.sleep(_AFTER_S)
        after = await _read_runs(running)
    got_work = {name for name in after if after[name] > marked[name]}
    assert got_work == set(after) - leaving
