"""Prefills prompts on a prefill worker, or places them on a decode worker."""

import asyncio
import contextlib
import functools
import time
import typing

import attrs

from briarknot import schema, serving, telemetry
from briarknot.gateway import (
    _attempts,
    _context,
    _crashes,
    _requests,
    _send_permits,
    _stream_versions,
)

_Stage = schema.serving.Stage
_Spreading = schema.settings.LoadSpreading
_PLACEMENT_POLICIES = {
    _Spreading.NEAR_CHEAPEST: 'predicted',
    _Spreading.WATER_FILLING: 'predicted_filled',
}
#: Attempts to prefill a prompt. After a rejection another worker is tried
#: while the retry budget allows.
_MAX_PREFILLS = 3
#: Time limit of freeing a handle, in seconds; an unused handle soon expires.
_FREE_TIMEOUT_S = 1.0


async def prefill_prompt(
    context: _context.Context, request: _requests.Request, excluded: list[str]
) -> tuple[serving.KvSource | None, serving.Placement | None]:
    """Prefills the prompt on a prefill worker, unless that is slower.

    :param context: state of the process.
    :param request: the request.
    :param excluded: workers that have already failed.
    :returns: the KV cache, and the placement of a prompt that its decode
        worker prefills itself; at most one of the two.
    """
    tried = list(excluded)
    for _ in range(_MAX_PREFILLS):
        placement = await _send_permits.choose_permitted(
            context,
            request,
            functools.partial(_choose_other, context, request, tried),
        )
        if placement is None:
            return None, None
        _log_placement(context, request, placement)
        if placement.is_colocated:
            return None, placement
        if not request.try_acquire_send(context.budget):
            return None, None
        tried.append(placement.prefill_worker.id)
        result = await _send_prefill(context, request, placement)
        if isinstance(result, serving.KvSource):
            return result, None
    return None, None


@attrs.define(eq=False)
class CountedPrompt:
    """A prompt that is counted at its prefill worker.

    :param is_prefilled: whether its prefill is complete.
    """

    is_prefilled: bool = False


@contextlib.contextmanager
def count_prompt(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement | None,
) -> typing.Iterator[CountedPrompt]:
    """Counts a prompt at its prefill worker until its prefill ends.

    :param context: state of the process.
    :param request: the request.
    :param placement: where the prompt is prefilled; None where it already is.
    """
    counted = CountedPrompt()
    if placement is None:
        yield counted
        return
    started_s = time.monotonic()
    context.prompt_load.add(placement, request.call.prompt, started_s)
    try:
        yield counted
    finally:
        now = time.monotonic()
        context.prompt_load.remove(
            placement,
            request.call.prompt,
            now,
            now - started_s,
            is_prefilled=counted.is_prefilled,
        )


