"""HTTP interface of the platform; a handler is its connection's task."""

import asyncio
import typing

import attrs
import orjson
from aiohttp import web

from briarknot import schema
from briarknot_standins import serving
from briarknot_standins.platform import _config, _state, _store

_MAX_BODY_BYTES = 64 * 1024 * 1024
_WEIGHTS_CHUNK_BYTES = 64 * 1024
_WRITE_METHODS = frozenset(('POST', 'PUT', 'DELETE'))


_PLATFORM = web.AppKey('platform', _state.Platform)

routes = web.RouteTableDef()


def make_app(config: _config.PlatformConfig) -> web.Application:
    """Makes the application of the platform.

    :param config: configuration; its port is not used here.
    """
    app = web.Application(
        middlewares=[_apply_faults], client_max_size=_MAX_BODY_BYTES
    )
    app[_PLATFORM] = _state.Platform(config)
    app.add_routes(routes)
    return app


@web.middleware
async def _apply_faults(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    if request.path in serving.CONTROL_PATHS:
        return await handler(request)
    if request.app[_PLATFORM].faults.down:
        return serving.abort(request)
    body = await request.read()
    request.app[_PLATFORM].stats.bytes_in += len(body)
    if request.method in _WRITE_METHODS:
        # A write that has arrived takes effect even if its sender leaves.
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
    platform.count_answer(response)
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
        if platform.take_lost_answer():
            return serving.abort(request)
    platform.count_answer(response)
    return response


def _refuse_rate() -> web.Response:
    return web.Response(
        status=web.HTTPTooManyRequests.status_code,
        headers={'Retry-After': '1'},
    )


@routes.get('/tables/{table}/{key:.+}')
async def read_row(request: web.Request) -> web.Response:
    """Returns one row."""
    platform = request.app[_PLATFORM]
    row = platform.tables.read(
        request.match_info['table'],
        request.match_info['key'],
        platform.faults.stale_reads,
    )
    if row is None:
        raise web.HTTPNotFound
    return serving.respond(row)


@routes.get('/tables/{table}')
async def list_rows(request: web.Request) -> web.Response:
    """Returns the rows of a table whose keys have ``?prefix=``."""
    platform = request.app[_PLATFORM]
    rows = platform.tables.list_rows(
        request.match_info['table'],
        request.query.get('prefix', ''),
        platform.faults.stale_reads,
    )
    listed = [
        {'key': key, 'value': row.value, 'version': row.version}
        for key, row in rows.items()
    ]
    return serving.respond({'rows': listed})


@routes.post('/transactions')
async def write_rows(request: web.Request) -> web.Response:
    """Writes all operations, or none where a version does not fit."""
    platform = request.app[_PLATFORM]
    operations = _parse_operations(await request.read())
    conflicts = platform.tables.find_conflicts(operations)
    if conflicts:
        platform.stats.conflicts += 1
        return serving.respond(
            {'conflicts': conflicts}, web.HTTPConflict.status_code
        )
    platform.stats.operations += len(operations)
    return serving.respond({'versions': platform.tables.apply(operations)})


@routes.get('/objects/{name:.+}')
async def read_object(request: web.Request) -> web.Response:
    """Returns the bytes of one object."""
    found = request.app[_PLATFORM].objects.get(request.match_info['name'])
    if found is None:
        raise web.HTTPNotFound
    return web.Response(body=found, content_type='application/octet-stream')


@routes.put('/objects/{name:.+}')
async def write_object(request: web.Request) -> web.Response:
    """Stores the body under a name."""
    platform = request.app[_PLATFORM]
    body = await request.read()
    platform.store_object(request.match_info['name'], body)
    return serving.respond({'bytes': len(body)})


@routes.get('/objects')
async def list_objects(request: web.Request) -> web.Response:
    """Returns the names of objects that have ``?prefix=``."""
    prefix = request.query.get('prefix', '')
    names = sorted(request.app[_PLATFORM].objects)
    found = [name for name in names if name.startswith(prefix)]
    return serving.respond({'objects': found})


@routes.get('/hosts')
async def list_hosts(request: web.Request) -> web.Response:
    """Returns the lagging host list."""
    platform = request.app[_PLATFORM]
    hosts = platform.hosts.read(platform.faults.host_lag_s)
    return serving.respond({'hosts': schema.to_plain(hosts)})


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
    """Streams weights at the rate that all readers share."""
    platform = request.app[_PLATFORM]
    size = platform.config.weights_bytes
    response = web.StreamResponse(headers={'Content-Length': str(size)})
    await response.prepare(request)
    for start in range(0, size, _WEIGHTS_CHUNK_BYTES):
        chunk = bytes(min(_WEIGHTS_CHUNK_BYTES, size - start))
        async with platform.weights_turn:
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
    platform.faults = await serving.read_changes(request, platform.faults)
    return serving.respond(platform.faults)


@routes.get('/stats')
async def read_stats(request: web.Request) -> web.Response:
    """Returns the counts."""
    return serving.respond(request.app[_PLATFORM].stats)


def _parse_operations(body: bytes) -> list[_store.Operation]:
    try:
        return [
            _parse_operation(tree) for tree in orjson.loads(body)['operations']
        ]
    except (TypeError, ValueError, KeyError) as error:
        raise web.HTTPBadRequest(text=repr(error)) from error


def _parse_operation(tree: dict[str, typing.Any]) -> _store.Operation:
    version = tree.get('expected_version')
    return _store.Operation(
        table=schema.from_plain(str, tree['table']),
        key=schema.from_plain(str, tree['key']),
        value=tree['value'],
        expected_version=(
            None if version is None else schema.from_plain(int, version)
        ),
    )
