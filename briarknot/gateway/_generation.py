"""Serves generations: a prefill, then a stream of events."""

import time

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import (
    _attempts,
    _context,
    _crashes,
    _prefill,
    _requests,
    _stream,
)

_Stage = schema.serving.Stage
_DECODE_POLICY = 'least_tokens'
_OK = 200
#: Attempts to send one generation. After a rejection another worker is tried
#: while the retry budget allows.
_MAX_SENDS = 4
#: A request is refused if its first event is expected after the time for which
#: clients wait by this factor; expected times scatter.
_HOPELESS_SHARE = 1.2
#: Earliest return of a refused client, as a share of the time until the queues
#: are expected to be short.
_MIN_RETURN_SHARE = 0.5


@attrs.define(eq=False)
class _Progress:
    """Attempts so far to serve one generation.

    :param source: KV cache of its prompt, ready to be fetched.
    :param last: failure of the last attempt; None where the client is answered.
    :param tried: decode workers that it was sent to.
    :param failed_sources: prefill workers whose KV cache of its prompt could
        not be fetched.
    :param sends: times that it was sent to a decode worker.
    """

    source: serving.KvSource | None = None
    last: serving.Failed | None = None
    tried: list[str] = attrs.field(factory=list)
    failed_sources: list[str] = attrs.field(factory=list)
    sends: int = 0


@_requests.HANDLERS.register(schema.serving.RequestKind.GENERATION)
async def serve_generation(
    context: _context.Context, request: _requests.Request
) -> None:
    """Serves a request that is answered by a stream of events."""
    relay = _stream.make_relay(
        request.responder,
        request.call.last_event,
        request.route.max_silence_s,
    )
    progress = _Progress()
    is_sent = True
    if _refuse_hopeless(context, request):
        return
    try:
        while is_sent and progress.sends < _MAX_SENDS:
            is_sent = await _send_once(context, request, relay, progress)
            if is_sent and progress.last is None:
                return
            is_sent = is_sent and _can_retry(request, progress.last)
    finally:
        if progress.source is not None:
            _prefill.free_in_background(context, progress.source)
    _finish_failure(request, relay, progress.last)


def _refuse_hopeless(
    context: _context.Context, request: _requests.Request
) -> bool:
    """Refuses a request whose client will leave before its first event.

    Its prompt would lengthen the queues of others for nothing.

    :param context: state of the process.
    :param request: the request, before its first attempt.
    :returns: whether it was refused.
    """
    max_silence_s = request.route.max_silence_s
    placement = _prefill.choose_placement(context, request, [])
    if not placement or not max_silence_s:
        return False
    if placement.expected_s <= max_silence_s * _HOPELESS_SHARE:
        return False
    # Returns are spread over the time in which the queues become short.
    wait_s = placement.expected_s - max_silence_s / 2
    request.refuse(
        _requests.UNAVAILABLE,
        'target_unreachable',
        wait_s * context.random_source.uniform(_MIN_RETURN_SHARE, 1),
        expected_s=round(placement.expected_s, 3),
        max_silence_s=max_silence_s,
    )
    return True


async def _send_once(
    context: _context.Context,
    request: _requests.Request,
    relay: _stream.Relay,
    progress: _Progress,
) -> bool:
    """Prefills the prompt if needed, and sends the generation.

    :param context: state of the process.
    :param request: the request.
    :param relay: forwards the events.
    :param progress: attempts so far; it is updated.
    :returns: whether it was sent to a worker.
    """
    tried = progress.tried
    source, colocated = progress.source, None
    if source is None:
        source, colocated = await _prefill.prefill_prompt(
            context, request, tried + progress.failed_sources
        )
        progress.source = source
    worker = _choose_decode(context, request, source, tried)
    if colocated is not None:
        worker = colocated.prefill_worker
    if worker is None or not request.try_acquire_send(context.budget):
        return False
    tried.append(worker.id)
    progress.sends += 1
    with _prefill.count_stream(context, request, worker):
        last = await _attempt(
            context, request, colocated or worker, source, relay
        )
    progress.last = last
    if source is not None and last is None:
        context.prompt_load.caches.record_prompt(
            worker.id, request.call.prompt, time.monotonic()
        )
    if last is None or not last.not_run:
        # A worker that may have run the request has fetched the cache.
        progress.source = None
    elif source and not _prefill.is_fetchable(context, source, last, tried):
        _prefill.free_in_background(context, source)
        progress.source = None
        progress.failed_sources.append(source.worker.id)
        if _prefill.has_free_slots(last):
            # Only the cache was missing; the worker may prefill the prompt.
            tried.remove(worker.id)
    return True


