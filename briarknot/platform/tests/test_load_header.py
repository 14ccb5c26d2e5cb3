"""Tests the load that workers report with their answers."""

import logging

import pytest

from briarknot import schema, serving
from briarknot.gateway.tests import _support

_ROUTE = _support.make_route(schema.serving.RequestKind.IDEMPOTENT)


async def read_load(header, now=0):
    """Returns the gateway's record of a worker that answered with a header."""
    reply = _support.make_reply(
        200, 'x', f'{_support.SEAL}Instance-Load: {header}'
    )
    worker = _support.ScriptedWorker([reply])
    async with _support.open_gateway(_ROUTE, worker) as gateway:
        status, _, _ = await gateway.send('GET')
        assert status == 200
        return _support.get_worker_record(gateway.context, worker)


@pytest.mark.parametrize(
    ('header', 'ratio'), [('3,1,8', 1), ('3,1,8,250', 2.5), ('3,1,8,100,7', 1)]
)
async def test_load_of_each_length_is_read(header, ratio):
    """A fourth figure hid the whole load, so that no worker's was known."""
    record = await read_load(header)
    reported_s = record._load_reported_s
    load = record.get_load(reported_s)
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert record.get_work_time_ratio(reported_s) == pytest.approx(ratio)


@pytest.mark.parametrize('header', ['3;1;8', f'3,1,8,{"9" * 400}'])
async def test_malformed_load_is_logged(header, caplog):
    """It was ignored in silence, and all workers looked idle.

    A figure that is no floating-point number failed the request.
    """
    caplog.set_level(logging.INFO)
    record = await read_load(header)
    assert record._load is None
    assert 'load_malformed' in caplog.messages


def test_slow_host_is_avoided_only_while_it_is_slow():
    """The reported figure changes many times a second."""
    record = serving.make_worker_records().get('w')
    load = serving.Load(running=1, waiting=0, slots=8, work_time_ratio=3)
    record.record_load(load, now=10)
    assert record.get_work_time_ratio(10) == pytest.approx(3)
    assert record.get_work_time_ratio(12) == pytest.approx(1, abs=0.01)
