"""Tests the exchange of engines' lists of cached parts after a start."""

import asyncio
import contextlib
import time

import attrs
import pytest

from briarknot import schema
from briarknot.gateway import _cache_listing, _clock, _context, _peers
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_peers as peers_tests
from briarknot_standins import serving, worker

_PART = schema.messages.HeldPart(part='k', tokens=800)
_LIST = schema.messages.CacheList(
    host='g2', worker='w', born_ms=5, parts=(_PART,), is_read=True
)


def make_context(host, peer, engine):
    """Makes the state of a process that knows one engine and another process."""
    context = peers_tests.make_peer_context(host)
    context.settings = attrs.evolve(
        context.settings,
        cache_listing=schema.settings.CacheListing.AT_START,
        peer_port=_support.find_port(),
    )
    context.fleet.apply_workers((engine,), 0, after_outage=False)
    context.fleet_known.set()
    context.hosts_known.set()
    if peer is not None:
        address = ('127.0.0.1', peer.settings.peer_port)
        context.peer_hosts = {
            peer.settings.host: _context.PeerHost(address, 'a')
        }
    return context


@contextlib.asynccontextmanager
async def serve_engine():
    """Serves an engine that holds a part; returns its entry and its state."""
    app = worker.make_app(
        worker.WorkerConfig(stage='prefill', id='w', keep_id=True)
    )
    state = next(one for one in app.values() if hasattr(one, 'held'))
    state.held['k'] = 800
    async with serving.serve(app) as url:
        yield (
            schema.serving.Worker(
                id='w',
                service='s',
                address=url.removeprefix('http://'),
                domain='a',
                stage=schema.serving.Stage.PREFILL,
                born_ms=5,
            ),
            state,
        )


@contextlib.asynccontextmanager
async def run_process(context, *, reads):
    """Runs the messages of a process, and its reads of lists where it reads."""
    peers = _peers.make_peers(context)
    tasks = [
        asyncio.create_task(peers.receive()),
        asyncio.create_task(peers.broadcast_work()),
    ]
    if reads:
        task = _cache_listing.make_listing_task(context, peers)
        tasks.append(asyncio.create_task(task.run()))
    try:
        yield peers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def wait_for_parts(context):
    """Waits until a process knows a part, and returns the known ones."""
    async with asyncio.timeout(5):
        while True:
            parts = context.prompt_load.caches.list_parts(time.monotonic())
            if parts:
                return [(one.worker, one.part, one.tokens) for one in parts]
            await asyncio.sleep(0.02)


async def wait_until_known(context):
    """Waits until a process knows the caches."""
    async with asyncio.timeout(5):
        while not context.cache_listing.knows_caches(0):  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_list_is_read_by_one_process_and_known_to_both(capsys):
    """Prompts would be prefilled again at engines without their parts."""
    async with contextlib.AsyncExitStack() as stack:
        engine, _ = await stack.enter_async_context(serve_engine())
        first = make_context('g1', None, engine)
        second = make_context('g2', first, engine)
        address = ('127.0.0.1', second.settings.peer_port)
        first.peer_hosts = {'g2': _context.PeerHost(address, 'a')}
        for context in (first, second):
            await stack.enter_async_context(run_process(context, reads=True))
        for context in (first, second):
            assert await wait_for_parts(context) == [('w', 'k', 800)]
            await wait_until_known(context)
    assert capsys.readouterr().out.count('kv-list') == 1


async def test_nothing_is_read_where_a_peer_knows_the_caches(capsys):
    """Each restart of one process would cost a read of all engines."""
    async with contextlib.AsyncExitStack() as stack:
        engine, _ = await stack.enter_async_context(serve_engine())
        first = make_context('g1', None, engine)
        first.cache_listing.enable()
        first.cache_listing.end()
        first.prompt_load.caches.record_list(
            'w', (attrs.evolve(_PART, tokens=700),), 0
        )
        await stack.enter_async_context(run_process(first, reads=False))
        second = make_context('g2', first, engine)
        await stack.enter_async_context(run_process(second, reads=True))
        # The first process has not heard of the second one before.
        assert await wait_for_parts(second) == [('w', 'k', 700)]
        await wait_until_known(second)
        assert second.cache_listing.is_told
    assert 'kv-list' not in capsys.readouterr().out


