"""Checks the store's consistency guarantees, and the faults."""

import asyncio
import base64
import contextlib
import json

import aiohttp
import hypothesis
import pytest
import yarl
from hypothesis import stateful, strategies

from briarknot_standins import platform, serving
from briarknot_standins.platform import _store

_CONFIG = platform.PlatformConfig(host_lag_s=0)
_KEYS = strategies.sampled_from(('a', 'b'))
#: Expected versions, relative to the current ones.
_GUESSES = strategies.sampled_from((0, 0, 0, 1, -1))


@contextlib.asynccontextmanager
async def open_platform(config=_CONFIG):
    """Serves a platform and opens a client."""
    async with serving.serve(platform.make_app(config)) as url:
        async with aiohttp.ClientSession(url) as client:
            yield client


def encode(value):
    """Encodes a value as in the store's rows."""
    return base64.b64encode(json.dumps(value).encode()).decode()


async def read_rows(client, table='t'):
    """Reads (key, value, version) of the rows of a table."""
    tree = await get_json(client, f'/v1/rows-get?table={table}&part=')
    return [
        (row['key'], json.loads(base64.b64decode(row['value'])), row['ver'])
        for row in tree['rows']
    ]


async def write(client, *operations):
    """Sends a transaction of (key, expected version, value)."""
    body = {
        'expected': [
            {'table': 't', 'part': '', 'key': key, 'ver': old or 0}
            for key, old, _ in operations
        ],
        'put': [
            {'table': 't', 'part': '', 'key': key, 'value': encode(new)}
            for key, _, new in operations
        ],
    }
    async with client.post('/v1/rows-tx', json=body) as response:
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
    """Waits until a counter is above zero."""
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
        self.changes = []

    @stateful.rule(
        expected=strategies.dictionaries(_KEYS, _GUESSES, min_size=1),
        value=strategies.binary(max_size=2),
    )
    def write(self, expected, value):
        """Checks that a transaction is atomic and lists its conflicts."""
        held = {key: self.rows.get(key, (b'', 0))[1] for key in expected}
        versions = {key: held[key] + offset for key, offset in expected.items()}
        conflicts = self.tables.find_conflicts(
            [
                _store.Expected(table='t', key=key, version=version)
                for key, version in versions.items()
            ]
        )
        assert conflicts == [
            index
            for index, key in enumerate(versions)
            if versions[key] != held[key]
        ]
        if not conflicts:
            version = self.tables.apply(
                [
                    _store.Put(table='t', key=key, value=value)
                    for key in versions
                ]
            )
            for key in versions:
                assert version > held[key]
                self.rows[key] = (value, version)
                self.changes.append((key, value, version))

    @stateful.invariant()
    def rows_match(self):
        """Checks that each row has its last written value."""
        found = self.tables.list_rows('t', '', '')
        assert self.rows == {
            key: (row.value, row.version) for key, row in found.items()
        }

    @stateful.invariant()
    def feed_is_complete(self):
        """Checks that the feed lists all changes.

        A process that misses one keeps using an outdated manifest.
        """
        found = self.tables.list_changes('t', 0)
        assert self.changes == [
            (one.key, one.row.value, one.row.version) for one in found
        ]


TestTables = TablesMachine.TestCase
TestTables.settings = hypothesis.settings(
    hypothesis.settings.get_profile('repeatable'), stateful_step_count=20
)


async def test_transaction_is_all_or_nothing():
    """Guards against partial writes, which would break claims and leases."""
    async with open_platform() as client:
        status, _ = await write(client, ('a', None, 1))
        assert status == 200
        refused, body = await write(client, ('b', None, 1), ('a', None, 2))
        rows = await read_rows(client)
    assert refused == 412
    assert [(row['key'], row['ver']) for row in body['rows']] == [('a', 1)]
    assert rows == [('a', 1, 1)]


async def test_one_transaction_may_not_write_a_row_twice():
    """Guards against a lost write, as both would match the same version."""
    async with open_platform() as client:
        status, body = await write(client, ('a', None, 1), ('a', None, 2))
        rows = await read_rows(client)
    assert (status, len(body['rows']), rows) == (412, 1, [])


async def test_feed_waits_for_a_change():
    """Guards against a feed that answers late or without the changed row."""
    async with open_platform() as client:
        path = '/v1/rows-feed?table=t&after=0&waitMs=20000'
        waiting = asyncio.create_task(get_json(client, path))
        await wait_stats(client, 'reads')
        await write(client, ('a', None, 1))
        tree = await waiting
    assert [row['key'] for row in tree['rows']] == ['a']
    assert tree['ver'] == 1


