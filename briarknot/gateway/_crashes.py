"""Finds out which requests were starting at a worker when its process ended."""

import prometheus_client

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _requests

_BROKEN_STARTS = prometheus_client.Counter(
    'briarknot_gateway_broken_starts',
    'Answers that broke off as they began, by whether the worker had ended.',
    ('worker_ended',),
)


async def record_broken_start(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
    failure: serving.Failed,
) -> None:
    """Checks whether a worker has ended, and logs the request that it began.

    :param context: state of the process.
    :param request: the request whose answer broke off as it began.
    :param worker: the worker.
    :param failure: how the attempt failed.
    """
    if failure.kind != serving.FailureKind.BROKEN:
        return
    has_ended = await context.calls.has_ended(worker)
    _BROKEN_STARTS.labels(str(has_ended).lower()).inc()
    prompt = request.call.prompt
    telemetry.log_event(
        'start_broken',
        request=request.call.id,
        route=request.route.name,
        worker=worker.id,
        worker_ended=has_ended,
        shared_parts=prompt.list_shared() if prompt else (),
        reason=failure.reason,
    )
