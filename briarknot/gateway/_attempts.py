"""Sends a request to a worker and records how the attempt ended."""

import asyncio
import contextlib
import time
import typing

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import _context, _requests

_SERVER_ERROR = 500


@attrs.define(eq=False)
class Attempt:
    """One request at one worker.

    :param worker: the worker.
    :param record: its load and health.
    :param started_s: monotonic time at which it was sent.
    """

    worker: schema.serving.Worker
    record: serving.WorkerRecord
    started_s: float

    @property
    def seconds(self) -> float:
        """Time since it was sent."""
        return time.monotonic() - self.started_s


@contextlib.contextmanager
def open_attempt(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> typing.Iterator[Attempt]:
    """Counts an attempt against its worker while it runs.

    :param context: state of the process.
    :param request: the request.
    :param worker: the worker.
    """
    record = context.worker_records.get(worker.id)
    record.in_flight += 1
    attempt = Attempt(worker, record, time.monotonic())
    try:
        yield attempt
    except asyncio.CancelledError:
        # The client disconnected, or the request reached its deadline.
        telemetry.log_event(
            'attempt_cancelled',
            request=request.call.id,
            worker=worker.id,
            domain=worker.domain,
            seconds=round(attempt.seconds, 4),
            in_flight=record.in_flight,
        )
        raise
    finally:
        record.in_flight -= 1


async def send_run(
    context: _context.Context,
    request: _requests.Request,
    attempt: Attempt,
    dispatch: serving.Dispatch,
    *,
    fresh: bool,
    timeout_s: float = 0,
) -> platform.Exchange | serving.Failed:
    """Sends a request to a worker and waits for the start of its answer.

    :param context: state of the process.
    :param request: the request.
    :param attempt: the attempt, already counted.
    :param dispatch: worker and limits.
    :param fresh: whether a new connection is used.
    :param timeout_s: time limit of the attempt; 0 for the request's own.
    """
    # The request counts as run until the worker states otherwise, because its
    # deadline may end the call before the worker answers.
    ran_before = request.may_have_run
    request.may_have_run = True
    request.attempts += 1
    try:
        async with asyncio.timeout(timeout_s or None):
            result = await context.calls.run(
                request.call, dispatch, fresh=fresh
            )
    except TimeoutError:
        result = serving.Failed(
            kind=serving.FailureKind.TIMED_OUT,
            reason=f'no answer within {timeout_s:.2f} s',
        )
    record_result(context, request, attempt, 'run', result)
    if isinstance(result, serving.Failed) and result.not_run:
        request.may_have_run = ran_before
        request.attempts -= 1
        if result.kind == serving.FailureKind.NOT_SENT:
            request.refund_send(context.budget)
    return result


def record_result(
    context: _context.Context,
    request: _requests.Request,
    attempt: Attempt,
    call: str,
    result: typing.Any,
) -> None:
    """Logs the result of an attempt and updates its worker's record.

    :param context: state of the process.
    :param request: the request.
    :param attempt: the attempt.
    :param call: ``run`` or ``prefill``.
    :param result: exchange, KV source, or failure.
    """
    now = time.monotonic()
    outcome = 'answered'
    inputs = {}
    stated = result
    if isinstance(result, serving.Failed):
        outcome = result.kind.value
        inputs['reason'] = result.reason
        attempt.record.record_failure(result.kind, now)
        attempt.record.record_load(result.load, now)
    elif isinstance(result, platform.Exchange):
        stated = result.answer
        inputs['status'] = result.answer.status
        attempt.record.record_load(result.answer.load, now)
        attempt.record.record_answer(
            attempt.seconds, is_error=result.answer.status >= _SERVER_ERROR
        )
        attempt.record.record_bytes(now)
    else:
        attempt.record.record_load(result.load, now)
        attempt.record.record_answer(attempt.seconds, is_error=False)
    _record_backpressure(context, attempt, stated.backpressure)
    _context.ATTEMPTS.labels(call, outcome).inc()
    telemetry.log_event(
        'attempt_ended',
        request=request.call.id,
        call=call,
        worker=attempt.worker.id,
        domain=attempt.worker.domain,
        version=attempt.worker.version,
        outcome=outcome,
        seconds=round(attempt.seconds, 4),
        in_flight=attempt.record.in_flight,
        failure_rate=round(attempt.record.failure_rate, 3),
        workers_age_s=round(context.fleet.workers_age_s(now), 2),
        manifest_version=context.fleet.version,
        **inputs,
    )


def _record_backpressure(
    context: _context.Context,
    attempt: Attempt,
    backpressure: serving.Backpressure | None,
) -> None:
    worker = attempt.worker
    now = time.monotonic()
    start = serving.name_start(worker)
    limits = context.permits.limits
    if limits.record_answer(start, backpressure, attempt.started_s, now):
        context.backpressure_changed.notify()
        telemetry.log_event(
            'worker_limit_changed',
            worker=worker.id,
            domain=worker.domain,
            limit_per_s=limits.get(start, now),
            in_flight=attempt.record.in_flight,
        )
    if backpressure is None:
        return
    if backpressure.is_leaving and context.fleet.record_leaving(start, now):
        context.backpressure_changed.notify()
        telemetry.log_event(
            'worker_leaving', worker=worker.id, domain=worker.domain
        )
    if backpressure.pause_s:
        attempt.record.record_pause(backpressure.pause_s, now)
        telemetry.log_event(
            'worker_paused',
            worker=worker.id,
            domain=worker.domain,
            pause_s=backpressure.pause_s,
        )
