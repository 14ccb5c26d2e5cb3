"""Sends a generation to one worker and relays its events."""

import contextlib
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
    _stream_moves,
    _stream_versions,
    _usage,
)

_OK = 200


async def open_run(
    context: _context.Context,
    request: _requests.Request,
    target: schema.serving.Worker | serving.Placement,
    source: serving.KvSource | None,
    relay: _stream.Relay,
) -> _stream_moves.Run | serving.Failed:
    """Sends a generation to a worker and waits until it accepts it.

    :param context: state of the process.
    :param request: the request.
    :param target: the decode worker, or its placement if it prefills the
        prompt itself.
    :param source: KV cache of the prompt.
    :param relay: forwards the events; the run goes on after its last one.
    """
    placement = target if isinstance(target, serving.Placement) else None
    worker = placement.prefill_worker if placement else target
    dispatch = serving.Dispatch(
        worker=worker,
        remaining_s=request.remaining_s(time.monotonic()),
        rank=request.route.rank,
        source=source,
        last_event=relay.hold(),
        cache_holder=placement.cache_holder if placement else None,
    )
    with contextlib.ExitStack() as stack:
        stack.enter_context(_prefill.count_stream(context, request, worker))
        opened = stack.enter_context(
            _attempts.open_attempt(context, request, worker)
        )
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
            relay.release()
            await _crashes.record_broken_start(
                context, request, worker, exchange
            )
            return exchange
        stack.callback(exchange.close)
        if await _is_other_version(context, request, worker):
            failure = serving.Failed(
                kind=serving.FailureKind.FOREIGN,
                reason='the worker has started again since it was listed',
            )
            opened.record.record_failure(failure.kind, time.monotonic())
            relay.release()
            return failure
        return _stream_moves.Run(opened, exchange, source, stack.pop_all())


async def _is_other_version(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> bool:
    """Returns whether a stream that has begun may not go on at a worker.

    It has accepted the rest, but may run another version than it was listed with.

    :param context: state of the process.
    :param request: the request.
    :param worker: the worker.
    """
    if request.version is None or not await context.has_restarted(worker):
        return False
    telemetry.log_event(
        'stream_not_continued',
        request=request.call.id,
        worker=worker.id,
        version=request.version,
    )
    return True


async def relay_run(
    context: _context.Context,
    request: _requests.Request,
    run: _stream_moves.Run,
    relay: _stream.Relay,
    move: _stream_moves.Move,
) -> serving.Failed | None:
    """Relays the events of a run, and closes it.

    :param context: state of the process.
    :param request: the request.
    :param run: the run.
    :param relay: forwards the events.
    :param move: moves the stream where its worker is silent.
    :returns: None where the answer is complete or the client disconnected.
    """
    with run.stack:
        failure = await _relay(context, request, run, relay, move)
    is_moved = move.is_leaving and move.is_accepted
    if failure is not None and relay.is_starting and not is_moved:
        await _crashes.record_broken_start(
            context, request, run.worker, failure
        )
    return failure


async def _relay(
    context: _context.Context,
    request: _requests.Request,
    run: _stream_moves.Run,
    relay: _stream.Relay,
    move: _stream_moves.Move,
) -> serving.Failed | None:
    exchange, opened = run.exchange, run.opened
    request.release_sends(context.budget)
    if exchange.answer.status != _OK:
        return await _forward_answer(request, exchange, relay)
    request.extend_limit(context.stop)
    queued_s = context.prompt_load.get_queued_s(opened.worker, time.monotonic())
    relay.on_begin = functools.partial(_begin, context, request, opened.worker)
    failure = await relay.run(exchange, move)
    if isinstance(failure, serving.Failed):
        if request.has_time() and not relay.was_unread:
            # A worker ends a run whose time is over, or that is not read.
            opened.record.record_failure(failure.kind, time.monotonic())
        _context.BROKEN_ANSWERS.labels(failure.kind.value).inc()
        telemetry.log_event(
            'stream_broken',
            request=request.call.id,
            worker=opened.worker.id,
            version=opened.worker.version,
            outcome=failure.kind.value,
            reason=failure.reason,
            last_event=relay.resume_after,
            unread_s=round(relay.unread_s, 2),
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


async def _begin(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> serving.Failed | None:
    """Records a stream, before its first event is forwarded."""
    failure = await _stream_versions.begin(context, request, worker)
    if failure is None:
        _usage.begin_stream(context, request)
    return failure


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
