"""Serves one request: finds its route and calls the handler of its kind."""

import asyncio
import time
import typing

import attrs

from briarknot import platform, registry, schema, serving, telemetry
from briarknot.gateway import _accounts, _context, _stopping

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
#: Retry-After where no manifest or no free worker is known, in seconds; an
#: expected manifest or worker appears within about a second.
DEFAULT_RETRY_AFTER_S = 0.5
#: Longest wait for the manifest and the workers after a start, in seconds. The
#: store answers in a few milliseconds, and a refusal costs a client its retry.
_MAX_FLEET_WAIT_S = 0.8
#: Longest Retry-After that a client honours, as a share of its remaining time.
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: Time before its deadline at which a request is answered, in seconds, so that
#: the answer reaches the client in time.
_ANSWER_MARGIN_S = 0.02
#: Time after its deadline at which a stream that has begun is ended, in seconds.
#: The platform prices requests that are held 0.25 s longer than their route's time.
_STREAM_END_S = 0.1

#: Length of prompts that come before others at prefill workers with a limit, and
#: ranks by which shorter ones come later.
_LONG_PROMPT_TOKENS = 2000
_SHORT_PROMPT_RANKS = 4


@attrs.define(eq=False)
class Request:
    """A request while it is served.

    :param call: what the client sent.
    :param route: its route.
    :param service: service that runs it.
    :param responder: answers the client.
    :param deadline_s: monotonic time at which it must be answered.
    :param attempts: attempts so far that may have run it.
    :param may_have_run: whether one of them may have run it.
    :param counted_sends: times that it was sent to workers, as the retry
        budget counts them.
    :param reserved_sends: retries that were acquired for its next sends.
    :param has_prefill: whether a worker has prefilled its prompt.
    :param is_admitted: whether it may be prefilled although all workers that can
        run it have limits.
    :param tried: decode workers that a generation was sent to.
    :param version: software version of the workers that may send its events; None
        until its first event.
    :param keys: what the quarantine knows it by; empty before the first check.
    :param trial_keys: suspected keys that it tries for other requests too.
    :param trial_s: monotonic time at which it began to.
    :param limit: its time limit while it is served.
    """

    call: serving.Call
    route: schema.serving.Route
    service: schema.serving.Service
    responder: platform.Responder
    deadline_s: float
    attempts: int = 0
    may_have_run: bool = False
    counted_sends: int = 0
    reserved_sends: int = 0
    has_prefill: bool = False
    is_admitted: bool = False
    tried: list[str] = attrs.field(factory=list)
    version: str | None = None
    keys: tuple[str, ...] = ()
    trial_keys: tuple[str, ...] = ()
    trial_s: float = 0
    limit: asyncio.Timeout | None = None

    def try_acquire_send(self, budget: serving.RetryBudget) -> bool:
        """Counts a send, and acquires a retry for each one after the first.

        :param budget: retries that this process may send.
        :returns: whether the request may be sent.
        """
        is_first = not self.counted_sends
        if not is_first and self.reserved_sends:
            self.reserved_sends -= 1
        elif not is_first and not budget.try_acquire(
            self.service.name, time.monotonic()
        ):
            return False
        self.counted_sends += 1
        return True

    def try_reserve_sends(
        self, count: int, budget: serving.RetryBudget
    ) -> bool:
        """Acquires retries for sends that follow, all or none.

        :param count: number of sends.
        :param budget: retries that this process may send.
        :returns: whether they were acquired.
        """
        now = time.monotonic()
        if budget.count_remaining(self.service.name, now) < count:
            return False
        for _ in range(count):
            budget.try_acquire(self.service.name, now)
        self.reserved_sends += count
        return True

    def release_sends(self, budget: serving.RetryBudget) -> None:
        """Refunds retries that were acquired and not used.

        :param budget: retries that this process may send.
        """
        while self.reserved_sends:
            self.reserved_sends -= 1
            budget.refund(self.service.name)

    def refund_send(self, budget: serving.RetryBudget) -> None:
        """Reverts the count of a send, and refunds its retry.

        :param budget: retries that this process may send.
        """
        self.counted_sends -= 1
        if self.counted_sends:
            budget.refund(self.service.name)

    def get_permit_rank(self, stage: schema.serving.Stage) -> int:
        """Returns its rank for permits to send it to workers with a limit.

        Long prompts come first at prefill workers, since a short one can be
        prefilled by a decode worker without delaying its streams.

        :param stage: stage of the workers.
        """
        if stage == schema.serving.Stage.PREFILL and self.call.prompt:
            is_long = self.call.prompt.tokens >= _LONG_PROMPT_TOKENS
            return 0 if is_long else self.route.rank + _SHORT_PROMPT_RANKS
        return 0 if self.is_admitted else self.route.rank

    def remaining_s(self, now: float) -> float:
        """Returns the time until it must be answered."""
        return self.deadline_s - now

    def can_resume(self) -> bool:
        """Returns whether its stream may be resumed at another worker."""
        return self.route.resumable and self.attempts < self.route.max_attempts

    def has_time(self) -> bool:
        """Returns whether its deadline is ahead.

        A stream that has begun may break off after it.
        """
        return self.remaining_s(time.monotonic()) > 0

    def extend_limit(self, stop: _stopping.Stop) -> None:
        """Extends its time limit past its deadline, as its answer has begun.

        A stream can't get another answer in time any more. Its client leaves at
        the deadline, or its worker ends it.

        :param stop: time limits of the open requests.
        """
        if self.limit is not None:
            remaining_s = self.remaining_s(time.monotonic()) + _ANSWER_MARGIN_S
            now = asyncio.get_running_loop().time()
            stop.extend(self.limit, now + remaining_s + _STREAM_END_S)

    def refuse(
        self,
        status: int,
        cause: str,
        retry_after_s: float = 0,
        **inputs: object,
    ) -> None:
        """Answers with a failure and logs its cause.

        :param status: HTTP status; 503, which states that the request has not
            run, becomes 502 where the request may have run.
        :param cause: cause from a small set.
        :param retry_after_s: time after which a retry can help.
        :param inputs: figures behind the cause.
        """
        now = time.monotonic()
        if self.may_have_run and status == UNAVAILABLE:
            status = BAD_GATEWAY
        if status == UNAVAILABLE:
            max_retry_after_s = self.remaining_s(now) * _MAX_RETRY_AFTER_SHARE
            retry_after_s = max(0.05, min(retry_after_s, max_retry_after_s))
        else:
            retry_after_s = 0
        self.responder.refuse(status, self.call.id, retry_after_s)
        self.log_end(
            cause,
            status=status,
            retry_after_s=round(retry_after_s, 2),
            **inputs,
        )

    def log_end(self, outcome: str, **inputs: object) -> None:
        """Logs and counts how the request ended.

        :param outcome: outcome from a small set.
        :param inputs: figures behind it.
        """
        _context.REQUESTS.labels(self.route.kind.value, outcome).inc()
        if self.call.account:
            _accounts.record_end(self.call.account, outcome)
            inputs = {'account': self.call.account, **inputs}
        telemetry.log_event(
            'request_ended',
            request=self.call.id,
            route=self.route.name,
            rank=self.route.rank,
            outcome=outcome,
            attempts=self.attempts,
            seconds=round(time.monotonic() - self.call.received_s, 4),
            **inputs,
        )


