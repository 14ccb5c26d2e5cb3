"""Keeps requests that make workers crash away from the workers."""

import hashlib
import math
import time

import prometheus_client

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _requests

_BROKEN_STARTS = prometheus_client.Counter(
    'briarknot_gateway_broken_starts',
    'Answers that broke off as they began, by whether the worker had ended.',
    ('worker_ended',),
)
_Stage = schema.serving.Stage
_HASH_BYTES = 16
#: Longest wait for the result of other requests that try the same part, one
#: after the other. A trial lasts as long as a KV transfer and the start of an
#: answer.
_MAX_TRIAL_WAIT_S = 3.0
#: Share of its remaining time for which a request waits, so that its client has
#: time to come back.
_MAX_WAIT_SHARE = 0.5
#: Period of checking whether a trial has ended without a result.
_TRIAL_CHECK_S = 0.1
#: Time that each process gives the one before it to start a trial for which both
#: have waited. It exceeds the check's period and the latency between regions.
_TURN_S = 0.3
_MAX_TURNS = 8
#: Failures after which a worker may have ended as it began an answer.
_BROKEN_KINDS = frozenset(
    (
        serving.FailureKind.DISCONNECTED,
        serving.FailureKind.BROKEN,
        serving.FailureKind.FOREIGN,
    )
)


def check_admission(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage = _Stage.NONE,
) -> bool:
    """Refuses a request whose parts make workers crash.

    :param context: state of the process.
    :param request: the request, before it is sent to any worker.
    :param stage: stage of the workers that run it.
    :returns: whether it may be sent to a worker.
    """
    result = check_quarantine(context, request, stage)
    if result is not None:
        refuse_quarantined(request, result)
    return result is None


def check_quarantine(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage = _Stage.NONE,
) -> serving.Quarantined | None:
    """Returns why a request must not be sent to a worker.

    Where a quarantine has lasted long enough, the request tries the part for all
    others, which are refused until it has a result.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers that run it.
    :returns: None where it may be sent.
    """
    result = context.quarantine.check(_list_keys(request), time.monotonic())
    if isinstance(result, serving.OnTrial):
        if not request.trial_keys and _is_last_worker(context, request, stage):
            return _make_delay(result.keys[0], 'only one worker is available')
        _start_trial(context, request, result.keys)
    if isinstance(result, serving.Quarantined):
        return None if _is_tried(context, request, result.key) else result
    return None


async def wait_for_trial(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage = _Stage.NONE,
) -> serving.Quarantined | None:
    """Waits while another request tries a suspected part of this one.

    It also waits while its trial could end the last worker.

    :param context: state of the process.
    :param request: the request, before it is sent to a worker that runs it.
    :param stage: stage of the workers that run it.
    :returns: None where it may be sent.
    """
    keys = _list_keys(request)
    turn_s = time.monotonic()
    remaining_s = request.remaining_s(turn_s)
    end_s = turn_s + min(_MAX_TRIAL_WAIT_S, remaining_s * _MAX_WAIT_SHARE)
    while True:
        now = time.monotonic()
        result = context.quarantine.check(keys, now)
        if isinstance(result, serving.Clear):
            return None
        if isinstance(result, serving.Quarantined):
            is_tried = _is_tried(context, request, result.key)
            return None if is_tried else result
        is_waiting = _is_last_worker(context, request, stage) or (
            isinstance(result, serving.Suspected) and result.in_trial
        )
        if is_waiting:
            # Requests that wait at several processes must not all start.
            turn_s = now + _compute_turn_s(context, result.keys[0])
        if request.trial_keys or (now >= turn_s and not is_waiting):
            _start_trial(context, request, result.keys)
            return None
        if now >= end_s:
            return _make_delay(
                result.keys[0],
                'no trial has a result, or only one worker is available',
            )
        await context.quarantine_changed.wait(min(_TRIAL_CHECK_S, end_s - now))


def refuse_quarantined(
    request: _requests.Request, result: serving.Quarantined
) -> None:
    """Refuses a quarantined request.

    :param request: the request.
    :param result: why it is quarantined.
    """
    request.refuse(
        _requests.UNAVAILABLE,
        'quarantined',
        result.retry_after_s,
        reason=result.reason,
    )


