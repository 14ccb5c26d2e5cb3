"""Serves generations: a prefill, then a stream of events."""

import asyncio
import contextlib
import time
import typing

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import _attempts, _context, _requests, _stream

_Stage = schema.serving.Stage
_PLACEMENT_POLICY = 'predicted'
_DECODE_POLICY = 'least_tokens'
_OK = 200
#: Attempts to have a prompt read, and to send one generation. A worker that
#: refuses is followed by another one while the retry budget allows.
_MAX_PREFILLS = 3
_MAX_SENDS = 4
#: Time limit of freeing a handle, in seconds; it ends by itself soon after.
_FREE_TIMEOUT_S = 1.0


@_requests.HANDLERS.register(schema.serving.RequestKind.GENERATION)
async def serve_generation(
    context: _context.Context, request: _requests.Request
) -> None:
    """Serves a request that is answered by a stream of events."""
    relay = _stream.make_relay(request.responder, request.call.last_event)
    source: serving.KvSource | None = None
    last: serving.Failed | None = None
    tried: list[str] = []
    try:
        while len(tried) < _MAX_SENDS:
            direct = None
            if source is None:
                source, direct = await _read_prompt(context, request, tried)
            worker = _choose_decode(context, request, source, tried)
            if direct is not None:
                worker = direct.reader
            if worker is None or not request.take_arrival(context.budget):
                break
            tried.append(worker.id)
            with _count_prompt(context, request, direct):
                last = await _attempt(context, request, worker, source, relay)
            if last is None or not last.not_run:
                # A worker that ran the request has taken the cache.
                source = None
            elif source and not _is_kept(context, source, last, tried):
                _free_later(context, source)
                source = None
            if last is None:
                return
            if not _may_go_on(request, last):
                break
    finally:
        if source is not None:
            _free_later(context, source)
    _finish_failure(request, relay, last)


def _is_kept(
    context: _context.Context,
    source: serving.KvSource,
    last: serving.Failed,
    tried: list[str],
) -> bool:
    """Returns whether a prompt's cache can still be fetched.

    A worker rejects a request whose cache can't be had, as it does when it is
    full; a second rejection, or a source that is away, means the former.

    :param context: state of the process.
    :param source: the cache.
    :param last: end of the last attempt.
    :param tried: workers that were tried.
    """
    if last.end == serving.End.NOT_SENT:
        return True
    record = context.board.find(source.worker.id)
    return len(tried) < 2 and not record.is_blocked(time.monotonic())


def _may_go_on(request: _requests.Request, last: serving.Failed) -> bool:
    if last.not_run:
        return True
    if not request.route.resumable:
        return False
    return request.attempts < request.route.max_attempts


async def _read_prompt(
    context: _context.Context, request: _requests.Request, refused: list[str]
) -> tuple[serving.KvSource | None, serving.Placement | None]:
    """Has the prompt read by a prefill worker, unless that is slower.

    :param context: state of the process.
    :param request: the request.
    :param refused: workers that have failed already.
    :returns: the KV cache, and the place of a prompt that its decode worker
        reads itself; one of both at the most.
    """
    tried = list(refused)
    for _ in range(_MAX_PREFILLS):
        placement = _place(context, request, tried)
        if placement is None:
            return None, None
        _log_placement(context, request, placement)
        if placement.is_direct:
            return None, placement
        if not request.take_arrival(context.budget):
            return None, None
        tried.append(placement.reader.id)
        result = await _prefill(context, request, placement)
        if isinstance(result, serving.KvSource):
            return result, None
    return None, None


@contextlib.contextmanager
def _count_prompt(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement | None,
) -> typing.Iterator[None]:
    """Counts a prompt that a decode worker reads itself, while it streams.

    :param context: state of the process.
    :param request: the request.
    :param placement: where the prompt is read; None where it was read before.
    """
    if placement is None:
        yield
        return
    context.prompts.add(placement, request.call.prompt)
    try:
        yield
    finally:
        context.prompts.remove(placement, 0, is_read=False)


