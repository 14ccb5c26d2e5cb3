"""Scripted workers, and a gateway that routes requests to them."""

import asyncio
import contextlib
import functools
import time

import aiohttp
import attrs
import yarl

from briarknot import httpclient, platform, schema
from briarknot.gateway import (  # noqa: F401
    _context,
    _generation,
    _limit_sync,
    _peers,
    _plain,
    _requests,
    _version_sync,
)
from briarknot.gateway.tests import _wire
from briarknot_standins import launcher

_SERVING = schema.serving
SEAL = 'Server-Seal: s\r\n'
CLOSE = 'close'
RESET = 'reset'
HALF_CLOSE = 'half_close'
KEEP = 'keep'
HANG = 'hang'
SILENT = 'silent'
_BODY_BYTES = 1 << 20
#: Time between the end of an answer and the close, in seconds.
_HALF_CLOSED_S = 0.2


@attrs.frozen
class Reply:
    """Scripted response of a worker to one request.

    :param text: text that it sends; ``{id}`` is replaced by the request's id.
    :param then: what it does with the connection afterwards.
    :param delay_s: time before it sends, in seconds.
    :param later: texts that it sends afterwards, each after ``pause_s``.
    :param pause_s: time before each of them, in seconds.
    :param early: whether it answers without reading the body.
    """

    text: str
    then: str = KEEP
    delay_s: float = 0
    later: tuple[str, ...] = ()
    pause_s: float = 0
    early: bool = False


def make_reply(status, body='', header='', then=KEEP):
    """Makes a complete answer with a length."""
    lines = f'{header}\r\n' if header else ''
    return Reply(
        f'HTTP/1.1 {status} X\r\nRequest-Id: {{id}}\r\n{lines}'
        f'Content-Length: {len(body)}\r\n\r\n{body}',
        then,
    )


def make_stream(*events, then=KEEP, end=True, start=1):
    """Makes a chunked stream of events."""
    chunks = [
        f'id: {number}\ndata: {event}\n\n'
        for number, event in enumerate(events, start)
    ]
    body = ''.join(f'{len(one):x}\r\n{one}\r\n' for one in chunks)
    if end:
        body = f'{body}0\r\n\r\n'
    return Reply(
        f'HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\n{SEAL}'
        'Content-Type: text/event-stream\r\n'
        f'Transfer-Encoding: chunked\r\n\r\n{body}',
        then,
    )


REJECTED = make_reply(503, '', 'Not-Executed: 1')
HANDLE = make_reply(200, '{"kvHandle":"k1","tokens":10,"version":1}')


