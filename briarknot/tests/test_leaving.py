"""Guards against new requests at endpoints that are leaving.

Both entry processes get requests all the time. The endpoints' own logs show
which ones reached them after the mark.
"""

import asyncio
import contextlib

import attrs

from briarknot import schema
from briarknot_standins import fleet

_DOMAIN = 'obb-a'
#: Target for a mark to take effect; the poll period is a tenth or less of it.
_TARGET_S = 3
#: Time under load before and after the mark; some tens of requests.
_OBSERVATION_S = 2
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


async def _send_requests(running, entry, number):
    """Sends short requests through one entry process, until cancelled."""
    count = 0
    while True:
        count += 1
        prompt = f'prompt {number} {count}'
        await running.complete('urgent', prompt, 2, entry=entry)
        await running.call_service('/checks', entry=entry)


@contextlib.asynccontextmanager
async def _run_load(running):
    tasks = [
        asyncio.create_task(_send_requests(running, entry, number))
        for number in range(4)
        for entry in running.entries
    ]
    yield
    assert not any(task.done() for task in tasks)
    for task in tasks:
        task.cancel()


async def _count_requests(running):
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


async def _commit_leaving(running):
    """Marks an engine and a worker as leaving; removes another engine."""
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


async def test_leaving_endpoints_get_no_new_requests():
    """An endpoint could be stopped while it still gets requests."""
    async with fleet.run_fleet(_PLAN) as running, _run_load(running):
        await asyncio.sleep(_OBSERVATION_S)
        assert all((await _count_requests(running)).values())
        leaving = await _commit_leaving(running)
        await asyncio.sleep(_TARGET_S)
        marked = await _count_requests(running)
        await asyncio.sleep(_OBSERVATION_S)
        after = await _count_requests(running)
    got_requests = {name for name in after if after[name] > marked[name]}
    assert got_requests == set(after) - leaving
