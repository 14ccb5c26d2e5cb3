"""Guards against an entry process that acts on outdated state after a pause.

One of three entry processes is paused by SIGSTOP. It can learn of a drain mark
and a commit of that time only by its own reads after the pause.
"""

import asyncio
import re

import attrs

from briarknot import admission, platform, schema
from briarknot_standins import fleet

_DOMAIN = 'obb-a'
_DRAINED = 'obb-a-engine-0'
_LEAVING = 'obb-a-engine-1'
_POLL_S = 0.1
#: Generous, since only the order of events is checked.
_TIMEOUT_S = 30
#: Longer than the grace period after which other processes poll an engine, so
#: that only the owner's polls count.
_POLL_WINDOW_S = 2
_REQUESTS = 24
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(
        fleet.DomainPlan(
            name=_DOMAIN,
            region='obb',
            engines=(fleet.EnginePlan(count=3),),
            entries=3,
        ),
    ),
    timing=schema.settings.Timing(
        # Long, so that the pause and not the period causes the read.
        document_poll_s=2,
        heartbeat_s=0.3,
        suspect_after_s=1,
        load_poll_s=0.5,
    ),
)


async def _read_metric(running, entry, name):
    text = await running.read_metrics(entry)
    found = re.search(rf'^{name} (\S+)$', text, re.MULTILINE)
    return float(found.group(1))


async def _wait_metric(running, entries, name, wanted):
    """Waits until a metric has a value in all processes."""
    async with asyncio.timeout(_TIMEOUT_S):
        for entry in entries:
            found = None
            while found != wanted:
                await asyncio.sleep(_POLL_S)
                found = await _read_metric(running, entry, name)


async def _find_pollers(running, entries):
    """Returns the hosts that poll engines within a time window."""
    name = 'briarknot_engine_polls_total{result="ok"}'
    name = re.escape(name)
    before = [await _read_metric(running, one, name) for one in entries]
    await asyncio.sleep(_POLL_WINDOW_S)
    after = [await _read_metric(running, one, name) for one in entries]
    return {
        entry.host
        for entry, old, new in zip(entries, before, after, strict=True)
        if new > old
    }


async def _wait_pollers(running, entries):
    """Waits until exactly the owners of the engines poll them."""
    hosts = tuple(entry.host for entry in entries)
    owners = {
        admission.choose_owner(engine, hosts) for engine in running.engines
    }
    async with asyncio.timeout(_TIMEOUT_S):
        pollers = set()
        while pollers != owners:
            pollers = await _find_pollers(running, entries)


async def _write_drain_mark(running):
    """Writes an engine's drain mark, as a controller does before an order."""
    row = schema.records.OrderRow(
        order=schema.endpoints.Order(epoch=1, sequence=1),
        phase=schema.records.OrderPhase.DRAINING,
    )
    operation = platform.make_operation(
        'orders', f'{_DOMAIN}.{_DRAINED}', row, None
    )
    assert await running.client.commit(operation)


async def _mark_leaving(running):
    engines = tuple(
        attrs.evolve(one, leaving=one.name == _LEAVING)
        for one in running.document.engines
    )
    await running.commit(attrs.evolve(running.document, engines=engines))


async def _list_run_requests(running, engine, host):
    """Returns the requests of an entry process that an engine ran."""
    log = await running.read_json(running.engines[engine], '/runs')
    return {name for name in log['runs'] if name.startswith(f'{host}.')}


async def test_resumed_process_refreshes_state_before_dispatch():
    """It could send requests to engines that are now draining or leaving."""
    async with fleet.run_fleet(_PLAN) as running:
        live = 'briarknot_live_members'
        await _wait_metric(running, running.entries, live, 3)
        await _wait_pollers(running, running.entries)
        hosts = tuple(sorted(entry.host for entry in running.entries))
        owner = admission.choose_owner(_DRAINED, hosts)
        paused = next(one for one in running.entries if one.host == owner)
        others = [one for one in running.entries if one is not paused]
        incarnation = await _read_metric(
            running, paused, 'briarknot_incarnation'
        )
        paused.process.pause()
        await _wait_metric(running, others, live, 2)
        await _wait_pollers(running, others)
        await _write_drain_mark(running)
        await _mark_leaving(running)
        requests = [
            asyncio.create_task(
                running.complete('urgent', f'prompt {number}', 2, entry=paused)
            )
            for number in range(_REQUESTS)
        ]
        await asyncio.sleep(_POLL_S)
        paused.process.resume()
        answers = await asyncio.gather(*requests)
        assert all(answer.is_complete for answer in answers)
        for engine in (_DRAINED, _LEAVING):
            assert not await _list_run_requests(running, engine, owner)
        await _wait_metric(running, running.entries, live, 3)
        new_incarnation = await _read_metric(
            running, paused, 'briarknot_incarnation'
        )
        assert new_incarnation > incarnation
        await _wait_pollers(running, running.entries)
