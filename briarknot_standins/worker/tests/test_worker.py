"""Checks that a disconnect of the caller is no error of the worker."""

import asyncio
import logging
import urllib.parse

import aiohttp
from aiohttp import web

from briarknot_standins import serving, worker

#: Time in which the worker handles a request whose connection was closed.
_SETTLE_S = 0.1


async def test_disconnect_of_caller_is_no_error(monkeypatch, caplog):
    """Guards against a traceback after a write to a closed connection.

    The soak fails on tracebacks in the logs, and failed although no
    guarantee was broken.
    """

    async def fail(response, data):
        raise aiohttp.ClientConnectionResetError('closing')

    monkeypatch.setattr(web.StreamResponse, 'write', fail)
    app = worker.make_app(worker.WorkerConfig(stage='decode', work_s=0))
    with caplog.at_level(logging.ERROR):
        async with (
            serving.serve(app) as url,
            aiohttp.ClientSession() as session,
            session.post(
                f'{url}/chat', headers={'Request-Id': 'q1'}
            ) as response,
        ):
            await response.read()
    assert not caplog.records


async def test_caller_that_closes_before_the_head_is_no_error(caplog):
    """Guards against a traceback after a caller has closed at once.

    The transport is closing when the header section of the stream is due.
    """
    app = worker.make_app(worker.WorkerConfig(stage='decode', work_s=0))
    with caplog.at_level(logging.ERROR):
        async with serving.serve(app) as url:
            parts = urllib.parse.urlsplit(url)
            reader, writer = await asyncio.open_connection(
                parts.hostname, parts.port
            )
            writer.write(
                b'GET /chat HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\n\r\n'
            )
            writer.close()
            await reader.read()
            await asyncio.sleep(_SETTLE_S)
    assert not caplog.records
