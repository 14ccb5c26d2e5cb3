"""Tests that processes agree on versions of the software, against the store."""

import asyncio
import contextlib
import math

import attrs
import pytest

from briarknot import platform, schema, serving, versions
from briarknot.gateway import (
    _clock,
    _context,
    _gossip,
    _store_readers,
    _version_row,
    _version_sync,
)
from briarknot.gateway.tests import test_quarantine_sync as quarantines
from briarknot.gateway.tests import test_restored_store as restores
from briarknot.gateway.tests import test_store_sync as stores

_ROW = ('versions', 'gateways')
_OLD = {**stores._WORKER, 'stage': 'decode', 'version': 'v1', 'born': 1}
_NEW = {**_OLD, 'version': 'v2', 'born': 2}
#: Calls to the store and messages take a few milliseconds here. A process that is
#: without lists for longer than 2.2 s reads the row before it sends its records.
_UNDER_WAY_S = 0.4
_NOWHERE = 'http://127.0.0.1:1'


@contextlib.asynccontextmanager
async def open_store(*hosts, **options):
    """Runs a store with an engine, and processes that know each other."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        contexts = await quarantines.run_gateways(
            stack, store, *hosts, **options
        )
        await wait_for_versions(store, 'v1')
        await stores.wait_until(lambda: all(map(is_settled, contexts)))
        yield store, contexts


def is_settled(context):
    """Returns whether a process has loaded the row, and knows one version."""
    known = context.software_versions
    return known.is_loaded and known.is_settled and bool(known.list_keys())


def list_known(context):
    """Lists the versions that a process knows."""
    keys = context.software_versions.list_keys()
    return {version for service, version in keys if service == 's'}


def list_unstored(context):
    """Lists the versions that a process doesn't know to be stored."""
    keys = context.software_versions.list_unstored()
    return {version for _, version in keys}


def is_admitted(context, version):
    """Returns whether a version may begin streams now."""
    known = context.software_versions
    return version in known.list_admitted('s', _clock.read_clock())


def is_stored(context, version):
    """Returns whether a process knows that the store has a version."""
    return version in list_known(context) - list_unstored(context)


def get_reason(context):
    """Returns why the versions are uncertain; empty where they are certain."""
    possible = context.software_versions.list_possible('s', _clock.read_clock())
    if isinstance(possible, versions.Uncertain):
        return possible.reason
    return ''


def get_known_age_s(context):
    """Returns for how long a process knows all versions."""
    return context.software_versions.get_known_age_s(_clock.read_clock())


async def read_versions(store):
    """Returns the versions of the stored row."""
    row = await store.read_row(*_ROW)
    return {one['version'] for one in row.get('versions', ())}


async def wait_for_versions(store, *expected):
    """Waits until the row has exactly some versions."""
    async with asyncio.timeout(9):
        while True:
            if await read_versions(store) == set(expected):
                return
            await asyncio.sleep(0.02)


def hide_host(context, hidden):
    """Has a process send nothing to another one."""
    context.peer_hosts = {
        host: peer
        for host, peer in context.peer_hosts.items()
        if host != hidden
    }


def record_sent(monkeypatch):
    """Returns the list of all messages on versions that are sent from now on."""
    sent = []
    send = _version_sync.VersionSync._send

    def record(sync, records, hosts):
        sent.extend((sync._context.settings.host, host) for host in hosts)
        send(sync, records, hosts)

    monkeypatch.setattr(_version_sync.VersionSync, '_send', record)
    return sent


async def test_version_that_is_not_stored_begins_no_stream():
    """A stream was cut of whose version no process knew after a restart."""
    async with open_store('g1', 'g2', 'g3') as (store, contexts):
        began_s = _clock.read_clock()
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )
        assert await read_versions(store) == {'v1', 'v2'}
        assert not any(is_admitted(one, 'v2') for one in contexts)
        await stores.wait_until(
            lambda: all(is_admitted(one, 'v2') for one in contexts)
        )
        waited_s = _clock.read_clock() - began_s
    assert versions._software_versions.ADMISSION_S <= waited_s < 4


