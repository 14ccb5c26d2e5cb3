"""Tests workers that say in their answers that they are leaving."""

import asyncio

import attrs
import pytest

from briarknot import schema, serving
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_worker_limits as limits

_Kind = schema.serving.RequestKind


@attrs.define(eq=False)
class LeavingWorker(limits.LimitedWorker):
    """Answers each request, and says that it is leaving."""

    async def _take_reply(self, head, reader):
        reply = await super()._take_reply(head, reader)
        text = reply.text.replace(
            _support.SEAL, f'{_support.SEAL}Server-Leaving: 1\r\n'
        )
        return attrs.evolve(reply, text=text)


@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.GENERATION])
async def test_leaving_worker_gets_no_further_requests(kind):
    """Its entry still said that it was ready, and it got its usual share."""
    stage = 'decode' if kind == _Kind.GENERATION else 'none'
    leaving, other = (
        LeavingWorker(stage=stage),
        limits.LimitedWorker(stage=stage),
    )
    route = _support.make_route(kind)
    async with _support.open_gateways(
        route, leaving, other, count=3
    ) as gateways:
        # The first request of one gateway finds no other worker.
        fleet = gateways[0].context.fleet
        fleet.apply_changes((), (other.entry.id,), now=0)
        await limits.send_for(gateways[:1], 0.1)
        assert leaving.arrivals
        fleet.apply_changes((other.entry,), (), now=0)
        await asyncio.sleep(0.3)
        before = len(leaving.arrivals)
        statuses = await limits.send_for(gateways, 1.5)
    assert set(statuses) == {200}
    assert len(leaving.arrivals) == before
    assert other.arrivals


def test_worker_that_starts_again_is_used():
    """The next start under the same id was left out too."""
    fleet = serving.make_fleet()
    worker = schema.serving.Worker(id='w', service='s', born_ms=1)
    fleet.apply_workers((worker,), 0, after_outage=False)
    assert fleet.record_leaving(serving.name_start(worker), 1)
    assert not fleet.record_leaving(serving.name_start(worker), 1)
    assert not fleet.list_usable('s')
    restarted = attrs.evolve(worker, born_ms=2)
    fleet.apply_workers((restarted,), 2, after_outage=False)
    assert fleet.list_usable('s') == (restarted,)
