"""Keeps requests that make workers crash away from the workers."""

import hashlib
import time

import prometheus_client

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _requests

_BROKEN_STARTS = prometheus_client.Counter(
    'briarknot_gateway_broken_starts',
    'Answers that broke off as they began, by whether the worker had ended.',
    ('worker_ended',),
)
_HASH_BYTES = 16
#: Longest wait for the result of other requests that try the same part, one
#: after the other. A trial lasts as long as a KV transfer and the start of an
#: answer.
_MAX_TRIAL_WAIT_S = 3.0
#: Period of checking whether a trial has ended without a result.
_TRIAL_CHECK_S = 0.2


def check_admission(
    context: _context.Context, request: _requests.Request
) -> bool:
    """Refuses a request whose parts make workers crash.

    :param context: state of the process.
    :param request: the request, before it is sent to any worker.
    :returns: whether it may be sent to a worker.
    """
    result = check_quarantine(context, request)
    if result is not None:
        refuse_quarantined(request, result)
    return result is None


def check_quarantine(
    context: _context.Context, request: _requests.Request
) -> serving.Quarantined | None:
    """Returns why a request must not be sent to a worker.

    Where a quarantine has lasted long enough, the request tries the part for all
    others, which are refused until it has a result.

    :param context: state of the process.
    :param request: the request.
    :returns: None where it may be sent.
    """
    result = context.quarantine.check(_list_keys(request), time.monotonic())
    if isinstance(result, serving.OnTrial):
        _start_trial(context, request, result.keys)
    if isinstance(result, serving.Quarantined):
        return None if _is_tried(context, request, result.key) else result
    return None


async def wait_for_trial(
    context: _context.Context, request: _requests.Request
) -> serving.Quarantined | None:
    """Waits while another request tries a suspected part of this one.

    :param context: state of the process.
    :param request: the request, before it is sent to a worker that runs it.
    :returns: None where it may be sent.
    """
    keys = _list_keys(request)
    end_s = time.monotonic() + min(
        _MAX_TRIAL_WAIT_S, request.remaining_s(time.monotonic())
    )
    while True:
        now = time.monotonic()
        result = context.quarantine.check(keys, now)
        if isinstance(result, serving.Clear):
            return None
        if isinstance(result, serving.Quarantined):
            is_tried = _is_tried(context, request, result.key)
            return None if is_tried else result
        is_waiting = isinstance(result, serving.Suspected) and result.in_trial
        if not is_waiting or request.trial_keys:
            _start_trial(context, request, result.keys)
            return None
        if now >= end_s:
            return serving.Quarantined(
                key=result.keys[0],
                reason='the trial of another request has no result',
                retry_after_s=_requests.DEFAULT_RETRY_AFTER_S,
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
) -> None:
    """Records a crash of a worker at which a request was starting.

    :param context: state of the process.
    :param request: the request whose answer broke off as it began.
    :param worker: the worker.
    :param failure: how the attempt failed.
    """
    if failure.kind != serving.FailureKind.BROKEN:
        return
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
    if has_ended:
        request.trial_keys = ()
        context.quarantine.record_crash(
            f'{worker.id} {worker.born_ms}', keys, broken_s
        )
        context.quarantine_changed.notify()


def record_success(
    context: _context.Context, request: _requests.Request
) -> None:
    """Records that the answer of a request goes on.

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