async def test_stored_versions_are_known_after_the_loss_of_all_processes():
    """Processes that started after it took the listed version for the only one."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        async with contextlib.AsyncExitStack() as before:
            contexts = await quarantines.run_gateways(before, store, 'g1', 'g2')
            await stores.wait_until(
                lambda: all(is_admitted(one, 'v1') for one in contexts)
            )
        await store.put('servers', 'w1', _NEW)
        contexts = await quarantines.run_gateways(stack, store, 'g1', 'g2')
        await stores.wait_until(
            lambda: all(list_known(one) == {'v1', 'v2'} for one in contexts)
        )
        # The first streams need not wait for a version that was stored before.
        assert all(is_admitted(one, 'v1') for one in contexts)
        assert not any(is_admitted(one, 'v2') for one in contexts)


async def test_age_of_the_knowledge_outlives_the_processes():
    """After each start, streams were refused for a minute."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        began_s = _clock.read_clock()
        async with contextlib.AsyncExitStack() as before:
            await quarantines.run_gateways(before, store, 'g1')
            await wait_for_versions(store, 'v1')
            stored_s = _clock.read_clock()
            await asyncio.sleep(1.5)
        contexts = await quarantines.run_gateways(stack, store, 'g1')
        await stores.wait_until(lambda: is_settled(contexts[0]))
        # The first process found no row: no version had begun a stream before.
        known_age_s = get_known_age_s(contexts[0]) - versions.MAX_STREAM_S
        now = _clock.read_clock()
        assert now - stored_s - 0.2 < known_age_s < now - began_s


async def test_first_process_of_all_knows_the_versions():
    """Streams were refused for a minute after the first start of the fleet."""
    async with open_store('g1', 'g2') as (_, contexts):
        await stores.wait_until(
            lambda: not any(get_reason(one) for one in contexts)
        )


async def test_another_process_stores_where_the_first_can_not():
    """A version was never admitted if one process could not write."""
    clients = {}
    async with open_store('g1', 'g2', 'g3', clients=clients) as (
        store,
        contexts,
    ):
        writer = serving.rank_names('gateways', clients)[0]
        clients[writer]._url = _NOWHERE
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )


async def test_version_is_stored_without_the_first_four_writers(monkeypatch):
    """No version was admitted after the loss of the processes that write."""
    clients = {}
    hosts = [f'g{number}' for number in range(6)]
    monkeypatch.setattr(_version_row, '_WRITER_DELAY_S', 0.2)
    async with open_store(*hosts, clients=clients) as (store, contexts):
        for host in serving.rank_names('gateways', clients)[:4]:
            clients[host]._url = _NOWHERE
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts), 8
        )


async def test_one_process_stores_a_new_version():
    """All wrote it at once if they had just waited for another one."""
    hosts = [f'g{number}' for number in range(6)]
    async with open_store(*hosts) as (store, contexts):
        before = await store.read_stats()
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )
        after = await store.read_stats()
    # The entry of the worker, and the row.
    assert after['writes'] - before['writes'] == 2
    assert after['conflicts'] == before['conflicts']


async def test_process_without_the_store_learns_that_a_version_is_stored():
    """A process that can't reach the store never admitted a new version."""
    clients = {}
    async with open_store('g1', 'g2', 'g3', clients=clients) as (
        store,
        contexts,
    ):
        alone = contexts[0]
        clients['g1']._url = _NOWHERE
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )
        assert not list_unstored(alone)


async def test_process_that_gets_no_message_reads_that_a_version_is_stored(
    monkeypatch,
):
    """A process that does not write never learned that another one had."""
    async with open_store('g1', 'g2', 'g3') as (store, contexts):
        alone = contexts[0]
        get_rank = _gossip.get_rank
        send = _version_sync.VersionSync._send

        def get_late_rank(context, key):
            return 99 if context is alone else get_rank(context, key)

        def send_to_others(sync, records, hosts):
            if sync._context is not alone:
                send(sync, records, set(hosts) - {alone.settings.host})

        monkeypatch.setattr(_gossip, 'get_rank', get_late_rank)
        monkeypatch.setattr(_version_sync.VersionSync, '_send', send_to_others)
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(lambda: is_stored(alone, 'v2'), 7)


