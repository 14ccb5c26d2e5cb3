"""Tests that the order of prompts reaches the engines."""

import attrs
import pytest

from briarknot import schema
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation

_Order = schema.settings.PromptOrder
#: Work that an engine prefills in about 2 s.
_QUEUE = 110_000


@pytest.mark.parametrize(
    ('order', 'urgency'), [(_Order.BY_RANK, '6'), (_Order.ON_TIME_FIRST, '7')]
)
@pytest.mark.parametrize('is_colocated', [False, True])
async def test_late_prompts_get_the_next_urgency(order, urgency, is_colocated):
    """Engines would prefill them before prompts that can be on time."""
    prefill, decode = generation.make_workers(
        [_support.HANDLE], [_support.make_stream('x')]
    )
    workers = [decode] if is_colocated else [prefill, decode]
    route = generation.make_stream_route(rank=2, target_s=0.5)
    async with _support.open_gateway(route, *workers) as gateway:
        context = gateway.context
        context.settings = attrs.evolve(context.settings, prompt_order=order)
        for worker in workers:
            context.prompt_load.work.add(worker.entry.id, tokens=_QUEUE)
        await gateway.send(headers=generation.PROMPT)
    decode_request = decode.requests[0]
    if is_colocated:
        assert decode_request['request-urgency'] == urgency
    else:
        assert prefill.requests[0]['request-urgency'] == urgency
        # Its prompt is prefilled already.
        assert decode_request['request-urgency'] == '6'


@pytest.mark.parametrize(
    ('order', 'sends', 'status'),
    [(_Order.BY_RANK, 2, 200), (_Order.ON_TIME_FIRST, 1, 503)],
)
async def test_rejected_prompt_is_not_sent_on_in_vain(order, sends, status):
    """It made others wait at a second worker, until its client had left."""
    rejected = attrs.evolve(_support.REJECTED, delay_s=0.3)
    workers = [
        _support.ScriptedWorker([rejected], 'decode'),
        _support.ScriptedWorker([_support.make_stream('x')], 'decode'),
    ]
    route = generation.make_stream_route(max_silence_s=2.0, timeout_s=20.0)
    async with _support.open_gateway(route, *workers) as gateway:
        context = gateway.context
        context.settings = attrs.evolve(context.settings, prompt_order=order)
        # The second worker needs 2.2 s for its queue, the client waits 2.4 s.
        context.prompt_load.work.add(workers[1].entry.id, tokens=60_500)
        answer = await gateway.send(headers=generation.PROMPT)
    assert sum(len(one.requests) for one in workers) == sends
    assert answer[0] == status
    assert ('retry-after' in answer[1]) == (status == 503)
