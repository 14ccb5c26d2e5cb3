"""Tests the synchronization with the store, against the stand-in store."""

import asyncio
import base64
import contextlib
import json

import aiohttp
import attrs
import pytest

from briarknot import platform, schema
from briarknot.gateway import (
    _context,
    _hosts,
    _peers,
    _quarantine_sync,
    _store_readers,
    _store_sync,
    _version_sync,
)
from briarknot.gateway.tests import _support
from briarknot_standins import platform as standin
from briarknot_standins import serving as standin_serving

_MANIFEST = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'pathPrefix': '/r/',
            'kind': 'idempotent',
            'timeoutMs': 1000,
            'service': 's',
        }
    ],
    'services': [{'name': 's', 'maxConnections': 9}],
    'limits': {
        'maxHeaderBytes': 1,
        'maxBodyBytes': 1,
        'headerTimeoutMs': 1,
        'idleTimeoutMs': 1,
    },
}
_WORKER = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 1,
}


@attrs.define(eq=False)
class _Store:
    """Client of the stand-in store for the operator and the workers."""

    session: aiohttp.ClientSession
    url: str

    async def put(self, table, key, value):
        """Writes a row regardless of its version."""
        text = value
        if not isinstance(value, bytes):
            text = json.dumps(value).encode()
        row = {'table': table, 'part': '', 'key': key}
        encoded = {**row, 'value': base64.b64encode(text).decode()}
        await self._post('/v1/rows-tx', {'put': [encoded]})

    async def remove(self, table, key):
        """Removes a row."""
        row = {'table': table, 'part': '', 'key': key}
        await self._post('/v1/rows-tx', {'remove': [row]})

    async def read_row(self, table, key):
        """Returns the value of a row; empty if there is none."""
        query = {'table': table, 'part': '', 'from': key, 'to': f'{key}~'}
        async with self.session.get(
            f'{self.url}/v1/rows-get', params=query
        ) as response:
            rows = (await response.json(content_type=None))['rows']
        if not rows:
            return {}
        return json.loads(base64.b64decode(rows[0]['value']))

    async def set_faults(self, **faults):
        """Sets the injected faults."""
        await self._post('/faults', faults)

    async def drop_history(self):
        """Drops the history of changes."""
        await self._post('/forget', {})

    async def read_stats(self):
        """Returns the counts of calls."""
        async with self.session.get(f'{self.url}/stats') as response:
            return await response.json(content_type=None)

    async def _post(self, path, body):
        async with self.session.post(
            f'{self.url}{path}', json=body
        ) as response:
            assert response.status == 200


@contextlib.asynccontextmanager
async def open_store():
    """Runs a store with a manifest and a worker."""
    config = standin.PlatformConfig(host_lag_s=0)
    async with standin_serving.serve(standin.make_app(config)) as url:
        async with aiohttp.ClientSession() as session:
            store = _Store(session, str(url).rstrip('/'))
            await store.put('op', 'config', _MANIFEST)
            await store.put('servers', 'w1', _WORKER)
            yield store


@contextlib.asynccontextmanager
async def run_gateways(store, *hosts, clients=None, separate_domains=False):
    """Runs the store synchronization and peer messages of several processes.

    :param store: the store.
    :param hosts: hosts of the processes.
    :param clients: receives the clients of the store by host.
    :param separate_domains: whether each process has its own failure domain.
    """
    async with contextlib.AsyncExitStack() as stack:
        contexts = []
        tasks = []
        for host in hosts:
            settings = make_settings(host, host if separate_domains else 'a')
            context = _context.make_context(settings, calls=None)
            client = platform.make_client(store.session, store.url, 1)
            if clients is not None:
                clients[host] = client
            peers = _peers.make_peers(context)
            store_sync = _store_sync.make_store_sync(context, client, peers)
            quarantine_sync = _quarantine_sync.make_quarantine_sync(
                context, client, peers
            )
            version_sync = _version_sync.make_version_sync(
                context, client, peers
            )
            tasks.extend(
                asyncio.ensure_future(task())
                for task in (
                    _hosts.make_host_list(context, client, peers).sync,
                    store_sync.sync_manifest,
                    store_sync.sync_workers,
                    peers.receive,
                    peers.broadcast_work,
                    quarantine_sync.send,
                    quarantine_sync.store,
                    version_sync.send,
                    version_sync.store,
                )
            )
            contexts.append(context)
        for task in tasks:
            stack.callback(task.cancel)
        yield contexts
        assert not any(task.done() for task in tasks)