async def test_process_without_updates_is_uncertain():
    """A process that was cut off used versions that others had replaced."""
    clients = {}
    hosts = ('g1', 'g2', 'g3')
    async with open_store(*hosts, clients=clients) as (store, contexts):
        alone = next(
            one for one in contexts if _store_readers.get_reader_rank(one) != 0
        )
        await stores.wait_until(lambda: not get_reason(alone))
        clients[alone.settings.host]._url = _NOWHERE
        # A message of it would make it known to the others again.
        alone.peer_hosts = {}
        for other in contexts:
            hide_host(other, alone.settings.host)
        await stores.wait_until(lambda: 'old' in get_reason(alone), 2)
        reasons = [get_reason(one) for one in contexts]
        assert sum('old' in reason for reason in reasons) == 1


async def test_update_that_waited_in_the_socket_is_not_recent():
    """After a suspension an old list counted as recent by its arrival."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        contexts = await quarantines.run_gateways(stack, store, 'g1', 'g2')
        follower = next(
            one for one in contexts if _store_readers.get_reader_rank(one) != 0
        )
        await stores.wait_until(lambda: follower.fleet_update is not None)
        await stores.wait_until(lambda: 'old' not in get_reason(follower))
        leader = next(one for one in contexts if one is not follower)
        leader.peer_hosts = {}
        late = follower.fleet_update
        for _ in range(8):
            await asyncio.sleep(0.3)
            follower.fleet_update = late
            follower.fleet_update_received.set()
        assert 'old' in get_reason(follower)


async def test_versions_stay_certain_while_nothing_changes():
    """Updates that confirm the list arrived too late, or counted as outdated."""
    async with open_store('g1', 'g2', 'g3') as (_, contexts):
        await restores.hold(
            lambda: not any('old' in get_reason(one) for one in contexts), 3
        )
        ages_s = [get_known_age_s(one) for one in contexts]
        assert min(ages_s) > 3


async def test_row_is_written_again_after_a_restore():
    """A version that began streams was unknown if all processes were lost."""
    async with open_store('g1', 'g2') as (store, contexts):
        await restores.post(store, '/copy')
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )
        known_s = min(get_known_age_s(one) for one in contexts)
        await restores.post(store, '/restore')
        assert await read_versions(store) == {'v1'}
        await wait_for_versions(store, 'v1', 'v2')
        row = await store.read_row(*_ROW)
        assert row['era'] == 2
        assert row['known_age_ms'] >= known_s * 1000
        await stores.wait_until(
            lambda: not any('old' in get_reason(one) for one in contexts), 2
        )


async def test_process_that_starts_without_the_row_after_a_restore_is_uncertain():
    """A restored store without the row counted as one that nobody had used."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        await restores.post(store, '/copy')
        await restores.post(store, '/restore')
        contexts = await quarantines.run_gateways(stack, store, 'g1')
        await stores.wait_until(lambda: is_settled(contexts[0]))
        assert 'known for' in get_reason(contexts[0])


async def test_process_that_starts_on_the_copy_is_uncertain(monkeypatch):
    """It took the versions of the copy for all, which lacked a newer one."""
    monkeypatch.setattr(versions._software_versions, 'MAX_STREAM_S', 2.0)
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w1', _OLD)
        async with contextlib.AsyncExitStack() as before:
            contexts = await quarantines.run_gateways(before, store, 'g1')
            await wait_for_versions(store, 'v1')
            await stores.wait_until(lambda: not get_reason(contexts[0]))
            await restores.post(store, '/copy')
        await restores.post(store, '/restore')
        contexts = await quarantines.run_gateways(stack, store, 'g1')
        await stores.wait_until(lambda: is_settled(contexts[0]))
        assert 'known for' in get_reason(contexts[0])
        assert get_known_age_s(contexts[0]) < 1
        await stores.wait_until(lambda: not get_reason(contexts[0]))


