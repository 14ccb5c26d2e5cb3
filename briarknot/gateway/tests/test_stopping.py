"""Tests that a planned stop cuts no request off without an answer."""

import asyncio
import time

import pytest

from briarknot import schema
from briarknot.gateway import _stopping
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_HANGING = _support.Reply('', _support.HANG)
#: Requests that clients send within this time from the start of a stop are excused
#: where their worker still runs them at its end.
_EXCUSED_S = 3.0


@pytest.mark.parametrize('grace_s', [0, 0.5, 2, 5, 8, 60])
def test_late_requests_are_refused_before_they_must_be_served(grace_s):
    """Requests that arrived late in the grace were cut off at its end."""
    plan = _stopping.plan_stop(grace_s)
    assert plan.refuse_s < _EXCUSED_S
    times_s = [0, plan.refuse_s, plan.close_s, plan.exit_s, grace_s]
    assert times_s == sorted(times_s)
    assert plan.answer_s <= plan.exit_s


@pytest.mark.parametrize(
    ('kind', 'status'), [(_Kind.NON_IDEMPOTENT, 504), (_Kind.IDEMPOTENT, 504)]
)
async def test_request_that_is_open_at_the_end_of_a_stop_is_answered(
    kind, status
):
    """Its connection was cut when the process ended, without an answer."""
    worker = _support.ScriptedWorker([_HANGING])
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        sent = asyncio.ensure_future(gateway.send())
        await worker.wait_requests(1)
        started_s = time.monotonic()
        loop = asyncio.get_running_loop()
        gateway.context.stop.begin(loop.time() + 0.3)
        answer = await sent
        assert time.monotonic() - started_s < 2
    assert answer[0] == status


async def test_request_during_a_stop_has_the_time_that_is_left():
    """A worker got more time than the process had to wait for it."""
    worker = _support.ScriptedWorker([_HANGING])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        loop = asyncio.get_running_loop()
        gateway.context.stop.begin(loop.time() + 0.5)
        status, _, _ = await gateway.send()
    assert status == 504
    assert int(worker.requests[0]['deadline-ms']) <= 500


async def test_late_request_is_refused_while_the_listener_is_open():
    """It was passed on to a worker, and cut at the end of the grace."""
    worker = _support.ScriptedWorker([])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        gateway.ingress.set_closing()
        gateway.ingress.refuse_requests()
        status, headers, _ = await gateway.send()
    assert status == 503
    assert headers['Connection'] == 'close'
    assert not worker.requests
