"""Control interface of the proxy."""

import typing

from aiohttp import web

from briarknot import schema
from briarknot_standins import serving
from briarknot_standins.proxy import _config, _faults, _forward

_PROXY = web.AppKey('proxy', _forward.Proxy)
_CONFIG = web.AppKey('config', _config.ProxyConfig)

routes = web.RouteTableDef()


def make_app(config: _config.ProxyConfig) -> web.Application:
    """Makes the application of the control port; it opens the links.

    :param config: configuration; its port is not used here.
    """
    app = web.Application()
    app[_PROXY] = _forward.make_proxy()
    app[_CONFIG] = config
    app.add_routes(routes)
    app.cleanup_ctx.append(_run_links)
    return app


@routes.get('/links')
async def read_links(request: web.Request) -> web.Response:
    """Returns each link with its port and counters."""
    proxy = request.app[_PROXY]
    return serving.respond({'links': schema.to_plain(proxy.stats)})


@routes.post('/links')
async def open_link(request: web.Request) -> web.Response:
    """Opens a link."""
    link = await serving.read_json(request, _config.Link)
    port = await request.app[_PROXY].open_link(link)
    return serving.respond({'name': link.name, 'port': port})


@routes.get('/faults')
async def read_faults(request: web.Request) -> web.Response:
    """Returns the faults in force."""
    proxy = request.app[_PROXY]
    return serving.respond({'faults': schema.to_plain(proxy.faults)})


@routes.post('/faults')
async def add_fault(request: web.Request) -> web.Response:
    """Adds a fault."""
    proxy = request.app[_PROXY]
    fault = await serving.read_json(request, _config.FaultRequest)
    if fault.link and not proxy.has_link(fault.link):
        raise web.HTTPBadRequest(text=f'no link is named {fault.link!r}')
    if not proxy.add_fault(fault):
        known = _faults.FAULT_KINDS.names
        raise web.HTTPBadRequest(text=f'unknown kind; known kinds: {known}')
    return serving.respond(fault)


@routes.delete('/faults')
async def remove_faults(request: web.Request) -> web.Response:
    """Removes the faults of ``?link=``, or all."""
    proxy = request.app[_PROXY]
    proxy.remove_faults(request.query.get('link', ''))
    return serving.respond({'faults': schema.to_plain(proxy.faults)})


async def _run_links(app: web.Application) -> typing.AsyncIterator[None]:
    for link in app[_CONFIG].links:
        await app[_PROXY].open_link(link)
    yield
    await app[_PROXY].close()