def make_settings(host, domain):
    """Makes the settings of a process."""
    return schema.settings.GatewaySettings(
        host=host,
        domain=domain,
        region=domain,
        address='127.0.0.1',
        front_address='127.0.0.1:0',
        readiness_address='127.0.0.1:0',
        store_address='127.0.0.1:1',
        peer_port=_support.find_port(),
    )


async def wait_until(condition, seconds=4):
    """Waits until a condition holds."""
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)


async def test_changes_of_manifest_and_workers_are_applied():
    """A gateway would use the manifest and workers of its start for ever."""
    async with open_store() as store, run_gateways(store, 'g1') as contexts:
        fleet = contexts[0].fleet
        await wait_until(lambda: fleet.version == 3 and fleet.workers)
        await store.put('op', 'config', {**_MANIFEST, 'version': 8})
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(lambda: fleet.version == 8)
        await wait_until(lambda: not fleet.list_usable('s'))
        await store.remove('servers', 'w1')
        await wait_until(lambda: not fleet.workers)


async def test_malformed_entries_are_ignored():
    """One malformed entry would hide the valid workers."""
    async with open_store() as store:
        await store.put('servers', 'bytes', b'\xff\x00')
        await store.put('servers', 'number', {**_WORKER, 'slots': 'many'})
        await store.put('servers', 'state', {**_WORKER, 'state': 'asleep'})
        await store.put('servers', 'list', [1])
        async with run_gateways(store, 'g1') as contexts:
            fleet = contexts[0].fleet
            await wait_until(lambda: fleet.workers)
            assert [worker.id for worker in fleet.workers] == ['w1']


_ODD_ENTRIES = {
    'nested': b'[' * 9000 + b']' * 9000,
    'nested_slots': json.dumps({**_WORKER, 'slots': [[[]]]}).encode(),
    'huge': json.dumps({**_WORKER, 'slots': 2**62}).encode(),
    'none': json.dumps({**_WORKER, 'slots': 0}).encode(),
    'infinite': json.dumps({**_WORKER, 'slots': 1})
    .encode()
    .replace(b'"slots": 1', b'"slots": 1e999'),
    'beyond': json.dumps({**_WORKER, 'born': 2**64}).encode(),
    'birth': json.dumps({**_WORKER, 'born': 2**64 - 1}).encode(),
    'port_0': json.dumps({**_WORKER, 'address': '127.0.0.1:0'}).encode(),
    'port': json.dumps({**_WORKER, 'address': '127.0.0.1:99999'}).encode(),
    'digits': json.dumps({**_WORKER, 'address': '127.0.0.1:٣'}).encode(),
    'host': json.dumps({**_WORKER, 'address': 'a b/c?d:80'}).encode(),
    'long': json.dumps({**_WORKER, 'zone': 'z' * 40000}).encode(),
}


@pytest.mark.parametrize('name', _ODD_ENTRIES)
async def test_odd_entry_does_not_stop_the_list_from_being_followed(name):
    """One entry of another writer ended the task that reads the workers.

    Its figures did not fit the message to the other processes, which were
    then informed of no change any more.
    """
    async with (
        open_store() as store,
        run_gateways(store, 'g1', 'g2') as contexts,
    ):
        await wait_until(
            lambda: all(one.is_ready and one.peer_hosts for one in contexts)
        )
        await store.put('servers', 'odd', _ODD_ENTRIES[name])
        await asyncio.sleep(1)
        await store.put('servers', 'w2', _WORKER)
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(
            lambda: all(
                [worker.id for worker in one.fleet.list_usable('s')] == ['w2']
                for one in contexts
            )
        )


