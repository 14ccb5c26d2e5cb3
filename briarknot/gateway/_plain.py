"""Serves requests to plain services."""

import functools
import time

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import (
    _attempts,
    _context,
    _crashes,
    _requests,
    _send_permits,
    _usage,
)

_Kind = schema.serving.RequestKind
_POLICY = 'least_cost'
_SERVER_ERROR = 500
#: Share of the remaining time after which an unanswered idempotent request is
#: sent to another worker; the second attempt then has the same time.
_FIRST_ATTEMPT_SHARE = 0.5
#: Bounds the time of attempts that reached no worker, which the retry budget
#: does not count.
_MAX_SENDS = 5


@attrs.define(eq=False)
class _Tries:
    """Workers that a request was sent to.

    The last one may get an idempotent request once more if it closed the
    connection before its answer began, and still runs: it may have closed a kept
    connection while the request was on its way.

    :param workers: their ids, in order.
    :param closed_by: id of the last one where it may get the request once more;
        else empty.
    """

    workers: list[str] = attrs.field(factory=list)
    closed_by: str = ''
    _has_closed: bool = False

    def start(self, worker: schema.serving.Worker) -> None:
        """Records that the request is sent to a worker.

        :param worker: the worker.
        """
        self.closed_by = ''
        self.workers.append(worker.id)

    def record_close(self) -> None:
        """Records that the last worker still runs and has closed, once only."""
        if not self._has_closed:
            self._has_closed = True
            self.closed_by = self.workers[-1]


@_requests.HANDLERS.register(_Kind.IDEMPOTENT)
async def serve_idempotent(
    context: _context.Context, request: _requests.Request
) -> None:
    """Serves a request that may be retried after it may have run."""
    await _serve(context, request, idempotent=True)


@_requests.HANDLERS.register(_Kind.NON_IDEMPOTENT)
async def serve_non_idempotent(
    context: _context.Context, request: _requests.Request
) -> None:
    """Serves a request that runs at most once."""
    await _serve(context, request, idempotent=False)


async def _serve(
    context: _context.Context, request: _requests.Request, *, idempotent: bool
) -> None:
    if not _crashes.check_admission(context, request):
        return
    try:
        await _serve_admitted(context, request, idempotent=idempotent)
    finally:
        _crashes.end_trial(context, request)


async def _serve_admitted(
    context: _context.Context, request: _requests.Request, *, idempotent: bool
) -> None:
    tries = _Tries()
    last: serving.Answer | serving.Failed | None = None
    while len(tries.workers) < _MAX_SENDS:
        quarantined = await _crashes.wait_for_trial(context, request)
        if quarantined is not None:
            _crashes.refuse_quarantined(request, quarantined)
            return
        worker = await _send_permits.choose_permitted(
            context,
            request,
            functools.partial(_choose, context, request, tries),
        )
        if worker is None or not request.try_acquire_send(context.budget):
            break
        tries.start(worker)
        last = await _attempt(
            context, request, worker, tries, idempotent=idempotent
        )
        if isinstance(last, serving.Answer):
            if not _is_retryable(request, last, idempotent=idempotent):
                break
        elif not last.not_run and not idempotent:
            break
        if not tries.closed_by and not _has_attempts(request):
            break
    _finish(context, request, last, len(tries.workers))


def _has_attempts(request: _requests.Request) -> bool:
    """Returns whether it may be sent to one more worker."""
    return request.attempts < request.route.max_attempts


