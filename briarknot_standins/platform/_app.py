"""HTTP interface of the platform stand-in.

Each connection has one task, which runs the handlers of its requests.
"""

import asyncio
import time
import typing

import attrs
from aiohttp import web

from briarknot_standins import serving
from briarknot_standins.platform import _config, _encoding, _state, _store

_MAX_BODY_BYTES = 64 * 1024 * 1024
_WEIGHTS_CHUNK_BYTES = 64 * 1024
_MS_PER_S = 1000
_PAGE_ROWS = 500
_PAGE_NAMES = 1000
_FEED_PERIOD_S = 0.01
_ERA_HEADER = 'Store-Era'
_WRITE_METHODS = frozenset(('POST', 'PUT', 'DELETE'))


_PLATFORM = web.AppKey('platform', _state.Platform)

routes = web.RouteTableDef()


def make_app(config: _config.PlatformConfig) -> web.Application:
    """Makes the application of the platform.

    :param config: configuration; its port is not used here.
    """
    app = web.Application(
        middlewares=[_add_era, _apply_faults], client_max_size=_MAX_BODY_BYTES
    )
    app[_PLATFORM] = _state.Platform(config)
    app.add_routes(routes)
    return app


@web.middleware
async def _add_era(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    tables = request.app[_PLATFORM].tables
    try:
        response = await handler(request)
    except web.HTTPException as error:
        error.headers[_ERA_HEADER] = str(tables.era)
        raise
    if not response.prepared:
        response.headers[_ERA_HEADER] = str(tables.era)
    return response


@web.middleware
async def _apply_faults(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    if request.path in serving.CONTROL_PATHS:
        return await handler(request)
    if request.app[_PLATFORM].faults.down:
        return serving.abort(request)
    if request.app[_PLATFORM].faults.busy:
        raise web.HTTPServiceUnavailable
    body = await request.read()
    request.app[_PLATFORM].stats.bytes_in += len(body)
    if request.method in _WRITE_METHODS:
        # A write that was received takes effect even if its sender disconnects.
        return await asyncio.shield(_write(request, handler))
    return await _read(request, handler)


async def _read(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    platform = request.app[_PLATFORM]
    await asyncio.sleep(platform.faults.slow_s)
    if platform.faults.down:
        return serving.abort(request)
    if not platform.admit_read():
        return _refuse_rate()
    response = await handler(request)
    platform.count_response_bytes(response)
    return response


async def _write(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    platform = request.app[_PLATFORM]
    await asyncio.sleep(platform.faults.slow_s)
    if platform.faults.down:
        return serving.abort(request)
    if not platform.admit_write():
        return _refuse_rate()
    response = await handler(request)
    if response.status == web.HTTPOk.status_code:
        platform.stats.writes += 1
        if platform.consume_lost_answer():
            return serving.abort(request)
    platform.count_response_bytes(response)
    return response


def _refuse_rate() -> web.Response:
    return web.Response(
        status=web.HTTPTooManyRequests.status_code,
        headers={'Retry-After': '1'},
    )


@routes.get('/v1/rows-get')
async def read_rows(request: web.Request) -> web.Response:
    """Returns the rows of a table between two keys."""
    platform = request.app[_PLATFORM]
    table = request.query['table']
    limit = int(request.query.get('limit', _PAGE_ROWS))
    rows = platform.list_rows(
        table, request.query.get('from', ''), request.query.get('to', '')
    )
    names = sorted(rows)
    return serving.respond(
        {
            'rows': [
                _encoding.describe_row(table, name, rows[name])
                for name in names[:limit]
            ],
            'morePages': len(names) > limit,
            **_encoding.describe_store(platform),
        }
    )


@routes.get('/v1/rows-feed')
async def read_feed(request: web.Request) -> web.Response:
    """Returns the changes of a table, and waits for one if there is none."""
    platform = request.app[_PLATFORM]
    table = request.query['table']
    after = int(request.query['after'])
    wait_s = int(request.query.get('waitMs', 0)) / _MS_PER_S
    end_s = time.monotonic() + wait_s
    while True:
        changes = platform.tables.list_changes(table, after)
        if changes is None:
            raise web.HTTPGone
        if changes or time.monotonic() >= end_s:
            break
        await asyncio.sleep(_FEED_PERIOD_S)
    return serving.respond(
        {
            'rows': [
                _encoding.describe_row(table, one.key, one.row)
                for one in changes
            ],
            **_encoding.describe_store(platform),
        }
    )


@routes.post('/v1/rows-tx')
async def write_rows(request: web.Request) -> web.Response:
    """Writes all rows, or none where a version is not the expected one."""
    platform = request.app[_PLATFORM]
    expected, puts = _encoding.parse_transaction(await request.read())
    conflicts = platform.tables.find_conflicts(expected)
    if conflicts:
        platform.stats.conflicts += 1
        found = [
            _encoding.describe_current_row(platform, expected[index])
            for index in conflicts
        ]
        return serving.respond(
            {'rows': found, **_encoding.describe_store(platform)},
            web.HTTPPreconditionFailed.status_code,
        )
    platform.stats.operations += len(puts)
    platform.tables.apply(puts)
    return serving.respond(_encoding.describe_store(platform))


@routes.get('/v1/blob-get/{name}')
async def read_object(request: web.Request) -> web.Response:
    """Returns the bytes of one object."""
    found = request.app[_PLATFORM].objects.get(request.match_info['name'])
    if found is None:
        raise web.HTTPNotFound
    return web.Response(body=found, content_type='application/octet-stream')


@routes.put('/v1/blob-put/{name}')
async def write_object(request: web.Request) -> web.Response:
    """Stores the body under a name."""
    platform = request.app[_PLATFORM]
    body = await request.read()
    platform.store_object(request.match_info['name'], body)
    return serving.respond({'bytes': len(body)})


@routes.get('/v1/blob-list')
async def list_objects(request: web.Request) -> web.Response:
    """Returns the names of the objects under ``?pathPrefix=``."""
    prefix = request.query.get('pathPrefix', '')
    after = request.query.get('after', '')
    names = sorted(request.app[_PLATFORM].objects)
    found = [name for name in names if name.startswith(prefix) and name > after]
    return serving.respond(
        {
            'names': found[:_PAGE_NAMES],
            'morePages': len(found) > _PAGE_NAMES,
        }
    )


@routes.put('/hosts/{host}')
async def write_host(request: web.Request) -> web.Response:
    """Registers a host or changes its state."""
    name = request.match_info['host']
    host = await serving.read_json(request, _store.Host)
    request.app[_PLATFORM].hosts.set(name, attrs.evolve(host, host=name))
    return serving.respond({'host': name})


@routes.delete('/hosts/{host}')
async def remove_host(request: web.Request) -> web.Response:
    """Removes a host from the list."""
    name = request.match_info['host']
    request.app[_PLATFORM].hosts.set(name, None)
    return serving.respond({'host': name})


@routes.get('/weights/{name}')
async def read_weights(request: web.Request) -> web.StreamResponse:
    """Streams weights at a rate that all downloads share."""
    platform = request.app[_PLATFORM]
    size = platform.config.weights_bytes
    response = web.StreamResponse(headers={'Content-Length': str(size)})
    await response.prepare(request)
    for start in range(0, size, _WEIGHTS_CHUNK_BYTES):
        chunk = bytes(min(_WEIGHTS_CHUNK_BYTES, size - start))
        async with platform.weights_lock:
            await asyncio.sleep(
                len(chunk) / platform.config.weights_bytes_per_s
            )
        await response.write(chunk)
    await response.write_eof()
    return response


@routes.post('/faults')
async def set_faults(request: web.Request) -> web.Response:
    """Changes the faults that the body names and returns all faults."""
    platform = request.app[_PLATFORM]
    platform.faults = await serving.apply_changes(request, platform.faults)
    return serving.respond(platform.faults)


@routes.post('/forget')
async def drop_changes(request: web.Request) -> web.Response:
    """Drops the history of changes; a feed request from before it gets 410."""
    request.app[_PLATFORM].tables.drop_changes()
    return serving.respond({})


@routes.post('/copy')
async def save_copy(request: web.Request) -> web.Response:
    """Copies all tables."""
    request.app[_PLATFORM].tables.save_copy()
    return serving.respond({})


@routes.post('/restore')
async def restore_copy(request: web.Request) -> web.Response:
    """Returns to the copy, as after the loss of what was written since."""
    request.app[_PLATFORM].tables.restore_copy()
    return serving.respond({})


@routes.get('/stats')
async def read_stats(request: web.Request) -> web.Response:
    """Returns the counters."""
    return serving.respond(request.app[_PLATFORM].stats)
