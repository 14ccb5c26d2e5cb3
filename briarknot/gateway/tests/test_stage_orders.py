"""Tests changes of engines' stages, against the stand-in store and engines."""

import asyncio
import contextlib
import socket
import time

import attrs
from aiohttp import web

from briarknot import platform, schema
from briarknot.gateway import _stage_orders
from briarknot.gateway.tests import test_store_sync as stores
from briarknot_standins import serving as standin_serving

_Stage = schema.serving.Stage
_ENGINES = {
    'p1': 'prefill',
    'd1': 'decode',
    'd2': 'decode',
    'd3': 'decode',
    'd4': 'decode',
}


@attrs.define(eq=False)
class Engine:
    """Answers reports and orders; it changes its stage at once."""

    store: stores._Store
    name: str
    stage: str
    address: str = ''
    status: int = 202
    accepted: int = 0
    orders: list = attrs.field(factory=list)

    def make_app(self):
        """Makes its HTTP application."""
        app = web.Application()
        app.router.add_get('/v1/report', self._report)
        app.router.add_post('/v1/order', self._order)
        return app

    async def register(self):
        """Writes its entry to the store."""
        entry = {
            **stores._WORKER,
            'service': 'lm',
            'address': self.address,
            'stage': self.stage,
        }
        await self.store.put('servers', self.name, entry)

    async def _report(self, request):
        return web.json_response({'sequence': self.accepted, 'stage': 'x'})

    async def _order(self, request):
        self.orders.append(await request.json())
        if self.status == 202:
            self.accepted += 1
            self.stage = self.orders[-1]['stage']
            await self.register()
        return web.Response(status=self.status)


@contextlib.asynccontextmanager
async def open_fleet(*, status=202, hosts=('g1', 'g2')):
    """Runs engines, a store, and processes that change stages.

    :param status: answer of the engines to orders.
    :param hosts: hosts of the processes.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        service = {'name': 'lm', 'engine': {'slots': 64, 'kvTokens': 600_000}}
        manifest = {**stores._MANIFEST, 'services': [service]}
        await store.put('op', 'config', manifest)
        engines = [
            Engine(store, name, stage, status=status)
            for name, stage in _ENGINES.items()
        ]
        for engine in engines:
            url = await stack.enter_async_context(
                standin_serving.serve(engine.make_app())
            )
            engine.address = url.removeprefix('http://').rstrip('/')
            await engine.register()
        contexts = await stack.enter_async_context(
            stores.run_gateways(store, *hosts)
        )
        session = await stack.enter_async_context(platform.make_order_session())
        for context in contexts:
            _start_orders(stack, context, store, session)
        await stores.wait_until(
            lambda: all(len(one.fleet.workers) > 4 for one in contexts)
        )
        yield engines, contexts


def _start_orders(stack, context, store, session):
    client = platform.make_client(store.session, store.url, 1)
    sender = _Sender(context)
    task = asyncio.ensure_future(
        _stage_orders.make_stage_orders(
            context, client, platform.make_engine_orders(session), sender
        ).run()
    )
    stack.callback(task.cancel)


@attrs.define(eq=False)
class _Sender:
    """Sends messages to the other processes as a process does."""

    context: object

    def broadcast(self, message):
        """Sends a message to the other processes."""
        data = schema.encode(message)
        with contextlib.closing(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ) as sender:
            for peer in self.context.peer_hosts.values():
                sender.sendto(data, peer.address)


def load_prefill(contexts):
    """Lets prompts queue at the prefill worker."""
    for context in contexts:
        context.prompt_load.work.add('p1', tokens=20_000)


async def test_leader_alone_turns_an_idle_decode_worker():
    """Two processes gave orders to the same engines."""
    async with open_fleet() as (engines, contexts):
        load_prefill(contexts)
        await stores.wait_until(lambda: any(one.orders for one in engines), 10)
        await asyncio.sleep(1)
        orders = sum((one.orders for one in engines), [])
    assert len(orders) == 1
    assert orders[0]['op'] == 'stage'
    assert orders[0]['stage'] == 'prefill'
    assert orders[0]['expected'] == 0
    assert orders[0]['fence'] == 1


async def test_changing_engine_gets_no_requests():
    """It rejected the requests of all processes until it was listed anew."""
    async with open_fleet(status=409) as (engines, contexts):
        seen = []

        def list_decodes(context):
            return context.fleet.list_usable(
                'lm', _Stage.DECODE, time.monotonic()
            )

        load_prefill(contexts)
        await stores.wait_until(
            lambda: (
                seen.append([len(list_decodes(one)) for one in contexts])
                or [3, 3] in seen
            ),
            10,
        )
        # The engines refuse the order, and are used again.
        await stores.wait_until(
            lambda: all(len(list_decodes(one)) == 4 for one in contexts), 10
        )
        assert any(one.orders for one in engines)


async def test_no_order_without_the_store():
    """A leader that is cut off can't know that another one gives orders."""
    async with open_fleet(hosts=('g1',)) as (engines, contexts):
        await engines[0].store.set_faults(down=True)
        load_prefill(contexts)
        await asyncio.sleep(4)
        assert not any(one.orders for one in engines)


async def test_unreadable_report_prevents_the_order(monkeypatch):
    """An order without the expected count could be carried out twice."""
    async with open_fleet(hosts=('g1',)) as (engines, contexts):
        for one in engines:
            one.accepted = 'many'
        load_prefill(contexts)
        await asyncio.sleep(3)
        assert not any(one.orders for one in engines)


async def test_word_of_a_change_does_not_confirm_the_manifest():
    """A leader that the store had turned away kept an old manifest in force.

    Its words of changes counted as reads of the store, so that no other process
    read it for seconds.
    """
    async with open_fleet(hosts=('g1', 'g2')) as (_, contexts):
        first, second = contexts
        await stores.wait_until(lambda: 'g2' in first.peer_hosts, 10)

        def count_usable():
            now = time.monotonic()
            return len(second.fleet.list_usable('lm', _Stage.DECODE, now))

        _Sender(first).broadcast(
            schema.messages.StageChanges(host='g', engines=('d1',))
        )
        await stores.wait_until(lambda: count_usable() == 3)
        update = second.fleet_update
        assert update is None or update.host != 'g'


async def test_started_process_learns_the_contents_of_caches():
    """A restarted process had shared parts prefilled again for the whole day."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        first, second = await stack.enter_async_context(
            stores.run_gateways(store, 'g1', 'g2')
        )
        parts = tuple(
            schema.messages.CachedPart(worker='w', part=f'k{index}', tokens=10)
            for index in range(700)
        )
        for context in (first, second):
            context.prompt_load.caches.record_parts(parts, 0)
        started = await stack.enter_async_context(
            stores.run_gateways(store, 'g3')
        )
        caches = started[0].prompt_load.caches
        await stores.wait_until(lambda: len(caches.list_parts(0)) == 700)
