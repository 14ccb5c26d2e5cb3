"""Tests that all processes know what is quarantined, against the store."""

import asyncio
import contextlib
import time

from briarknot import platform, serving
from briarknot.gateway import _context, _quarantine_sync
from briarknot.gateway.tests import test_store_sync as stores

_KEYS = ('part a', 'part dd', 'request 1')
_OTHER_KEYS = ('part a', 'part dd', 'request 2')
_ROW = ('quarantine', 'gateways')


def record_crashes(context, count=2):
    """Records crashes at which a request was starting."""
    for number in range(count):
        context.quarantine.record_crash(f'w{number}', _KEYS, time.monotonic())
    context.quarantine_changed.notify()


def is_refused(context):
    """Returns whether another request with the part is refused."""
    result = context.quarantine.check(_OTHER_KEYS, time.monotonic())
    return isinstance(result, serving.Quarantined)


async def run_gateways(stack, store, *hosts, **options):
    """Runs processes until the stack is closed, once they know each other."""
    contexts = await stack.enter_async_context(
        stores.run_gateways(store, *hosts, **options)
    )
    await stores.wait_until(
        lambda: all(
            one.is_ready and len(one.peer_hosts) == len(hosts) - 1
            for one in contexts
        )
    )
    return contexts


async def wait_for_row(store, condition):
    """Waits until a condition holds for the stored row."""
    async with asyncio.timeout(20):
        while True:
            if condition(await store.read_row(*_ROW)):
                return
            await asyncio.sleep(0.05)


async def test_part_is_refused_by_all_processes():
    """Requests with the part crashed workers again from other gateways."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        contexts = await run_gateways(
            stack, store, 'g1', 'g2', 'g3', separate_domains=True
        )
        record_crashes(contexts[0])
        await stores.wait_until(lambda: all(map(is_refused, contexts)))


async def test_part_is_refused_where_the_first_message_was_lost():
    """A gateway that missed a datagram never learned of the part."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        first, second = await run_gateways(stack, store, 'g1', 'g2')
        record_crashes(first)
        first.quarantine.take_changed(time.monotonic())
        await stores.wait_until(lambda: is_refused(second))


async def test_part_is_refused_after_the_restart_of_all_processes():
    """Requests with the part crashed workers again after a restart."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        async with contextlib.AsyncExitStack() as before:
            contexts = await run_gateways(before, store, 'g1', 'g2')
            record_crashes(contexts[0])
            await stores.wait_until(lambda: all(map(is_refused, contexts)))
            await wait_for_row(store, bool)
        contexts = await run_gateways(stack, store, 'g1', 'g2')
        await stores.wait_until(lambda: all(map(is_refused, contexts)))


async def test_part_is_stored_after_an_outage_of_the_store():
    """What was learned during an outage was lost by a restart after it."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        contexts = await run_gateways(stack, store, 'g1', 'g2')
        await store.set_faults(down=True)
        record_crashes(contexts[0])
        await stores.wait_until(lambda: all(map(is_refused, contexts)))
        await store.set_faults(down=False)
        await wait_for_row(store, bool)


async def test_what_was_learned_before_the_first_read_is_stored():
    """Processes that all started in an outage took their evidence for stored."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        client = platform.make_client(store.session, store.url, 1)
        context = _context.make_context(stores.make_settings('g', 'a'), None)
        record_crashes(context)
        sync = _quarantine_sync.make_quarantine_sync(context, client, None)
        await sync.load()
        task = asyncio.ensure_future(sync.store())
        stack.callback(task.cancel)
        await wait_for_row(store, bool)


async def test_another_process_stores_where_the_first_can_not():
    """What was quarantined was not stored if one process could not write."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        clients = {}
        contexts = await run_gateways(stack, store, 'g1', 'g2', clients=clients)
        writer = serving.rank_names('gateways', clients)[0]
        clients[writer]._url = 'http://127.0.0.1:1'
        record_crashes(contexts[0])
        await wait_for_row(store, bool)


async def test_quarantine_ends_at_all_processes_and_in_the_store():
    """A part that is sound again was refused after the next restart."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        async with contextlib.AsyncExitStack() as before:
            contexts = await run_gateways(before, store, 'g1', 'g2')
            record_crashes(contexts[0])
            await wait_for_row(store, bool)
            now = time.monotonic()
            contexts[1].quarantine.record_success(_KEYS, now)
            contexts[1].quarantine_changed.notify()
            await stores.wait_until(lambda: not any(map(is_refused, contexts)))
            await wait_for_row(store, lambda row: not row['evidence'])
        contexts = await run_gateways(stack, store, 'g1', 'g2')
        assert not any(map(is_refused, contexts))


async def test_unreadable_row_is_passed_over():
    """One damaged row would keep each process from starting."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put(*_ROW, {'evidence': 7})
        clients = {}
        contexts = await run_gateways(stack, store, 'g1', clients=clients)
        sync = _quarantine_sync.make_quarantine_sync(
            contexts[0], clients['g1'], None
        )
        await sync.load()
        assert not is_refused(contexts[0])
