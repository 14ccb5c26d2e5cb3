"""HTTP server and helpers that all stand-ins share."""

import asyncio
import contextlib
import signal
import typing
import weakref

import attrs
import orjson
from aiohttp import web

from briarknot import schema

HOST = '127.0.0.1'
CONTROL_PATHS = frozenset(
    ('/copy', '/faults', '/forget', '/restore', '/runs', '/stats')
)

# Tests do not depend on open connections being finished; a longer wait would
# only delay them.
_SHUTDOWN_TIMEOUT_S = 0.1


@contextlib.asynccontextmanager
async def serve(
    app: web.Application, port: int = 0
) -> typing.AsyncIterator[str]:
    """Serves an application while the context is open.

    A handler is cancelled when its client disconnects.

    :param app: application to serve.
    :param port: port on the loopback interface; 0 picks a free one.
    :returns: the base URL.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        access_log=None,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, HOST, port).start()
        yield f'http://{HOST}:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


def run(app: web.Application, port: int) -> None:
    """Serves an application until SIGTERM or SIGINT.

    :param app: application to serve.
    :param port: port on the loopback interface.
    """
    asyncio.run(_serve_until_signal(app, port))


def respond(tree: typing.Any, status: int = 200) -> web.Response:
    """Makes a JSON response.

    :param tree: plain values, or an attrs value.
    :param status: HTTP status.
    """
    return web.Response(
        body=orjson.dumps(schema.to_plain(tree)),
        status=status,
        content_type='application/json',
    )


async def read_json(request: web.Request, kind: type) -> typing.Any:
    """Reads a request's JSON body as an attrs value.

    Members that are null count as absent.

    :param request: the request.
    :param kind: attrs class of the body.
    :raises web.HTTPBadRequest: where the body does not fit the class.
    """
    try:
        return _parse(kind, await request.read())
    except (TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def apply_changes(
    request: web.Request, current: typing.Any
) -> typing.Any:
    """Applies a JSON object of changed fields to an attrs value.

    :param request: request whose body names the fields to change.
    :param current: value before the change.
    :returns: a new value of the same class.
    :raises web.HTTPBadRequest: where a field is unknown or has a wrong type.
    """
    kind = type(current)
    try:
        changes = orjson.loads(await request.read())
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    known = set(attrs.fields_dict(kind))
    if not isinstance(changes, dict) or not known.issuperset(changes):
        raise web.HTTPBadRequest(
            text=f'expected an object with fields of {sorted(known)}'
        )
    try:
        return schema.from_plain(kind, schema.to_plain(current) | changes)
    except (TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def abort(request: web.Request) -> web.Response:
    """Closes a request's connection without a response.

    :returns: a response, which aiohttp requires; the client receives none of
        it.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@attrs.define(eq=False)
class Connections:
    """Open connections of an application, some of which may be silenced.

    A silenced connection stays open, and nothing more is sent on it.

    :param control_paths: paths that are answered on silenced connections too,
        so that tests can read counters and change faults.
    """

    control_paths: frozenset[str] = CONTROL_PATHS

    _open: weakref.WeakSet = attrs.field(factory=weakref.WeakSet, init=False)
    _silent: weakref.WeakSet = attrs.field(factory=weakref.WeakSet, init=False)

    def silence(self) -> None:
        """Silences all connections that are open now permanently."""
        self._silent.update(self._open)

    async def wait_if_silent(self, request: web.Request) -> None:
        """Blocks until the client disconnects if the connection is silenced."""
        if request.path in self.control_paths:
            return
        if request.transport in self._silent:
            await asyncio.Event().wait()

    def make_middleware(self) -> typing.Callable:
        """Makes the middleware that tracks and silences connections."""

        @web.middleware
        async def track_connection(
            request: web.Request, handler: typing.Callable
        ) -> web.StreamResponse:
            tracked = request.path not in self.control_paths
            if tracked and request.transport is not None:
                self._open.add(request.transport)
            await self.wait_if_silent(request)
            response = await handler(request)
            await self.wait_if_silent(request)
            return response

        return track_connection


def _parse(kind: type, body: bytes) -> typing.Any:
    tree = orjson.loads(body)
    if isinstance(tree, dict):
        tree = {key: part for key, part in tree.items() if part is not None}
    return schema.from_plain(kind, tree)


async def _serve_until_signal(app: web.Application, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with serve(app, port):
        await stopped.wait()
