"""HTTP interface of the worker stand-in.

Each connection has one task, which runs the handlers of its requests.
"""

import asyncio
import base64
import os
import random
import typing
import uuid

import aiohttp
import attrs
import orjson
from aiohttp import web

from briarknot_standins.worker import _config

_HEARTBEAT_PERIOD_S = 0.4
_SEAL_HEADER = 'Server-Seal'
_EVENT_COUNT = 6
_NO_STAGE = 'none'
#: Model of the parts in the list of cached parts.
_MODEL = 'm'
#: Reads of that list that are answered at the same time; others get 429.
_MAX_LISTS = 4
#: Time that a read of the list takes.
_LIST_S = 0.002
_STATE = web.AppKey('worker', 'Worker')


@attrs.define(eq=False)
class Worker:
    """State of a worker.

    :param config: configuration.
    :param id: id of this instance, new at each start unless it is kept.
    :param running: number of requests in progress.
    :param handles: request ids of prefilled prompts that are not released yet,
        by KV handle.
    :param held: tokens of the prompt parts in the KV cache, by part.
    :param lists: reads of the list of these parts that are in progress.
    :param random_source: random generator of failures.
    :param draining: whether the worker drains.
    """

    config: _config.WorkerConfig
    id: str
    random_source: random.Random
    running: int = 0
    handles: dict[str, str] = attrs.field(factory=dict)
    held: dict[str, int] = attrs.field(factory=dict)
    lists: int = 0
    draining: bool = False
    _sequence: int = 0

    async def register(self, session: aiohttp.ClientSession) -> None:
        """Writes the worker's entry to the store."""
        self._sequence += 1
        entry = {
            'service': self.config.service,
            'address': self.config.address or f'127.0.0.1:{self.config.port}',
            'zone': 'a',
            'version': self.config.software_version,
            'slots': self.config.slots,
            'state': 'draining' if self.draining else 'ready',
            'coldRemainingMs': 0,
            'sequence': self._sequence,
        }
        if self.config.stage != _NO_STAGE:
            entry['stage'] = self.config.stage
        await self._write(session, 'put', entry)

    async def unregister(self, session: aiohttp.ClientSession) -> None:
        """Removes the worker's entry from the store."""
        await self._write(session, 'remove', None)

    async def _write(
        self, session: aiohttp.ClientSession, kind: str, entry: typing.Any
    ) -> None:
        row = {'table': 'servers', 'part': '', 'key': self.id}
        if entry is not None:
            row['value'] = base64.b64encode(orjson.dumps(entry)).decode()
        url = f'{self.config.store}/v1/rows-tx'
        try:
            async with session.post(url, json={kind: [row]}) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            print(f'store failed: {type(error).__name__}', flush=True)


def make_app(config: _config.WorkerConfig) -> web.Application:
    """Makes the application of a worker.

    :param config: configuration.
    """
    app = web.Application(handler_args={'handler_cancellation': True})
    worker_id = config.id if config.keep_id else f'{config.id}-{os.getpid()}'
    app[_STATE] = Worker(config, worker_id, random.Random(config.seed))
    app.router.add_post('/drain', _drain)
    app.router.add_delete('/v1/kv-handle/{handle}', _release_handle)
    app.router.add_get('/v1/kv-list', _list_held)
    app.router.add_route('*', '/{path:.*}', _run)
    app.cleanup_ctx.append(_keep_registered)
    return app


async def _keep_registered(
    app: web.Application,
) -> typing.AsyncIterator[None]:
    if not app[_STATE].config.store:
        yield
        return
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=1)
    ) as session:
        task = asyncio.create_task(_send_heartbeats(app[_STATE], session))
        yield
        task.cancel()
        await app[_STATE].unregister(session)


async def _send_heartbeats(
    worker: Worker, session: aiohttp.ClientSession
) -> None:
    while True:
        await worker.register(session)
        await asyncio.sleep(_HEARTBEAT_PERIOD_S)


async def _drain(request: web.Request) -> web.Response:
    request.app[_STATE].draining = True
    return web.Response()


async def _release_handle(request: web.Request) -> web.Response:
    request.app[_STATE].handles.pop(request.match_info['handle'], None)
    return web.Response()


