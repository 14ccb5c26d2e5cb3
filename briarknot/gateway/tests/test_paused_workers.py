"""Tests workers that turn requests away and want none for a while."""

import time

import attrs
import pytest

from briarknot import schema
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_worker_limits as limits

_Kind = schema.serving.RequestKind
_PAUSE_S = 1.5
#: Requests that may reach the worker later than half a second after its answer.
_MAX_LATE = 2
_LATE_S = 0.5


@attrs.define(eq=False)
class PausedWorker(limits.LimitedWorker):
    """Turns requests away for a time after the first one, and says so."""

    async def _take_reply(self, head, reader):
        reply = await super()._take_reply(head, reader)
        remaining_s = self.arrivals[0] + _PAUSE_S - time.monotonic()
        if remaining_s <= 0:
            return reply
        _, _, rest = head.partition('Request-Id: ')
        request_id, _, _ = rest.partition('\r\n')
        refusal = _support.make_reply(
            503, '', f'Not-Executed: 1\r\nRetry-After: {remaining_s:.2f}'
        )
        return attrs.evolve(
            refusal, text=refusal.text.replace('{id}', request_id)
        )


def count_late(worker):
    """Counts the requests in the part of the pause that must be kept."""
    first_s = worker.arrivals[0]
    return sum(
        first_s + _LATE_S < one < first_s + _PAUSE_S for one in worker.arrivals
    )


@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.GENERATION])
@pytest.mark.parametrize('others', [0, 1])
async def test_worker_gets_nothing_while_it_wants_nothing(kind, others):
    """It was asked again at once, also where it was the only worker."""
    stage = 'decode' if kind == _Kind.GENERATION else 'none'
    paused = PausedWorker(stage=stage)
    rest = [limits.LimitedWorker(stage=stage) for _ in range(others)]
    route = _support.make_route(kind)
    async with _support.open_gateway(route, paused, *rest) as gateway:
        fleet = gateway.context.fleet
        entries = tuple(one.entry for one in rest)
        # The first request finds no other worker.
        fleet.apply_changes((), tuple(one.id for one in entries), now=0)
        status, headers, _ = await gateway.send('GET')
        assert status == 503
        assert float(headers['Retry-After']) > 1
        fleet.apply_changes(entries, (), now=0)
        statuses = await limits.send_for([gateway], _PAUSE_S)
        expected = 200 if others else 503
        assert set(statuses[:3]) == {expected}
        assert count_late(paused) <= _MAX_LATE
        await limits.send_for([gateway], 0.5)
        status, _, _ = await gateway.send('GET')
        assert status == 200