async def test_feed_reports_dropped_history():
    """Guards against missed changes after the history was dropped."""
    async with open_platform() as client:
        await write(client, ('a', None, 1))
        await client.post('/forget')
        path = '/v1/rows-feed?table=t&after=0&waitMs=0'
        async with client.get(path) as response:
            assert response.status == 410


async def test_lost_answer_leaves_its_write():
    """Guards against a lost answer whose write has no effect."""
    async with open_platform() as client:
        await set_faults(client, lose_answers=1)
        with pytest.raises(aiohttp.ClientError):
            await write(client, ('a', None, 1))
        assert await read_rows(client) == [('a', 1, 1)]
        assert (await write(client, ('a', 1, 2)))[0] == 200


async def test_slow_write_takes_effect_after_disconnect():
    """Guards against a late write that is dropped with its connection.

    A paused process's lease renewal arrives as such a write.
    """
    async with open_platform() as client:
        await set_faults(client, slow_s=0.1)
        sender = asyncio.create_task(write(client, ('a', None, 1)))
        await wait_stats(client, 'bytes_in')
        sender.cancel()
        await wait_stats(client, 'writes')


async def test_down_platform_has_no_effect():
    """Guards against requests that take effect during an outage."""
    async with open_platform() as client:
        await set_faults(client, down=True)
        with pytest.raises(aiohttp.ClientError):
            await write(client, ('a', None, 1))
        await set_faults(client, down=False)
        assert await read_rows(client) == []


async def test_busy_platform_has_no_effect():
    """Guards against a refused write that takes effect.

    Its sender relies on the write not having happened.
    """
    async with open_platform() as client:
        await set_faults(client, busy=True)
        async with client.post('/v1/rows-tx', json={}) as response:
            assert response.status == 503
        await set_faults(client, busy=False)
        assert await read_rows(client) == []


async def test_stale_reads_and_host_list_show_the_past():
    """Guards against stale reads that return current rows or hosts."""
    host = {'domain': 'obb-a', 'peer_url': 'http://h', 'state': 'live'}
    async with open_platform() as client:
        await write(client, ('a', None, 1))
        await client.put('/hosts/h-1', json=host)
        await set_faults(client, stale_reads=60, host_lag_s=60)
        assert await read_rows(client) == []
        assert await read_rows(client, 'hosts') == []
        await set_faults(client, stale_reads=0, host_lag_s=0)
        assert await read_rows(client) == [('a', 1, 1)]
        hosts = await read_rows(client, 'hosts')
        assert hosts == [('h-1', {'host': 'h-1', **host}, 1)]
        await client.delete('/hosts/h-1')
        assert await read_rows(client, 'hosts') == []


async def test_rates_are_limited_and_counted():
    """Guards against excess reads or writes that are not counted."""
    # At this rate no second request is admitted during the test.
    config = platform.PlatformConfig(reads_per_s=0.001, writes_per_s=0.001)
    async with open_platform(config) as client:
        assert (await write(client, ('a', None, 1)))[0] == 200
        async with client.put('/v1/blob-put/b', data=b'1') as response:
            assert response.status == 429
        for _ in range(2):
            await get_json(client, '/v1/blob-list?pathPrefix=')
        stats = await get_json(client, '/stats')
    assert (stats['writes'], stats['writes_refused']) == (1, 1)
    assert (stats['reads'], stats['reads_refused']) == (1, 1)


async def test_objects_are_found_by_prefix():
    """Guards against a listing by prefix that omits or adds objects.

    The journal is read by prefix.
    """
    async with open_platform() as client:
        for name in ('journal/1/a', 'journal/2/b', 'journal/2/b'):
            async with client.put(
                yarl.URL(
                    f'/v1/blob-put/{name.replace("/", "%2F")}', encoded=True
                ),
                data=b'x',
            ) as response:
                assert response.status == 200
        listed = await get_json(client, '/v1/blob-list?pathPrefix=journal/2')
        async with client.get(
            yarl.URL('/v1/blob-get/journal%2F1%2Fa', encoded=True)
        ) as response:
            assert await response.read() == b'x'
        stats = await get_json(client, '/stats')
    assert (stats['objects'], stats['object_bytes']) == (2, 2)
    assert listed == {'names': ['journal/2/b'], 'morePages': False}
