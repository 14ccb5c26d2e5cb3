"""Tests what follows versions and rows of the store when it is restored.

The store comes back from a copy: rows that it had acknowledged are gone, versions go
back and are given out again, and its era rises.
"""

import asyncio
import contextlib
import time

from briarknot import authority, platform
from briarknot.gateway import _context, _store_readers, _store_sync
from briarknot.gateway.tests import test_quarantine_sync as quarantines
from briarknot.gateway.tests import test_store_sync as stores

_LEAVING = {**stores._WORKER, 'state': 'draining'}


@contextlib.asynccontextmanager
async def run_gateways(*hosts, **options):
    """Runs a store with a worker, and processes that know each other."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        contexts = await quarantines.run_gateways(
            stack, store, *hosts, **options
        )
        yield store, contexts


async def raise_version(store, count):
    """Raises the version of the store by changes that concern nobody."""
    for number in range(count):
        await store.put('other', f'row {number}', number)


async def post(store, path):
    """Calls the stand-in's own interface."""
    await store._post(path, {})


def is_known(contexts, worker_id):
    """Returns whether all processes list a worker as usable."""
    return all(
        worker_id in [worker.id for worker in one.fleet.list_usable('s')]
        for one in contexts
    )


def is_unused(contexts, worker_id):
    """Returns whether no process lists a worker as usable."""
    return not any(
        worker_id in [worker.id for worker in one.fleet.list_usable('s')]
        for one in contexts
    )


def get_leader(contexts):
    """Returns the process that reads the store for the others."""
    return next(
        one for one in contexts if _store_readers.get_reader_rank(one) == 0
    )


async def test_workers_are_followed_after_versions_went_back():
    """Processes ignored all updates until the versions had caught up."""
    async with run_gateways('g1', 'g2', 'g3') as (store, contexts):
        await post(store, '/copy')
        await raise_version(store, 50)
        await store.put('servers', 'w2', stores._WORKER)
        await stores.wait_until(lambda: is_known(contexts, 'w2'))
        await post(store, '/restore')
        await store.put('servers', 'w2', stores._WORKER)
        await store.put('servers', 'w3', stores._WORKER)
        await store.put('servers', 'w1', _LEAVING)
        await stores.wait_until(lambda: is_known(contexts, 'w3'), 3)
        await stores.wait_until(lambda: is_unused(contexts, 'w1'), 3)


async def test_manifest_is_followed_where_its_version_was_given_out_again():
    """The feed continued after a version that had been assigned again."""
    async with stores.open_store() as store:
        settings = stores.make_settings('g1', 'a')
        context = _context.make_context(settings, calls=None)
        client = platform.make_client(store.session, store.url, 1)
        store_sync = _store_sync.make_store_sync(context, client, peers=None)
        await post(store, '/copy')
        await raise_version(store, 20)
        await store.put('op', 'config', {**stores._MANIFEST, 'version': 4})
        version = await store_sync._read_manifest(0)
        assert context.fleet.version == 4
        await post(store, '/restore')
        await store.put('op', 'config', {**stores._MANIFEST, 'version': 5})
        await raise_version(store, 40)
        await store_sync._wait_for_manifest(version)
        assert context.fleet.version == 5


async def test_older_manifest_of_the_copy_is_not_put_in_force():
    """A process replaced its manifest by the older one of the copy."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await post(store, '/copy')
        await store.put('op', 'config', {**stores._MANIFEST, 'version': 9})
        await stores.wait_until(
            lambda: all(one.fleet.version == 9 for one in contexts)
        )
        await post(store, '/restore')
        await asyncio.sleep(2.5)
        assert [one.fleet.version for one in contexts] == [9, 9]
        await store.put('op', 'config', {**stores._MANIFEST, 'version': 10})
        await stores.wait_until(
            lambda: all(one.fleet.version == 10 for one in contexts), 3
        )


async def test_leaving_worker_is_not_used_again():
    """The copy said that a leaving worker was ready, and it got requests."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await store.put('servers', 'w2', stores._WORKER)
        await stores.wait_until(lambda: is_known(contexts, 'w1'))
        await post(store, '/copy')
        await store.put('servers', 'w1', _LEAVING)
        await stores.wait_until(lambda: is_unused(contexts, 'w1'))
        await post(store, '/restore')
        await hold(lambda: is_unused(contexts, 'w1'), 2.5)


