"""Tests that workers in need get no more requests than they have named."""

import asyncio
import itertools
import time

import attrs
import pytest

from briarknot import schema
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_GATEWAYS = 8
#: Time from which the limit must hold, and window in which it is counted.
_LEAD_S = 1.0
_WINDOW_S = 4.0
_PERIOD_S = 0.15
#: Below the time of any answer.
_LEAST_ANSWER_S = 1e-6


@attrs.define(eq=False)
class LimitedWorker(_support.ScriptedWorker):
    """Answers each request, and names a limit.

    :param limit_per_s: the limit; None for none.
    :param arrivals: monotonic time of each request.
    """

    script: list = attrs.field(factory=list)
    limit_per_s: float | None = None
    arrivals: list = attrs.field(factory=list)

    async def _take_reply(self, head, reader):
        self.arrivals.append(time.monotonic())
        header = _support.SEAL.strip()
        if self.limit_per_s is not None:
            header = f'{header}\r\nServer-Limit: {self.limit_per_s}'
        reply = _support.make_reply(200, 'done', header)
        if self.stage == 'decode':
            stream = _support.make_stream('x')
            text = stream.text.replace(_support.SEAL, f'{header}\r\n')
            reply = attrs.evolve(stream, text=text)
        # Requests of several connections arrive at the same time.
        _, _, rest = head.partition('Request-Id: ')
        request_id, _, _ = rest.partition('\r\n')
        return attrs.evolve(reply, text=reply.text.replace('{id}', request_id))

    def _fill_id(self, text):
        return text


def count_most(arrivals, since_s):
    """Counts the most arrivals in a window, from a time on."""
    counted = [one for one in arrivals if one >= since_s]
    return max(
        (
            sum(start <= one < start + _WINDOW_S for one in counted)
            for start in counted
        ),
        default=0,
    )


def compute_allowed(limit_per_s):
    """Returns the requests that the rule allows in a window."""
    return 1.5 * limit_per_s * _WINDOW_S + 5


async def send_for(gateways, seconds, headers=None):
    """Sends requests through all gateways; returns their statuses."""
    numbers = itertools.count()
    end_s = time.monotonic() + seconds

    async def send_through(gateway):
        statuses = []
        while time.monotonic() < end_s:
            number = {'Request-Id': f'q{next(numbers)}'}
            status, _, _ = await gateway.send(
                'GET', headers={**(headers or {}), **number}
            )
            statuses.append(status)
            await asyncio.sleep(_PERIOD_S)
        return statuses

    sent = await asyncio.gather(*(send_through(one) for one in gateways))
    return list(itertools.chain(*sent))


@pytest.mark.parametrize('limit_per_s', [0.5, 3])
@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.GENERATION])
async def test_gateways_together_keep_to_the_limit_of_a_worker(
    kind, limit_per_s
):
    """A worker in need got its usual share of the requests of each gateway."""
    stage = 'decode' if kind == _Kind.GENERATION else 'none'
    limited = LimitedWorker(stage=stage, limit_per_s=limit_per_s)
    other = LimitedWorker(stage=stage)
    route = _support.make_route(kind)
    async with _support.open_gateways(
        route, limited, other, count=_GATEWAYS
    ) as gateways:
        for gateway in gateways:
            # Only its limit keeps requests away from it.
            record = _support.get_worker_record(gateway.context, limited)
            record.answer_s = _LEAST_ANSWER_S
        started_s = time.monotonic()
        statuses = await send_for(gateways, _LEAD_S + _WINDOW_S)
    assert set(statuses) == {200}
    most = count_most(limited.arrivals, started_s + _LEAD_S)
    assert most <= compute_allowed(limit_per_s)
    assert limited.arrivals
