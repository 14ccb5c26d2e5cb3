"""Checks that a disconnect of the caller is no error of the worker."""

import logging

import aiohttp
from aiohttp import web

from briarknot_standins import serving, worker


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
