"""HTTP interface of the platform; a handler is its connection's task."""

import asyncio
import typing

import attrs
import orjson
from aiohttp import web

from briarknot import schema
from briarknot_standins import serving
from briarknot_standins.platform import _config, _stats, _store

_MAX_BODY_BYTES = 64 * 1024 * 1024
_WEIGHTS_CHUNK_BYTES = 64 * 1024
_WRITE_METHODS = frozenset(('POST', 'PUT', 'DELETE'))
_HEADERS_OUT_OF_LIMITS = frozenset(('/faults', '/stats'))


@attrs.define(eq=False)
class Platform:
    """The platform's data, counts and faults.

    :param config: configuration.
    """

    config: _config.PlatformConfig
    tables: _store.Tables = attrs.field(factory=_store.Tables, init=False)
    hosts: _store.Hosts = attrs.field(factory=_store.Hosts, init=False)
    objects: dict[str, bytes] = attrs.field(factory=dict, init=False)
    stats: _stats.Stats = attrs.field(factory=_stats.Stats, init=False)
    faults: _config.Faults = attrs.field(init=False)
    reads: _stats.RateLimit = attrs.field(init=False)
    writes: _stats.RateLimit = attrs.field(init=False)
    #: Readers of weights take turns, which shares the rate among them.
    weights_turn: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False)

    @faults.default
    def _make_faults(self) -> _config.Faults:
        return _config.Faults(host_lag_s=self.config.host_lag_s)

    @reads.default
    def _make_reads(self) -> _stats.RateLimit:
        return _stats.RateLimit(self.config.reads_per_s)

    @writes.default
    def _make_writes(self) -> _stats.RateLimit:
        return _stats.RateLimit(self.config.writes_per_s)

    def admit(self, *, is_write: bool) -> bool:
        """Counts a request and returns whether it is within the limits."""
        if is_write:
            admitted = self.writes.take()
            self.stats.writes_refused += not admitted
        else:
            admitted = self.reads.take()
            self.stats.reads_refused += not admitted
            self.stats.reads += admitted
        return admitted

    def take_lost_answer(self) -> bool:
        """Returns whether the answer to this write is lost."""
        if not self.faults.lose_answers:
            return False
        left = self.faults.lose_answers - 1
        self.faults = attrs.evolve(self.faults, lose_answers=left)
        self.stats.answers_lost += 1
        return True


_PLATFORM = web.AppKey('platform', Platform)

routes = web.RouteTableDef()


def make_app(config: _config.PlatformConfig) -> web.Application:
    """Makes the application of the platform.

    :param config: configuration; its port is not used here.
    """
    app = web.Application(
        middlewares=[_apply_faults], client_max_size=_MAX_BODY_BYTES
    )
    app[_PLATFORM] = Platform(config)
    app.add_routes(routes)
    return app


@web.middleware
async def _apply_faults(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    platform = request.app[_PLATFORM]
    if request.path in _HEADERS_OUT_OF_LIMITS:
        return await handler(request)
    if platform.faults.down:
        return serving.abort(request)
    await asyncio.sleep(platform.faults.slow_s)
    # The platform may have gone down while the request waited.
    if platform.faults.down:
        return serving.abort(request)
    is_write = request.method in _WRITE_METHODS
    if not platform.admit(is_write=is_write):
        raise web.HTTPTooManyRequests(headers={'Retry-After': '1'})
    platform.stats.bytes_in += len(await request.read())
    response = await handler(request)
    if isinstance(response, web.Response) and response.body:
        platform.stats.bytes_out += len(response.body)
    if is_write and response.status == web.HTTPOk.status_code:
        platform.stats.writes += 1
        if platform.take_lost_answer():
            return serving.abort(request)
    return response


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
    platform.objects[request.match_info['name']] = body
    platform.stats.objects = len(platform.objects)
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
