"""Serves generations: a prefill, then a stream of events."""

import functools
import time

import attrs

from briarknot import schema, serving
from briarknot.gateway import (
    _context,
    _crashes,
    _generation_attempts,
    _prefill,
    _requests,
    _send_permits,
    _stream,
    _stream_moves,
    _stream_versions,
)

_Stage = schema.serving.Stage
_Spreading = schema.settings.LoadSpreading
_DECODE_POLICIES = {
    _Spreading.NEAR_CHEAPEST: 'least_tokens',
    _Spreading.WATER_FILLING: 'least_tokens_filled',
}
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
    :param last: failure of the last attempt; None while it runs.
    :param failed_sources: prefill workers whose KV cache of its prompt could
        not be fetched.
    :param sends: times that it was sent to a decode worker.
    :param quarantined: why it must not be sent again; None where it may be.
    """

    source: serving.KvSource | None = None
    last: serving.Failed | None = None
    failed_sources: list[str] = attrs.field(factory=list)
    sends: int = 0
    quarantined: serving.Quarantined | None = None


@_requests.HANDLERS.register(schema.serving.RequestKind.GENERATION)
async def serve_generation(
    context: _context.Context, request: _requests.Request
) -> None:
    """Serves a request that is answered by a stream of events."""
    relay = _stream.make_relay(
        request.responder,
        request.call.last_event,
        request.route.max_silence_s,
        functools.partial(_crashes.record_success, context, request),
    )
    progress = _Progress()
    if not await _stream_versions.admit(context, request):
        return
    if not _crashes.check_admission(context, request, _Stage.DECODE):
        return
    if _refuse_hopeless(context, request):
        _crashes.end_trial(context, request)
        return
    try:
        is_complete = await _serve_runs(context, request, relay, progress)
    finally:
        _crashes.end_trial(context, request)
        if progress.source is not None:
            _prefill.free_in_background(context, progress.source)
    if not is_complete:
        _finish_failure(context, request, relay, progress)


async def _serve_runs(
    context: _context.Context,
    request: _requests.Request,
    relay: _stream.Relay,
    progress: _Progress,
) -> bool:
    """Relays runs at one worker after the other as one stream.

    :param context: state of the process.
    :param request: the request.
    :param relay: forwards the events.
    :param progress: attempts so far; it is updated.
    :returns: whether the answer is complete, or the client disconnected.
    """
    open_next = functools.partial(_open_run, context, request, relay, progress)
    run = await open_next()
    while run is not None:
        move = _stream_moves.make_move(context, request, run, open_next)
        try:
            failure = await _generation_attempts.relay_run(
                context, request, run, relay, move
            )
            if failure is None:
                _record_cache(context, request, run)
                return True
            if failure.kind == serving.FailureKind.UNCONFIRMED:
                # Some of the others may know a stream that did not begin: the
                # client's next attempt has another id.
                progress.last = failure
                return False
            run = await move.finish()
        finally:
            await move.close()
        progress.last = failure
        if run is None and _can_retry(context, request, failure):
            run = await open_next()
    return False


def _record_cache(
    context: _context.Context,
    request: _requests.Request,
    run: _stream_moves.Run,
) -> None:
    """Records that the worker of a run keeps the prompt that it fetched."""
    if run.source is not None:
        context.prompt_load.caches.record_prompt(
            run.worker.id, request.call.prompt, time.monotonic()
        )


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


async def _open_run(
    context: _context.Context,
    request: _requests.Request,
    relay: _stream.Relay,
    progress: _Progress,
) -> _stream_moves.Run | None:
    """Sends the generation to one worker after the other until one accepts it.

    :param context: state of the process.
    :param request: the request.
    :param relay: forwards the events.
    :param progress: attempts so far; it is updated.
    :returns: its run; None where no worker accepted it.
    """
    while progress.sends < _MAX_SENDS:
        result = await _send_once(context, request, relay, progress)
        if not isinstance(result, serving.Failed):
            return result
        if not _can_retry(context, request, result):
            break
    return None


async def _send_once(
    context: _context.Context,
    request: _requests.Request,
    relay: _stream.Relay,
    progress: _Progress,
) -> _stream_moves.Run | serving.Failed | None:
    """Prefills the prompt if needed, and sends the generation.

    :param context: state of the process.
    :param request: the request.
    :param relay: forwards the events.
    :param progress: attempts so far; it is updated.
    :returns: its run, or how the attempt failed; None where it was not sent.
    """
    tried = request.tried
    progress.quarantined = _crashes.check_quarantine(
        context, request, _Stage.DECODE
    )
    untried = _prefill.list_untried(context, request, _Stage.DECODE, tried)
    if progress.quarantined is not None or not untried:
        # Without a decode worker its prompt would be prefilled in vain.
        return None
    source, colocated = _get_usable_source(context, request, progress), None
    if not await _send_permits.admit(context, request, _Stage.DECODE):
        return None
    if source is None:
        source, colocated = await _prefill.prefill_prompt(
            context, request, tried + progress.failed_sources
        )
        progress.source = source
        source = _get_usable_source(context, request, progress)
        if _send_permits.lacks_turn(context, request, source or colocated):
            return None
    progress.quarantined = await _crashes.wait_for_trial(
        context, request, _Stage.DECODE
    )
    if progress.quarantined is not None:
        return None
    if colocated is None:
        worker = await _send_permits.choose_permitted(
            context,
            request,
            functools.partial(_choose_decode, context, request, source, tried),
        )
    else:
        worker = colocated.prefill_worker
    if worker is None or not request.try_acquire_send(context.budget):
        return None
    tried.append(worker.id)
    progress.sends += 1
    result = await _generation_attempts.open_run(
        context, request, colocated or worker, source, relay
    )
    progress.last = result if isinstance(result, serving.Failed) else None
    _update_source(context, request, progress, worker)
    return result


def _get_usable_source(
    context: _context.Context, request: _requests.Request, progress: _Progress
) -> serving.KvSource | None:
    """Returns the KV cache of the prompt if an untried decode worker can use it.

    Otherwise it is freed: the workers of its version have left, or were tried.

    :param context: state of the process.
    :param request: the request.
    :param progress: attempts so far; it is updated.
    """
    source = progress.source
    if source is None:
        return None
    ends = context.fleet.ends
    if ends.get_remaining_s(source.worker, time.monotonic()) <= 0:
        # Its worker has ended, and the cache with it.
        progress.source = None
        return None
    workers = _prefill.list_unblocked(
        context, request, _Stage.DECODE, request.tried
    )
    if workers and not _match_source(workers, source):
        _prefill.free_in_background(context, source)
        progress.source = None
    return progress.source


def _update_source(
    context: _context.Context,
    request: _requests.Request,
    progress: _Progress,
    worker: schema.serving.Worker,
) -> None:
    """Drops the KV cache of the prompt unless it can be fetched again.

    :param context: state of the process.
    :param request: the request.
    :param progress: attempts so far; it is updated.
    :param worker: decode worker of the last attempt.
    """
    source, last, tried = progress.source, progress.last, request.tried
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


def _can_retry(
    context: _context.Context,
    request: _requests.Request,
    last: serving.Failed,
) -> bool:
    if _stream_versions.has_none_left(context, request):
        return False
    return request.has_time() and (last.not_run or request.can_resume())


def _choose_decode(
    context: _context.Context,
    request: _requests.Request,
    source: serving.KvSource | None,
    tried: list[str],
    excluded: list[str],
) -> schema.serving.Worker | None:
    workers = _prefill.list_unblocked(
        context, request, _Stage.DECODE, tried + excluded
    )
    workers = _match_source(workers, source)
    if not workers:
        return None
    policy = serving.DECODE_POLICIES.get(
        _DECODE_POLICIES[context.settings.load_spreading]
    )
    waits_s = _send_permits.list_waits_s(context, request)
    view = context.make_decode_view(request.route.event_gap_s, waits_s)
    return policy(view, workers, source, time.monotonic())


def _match_source(
    workers: tuple[schema.serving.Worker, ...],
    source: serving.KvSource | None,
) -> tuple[schema.serving.Worker, ...]:
    """Lists the workers that a KV cache fits: those of its worker's version."""
    if source is None:
        return workers
    version = source.worker.version
    return tuple(one for one in workers if one.version == version)


def _finish_failure(
    context: _context.Context,
    request: _requests.Request,
    relay: _stream.Relay,
    progress: _Progress,
) -> None:
    last = progress.last
    if relay.has_started:
        request.responder.abort()
        request.log_end('endpoint_failed', status=0)
    elif progress.quarantined is not None:
        _crashes.refuse_quarantined(request, progress.quarantined)
    elif request.may_have_run:
        request.refuse(
            _requests.BAD_GATEWAY,
            'endpoint_failed',
            reason=last.reason if last else '',
        )
    elif last is not None:
        request.refuse(
            _requests.UNAVAILABLE,
            'no_capacity',
            _send_permits.compute_retry_after_s(
                context, request, _Stage.DECODE
            ),
            reason=last.reason,
        )
    else:
        _send_permits.refuse_unsent(context, request, _Stage.DECODE)