async def test_list_of_an_engine_that_has_restarted_is_ignored():
    """Prompts would be sent to an engine whose cache is empty."""
    engine = schema.serving.Worker(
        id='w', stage=schema.serving.Stage.PREFILL, born_ms=6
    )
    context = make_context('g1', None, engine)
    peers = _peers.make_peers(context)
    _cache_listing.apply_cache_list(peers, _LIST, 0)
    assert not context.prompt_load.caches.list_parts(0)
    assert not context.cache_listing.listed
    current = attrs.evolve(_LIST, born_ms=6)
    _cache_listing.apply_cache_list(peers, current, 0)
    assert context.prompt_load.caches.list_parts(0)


async def test_list_is_forwarded_within_the_domain():
    """Processes of other domains would read the list again."""
    engine = schema.serving.Worker(
        id='w', stage=schema.serving.Stage.PREFILL, born_ms=5
    )
    last = make_context('g3', None, engine)
    context = make_context('g1', last, engine)
    async with run_process(last, reads=False):
        _cache_listing.apply_cache_list(
            _peers.make_peers(context), attrs.evolve(_LIST, forward=True), 0
        )
        assert await wait_for_parts(last) == [('w', 'k', 800)]


async def test_nothing_is_read_by_default(capsys):
    """Engines without such a list would get calls that they don't know."""
    async with serve_engine() as (engine, _):
        context = make_context('g1', None, engine)
        context.settings = attrs.evolve(
            context.settings, cache_listing=schema.settings.CacheListing.OFF
        )
        task = _cache_listing.make_listing_task(
            context, _peers.make_peers(context)
        )
        await task.run()
        assert not context.cache_listing.knows_caches(0)
    assert 'kv-list' not in capsys.readouterr().out


@pytest.mark.parametrize('is_enabled', [False, True])
def test_started_process_gets_a_status_only_where_lists_are_read(
    monkeypatch, is_enabled
):
    """Processes of an earlier version can't decode a status."""
    context = make_context('g1', None, schema.serving.Worker(id='w'))
    if is_enabled:
        context.cache_listing.enable()
        context.cache_listing.end()
    context.prompt_load.caches.record_list('w', (_PART,), 0)
    # A process that reads no lists knows the caches after some time.
    later_s = _clock.read_clock() + 100
    monkeypatch.setattr(_clock, 'read_clock', lambda: later_s)
    assert context.cache_listing.knows_caches(_clock.read_clock())
    sent = []
    monkeypatch.setattr(
        _peers.Peers, 'send', lambda _, message, hosts: sent.append(message)
    )
    started = schema.messages.EngineWork(
        host='g2', domain='a', address='127.0.0.1', port=9, born_ms=3
    )
    _peers.make_peers(context).apply_work(started, 0)
    names = [type(message).__name__ for message in sent]
    assert names == ['EngineWork', 'CacheStatus'][: 1 + is_enabled]


def test_process_with_another_address_is_answered_there():
    """It would read all lists, as its earlier address gets the answers."""
    context = make_context('g1', None, schema.serving.Worker(id='w'))
    context.peer_hosts = {'g2': _context.PeerHost(('127.0.0.1', 9), 'a')}
    request = schema.messages.CacheStatusRequest(
        host='g2', domain='a', address='127.0.0.2', port=10
    )
    _cache_listing.answer_status_request(_peers.make_peers(context), request, 0)
    assert context.peer_hosts['g2'].address == ('127.0.0.2', 10)


async def test_requests_go_on_while_many_engines_are_checked():
    """The ranks of 600 engines held up all requests at a start."""
    context = make_context('g1', None, schema.serving.Worker(id='w'))
    engines = tuple(
        schema.serving.Worker(
            id=f'i-{number}', stage=schema.serving.Stage.PREFILL
        )
        for number in range(600)
    )
    context.fleet.apply_workers(engines, 0, after_outage=False)
    # This process reads few of the lists, and so checks all engines.
    context.peer_hosts = {
        f'g{number}': _context.PeerHost(('127.0.0.1', 9), 'a')
        for number in range(2, 70)
    }
    context.cache_listing.begin(0)
    task = _cache_listing.make_listing_task(context, _peers.make_peers(context))
    check = asyncio.create_task(task._take_due(0.5))
    turns = 0
    while not check.done():
        turns += 1
        await asyncio.sleep(0)
    assert check.result()
    assert turns >= 10