async def _prefill(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> serving.KvSource | serving.Failed:
    dispatch = serving.Dispatch(
        worker=placement.reader,
        remaining_s=request.remaining_s(time.monotonic()),
        rank=request.route.rank,
    )
    prompt = request.call.prompt
    with _attempts.open_attempt(
        context, placement.reader, prompt.tokens
    ) as attempt:
        result: serving.KvSource | serving.Failed | None = None
        context.prompts.add(placement, prompt)
        try:
            result = await context.calls.prefill(request.call, dispatch)
        finally:
            context.prompts.remove(
                placement,
                attempt.seconds,
                is_read=isinstance(result, serving.KvSource),
            )
        _attempts.note_result(
            request, attempt, 'prefill', result, context.fleet
        )
    if not _counts_as_arrival(request, result):
        request.return_arrival(context.budget)
    return result


def _counts_as_arrival(
    request: _requests.Request, result: serving.KvSource | serving.Failed
) -> bool:
    if isinstance(result, serving.KvSource):
        # Only the first prefill that a worker accepts is free.
        is_free = not request.has_prefill
        request.has_prefill = True
        return not is_free
    return result.end != serving.End.NOT_SENT


def _place(
    context: _context.Context, request: _requests.Request, tried: list[str]
) -> serving.Placement | None:
    prompt = request.call.prompt
    if prompt is None:
        return None
    view = serving.PlacementView(
        context.prompts,
        context.board,
        context.places,
        _list_calm(context, request, _Stage.PREFILL, tried),
        _list_calm(context, request, _Stage.DECODE, tried),
    )
    return serving.PLACEMENT_POLICIES.get(_PLACEMENT_POLICY)(
        view, prompt, time.monotonic()
    )


def _log_placement(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> None:
    telemetry.log_event(
        'prompt_placed',
        request=request.call.id,
        worker=placement.reader.id,
        stage=placement.reader.stage.value,
        expected_s=round(placement.expected_s, 4),
        uncached=placement.uncached,
        slowdown=round(context.prompts.find_slowdown(placement.reader), 2),
        waiting=context.prompts.find_wait(placement.reader, time.monotonic()),
    )


def _choose_decode(
    context: _context.Context,
    request: _requests.Request,
    source: serving.KvSource | None,
    tried: list[str],
) -> schema.serving.Worker | None:
    workers = _list_calm(context, request, _Stage.DECODE, tried)
    if not workers:
        return None
    policy = serving.DECODE_POLICIES.get(_DECODE_POLICY)
    return policy(context.choice, workers, source, time.monotonic())


def _list_calm(
    context: _context.Context,
    request: _requests.Request,
    stage: _Stage,
    tried: list[str],
) -> tuple[schema.serving.Worker, ...]:
    now = time.monotonic()
    untried = tuple(
        one
        for one in context.fleet.list_usable(request.service.name, stage)
        if one.id not in tried
    )
    calm = tuple(
        one for one in untried if not context.board.find(one.id).is_blocked(now)
    )
    return calm or untried


async def _attempt(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
    source: serving.KvSource | None,
    relay: _stream.Relay,
) -> serving.Failed | None:
    """Sends a generation and relays its events.

    :returns: None where the client's answer is complete or its client left.
    """
    dispatch = serving.Dispatch(
        worker=worker,
        remaining_s=request.remaining_s(time.monotonic()),
        rank=request.route.rank,
        source=source,
        last_event=relay.resume_after,
    )
    prompt = request.call.prompt
    tokens = prompt.tokens + prompt.output_tokens if prompt else 0
    with _attempts.open_attempt(context, worker, tokens) as attempt:
        exchange = await _attempts.send_run(
            context,
            request,
            attempt,
            dispatch,
            fresh=not request.route.resumable,
        )
        if isinstance(exchange, serving.Failed):
            return exchange
        try:
            return await _relay(request, exchange, relay, attempt)
        finally:
            exchange.close()


async def _relay(
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
                end=serving.End.BROKEN,
                reason=f'status {exchange.answer.status} for the rest',
            )
        request.responder.send_answer(exchange.complete(body))
        request.log_end('completed', status=exchange.answer.status)
        return None
    can_resume = (
        request.route.resumable
        and request.attempts < request.route.max_attempts
    )
    failure = await relay.run(exchange, attempt.record if can_resume else None)
    if isinstance(failure, serving.Failed):
        attempt.record.note_failure(failure.end, time.monotonic())
        telemetry.log_event(
            'stream_broken',
            request=request.call.id,
            worker=attempt.worker.id,
            outcome=failure.end.value,
            reason=failure.reason,
            last_event=relay.resume_after,
            seconds=round(attempt.seconds, 4),
        )
        return failure
    _context.SECONDS.labels(request.route.kind.value).observe(
        relay.first_s - request.call.received_s
    )
    request.log_end(
        'completed',
        status=_OK,
        worker=attempt.worker.id,
        first_event_s=round(relay.first_s - request.call.received_s, 4),
        longest_gap_s=round(relay.longest_gap_s, 4),
    )
    return None


def _free_later(context: _context.Context, source: serving.KvSource) -> None:
    task = asyncio.get_running_loop().create_task(
        context.calls.free(source, _FREE_TIMEOUT_S)
    )
    context.background.add(task)
    task.add_done_callback(context.background.discard)


def _finish_failure(
    request: _requests.Request,
    relay: _stream.Relay,
    last: serving.Failed | None,
) -> None:
    if relay.has_started:
        request.responder.cut()
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
            _requests.ABSENT_RETRY_S,
            reason=last.reason if last else '',
        )
