"""Sends a generation to one worker and relays its events."""

import functools
import time

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import (
    _attempts,
    _context,
    _crashes,
    _prefill,
    _requests,
    _stream,
    _stream_versions,
)

_OK = 200
#: Sends that moving a stream takes: its prompt is prefilled again, and its rest
#: is generated at another worker.
_SENDS_OF_A_MOVE = 2


async def attempt(
    context: _context.Context,
    request: _requests.Request,
    target: schema.serving.Worker | serving.Placement,
    source: serving.KvSource | None,
    relay: _stream.Relay,
) -> serving.Failed | None:
    """Sends a generation and relays its events.

    :param context: state of the process.
    :param request: the request.
    :param target: the decode worker, or its placement if it prefills the
        prompt itself.
    :param source: KV cache of the prompt.
    :param relay: forwards the events.
    :returns: None where the answer is complete or the client disconnected.
    """
    placement = target if isinstance(target, serving.Placement) else None
    worker = placement.prefill_worker if placement else target
    dispatch = serving.Dispatch(
        worker=worker,
        remaining_s=request.remaining_s(time.monotonic()),
        rank=request.route.rank,
        source=source,
        last_event=relay.resume_after,
        cache_holder=placement.cache_holder if placement else None,
    )
    with _attempts.open_attempt(context, request, worker) as opened:
        # A worker answers with its first token, after the prefill.
        with _prefill.count_prompt(context, request, placement) as counted:
            exchange = await _attempts.send_run(
                context,
                request,
                opened,
                dispatch,
                fresh=not request.route.resumable,
            )
            counted.is_prefilled = not isinstance(exchange, serving.Failed)
        if isinstance(exchange, serving.Failed):
            await _crashes.record_broken_start(
                context, request, worker, exchange
            )
            return exchange
        try:
            failure = await _relay(context, request, exchange, relay, opened)
        finally:
            exchange.close()
        if failure is not None and relay.is_starting:
            await _crashes.record_broken_start(
                context, request, worker, failure
            )
        return failure


async def _relay(
    context: _context.Context,
    request: _requests.Request,
    exchange: platform.Exchange,
    relay: _stream.Relay,
    opened: _attempts.Attempt,
) -> serving.Failed | None:
    request.release_sends(context.budget)
    if exchange.answer.status != _OK:
        return await _forward_answer(request, exchange, relay)
    request.extend_limit(context.stop)
    queued_s = context.prompt_load.get_queued_s(opened.worker, time.monotonic())
    relay.on_begin = functools.partial(
        _stream_versions.record_begin, context, request, opened.worker
    )
    watch = _stream.Watch(
        opened.record,
        functools.partial(_reserve_move, context, request),
    )
    failure = await relay.run(exchange, watch if request.can_resume() else None)
    if isinstance(failure, serving.Failed):
        if request.has_time():
            # A worker ends a run whose time is over.
            opened.record.record_failure(failure.kind, time.monotonic())
        telemetry.log_event(
            'stream_broken',
            request=request.call.id,
            worker=opened.worker.id,
            version=opened.worker.version,
            outcome=failure.kind.value,
            reason=failure.reason,
            last_event=relay.resume_after,
            seconds=round(opened.seconds, 4),
        )
        return failure
    _crashes.record_success(context, request)
    _stream_versions.record_end(context, request)
    if relay.longest_gap_s:
        context.prompt_load.gaps.record(
            opened.worker.service, relay.longest_gap_s, queued_s
        )
    _log_complete(request, relay, opened.worker, queued_s)
    return None


def _reserve_move(
    context: _context.Context, request: _requests.Request
) -> bool:
    """Reserves the retries that moving a stream takes, if a worker can take it.

    The other streams of a silent worker move at the same time.

    :param context: state of the process.
    :param request: the request.
    :returns: whether a worker is expected to take it.
    """
    now = time.monotonic()
    others = _prefill.list_unblocked(
        context, request, schema.serving.Stage.DECODE, request.tried
    )
    records = [context.worker_records.get(one.id) for one in others]
    if all(one.is_blocked(now) for one in records):
        return False
    return request.try_reserve_sends(_SENDS_OF_A_MOVE, context.budget)


async def _forward_answer(
    request: _requests.Request,
    exchange: platform.Exchange,
    relay: _stream.Relay,
) -> serving.Failed | None:
    """Forwards an answer that is no stream, where none has begun."""
    body = await exchange.read_whole()
    if isinstance(body, serving.Failed):
        return body
    if relay.has_started:
        return serving.Failed(
            kind=serving.FailureKind.BROKEN,
            reason=f'status {exchange.answer.status} for the rest',
        )
    request.responder.send_answer(exchange.complete(body))
    request.log_end('completed', status=exchange.answer.status)
    return None


def _log_complete(
    request: _requests.Request,
    relay: _stream.Relay,
    worker: schema.serving.Worker,
    queued_s: float,
) -> None:
    inputs = {}
    if relay.first_event_s:
        # A stream that resumes after its last event has none.
        first_s = relay.first_event_s - request.call.received_s
        _context.SECONDS.labels(request.route.kind.value).observe(first_s)
        inputs['first_event_s'] = round(first_s, 4)
    request.log_end(
        'completed',
        status=_OK,
        worker=worker.id,
        **inputs,
        longest_gap_s=round(relay.longest_gap_s, 4),
        queued_prefill_s=round(queued_s, 4),
    )