async def _list_held(request: web.Request) -> web.Response:
    """Lists the prompt parts in the KV cache."""
    worker = request.app[_STATE]
    if request.headers.get('Expect-Instance', worker.id) != worker.id:
        return web.Response(status=421)
    if worker.lists >= _MAX_LISTS:
        return web.Response(status=429)
    # Tests count these lines to know how often the list was read.
    print('kv-list', flush=True)
    worker.lists += 1
    try:
        await asyncio.sleep(_LIST_S)
    finally:
        worker.lists -= 1
    held = [['', part, tokens, _MODEL] for part, tokens in worker.held.items()]
    return web.json_response({'epoch': 1, 'next': len(held), 'held': held})


def _hold_parts(worker: Worker, request: web.Request) -> None:
    """Keeps the parts of a prefilled prompt in the KV cache."""
    for part in request.headers.get('Prompt-Prefix', '').split(','):
        part_id, _, tokens = part.strip().partition(':')
        if tokens.isdigit():
            worker.held[part_id] = int(tokens)


async def _run(request: web.Request) -> web.StreamResponse:
    worker = request.app[_STATE]
    body = await request.read()
    refusal = _make_refusal(worker, request)
    if refusal is not None:
        return refusal
    worker.running += 1
    try:
        if request.headers.get('Serving-Stage') == 'prefill':
            return await _prefill(worker, request)
        # The soak reads these lines to count the runs of a request.
        print('run', request.headers['Request-Id'], flush=True)
        if worker.config.stage != _NO_STAGE:
            return await _stream(worker, request)
        return await _answer(worker, request, body)
    finally:
        worker.running -= 1


def _make_refusal(worker: Worker, request: web.Request) -> web.Response | None:
    headers = request.headers
    if 'Request-Id' not in headers:
        return web.Response(status=400, headers={'Not-Executed': '1'})
    common = {
        'Request-Id': headers.get('Request-Id', ''),
        'Instance-Id': worker.id,
    }
    prefills = headers.get('Serving-Stage') == 'prefill'
    if headers.get('Expect-Instance', worker.id) != worker.id or (
        prefills != (worker.config.stage == 'prefill')
    ):
        return web.Response(status=421, headers=common)
    common['Not-Executed'] = '1'
    source = headers.get('Kv-Source', '')
    is_full = worker.running >= worker.config.slots
    if is_full or source.endswith('/gone'):
        return web.Response(status=503, headers=common)
    return None


async def _prefill(worker: Worker, request: web.Request) -> web.Response:
    await asyncio.sleep(worker.config.work_s)
    _hold_parts(worker, request)
    handle = uuid.uuid4().hex
    request_id = request.headers['Request-Id']
    worker.handles[handle] = request_id
    return web.json_response(
        {'kvHandle': handle, 'tokens': 1, 'version': 1},
        headers={'Request-Id': request_id},
    )


async def _answer(
    worker: Worker, request: web.Request, body: bytes
) -> web.Response:
    await asyncio.sleep(worker.config.work_s)
    request_id = request.headers['Request-Id']
    fails = worker.random_source.random() < worker.config.failure_share
    return web.Response(
        status=500 if fails else 200,
        body=f'answer {request_id} {len(body)}'.encode(),
        headers={'Request-Id': request_id, _SEAL_HEADER: 's'},
    )


async def _stream(worker: Worker, request: web.Request) -> web.StreamResponse:
    request_id = request.headers['Request-Id']
    if 'Kv-Source' not in request.headers:
        _hold_parts(worker, request)
    response = web.StreamResponse(
        headers={
            'Request-Id': request_id,
            _SEAL_HEADER: 's',
            'Content-Type': 'text/event-stream',
        }
    )
    response.enable_chunked_encoding()
    start = int(request.headers.get('Last-Event-Id') or 0) + 1
    try:
        await response.prepare(request)
        for number in range(start, _EVENT_COUNT + 1):
            await asyncio.sleep(worker.config.work_s)
            await response.write(
                _make_event(request_id, worker.config.software_version, number)
            )
    except ConnectionError:
        # The caller disconnected before the header section was sent, or while
        # earlier bytes were still unsent.
        print('client disconnected', request_id, flush=True)
    return response


def _make_event(request_id: str, version: str, number: int) -> bytes:
    data = f'{request_id} {version} {number}/{_EVENT_COUNT}'
    return f'id: {number}\ndata: {data}\n\n'.encode()