async def record_broken_start(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
    failure: serving.Failed,
) -> bool:
    """Records a crash of a worker at which a request was starting.

    :param context: state of the process.
    :param request: the request whose answer broke off as it began.
    :param worker: the worker.
    :param failure: how the attempt failed.
    :returns: whether the worker has ended.
    """
    if failure.kind not in _BROKEN_KINDS:
        return False
    broken_s = time.monotonic()
    has_ended = await context.calls.has_ended(worker)
    _BROKEN_STARTS.labels(str(has_ended).lower()).inc()
    keys = _list_keys(request)
    telemetry.log_event(
        'start_broken',
        request=request.call.id,
        route=request.route.name,
        worker=worker.id,
        worker_ended=has_ended,
        keys=keys,
        on_trial=request.trial_keys,
        reason=failure.reason,
    )
    ends = context.fleet.ends
    if not math.isinf(ends.get_remaining_s(worker, broken_s)):
        # A worker that ends as its entry states has not crashed.
        return has_ended
    if has_ended:
        request.trial_keys = ()
        context.quarantine.record_crash(
            serving.name_start(worker), keys, broken_s
        )
        context.quarantine_changed.notify()
    return has_ended


def record_success(
    context: _context.Context, request: _requests.Request
) -> None:
    """Records that the answer of a request has begun well, or is complete.

    :param context: state of the process.
    :param request: the request.
    """
    context.quarantine.record_success(_list_keys(request), time.monotonic())
    if request.trial_keys:
        telemetry.log_event(
            'trial_succeeded', request=request.call.id, keys=request.trial_keys
        )
        request.trial_keys = ()
        context.quarantine_changed.notify()


def end_trial(context: _context.Context, request: _requests.Request) -> None:
    """Lets another request try what this one did not get to try.

    :param context: state of the process.
    :param request: the request, at its end.
    """
    if request.trial_keys:
        context.quarantine.end_trial(request.trial_keys)
        context.quarantine_changed.notify()


def list_live(
    context: _context.Context,
    workers: tuple[schema.serving.Worker, ...],
    now: float,
) -> tuple[schema.serving.Worker, ...]:
    """Lists the workers that are not known to have crashed.

    :param context: state of the process.
    :param workers: listed workers.
    :param now: monotonic time in seconds.
    """
    crashed = context.quarantine.list_crashed(now)
    if not crashed:
        return workers
    return tuple(
        one for one in workers if serving.name_start(one) not in crashed
    )


def _compute_turn_s(context: _context.Context, key: str) -> float:
    """Returns how long after others this process may try a key."""
    host = context.settings.host
    hosts = serving.rank_names(key, (host, *context.peer_hosts))
    return _TURN_S * min(hosts.index(host), _MAX_TURNS)


def _is_last_worker(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage,
) -> bool:
    """Returns whether only one of several workers is left, or none."""
    now = time.monotonic()
    listed = context.fleet.list_usable(request.service.name, stage, now)
    return len(listed) > 1 and len(list_live(context, listed, now)) <= 1


def _make_delay(key: str, reason: str) -> serving.Quarantined:
    return serving.Quarantined(
        key=key,
        reason=f'{key}: {reason}',
        retry_after_s=_requests.DEFAULT_RETRY_AFTER_S,
    )


def _is_tried(
    context: _context.Context, request: _requests.Request, key: str
) -> bool:
    """Returns whether a request tries a key, and no other one has crashed.

    Two processes may start a trial at the same time.
    """
    return (
        key in request.trial_keys
        and not context.quarantine.has_crashed_since(key, request.trial_s)
    )


def _start_trial(
    context: _context.Context,
    request: _requests.Request,
    keys: tuple[str, ...],
) -> None:
    telemetry.log_event('trial_started', request=request.call.id, keys=keys)
    request.trial_keys = keys
    request.trial_s = time.monotonic()
    context.quarantine.start_trial(keys, request.trial_s)
    context.quarantine_changed.notify()


def _list_keys(request: _requests.Request) -> tuple[str, ...]:
    """Lists the shared parts of a request, and then the request itself."""
    if not request.keys:
        call = request.call
        parts = call.prompt.parts if call.prompt else ()
        digest = hashlib.blake2b(call.body, digest_size=_HASH_BYTES)
        # The body of a generation need not hold its prompt.
        names = (call.method, call.host, call.path, *(one.id for one in parts))
        digest.update('\0'.join(('', *names)).encode())
        request.keys = (
            *(f'part {one.id}' for one in parts[:-1]),
            f'request {digest.hexdigest()}',
        )
    return request.keys
