"""Guards the tasks that follow the store, against the stand-in store."""

import asyncio
import base64
import contextlib
import json

import aiohttp
import attrs

from briarknot import platform, schema
from briarknot.gateway import (
    _context,
    _hosts,
    _peers,
    _store_readers,
    _store_sync,
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
    """The stand-in store, as the operator and workers write to it."""

    session: aiohttp.ClientSession
    url: str

    async def put(self, table, key, value):
        """Writes a row, whatever its version."""
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

    async def set_faults(self, **faults):
        """Changes the faults in force."""
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
    """Serves a store with a manifest and a worker."""
    config = standin.PlatformConfig(host_lag_s=0)
    async with standin_serving.serve(standin.make_app(config)) as url:
        async with aiohttp.ClientSession() as session:
            store = _Store(session, str(url).rstrip('/'))
            await store.put('op', 'config', _MANIFEST)
            await store.put('servers', 'w1', _WORKER)
            yield store


@contextlib.asynccontextmanager
async def run_gateways(store, *hosts, clients=None, separate_domains=False):
    """Runs the followers of several processes.

    :param store: the store.
    :param hosts: names of the processes.
    :param clients: takes the clients of the store by host.
    :param apart: whether each has a failure domain of its own.
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
            tasks.extend(
                asyncio.ensure_future(task())
                for task in (
                    _hosts.make_host_list(context, client, peers).sync,
                    store_sync.sync_manifest,
                    store_sync.sync_workers,
                    peers.receive,
                    peers.broadcast_work,
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


async def test_manifest_and_workers_are_followed():
    """A gateway would serve by what it read at its start."""
    async with open_store() as store, run_gateways(store, 'g1') as contexts:
        fleet = contexts[0].fleet
        await wait_until(lambda: fleet.version == 3 and fleet.workers)
        await store.put('op', 'config', {**_MANIFEST, 'version': 8})
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(lambda: fleet.version == 8)
        await wait_until(lambda: not fleet.list_usable('s'))
        await store.remove('servers', 'w1')
        await wait_until(lambda: not fleet.workers)


async def test_foreign_entries_name_no_worker():
    """One malformed entry would hide the workers beside it."""
    async with open_store() as store:
        await store.put('servers', 'bytes', b'\xff\x00')
        await store.put('servers', 'number', {**_WORKER, 'slots': 'many'})
        await store.put('servers', 'state', {**_WORKER, 'state': 'asleep'})
        await store.put('servers', 'list', [1])
        async with run_gateways(store, 'g1') as contexts:
            fleet = contexts[0].fleet
            await wait_until(lambda: fleet.workers)
            assert [worker.id for worker in fleet.workers] == ['w1']


async def test_lost_history_is_read_anew():
    """A manifest that came in the gap would never be in force."""
    async with open_store() as store, run_gateways(store, 'g1') as contexts:
        fleet = contexts[0].fleet
        await wait_until(lambda: fleet.version == 3)
        await store.put('op', 'config', {**_MANIFEST, 'version': 5})
        await store.drop_history()
        await wait_until(lambda: fleet.version == 5)


async def test_outage_keeps_the_fleet():
    """Requests would be refused though their workers live."""
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


async def test_processes_that_start_together_know_each_other_soon():
    """Each process read the store for itself until the next period."""
    hosts = ('g1', 'g2', 'g3')
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 2 for one in contexts), 4
        )


async def test_few_processes_read_for_their_domain():
    """Each process of a large fleet would poll the store."""
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
    # One process needs 5 lists of workers and 4 manifests in that time; eight
    # need 8 times as many.
    assert reads < 15


async def test_change_is_told_without_a_read_of_each_process():
    """Each process of a large fleet read the whole list for each change."""
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
    # Two changes at seven other processes would be 14 reads more.
    assert reads < 12


async def test_another_process_reads_when_the_reader_is_gone():
    """The list of a whole fleet would stay as the lost reader had it."""
    hosts = ('g1', 'g2', 'g3')
    async with open_store() as store, run_gateways(store, *hosts) as contexts:
        await wait_until(
            lambda: all(len(one.peer_hosts) == 2 for one in contexts), 4
        )
        leader = next(
            one for one in contexts if _store_readers.get_reader_rank(one) == 0
        )
        others = [one for one in contexts if one is not leader]
        # Its messages reach nobody, as in a cut between hosts.
        leader.peer_hosts = {}
        await store.put('servers', 'w1', {**_WORKER, 'state': 'draining'})
        await wait_until(
            lambda: not any(one.fleet.list_usable('s') for one in others), 3
        )


async def test_reader_that_the_store_turns_away_goes_by_the_news_of_others():
    """It used workers that had left, though all others knew of it."""
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