def _choose(
    context: _context.Context,
    request: _requests.Request,
    tries: _Tries,
    excluded: list[str],
) -> schema.serving.Worker | None:
    now = time.monotonic()
    usable = tuple(
        one
        for one in context.fleet.list_usable(request.service.name)
        if one.id not in excluded
        and not context.worker_records.get(one.id).get_pause_s(now)
    )
    candidates: tuple[schema.serving.Worker, ...] = ()
    if _has_attempts(request):
        candidates = tuple(one for one in usable if one.id not in tries.workers)
    if not candidates:
        # The same worker counts once among those that the route allows.
        candidates = tuple(one for one in usable if one.id == tries.closed_by)
    unblocked = tuple(
        one
        for one in candidates
        if not context.worker_records.get(one.id).is_blocked(now)
    )
    if not candidates:
        return None
    policy = serving.PLAIN_POLICIES.get(_POLICY)
    waits_s = _send_permits.list_waits_s(context, request)
    view = context.make_plain_view(waits_s)
    return policy(view, unblocked or candidates, now)


async def _attempt(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
    tries: _Tries,
    *,
    idempotent: bool,
) -> serving.Answer | serving.Failed:
    remaining_s = request.remaining_s(time.monotonic())
    is_last = request.attempts + 1 >= request.route.max_attempts
    uses_full_time = is_last or not idempotent
    timeout_s = 0 if uses_full_time else remaining_s * _FIRST_ATTEMPT_SHARE
    dispatch = serving.Dispatch(
        worker=worker, remaining_s=remaining_s, rank=request.route.rank
    )
    with _attempts.open_attempt(context, request, worker) as attempt:
        window = _usage.begin_plain(context, request)
        exchange = await _attempts.send_run(
            context,
            request,
            attempt,
            dispatch,
            fresh=not idempotent or worker.id in tries.workers[:-1],
            timeout_s=timeout_s,
        )
        if isinstance(exchange, serving.Failed):
            if exchange.not_run:
                _usage.withdraw_plain(context, request, window)
            has_ended = await _crashes.record_broken_start(
                context, request, worker, exchange
            )
            is_closed = exchange.kind == serving.FailureKind.DISCONNECTED
            if idempotent and is_closed and not has_ended:
                tries.record_close()
            return exchange
        answer = await _read_answer(exchange)
        if isinstance(answer, serving.Failed):
            if not exchange.was_unread:
                attempt.record.record_failure(answer.kind, time.monotonic())
            _context.BROKEN_ANSWERS.labels(answer.kind.value).inc()
            telemetry.log_event(
                'answer_broken',
                request=request.call.id,
                worker=worker.id,
                outcome=answer.kind.value,
                reason=answer.reason,
                unread=exchange.was_unread,
                seconds=round(attempt.seconds, 4),
            )
            await _crashes.record_broken_start(context, request, worker, answer)
        else:
            _crashes.record_success(context, request)
        return answer


async def _read_answer(
    exchange: platform.Exchange,
) -> serving.Answer | serving.Failed:
    try:
        body = await exchange.read_whole()
        if isinstance(body, serving.Failed):
            return body
        return exchange.complete(body)
    finally:
        exchange.close()


def _is_retryable(
    request: _requests.Request, answer: serving.Answer, *, idempotent: bool
) -> bool:
    return idempotent and answer.status >= _SERVER_ERROR


def _finish(
    context: _context.Context,
    request: _requests.Request,
    last: serving.Answer | serving.Failed | None,
    sends: int,
) -> None:
    if isinstance(last, serving.Answer):
        request.responder.send_answer(last)
        request.log_end('completed', status=last.status, sends=sends)
        _context.SECONDS.labels(request.route.kind.value).observe(
            time.monotonic() - request.call.received_s
        )
        return
    inputs = {'sends': sends}
    if last is None:
        _send_permits.refuse_unsent(context, request, **inputs)
    elif request.may_have_run:
        status = _requests.BAD_GATEWAY
        if last.kind == serving.FailureKind.TIMED_OUT:
            status = _requests.GATEWAY_TIMEOUT
        request.refuse(status, 'endpoint_failed', **inputs)
    else:
        request.refuse(
            _requests.UNAVAILABLE,
            'no_capacity',
            _send_permits.compute_retry_after_s(context, request),
            **inputs,
        )
