"""Ends requests that get no answer of a worker, and logs and counts them."""

import traceback

import prometheus_client
from aiohttp import web

from briarknot import telemetry
from briarknot.platform import _client_requests, _responder

_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
#: Longest text of a traceback in a log line; its end names the fault.
_MAX_TRACEBACK = 2000
#: Retry-After of a body that is refused for its memory, in seconds.
_LIMITED_RETRY_AFTER_S = 1.0
_UNANSWERED = prometheus_client.Counter(
    'briarknot_platform_unanswered',
    'Requests that ended without a whole answer, or failed, by reason.',
    ('reason',),
)


def refuse_body(
    request: web.BaseRequest, responder: _responder.Responder, status: int
) -> None:
    """Refuses a request whose body has not arrived.

    :param request: the request.
    :param responder: answers it.
    :param status: 408 or 503, which promise that it has not run.
    """
    request_id = _client_requests.get_id(request)
    telemetry.log_event('body_incomplete', request=request_id, status=status)
    responder.close_after_answer()
    request.protocol.is_refused = True
    is_limited = status == _SERVICE_UNAVAILABLE
    responder.refuse(
        status, request_id, _LIMITED_RETRY_AFTER_S if is_limited else 0
    )


def log_unanswered(
    request: web.BaseRequest, responder: _responder.Responder, reason: str
) -> None:
    """Logs and counts a request that ends without a whole answer or a refusal.

    :param request: the request.
    :param responder: answers it.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'closed_unanswered',
        request=_client_requests.get_id(request),
        reason=reason,
        started=responder.has_started,
    )


def fail_request(
    request: web.BaseRequest, responder: _responder.Responder, reason: str
) -> None:
    """Ends a request at which the code has failed, and logs why.

    :param request: the request.
    :param responder: answers it; the answer promises nothing, as the request may
        have run.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'request_failed',
        request=_client_requests.get_id(request),
        reason=reason,
        started=responder.has_started,
        traceback=traceback.format_exc()[-_MAX_TRACEBACK:],
    )
    if responder.has_started:
        responder.abort()
    elif responder.result is None:
        responder.refuse(_BAD_GATEWAY, _client_requests.get_id(request))