@contextlib.contextmanager
def count_stream(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> typing.Iterator[None]:
    """Counts a generation at its worker from its sending to its end.

    :param context: state of the process.
    :param request: the request.
    :param worker: the decode worker.
    """
    prompt = request.call.prompt
    tokens = prompt.tokens + prompt.output_tokens if prompt else 0
    work = context.prompt_load.work
    context.prompt_load.sent_streams.record(
        worker.service, worker.version, 1, time.monotonic()
    )
    work.add(worker.id, streams=1, stream_tokens=tokens)
    try:
        yield
    finally:
        work.add(worker.id, streams=-1, stream_tokens=-tokens)


async def _send_prefill(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> serving.KvSource | serving.Failed:
    dispatch = serving.Dispatch(
        worker=placement.prefill_worker,
        remaining_s=request.remaining_s(time.monotonic()),
        rank=request.route.rank,
        cache_holder=placement.cache_holder,
    )
    with _attempts.open_attempt(
        context, request, placement.prefill_worker
    ) as attempt:
        with count_prompt(context, request, placement) as counted:
            result = await context.calls.prefill(request.call, dispatch)
            counted.is_prefilled = isinstance(result, serving.KvSource)
        _attempts.record_result(context, request, attempt, 'prefill', result)
    if not _counts_as_send(request, result):
        request.refund_send(context.budget)
    return result


def _counts_as_send(
    request: _requests.Request, result: serving.KvSource | serving.Failed
) -> bool:
    if isinstance(result, serving.KvSource):
        # The first successful prefill of a request is not counted.
        is_first = not request.has_prefill
        request.has_prefill = True
        return not is_first
    return result.kind != serving.FailureKind.NOT_SENT


def choose_placement(
    context: _context.Context, request: _requests.Request, tried: list[str]
) -> serving.Placement | None:
    """Chooses the worker that prefills the prompt of a request.

    :param context: state of the process.
    :param request: the request.
    :param tried: workers to leave out.
    :returns: the placement; None without a prompt or a usable worker.
    """
    prompt = request.call.prompt
    if prompt is None:
        return None
    now = time.monotonic()
    prefills = list_unblocked(context, request, _Stage.PREFILL, tried)
    decodes = list_unblocked(context, request, _Stage.DECODE, tried)
    view = serving.PlacementView(
        load=context.prompt_load,
        worker_records=context.worker_records,
        topology=context.topology,
        prefills=_stream_versions.list_continued(prefills, decodes),
        decodes=decodes,
        target_s=request.call.received_s + request.route.target_s - now,
        limits=request.service.engine,
        event_gap_s=request.route.event_gap_s,
        random_source=context.random_source,
        processes=1 + len(context.peer_hosts),
        turn_waits_s=_send_permits.list_waits_s(context, request),
    )
    context.prompt_load.caches.set_engine_limits(request.service.engine)
    policy = serving.PLACEMENT_POLICIES.get(
        _PLACEMENT_POLICIES[context.settings.load_spreading]
    )
    return policy(view, prompt, now)


def _choose_other(
    context: _context.Context,
    request: _requests.Request,
    tried: list[str],
    excluded: list[str],
) -> serving.Placement | None:
    return choose_placement(context, request, tried + excluded)


def _log_placement(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> None:
    telemetry.log_event(
        'prompt_placed',
        request=request.call.id,
        worker=placement.prefill_worker.id,
        stage=placement.prefill_worker.stage.value,
        shared_parts=request.call.prompt.list_shared(),
        expected_s=round(placement.expected_s, 4),
        uncached_tokens=placement.uncached,
        fetched_tokens=placement.fetched_tokens,
        cache_holder=(
            placement.cache_holder.id if placement.cache_holder else ''
        ),
        slowdown=round(
            context.prompt_load.get_slowdown(placement.prefill_worker), 2
        ),
        queued_work=context.prompt_load.get_queued_work(
            placement.prefill_worker, time.monotonic()
        ),
    )


def list_untried(
    context: _context.Context,
    request: _requests.Request,
    stage: _Stage,
    tried: list[str],
) -> tuple[schema.serving.Worker, ...]:
    """Lists the workers of a stage at whose versions a request may run.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers.
    :param tried: workers to leave out.
    """
    usable = context.fleet.list_usable(
        request.service.name, stage, time.monotonic()
    )
    fitting = _stream_versions.list_fitting(context, request, usable)
    if not tried:
        return fitting
    return tuple(one for one in fitting if one.id not in tried)


def list_unblocked(
    context: _context.Context,
    request: _requests.Request,
    stage: _Stage,
    tried: list[str],
) -> tuple[schema.serving.Worker, ...]:
    """Lists the workers of a stage that are not blocked, or all if all are.

    Those that want no requests for a while are left out in any case.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers.
    :param tried: workers to leave out.
    """
    now = time.monotonic()
    recorded = [
        (one, context.worker_records.get(one.id))
        for one in list_untried(context, request, stage, tried)
    ]
    untried = [one for one in recorded if not one[1].get_pause_s(now)]
    unblocked = tuple(
        worker for worker, record in untried if not record.is_blocked(now)
    )
    live = _crashes.list_live(context, unblocked, now)
    return live or tuple(worker for worker, _ in untried)


def is_fetchable(
    context: _context.Context,
    source: serving.KvSource,
    last: serving.Failed,
    tried: list[str],
) -> bool:
    """Returns whether the KV cache of a prompt can still be fetched.

    A worker rejects a request both when it can't fetch the cache and when it
    is full. Free slots, a second rejection, or a source that is unavailable
    indicate that the cache can't be fetched.

    :param context: state of the process.
    :param source: the cache.
    :param last: failure of the last attempt.
    :param tried: workers that were tried.
    """
    if last.kind == serving.FailureKind.NOT_SENT:
        return True
    if has_free_slots(last) or len(tried) > 1:
        return False
    record = context.worker_records.get(source.worker.id)
    return not record.is_blocked(time.monotonic())


def has_free_slots(last: serving.Failed) -> bool:
    """Returns whether a worker that rejected a request had free slots.

    :param last: failure of the attempt.
    """
    load = last.load
    return load is not None and load.running + load.waiting < load.slots


def free_in_background(
    context: _context.Context, source: serving.KvSource
) -> None:
    """Frees a cache that will not be fetched, without waiting for the result.

    :param context: state of the process.
    :param source: the cache.
    """
    task = asyncio.get_running_loop().create_task(
        context.calls.free(source, _FREE_TIMEOUT_S)
    )
    context.background_tasks.add(task)
    task.add_done_callback(context.background_tasks.discard)