Handler = typing.Callable[
    [_context.Context, Request], typing.Coroutine[typing.Any, typing.Any, None]
]

#: Serve requests, by the kind of their route.
HANDLERS: registry.Registry[Handler] = registry.Registry('request_kind')


async def serve_call(
    context: _context.Context,
    call: serving.Call,
    responder: platform.Responder,
) -> None:
    """Serves one request of a client.

    :param context: state of the process.
    :param call: what the client sent.
    :param responder: answers the client.
    """
    if not context.fleet_known.is_set():
        await _wait_for_fleet(context, call)
    request = await _open_request(context, call, responder)
    if request is None:
        return
    try:
        async with context.stop.limit(
            asyncio.get_running_loop().time()
            + request.remaining_s(time.monotonic())
        ) as limit:
            request.limit = limit
            await HANDLERS.get(request.route.kind)(context, request)
    except TimeoutError:
        _answer_timeout(context, request)
    except asyncio.CancelledError:
        task = asyncio.current_task()
        has_left = task is None or task.cancelling()
        request.log_end('caller_left' if has_left else 'internal_error')
        raise
    except Exception:
        request.log_end('internal_error')
        raise
    finally:
        request.release_sends(context.budget)


async def _wait_for_fleet(
    context: _context.Context, call: serving.Call
) -> None:
    try:
        async with asyncio.timeout(
            min(_MAX_FLEET_WAIT_S, call.timeout_s * _MAX_RETRY_AFTER_SHARE)
        ):
            await context.fleet_known.wait()
    except TimeoutError:
        telemetry.log_event(
            'fleet_unavailable',
            request=call.id,
            manifest_version=context.fleet.version,
            workers=len(context.fleet.workers),
        )


def _answer_timeout(context: _context.Context, request: Request) -> None:
    call = request.call
    # A newer manifest may have another time limit by now.
    newest = context.fleet.find_route(call.host, call.path)
    limits = {
        'client_limit_s': call.timeout_s,
        'route_limit_s': request.route.timeout_s,
        'newest_limit_s': newest.timeout_s if newest else 0,
        'stopping': context.stop.is_begun,
    }
    if request.responder.has_started:
        request.responder.abort()
        request.log_end('endpoint_timeout', status=0, **limits)
    elif request.may_have_run:
        request.refuse(GATEWAY_TIMEOUT, 'endpoint_timeout', **limits)
    else:
        request.refuse(
            UNAVAILABLE, 'queue_timeout', DEFAULT_RETRY_AFTER_S, **limits
        )


async def _open_request(
    context: _context.Context,
    call: serving.Call,
    responder: platform.Responder,
) -> Request | None:
    fleet = context.fleet
    if fleet.manifest is None:
        responder.refuse(UNAVAILABLE, call.id, DEFAULT_RETRY_AFTER_S)
        _log_unrouted(call, 'no_document', 0)
        return None
    admission = await _accounts.admit(context, call)
    if isinstance(admission, _accounts.NotAdmitted):
        responder.refuse(admission.status, call.id, admission.retry_after_s)
        _log_unrouted(
            call, admission.cause, fleet.version, reason=admission.reason
        )
        return None
    call, route = admission.call, admission.route
    name = serving.choose_destination(route, context.random_source)
    service = fleet.find_service(name) or schema.serving.Service(name=name)
    context.budget.record_request(name, call.received_s)
    timeout_s = min(call.timeout_s, route.timeout_s)
    deadline_s = call.received_s + context.stop.shorten(timeout_s)
    return Request(
        call, route, service, responder, deadline_s - _ANSWER_MARGIN_S
    )


def _log_unrouted(
    call: serving.Call, cause: str, version: int, reason: str = ''
) -> None:
    _context.REQUESTS.labels('none', cause).inc()
    telemetry.log_event(
        'request_ended',
        request=call.id,
        outcome=cause,
        path=call.path,
        manifest_version=version,
        **({'reason': reason} if reason else {}),
    )
