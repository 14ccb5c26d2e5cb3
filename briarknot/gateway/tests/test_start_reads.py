"""Tests what a process reads from the store when it starts."""

import asyncio

from briarknot import platform
from briarknot.gateway import (
    _context,
    _peers,
    _quarantine_sync,
    _version_sync,
)
from briarknot.gateway.tests import test_store_sync as stores


async def test_rows_are_read_once():
    """Each row was read twice at a start, by the start and by its task.

    Calls to the store are billed, and all processes start at once after a loss of
    power.
    """
    async with stores.open_store() as store:
        client = platform.make_client(store.session, store.url, 1)
        context = _context.make_context(
            stores.make_settings('a1', 'a'), calls=None
        )
        peers = _peers.make_peers(context)
        quarantine = _quarantine_sync.make_quarantine_sync(
            context, client, peers
        )
        versions = _version_sync.make_version_sync(context, client, peers)
        tasks = [
            asyncio.ensure_future(task())
            for task in (quarantine.store, versions.store)
        ]
        await quarantine.load()
        await versions.load()
        stats = await store.read_stats()
        for task in tasks:
            task.cancel()
    assert stats['reads'] == 2