async def test_worker_that_left_is_not_used_again():
    """The copy held the entry of a worker that had left."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await store.put('servers', 'w2', stores._WORKER)
        await stores.wait_until(lambda: is_known(contexts, 'w2'))
        await post(store, '/copy')
        await store.remove('servers', 'w1')
        await stores.wait_until(
            lambda: all(len(one.fleet.workers) == 1 for one in contexts)
        )
        await post(store, '/restore')
        await hold(lambda: is_unused(contexts, 'w1'), 2.5)
        restarted = {**stores._WORKER, 'born': 7}
        await store.put('servers', 'w1', restarted)
        await stores.wait_until(lambda: is_known(contexts, 'w1'), 3)


async def test_live_worker_that_the_copy_lacks_is_kept():
    """Workers that had registered since the copy were dropped for a while."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await post(store, '/copy')
        await store.put('servers', 'w2', stores._WORKER)
        await stores.wait_until(lambda: is_known(contexts, 'w2'))
        await post(store, '/restore')
        await hold(lambda: is_known(contexts, 'w2'), 1.2)


async def test_worker_that_does_not_come_back_is_dropped_by_all():
    """The leader dropped it later than it read the list; others kept it."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await post(store, '/copy')
        await store.put('servers', 'w2', stores._WORKER)
        await stores.wait_until(lambda: is_known(contexts, 'w2'))
        await post(store, '/restore')
        await stores.wait_until(lambda: is_unused(contexts, 'w2'), 6)


async def test_process_is_registered_again_after_its_row_was_lost(monkeypatch):
    """A write that expected the lost version failed in each period."""
    monkeypatch.setattr('briarknot.gateway._hosts._MIN_PERIOD_S', 0.5)
    async with stores.open_store() as store:
        await post(store, '/copy')
        async with stores.run_gateways(store, 'g1'):
            await wait_for_row(store, 'gateways', 'g1')
            await post(store, '/restore')
            await wait_for_row(store, 'gateways', 'g1')


async def test_lost_quarantine_is_stored_again():
    """A quarantine was forgotten if all processes restarted after a restore."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await post(store, '/copy')
        quarantines.record_crashes(contexts[0])
        # Both processes then have found it stored.
        await asyncio.sleep(5)
        await wait_for_row(store, 'quarantine', 'gateways')
        await post(store, '/restore')
        assert not await store.read_row('quarantine', 'gateways')
        await wait_for_row(store, 'quarantine', 'gateways')


async def test_fencing_numbers_rise_and_holders_do_not_alternate(monkeypatch):
    """Two holders gave orders under one number after a grant was lost."""
    async with stores.open_store() as store:
        client = platform.make_client(store.session, store.url, 1)
        first = await authority.acquire_grant(client, 's', 'g1')
        await post(store, '/copy')
        second = await authority.acquire_grant(client, 's', 'g1')
        await post(store, '/restore')
        assert not await authority.acquire_grant(client, 's', 'g2')
        later = await authority.acquire_grant(client, 's', 'g1')
        assert not later
        monkeypatch.setattr(
            'briarknot.authority._order_grants._OTHER_HOLDER_S', 0
        )
        later = await authority.acquire_grant(client, 's', 'g2')
        assert first.fence < second.fence < later.fence
        last = await authority.acquire_grant(client, 's', 'g2')
        assert last.fence == later.fence + 1


async def wait_for_row(store, table, key):
    """Waits until a row exists."""
    async with asyncio.timeout(9):
        while True:
            if await store.read_row(table, key):
                return
            await asyncio.sleep(0.05)


async def hold(condition, seconds):
    """Asserts that a condition holds for a time."""
    end_s = time.monotonic() + seconds
    while True:
        assert condition()
        if time.monotonic() > end_s:
            return
        await asyncio.sleep(0.02)