async def test_version_without_workers_leaves_the_row(monkeypatch):
    """Each process that started later counted with versions of long ago."""
    monkeypatch.setattr(versions._software_versions, 'MAX_STREAM_S', 2.0)
    async with open_store('g1', 'g2') as (store, contexts):
        await store.put('servers', 'w2', _NEW)
        await wait_for_versions(store, 'v1', 'v2')
        await store.remove('servers', 'w1')
        await wait_for_versions(store, 'v2')
        await stores.wait_until(
            lambda: all(list_known(one) == {'v2'} for one in contexts)
        )
        await store.put('servers', 'w1', _OLD)
        await wait_for_versions(store, 'v1', 'v2')


async def test_nothing_is_sent_or_written_with_one_version(monkeypatch):
    """Calls to the store and traffic between regions are billed."""
    async with open_store('g1', 'g2', 'g3') as (store, contexts):
        # The last process learns that the version is stored.
        await asyncio.sleep(1)
        sent = record_sent(monkeypatch)
        before = await store.read_stats()
        await asyncio.sleep(3)
        after = await store.read_stats()
        assert not sent
        assert after['writes'] == before['writes']
        # The leader's reads of the list and waits for the manifest.
        assert after['reads'] - before['reads'] < 10


async def test_version_is_known_where_the_first_message_was_lost():
    """A process that missed one datagram never admitted the version."""
    clients = {}
    async with open_store(
        'g1', 'g2', 'g3', clients=clients, separate_domains=True
    ) as (store, contexts):
        lost = contexts[0].settings.host
        clients[lost]._url = _NOWHERE
        peers = [dict(one.peer_hosts) for one in contexts]
        for other in contexts[1:]:
            hide_host(other, lost)
        contexts[0].peer_hosts = {}
        await store.put('servers', 'w2', _NEW)
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts[1:])
        )
        for context, hosts in zip(contexts, peers, strict=True):
            context.peer_hosts = hosts
        await stores.wait_until(
            lambda: all(is_stored(one, 'v2') for one in contexts)
        )


async def test_process_learns_that_a_version_is_stored_by_asking():
    """A process that missed it sent its records in vain while others sent none."""
    clients = {}
    async with open_store('g1', 'g2', clients=clients) as (_, contexts):
        clients['g1']._url = _NOWHERE
        peers = [dict(one.peer_hosts) for one in contexts]
        # The other process may still have to send that it is stored.
        for context in contexts:
            context.peer_hosts = {}
        # A message that was sent before, and a read of the row, may be under way.
        await asyncio.sleep(_UNDER_WAY_S)
        contexts[0].software_versions._versions['s', 'v1'].stored_s = math.inf
        # The message that is sent at once is lost, so that a later one must do.
        contexts[0].versions_changed.notify()
        await asyncio.sleep(0.3)
        assert list_unstored(contexts[0]) == {'v1'}
        for context, hosts in zip(contexts, peers, strict=True):
            context.peer_hosts = hosts
        await stores.wait_until(lambda: is_stored(contexts[0], 'v1'))


async def test_lost_answer_of_the_store_delays_no_version():
    """A write that took effect without an answer was never known to."""
    async with open_store('g1') as (store, contexts):
        await store.put('servers', 'w2', _NEW)
        await store.set_faults(lose_answers=1)
        await stores.wait_until(lambda: is_stored(contexts[0], 'v2'))
        assert (await store.read_stats())['answers_lost'] == 1


async def test_outage_of_the_store_admits_no_new_version():
    """A version was admitted of which no process knows after a restart."""
    async with open_store('g1') as (store, contexts):
        await store.set_faults(down=True)
        contexts[0].software_versions.merge(
            (
                schema.records.VersionRecord(
                    service='s', version='v2', listed_age_ms=0
                ),
            ),
            _clock.read_clock(),
        )
        await asyncio.sleep(2.5)
        assert list_unstored(contexts[0]) == {'v2'}
        await store.set_faults(down=False)
        await stores.wait_until(lambda: is_stored(contexts[0], 'v2'))


