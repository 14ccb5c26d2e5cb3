"""Serves the counters and histograms of a gateway process."""

import prometheus_client
from aiohttp import web

_PATH = '/metrics'


async def _answer(request: web.Request) -> web.Response:
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={'Content-Type': prometheus_client.CONTENT_TYPE_LATEST},
    )


async def serve_metrics(address: str, port: int) -> web.AppRunner:
    """Starts to serve the metrics.

    :param address: IP number to listen on.
    :param port: port to listen on.
    :returns: runner that must be cleaned up.
    """
    app = web.Application()
    app.router.add_get(_PATH, _answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    return runner
