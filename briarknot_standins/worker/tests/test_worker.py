"""Guards the worker stand-in against failures of its own."""

import logging

import aiohttp
from aiohttp import web

from briarknot_standins import serving, worker


async def test_caller_that_left_is_no_error(monkeypatch, caplog):
    """A traceback in a worker's log ended a soak that had broken nothing."""

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