@attrs.define(eq=False)
class ScriptedWorker:
    """Answers requests in the order of its script."""

    # A copy, as tests give several workers the same script.
    script: list = attrs.field(converter=list)
    stage: str = 'none'
    version: str = ''
    service: str = 's'
    port: int = 0
    server: asyncio.Server | None = None
    requests: list = attrs.field(factory=list)
    request_arrived: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def entry(self):
        """Its entry in the fleet."""
        return _SERVING.Worker(
            id=f'i-{self.port}',
            service=self.service,
            address=f'127.0.0.1:{self.port}',
            domain='a',
            slots=4,
            stage=_SERVING.Stage(self.stage),
            version=self.version,
        )

    async def wait_requests(self, count):
        """Waits until the given number of requests has arrived."""
        async with self.request_arrived:
            await self.request_arrived.wait_for(
                lambda: len(self.requests) >= count
            )

    async def answer(self, reader, writer):
        """Serves one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                reply = await self._take_reply(head.decode(), reader)
                if reply.then == HANG:
                    await reader.read()
                    self.disconnected.set()
                    break
                await asyncio.sleep(reply.delay_s)
                writer.write(self._fill_id(reply.text).encode())
                await writer.drain()
                for text in reply.later:
                    await asyncio.sleep(reply.pause_s)
                    writer.write(self._fill_id(text).encode())
                    await writer.drain()
                if reply.then == SILENT:
                    await reader.read()
                if reply.then == RESET:
                    _wire.send_reset(writer)
                if reply.then == HALF_CLOSE:
                    writer.write_eof()
                    await asyncio.sleep(_HALF_CLOSED_S)
                if reply.then != KEEP:
                    break
        writer.close()

    async def _take_reply(self, head, reader):
        fields = _wire.read_fields(head)
        if not (self.script and self.script[0].early):
            fields['body'] = await reader.readexactly(
                int(fields.get('content-length', 0))
            )
        self.requests.append(fields)
        async with self.request_arrived:
            self.request_arrived.notify_all()
        return self.script.pop(0)

    def _fill_id(self, text):
        return text.replace('{id}', self.requests[-1].get('request-id', ''))


def find_port():
    """Finds a free port that no other test run uses meanwhile."""
    return launcher.choose_port()


def make_route(kind, **changes):
    """Makes the route of all requests."""
    fields = {
        'name': 'r',
        'host': '127.0.0.1',
        'path_prefix': '/r/',
        'kind': kind,
        'timeout_s': 5.0,
        'target_s': 1.0,
        'destinations': (_SERVING.Destination(service='s', weight=1.0),),
        'max_attempts': 2,
    }
    return _SERVING.Route(**{**fields, **changes})


@attrs.define(eq=False)
class RunningGateway:
    """A running gateway and its client."""

    context: _context.Context
    url: str
    session: aiohttp.ClientSession
    ingress: platform.Ingress

    async def send(self, method='POST', path='/r/x', **options):
        """Sends a request; returns status, headers, and body or an error."""
        headers = {'Request-Id': 'q1', 'Deadline-Ms': '4000'}
        headers.update(options.pop('headers', {}))
        url = yarl.URL(f'{self.url}{path}', encoded=True)
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            return response.status, response.headers, await response.read()


async def serve_worker(stack, worker):
    """Serves a worker, and closes its connections before the loop ends.

    Python 3.11.6 leaves a connection open whose handler has failed. A writer that
    is collected after its loop has ended breaks the report of a failed test.
    """

    async def answer(reader, writer):
        stack.callback(writer.close)
        try:
            await worker.answer(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1')
    stack.push_async_callback(server.wait_closed)
    stack.callback(server.close)
    worker.port = server.sockets[0].getsockname()[1]
    worker.server = server


@contextlib.asynccontextmanager
async def open_gateway(route, *workers, hosts=1, body_bytes=_BODY_BYTES):
    """Runs a gateway with one route to the given workers."""
    async with contextlib.AsyncExitStack() as stack:
        for worker in workers:
            await serve_worker(stack, worker)
        yield await stack.enter_async_context(
            _run_gateway(route, workers, hosts=hosts, limit=body_bytes)
        )


@contextlib.asynccontextmanager
async def open_gateways(route, *workers, count):
    """Runs gateways that send each other messages, with the same workers."""
    async with contextlib.AsyncExitStack() as stack:
        for worker in workers:
            await serve_worker(stack, worker)
        gateways = [
            await stack.enter_async_context(
                _run_gateway(route, workers, hosts=count, host=f'g{number}')
            )
            for number in range(count)
        ]
        hosts = {
            one.context.settings.host: _context.PeerHost(
                ('127.0.0.1', one.context.settings.peer_port), 'a'
            )
            for one in gateways
        }
        for one in gateways:
            one.context.set_peer_hosts(hosts)
            await stack.enter_async_context(_run_peers(one.context))
        yield gateways


@contextlib.asynccontextmanager
async def _run_peers(context):
    """Runs the tasks that exchange messages with other processes."""
    peers = _peers.make_peers(context)
    tasks = [
        asyncio.create_task(one)
        for one in (
            peers.receive(),
            peers.broadcast_work(),
            _limit_sync.make_limit_sync(context, peers).send(),
            _version_sync.make_version_sync(context, None, peers).send(),
        )
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


@contextlib.asynccontextmanager
async def _run_gateway(route, workers, *, hosts, host='g', limit=_BODY_BYTES):
    port = find_port()
    settings = schema.settings.GatewaySettings(
        host=host,
        domain='a',
        region='a',
        address='127.0.0.1',
        front_address=f'127.0.0.1:{port}',
        readiness_address=f'127.0.0.1:{find_port()}',
        store_address='127.0.0.1:1',
        peer_port=find_port(),
    )
    async with contextlib.AsyncExitStack() as stack:
        calls = platform.make_worker_calls()
        context = _context.make_context(settings, calls)
        context.budget.set_hosts(hosts)
        context.fleet.apply_manifest(
            _SERVING.Manifest(
                version=1,
                routes=(route,),
                services=tuple(
                    _SERVING.Service(name=one.service)
                    for one in route.destinations
                ),
                limits=_SERVING.ClientLimits(body_bytes=limit),
            )
        )
        context.fleet.apply_workers(
            tuple(one.entry for one in workers),
            time.monotonic(),
            after_outage=False,
        )
        context.fleet_known.set()
        ingress = platform.make_ingress(
            settings,
            functools.partial(_requests.serve_call, context),
            lambda: True,
            lambda: limit,
        )
        await ingress.start()
        session = await stack.enter_async_context(httpclient.make_session())
        yield RunningGateway(
            context, f'http://127.0.0.1:{port}', session, ingress
        )
        await ingress.close()
        await calls.close()


def get_worker_record(context, worker):
    """Returns the gateway's record of a worker."""
    return context.worker_records.get(worker.entry.id)