def _can_retry(request: _requests.Request, last: serving.Failed) -> bool:
    if last.not_run:
        return True
    if not request.route.resumable:
        return False
    return request.attempts < request.route.max_attempts


def _choose_decode(
    context: _context.Context,
    request: _requests.Request,
    source: serving.KvSource | None,
    tried: list[str],
) -> schema.serving.Worker | None:
    workers = _prefill.list_unblocked(context, request, _Stage.DECODE, tried)
    if not workers:
        return None
    policy = serving.DECODE_POLICIES.get(_DECODE_POLICY)
    view = context.make_decode_view(request.route.event_gap_s)
    return policy(view, workers, source, time.monotonic())


async def _attempt(
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
    with _attempts.open_attempt(context, request, worker) as attempt:
        # A worker answers with its first token, after the prefill.
        with _prefill.count_prompt(context, request, placement) as counted:
            exchange = await _attempts.send_run(
                context,
                request,
                attempt,
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
            failure = await _relay(context, request, exchange, relay, attempt)
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
    attempt: _attempts.Attempt,
) -> serving.Failed | None:
    if exchange.answer.status != _OK:
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
    can_resume = (
        request.route.resumable
        and request.attempts < request.route.max_attempts
    )
    queued_s = context.prompt_load.get_queued_s(
        attempt.worker, time.monotonic()
    )
    failure = await relay.run(exchange, attempt.record if can_resume else None)
    if isinstance(failure, serving.Failed):
        attempt.record.record_failure(failure.kind, time.monotonic())
        telemetry.log_event(
            'stream_broken',
            request=request.call.id,
            worker=attempt.worker.id,
            outcome=failure.kind.value,
            reason=failure.reason,
            last_event=relay.resume_after,
            seconds=round(attempt.seconds, 4),
        )
        return failure
    if relay.longest_gap_s:
        context.prompt_load.gaps.record(
            attempt.worker.service, relay.longest_gap_s, queued_s
        )
    inputs = {}
    if relay.first_event_s:
        # A stream that resumes after its last event has none.
        first_s = relay.first_event_s - request.call.received_s
        _context.SECONDS.labels(request.route.kind.value).observe(first_s)
        inputs['first_event_s'] = round(first_s, 4)
    request.log_end(
        'completed',
        status=_OK,
        worker=attempt.worker.id,
        **inputs,
        longest_gap_s=round(relay.longest_gap_s, 4),
        queued_prefill_s=round(queued_s, 4),
    )
    return None


def _finish_failure(
    request: _requests.Request,
    relay: _stream.Relay,
    last: serving.Failed | None,
) -> None:
    if relay.has_started:
        request.responder.abort()
        request.log_end('endpoint_failed', status=0)
    elif request.may_have_run:
        request.refuse(
            _requests.BAD_GATEWAY,
            'endpoint_failed',
            reason=last.reason if last else '',
        )
    else:
        request.refuse(
            _requests.UNAVAILABLE,
            'no_capacity' if last else 'no_endpoint',
            _requests.DEFAULT_RETRY_AFTER_S,
            reason=last.reason if last else '',
        )
