"""Guards the guarantees that agreement rests on, and the faults."""

import asyncio
import contextlib

import aiohttp
import hypothesis
import pytest
from hypothesis import stateful, strategies

from briarknot_standins import platform, serving
from briarknot_standins.platform import _store

_CONFIG = platform.PlatformConfig(host_lag_s=0)
_KEYS = strategies.sampled_from(('a', 'b'))
_VERSIONS = strategies.none() | strategies.integers(1, 3)


@contextlib.asynccontextmanager
async def open_platform(config=_CONFIG):
    """Serves a platform and opens a client."""
    async with serving.serve(platform.make_app(config)) as url:
        async with aiohttp.ClientSession(url) as client:
            yield client


async def write(client, *operations):
    """Sends a transaction of (key, expected version, value)."""
    body = {
        'operations': [
            {'table': 't', 'key': key, 'expected_version': old, 'value': new}
            for key, old, new in operations
        ]
    }
    async with client.post('/transactions', json=body) as response:
        return response.status, await response.json()


async def get_json(client, path):
    """Reads a JSON resource."""
    async with client.get(path) as response:
        return await response.json(content_type=None)


async def set_faults(client, **faults):
    """Changes faults."""
    async with client.post('/faults', json=faults) as response:
        assert response.status == 200


async def wait_stats(client, name):
    """Waits until a count is above zero."""
    while True:
        stats = await get_json(client, '/stats')
        if stats[name]:
            return
        await asyncio.sleep(0.01)


class TablesMachine(stateful.RuleBasedStateMachine):
    """Compares the tables with a plain dict of values and versions."""

    def __init__(self):
        """Starts with empty tables."""
        super().__init__()
        self.tables = _store.Tables()
        self.rows = {}

    @stateful.rule(
        expected=strategies.dictionaries(_KEYS, _VERSIONS, min_size=1),
        value=strategies.integers(),
    )
    def write(self, expected, value):
        """A transaction applies as a whole, or names its conflicts."""
        operations = [
            _store.Operation(
                table='t', key=key, value=value, expected_version=version
            )
            for key, version in expected.items()
        ]
        conflicts = self.tables.find_conflicts(operations)
        assert conflicts == [
            index
            for index, (key, version) in enumerate(expected.items())
            if self.rows.get(key, (None, None))[1] != version
        ]
        if not conflicts:
            self.tables.apply(operations)
            for key, version in expected.items():
                self.rows[key] = (value, (version or 0) + 1)

    @stateful.invariant()
    def rows_match(self):
        """A row must hold its last write."""
        found = self.tables.list_rows('t', '')
        assert self.rows == {
            key: (row.value, row.version) for key, row in found.items()
        }


TestTables = TablesMachine.TestCase
TestTables.settings = hypothesis.settings(
    hypothesis.settings.get_profile('repeatable'), stateful_step_count=20
)


async def test_transaction_is_all_or_nothing():
    """A partial write would break claims and leases."""
    async with open_platform() as client:
        assert await write(client, ('a', None, 1)) == (200, {'versions': [1]})
        refused = await write(client, ('b', None, 1), ('a', None, 2))
        rows = await get_json(client, '/tables/t?prefix=')
    assert refused == (409, {'conflicts': [1]})
    assert rows == {'rows': [{'key': 'a', 'value': 1, 'version': 1}]}


async def test_one_transaction_may_not_write_a_row_twice():
    """Both writes would match the same version, and one would be lost."""
    async with open_platform() as client:
        status, body = await write(client, ('a', None, 1), ('a', None, 2))
    assert (status, body) == (409, {'conflicts': [1]})


async def test_lost_answer_leaves_its_write():
    """The fault would be of no use if the write had no effect."""
    async with open_platform() as client:
        await set_faults(client, lose_answers=1)
        with pytest.raises(aiohttp.ClientError):
            await write(client, ('a', None, 1))
        assert (await get_json(client, '/tables/t/a'))['version'] == 1
        assert (await write(client, ('a', 1, 2)))[0] == 200


async def test_slow_write_takes_effect_after_its_sender_left():
    """A late write is how a paused process's lease renewal arrives."""
    async with open_platform() as client:
        await set_faults(client, slow_s=0.1)
        sender = asyncio.create_task(write(client, ('a', None, 1)))
        await wait_stats(client, 'bytes_in')
        sender.cancel()
        await wait_stats(client, 'writes')


async def test_down_platform_has_no_effect():
    """An outage must not write."""
    async with open_platform() as client:
        await set_faults(client, down=True)
        with pytest.raises(aiohttp.ClientError):
            await write(client, ('a', None, 1))
        await set_faults(client, down=False)
        async with client.get('/tables/t/a') as response:
            assert response.status == 404


async def test_stale_reads_and_host_list_show_the_past():
    """Readers have to cope with rows and hosts that are out of date."""
    host = {'domain': 'obb-a', 'peer_url': 'http://h', 'state': 'live'}
    async with open_platform() as client:
        await write(client, ('a', None, 1))
        await client.put('/hosts/h-1', json=host)
        await set_faults(client, stale_reads=60, host_lag_s=60)
        async with client.get('/tables/t/a') as response:
            assert response.status == 404
        assert await get_json(client, '/hosts') == {'hosts': []}
        await set_faults(client, stale_reads=0, host_lag_s=0)
        assert (await get_json(client, '/tables/t/a'))['value'] == 1
        hosts = await get_json(client, '/hosts')
        assert hosts == {'hosts': [{'host': 'h-1', **host}]}
        await client.delete('/hosts/h-1')
        assert await get_json(client, '/hosts') == {'hosts': []}


async def test_rates_are_limited_and_counted():
    """A part that reads or writes too much has to be noticed."""
    # At this rate no second request is admitted during the test.
    config = platform.PlatformConfig(reads_per_s=0.001, writes_per_s=0.001)
    async with open_platform(config) as client:
        assert (await write(client, ('a', None, 1)))[0] == 200
        async with client.put('/objects/b/c', data=b'1') as response:
            assert response.status == 429
        for _ in range(2):
            await get_json(client, '/objects?prefix=')
        stats = await get_json(client, '/stats')
    assert (stats['writes'], stats['writes_refused']) == (1, 1)
    assert (stats['reads'], stats['reads_refused']) == (1, 1)


async def test_objects_are_found_by_prefix():
    """The journal is read by prefix."""
    async with open_platform() as client:
        for name in ('journal/1/a', 'journal/2/b', 'journal/2/b'):
            async with client.put(f'/objects/{name}', data=b'x') as response:
                assert response.status == 200
        listed = await get_json(client, '/objects?prefix=journal/2')
        async with client.get('/objects/journal/1/a') as response:
            assert await response.read() == b'x'
        stats = await get_json(client, '/stats')
    assert (stats['objects'], stats['object_bytes']) == (2, 2)
    assert listed == {'objects': ['journal/2/b']}
