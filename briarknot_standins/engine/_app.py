"""HTTP interface of the engine stand-in.

Each connection has one task, which runs the handlers of its requests.
"""

import asyncio
import functools
import typing

import aiohttp
import attrs
import orjson
from aiohttp import web

from briarknot import schema
from briarknot.schema import endpoints, fleet
from briarknot_standins import serving
from briarknot_standins.engine import (
    _config,
    _engine,
    _runs,
    _scheduler,
    _work,
)

_ENGINE = web.AppKey('engine', _engine.Engine)
_SESSION = web.AppKey('session', aiohttp.ClientSession)
# An engine that cannot export does not answer; the decode engine then refuses
# the request.
_IMPORT_TIMEOUT = aiohttp.ClientTimeout(total=5)
# Admits prompts of a million words, far longer than those of tests and
# benchmarks.
_MAX_BODY_BYTES = 64 * 1024 * 1024

routes = web.RouteTableDef()


@attrs.frozen
class _Cancel:
    request_id: str


def make_app(
    config: _config.EngineConfig,
    crash: typing.Callable[[], None] = _engine.exit_process,
) -> web.Application:
    """Makes the application of one engine.

    :param config: configuration; its port is not used here.
    :param crash: called where a fault crashes the process.

    >>> from briarknot_standins import engine
    >>> app = engine.make_app(engine.EngineConfig(name='obb-1'))
    """
    engine = _engine.Engine(config, crash)
    app = web.Application(
        middlewares=[engine.connections.make_middleware()],
        client_max_size=_MAX_BODY_BYTES,
    )
    app[_ENGINE] = engine
    app.add_routes(routes)
    app.cleanup_ctx.append(_run_tasks)
    return app


@routes.post('/v1/completions')
async def complete(request: web.Request) -> web.StreamResponse:
    """Streams a completion as server-sent events."""
    engine = request.app[_ENGINE]
    work = await serving.read_json(request, _scheduler.WorkRequest)
    refusal = engine.get_refusal_reason(work, 'completion')
    if not refusal and work.kv_from.url:
        refusal = await _check_import(request.app[_SESSION], work)
    job = engine.make_job(work, functools.partial(serving.abort, request))
    if refusal or job is None:
        return _refuse(refusal or 'too_long')
    async with _work.hold_slot(engine, job):
        if not await job.granted:
            return _refuse(job.end.value)
        run = engine.runs.start(work.request_id, 'completion', work.resume_from)
        with _work.record_end(job, run):
            return await _work.run_stream(request, engine, job, run)


@routes.post('/v1/prefill')
async def prefill(request: web.Request) -> web.Response:
    """Runs the prefill of a prompt and keeps its KV cache for import."""
    engine = request.app[_ENGINE]
    work = await serving.read_json(request, _scheduler.WorkRequest)
    refusal = engine.get_refusal_reason(work, 'prefill')
    job = engine.make_job(work, functools.partial(serving.abort, request))
    if refusal or job is None:
        return _refuse(refusal or 'too_long')
    async with _work.hold_slot(engine, job):
        if not await job.granted:
            return _refuse(job.end.value)
        run = engine.runs.start(work.request_id, 'prefill', 0)
        with _work.record_end(job, run):
            return await _export(engine, job)


@routes.get('/kv/{handle}')
async def read_export(request: web.Request) -> web.Response:
    """Returns the description of a KV cache export to the importing engine."""
    export = request.app[_ENGINE].find_export(request.match_info['handle'])
    if export is None:
        raise web.HTTPNotFound
    return serving.respond(export)


@routes.post('/v1/cancel')
async def cancel(request: web.Request) -> web.Response:
    """Cancels the jobs of a request id."""
    body = await serving.read_json(request, _Cancel)
    cancelled = request.app[_ENGINE].cancel(body.request_id)
    return serving.respond({'cancelled': cancelled})


@routes.get('/load')
async def read_load(request: web.Request) -> web.Response:
    """Returns the load report, which is out of date by ``report_lag_s``."""
    return serving.respond(request.app[_ENGINE].get_load())


@routes.get('/cache/events')
async def read_cache_events(request: web.Request) -> web.Response:
    """Returns cache events after a sequence number."""
    after = int(request.query.get('after', '0'))
    events = request.app[_ENGINE].cache.get_events(after)
    tree = schema.to_plain(events)
    for event in tree['events']:
        event['kind'] = 'stored' if event['stored'] else 'evicted'
    return serving.respond(tree)


@routes.post('/orders')
async def receive_order(request: web.Request) -> web.Response:
    """Accepts or refuses an order."""
    engine = request.app[_ENGINE]
    order = await serving.read_json(request, endpoints.Order)
    _check_order(order)
    # An order that was received is handled even if its sender disconnects.
    answer = await asyncio.shield(engine.orders.receive(order, engine.faults))
    if answer in {'accepted', 'repeated'}:
        return serving.respond({'answer': answer}, web.HTTPAccepted.status_code)
    return serving.respond({'reason': answer}, web.HTTPConflict.status_code)


@routes.get('/orders')
async def read_orders(request: web.Request) -> web.Response:
    """Returns the state after all orders, and the audit log."""
    orders = request.app[_ENGINE].orders
    audit = {'audit': schema.to_plain(orders.audit)}
    return serving.respond(schema.to_plain(orders.state) | audit)


@routes.get('/runs')
async def read_runs(request: web.Request) -> web.Response:
    """Returns the runs of all requests, or of ``?request_id=``."""
    engine = request.app[_ENGINE]
    runs = engine.runs.describe(request.query.get('request_id', ''))
    tree = {name: schema.to_plain(view) for name, view in runs.items()}
    return serving.respond({'engine': engine.config.name, 'runs': tree})


@routes.post('/faults')
async def set_faults(request: web.Request) -> web.Response:
    """Changes the faults that the body names and returns all faults."""
    engine = request.app[_ENGINE]
    engine.apply_faults(await serving.apply_changes(request, engine.faults))
    return serving.respond(engine.faults)


async def _run_tasks(app: web.Application) -> typing.AsyncIterator[None]:
    engine = app[_ENGINE]
    tasks = [
        asyncio.create_task(engine.scheduler.run()),
        asyncio.create_task(engine.run_samples()),
    ]
    async with aiohttp.ClientSession(timeout=_IMPORT_TIMEOUT) as session:
        app[_SESSION] = session
        yield
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    await engine.orders.close()


def _refuse(reason: str) -> web.Response:
    return serving.respond(
        {'reason': reason}, web.HTTPServiceUnavailable.status_code
    )


def _check_order(order: endpoints.Order) -> None:
    roles = {role.value for role in fleet.Role}
    if order.kind is endpoints.OrderKind.ROLE and order.value not in roles:
        raise web.HTTPBadRequest(
            text=f'unknown role; known roles: {sorted(roles)}'
        )


async def _check_import(
    session: aiohttp.ClientSession, work: _scheduler.WorkRequest
) -> str:
    url = f'{work.kv_from.url}/kv/{work.kv_from.kv_handle}'
    try:
        async with session.get(url, raise_for_status=True) as response:
            export = orjson.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError):
        return 'kv_missing'
    if export['prompt_hash'] != _engine.hash_prompt(work.prompt):
        return 'kv_mismatch'
    return ''


async def _export(engine: _engine.Engine, job: _scheduler.Job) -> web.Response:
    await _work.run_prefill(engine, job)
    if not job.running:
        return _refuse(job.end.value)
    job.stop(_runs.RunEnd.COMPLETED)
    return serving.respond(engine.add_export(job))