async def test_manifest_is_reread_after_lost_history():
    """A manifest of the lost history would never be in force."""
    async with open_store() as store, run_gateways(store, 'g1') as contexts:
        fleet = contexts[0].fleet
        await wait_until(lambda: fleet.version == 3)
        await store.put('op', 'config', {**_MANIFEST, 'version': 5})
        await store.drop_history()
        await wait_until(lambda: fleet.version == 5)


async def test_outage_keeps_the_fleet():
    """Requests would be refused although their workers are available."""
    async with open_store() as store, run_gateways(store, 'g1') as contexts:
        fleet = contexts[0].fleet
        await wait_until(lambda: fleet.workers)
        for fault in ('down', 'busy'):
            await store.set_faults(**{fault: True})
            await asyncio.sleep(0.5)
            assert fleet.list_usable('s')
            await store.set_faults(**{fault: False})
        await store.put('servers', 'w2', _WORKER)
        await wait_until(lambda: len(fleet.workers) == 2)


async def test_processes_that_start_together_find_each_other_soon():
    """Each process read the store itself until the next registration period."""
    hosts = ('g1', 'g2', 'g3')
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 2 for one in contexts), 4
        )


async def test_few_processes_read_the_store():
    """All processes of a large fleet would poll the store."""
    hosts = [f'g{number}' for number in range(8)]
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 7 for one in contexts), 20
        )
        before = (await store.read_stats())['reads']
        await asyncio.sleep(4)
        reads = (await store.read_stats())['reads'] - before
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(
            lambda: not any(one.fleet.list_usable('s') for one in contexts), 3
        )
    # One process reads 5 lists of workers and 4 manifests in that time; eight
    # processes would read 8 times as many.
    assert reads < 15


async def test_change_is_broadcast_without_a_read_of_each_process():
    """Each process of a large fleet read the whole list after each change."""
    hosts = [f'g{number}' for number in range(8)]
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 7 for one in contexts), 20
        )
        await wait_until(
            lambda: all(len(one.fleet.workers) == 1 for one in contexts)
        )
        before = (await store.read_stats())['reads']
        await store.put('servers', 'w2', _WORKER)
        await wait_until(
            lambda: all(len(one.fleet.workers) == 2 for one in contexts)
        )
        await store.remove('servers', 'w1')
        await wait_until(
            lambda: all(len(one.fleet.workers) == 1 for one in contexts)
        )
        reads = (await store.read_stats())['reads'] - before
    # A read of the seven other processes for each of the two changes would add
    # 14 reads.
    assert reads < 12


async def test_another_process_reads_when_the_leader_is_unreachable():
    """All other processes would keep the leader's last list of workers."""
    hosts = ('g1', 'g2', 'g3')
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 2 for one in contexts), 4
        )
        leader = next(
            one for one in contexts if _store_readers.get_reader_rank(one) == 0
        )
        others = [one for one in contexts if one is not leader]
        # Its messages reach no process, as in a network partition.
        leader.peer_hosts = {}
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(
            lambda: not any(one.fleet.list_usable('s') for one in others), 3
        )


async def test_leader_without_the_store_uses_the_updates_of_others():
    """The leader used a leaving worker although all others knew of it."""
    hosts = ('g1', 'g2', 'g3')
    clients = {}
    async with (
        open_store() as store,
        run_gateways(
            store, *hosts, clients=clients, separate_domains=True
        ) as contexts,
    ):
        await wait_until(
            lambda: all(len(one.peer_hosts) == 2 for one in contexts), 4
        )
        leader = next(
            one for one in contexts if _store_readers.get_reader_rank(one) == 0
        )
        await wait_until(lambda: leader.fleet.workers)
        clients[leader.settings.host]._url = 'http://127.0.0.1:1'
        await asyncio.sleep(1)
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(lambda: not leader.fleet.list_usable('s'), 3)