@pytest.mark.parametrize(
    'row', [{'versions': 7}, [1], b'\xff', {'era': 'x'}, {'era': 1}]
)
async def test_unreadable_row_is_replaced(row):
    """One damaged row kept all versions from being admitted."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put(*_ROW, row)
        await store.put('servers', 'w1', _OLD)
        contexts = await quarantines.run_gateways(stack, store, 'g1')
        await stores.wait_until(lambda: is_stored(contexts[0], 'v1'))
        assert await read_versions(store) == {'v1'}


async def test_late_read_of_the_row_does_not_count(monkeypatch):
    """A row that was read before a suspension hid a version stored meanwhile."""
    monkeypatch.setattr(_version_row, '_MAX_READ_S', 0.05)
    async with stores.open_store() as store:
        context = _context.make_context(stores.make_settings('g', 'a'), None)
        client = platform.make_client(store.session, store.url, 1)
        sync = _version_sync.make_version_sync(context, client, None)
        await store.set_faults(slow_s=0.1)
        await sync.load()
        assert not context.software_versions.is_loaded
        await store.set_faults(slow_s=0)
        await sync.load()
        assert context.software_versions.is_loaded


async def ask_origin(asker, keeper, stream):
    """Asks a process for the origin of a stream."""
    settings = asker.settings
    number = asker.origin_answers.open()
    request = schema.messages.OriginRequest(
        host=settings.host,
        domain=settings.domain,
        address=settings.address,
        port=settings.peer_port,
        number=number,
        stream=stream,
    )
    asker.send_message(request, (keeper.settings.host,))
    return await asker.origin_answers.wait(number, 2)


async def test_keeper_answers_where_a_stream_began():
    """A process that had not begun a stream refused to go on with it."""
    async with open_store('g1', 'g2', 'g3') as (_, contexts):
        first, keeper, asker = contexts
        now = _clock.read_clock()
        first.origins.record('q1', first.fleet.find_worker('w1'), now)
        origin = first.origins.find('q1', now)
        first.send_message(origin, (keeper.settings.host,))
        await stores.wait_until(
            lambda: keeper.origins.find('q1', _clock.read_clock())
        )
        answer = await ask_origin(asker, keeper, 'q1')
        assert answer.is_known
        assert attrs.evolve(answer.origin, age_ms=0) == origin
        answer = await ask_origin(asker, keeper, 'q2')
        assert (answer.host, answer.is_known) == (keeper.settings.host, False)


async def test_keeper_answers_a_process_that_it_did_not_know():
    """Streams were refused for half a minute after the start of a process."""
    async with open_store('g1', 'g2') as (_, contexts):
        asker, keeper = contexts
        keeper.peer_hosts = {}
        answer = await ask_origin(asker, keeper, 'q1')
        assert (answer.host, answer.is_known) == (keeper.settings.host, False)


async def test_restarted_worker_is_not_the_origin_of_recent_streams():
    """A stream of the new version was recorded with the version before."""
    async with open_store('g1') as (store, contexts):
        context = contexts[0]
        worker = context.fleet.find_worker('w1')
        now = _clock.read_clock()
        context.origins.record('recent', worker, now)
        context.origins.record('other', attrs.evolve(worker, id='w9'), now)
        await store.put('servers', 'w1', _NEW)
        await stores.wait_until(
            lambda: context.fleet.find_worker('w1').version == 'v2'
        )
        now = _clock.read_clock()
        assert context.origins.find('recent', now) is None
        assert context.origins.find('other', now) is not None


async def test_removed_worker_stays_the_origin_of_its_streams():
    """Streams of workers that left without notice were refused."""
    async with open_store('g1') as (store, contexts):
        context = contexts[0]
        worker = context.fleet.find_worker('w1')
        context.origins.record('q1', worker, _clock.read_clock())
        await store.put('servers', 'w2', _OLD)
        await store.remove('servers', 'w1')
        await stores.wait_until(lambda: not context.fleet.find_worker('w1'))
        assert context.origins.find('q1', _clock.read_clock()) is not None
