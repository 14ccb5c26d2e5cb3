"""Keeps the events of a stream to workers of one software version."""

import asyncio

import prometheus_client

from briarknot import schema, serving, telemetry, versions
from briarknot.gateway import _clock, _context, _origin_keepers, _requests

_TAKEN_UP = prometheus_client.Counter(
    'briarknot_gateway_streams_taken_up',
    'Streams that clients took up again, by what decided on their version.',
    ('decided_by',),
)
_UNCONFIRMED = prometheus_client.Counter(
    'briarknot_gateway_unconfirmed_streams',
    'Streams that did not begin, as too few other processes knew their origin.',
)
#: Longest wait for a list of workers that confirms the versions in use, and the period
#: of checking for it. Clients abandon a stream after two seconds without an event.
_MAX_CONFIRM_S = 0.8
_CONFIRM_CHECK_S = 0.05
#: Retry-After where another process may know the version, in seconds.
_UNKNOWN_RETRY_S = 0.2

_Workers = tuple[schema.serving.Worker, ...]


async def admit(context: _context.Context, request: _requests.Request) -> bool:
    """Finds the version at which a stream goes on that is taken up again.

    :param context: state of the process.
    :param request: the request; its version is set.
    :returns: whether it may be sent; otherwise it is refused.
    """
    call = request.call
    if not call.continues_stream:
        return True
    origin = context.origins.find(call.resumes, _clock.read_clock())
    possible = _list_possible(context, request)
    decided_by = 'own record' if origin else 'versions in use'
    chosen = versions.choose_version(possible, origin)
    is_open = origin is None and not _has_single_versions(context, request)
    answers = {}
    if is_open and call.resumes:
        decided_by = 'other processes'
        found = await _origin_keepers.ask(
            context, call.resumes, request.service.name
        )
        origin = found.origin
        answers = {'asked': found.asked, 'answered': found.answered}
        if origin is None and found.sole is None:
            decided_by = 'versions in use'
            possible = await _wait_for_possible(context, request)
        elif origin is None:
            decided_by = 'witnesses'
        chosen = versions.choose_version(possible, origin, found.sole)
    is_known = not isinstance(chosen, versions.UnknownOrigin)
    _TAKEN_UP.labels(decided_by if is_known else 'nothing').inc()
    telemetry.log_event(
        'stream_taken_up',
        request=call.id,
        resumes=call.resumes,
        last_event=call.last_event,
        version=chosen if is_known else '',
        decided_by=decided_by if is_known else chosen.reason,
        **answers,
    )
    if not is_known:
        request.refuse(
            _requests.UNAVAILABLE,
            'version_unknown',
            _UNKNOWN_RETRY_S,
            reason=chosen.reason,
        )
        return False
    _set_origin(context, request, origin, chosen)
    is_served = not has_none_left(context, request)
    if not is_served:
        # No other process can go on with it either.
        request.refuse(
            _requests.UNAVAILABLE,
            'version_gone',
            request.route.timeout_s,
            version=chosen,
        )
    return is_served


async def begin(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> serving.Failed | None:
    """Records the version of a stream, before its first event is forwarded.

    Others are informed unless it is certain that only one version is in use; they
    are informed later if that changes while the stream goes on. Where they might
    take the stream for one of the version before, they confirm its origin first.

    :param context: state of the process.
    :param request: the request.
    :param worker: worker that sent the event.
    :returns: None where the event may be forwarded.
    """
    if not request.route.resumable:
        request.version = worker.version
        return None
    now = _clock.read_clock()
    stream = _get_stream(request)
    context.origins.record(stream, worker, now)
    needs_others = (
        request.version is None
        and context.software_versions.needs_known_origin(
            worker.service, worker.version, now
        )
    )
    if needs_others and not await _confirm(context, stream, worker):
        return serving.Failed(
            kind=serving.FailureKind.UNCONFIRMED,
            reason='too few other processes know where the stream began',
        )
    request.version = worker.version
    possible = _list_possible(context, request)
    if not isinstance(possible, frozenset) or len(possible) > 1:
        send_origins(context)
    return None


async def _confirm(
    context: _context.Context, stream: str, worker: schema.serving.Worker
) -> bool:
    """Has others confirm the origin of a stream, and returns whether they have."""
    origin = context.origins.find(stream, _clock.read_clock())
    if origin is None:
        # Its id is too long to be sent; others don't take it for known either.
        return True
    if await _origin_keepers.confirm(context, origin):
        context.origins.complete(stream)
        return True
    now = _clock.read_clock()
    _UNCONFIRMED.inc()
    telemetry.log_event(
        'stream_origin_unconfirmed',
        stream=stream,
        worker=worker.id,
        version=worker.version,
        version_before=context.software_versions.find_sole(worker.service, now),
    )
    return False


def record_end(context: _context.Context, request: _requests.Request) -> None:
    """Records that a stream is complete.

    :param context: state of the process.
    :param request: the request.
    """
    context.origins.complete(_get_stream(request))


def send_origins(context: _context.Context) -> None:
    """Sends the origins of streams to the processes that others will ask.

    :param context: state of the process.
    """
    for origin in context.origins.take_unsent(_clock.read_clock()):
        keepers = _origin_keepers.choose_others(context, origin.stream)
        context.send_message(origin, keepers)


def list_fitting(
    context: _context.Context, request: _requests.Request, workers: _Workers
) -> _Workers:
    """Lists the workers at whose versions a stream may begin, or go on.

    Where the service has no worker of an admitted version, those of versions that
    all processes know begin streams. While no other process confirms origins, only
    those versions do whose origins none of them needs to know.

    :param context: state of the process.
    :param request: the request.
    :param workers: usable workers of its service.
    """
    if request.version is not None:
        return tuple(one for one in workers if one.version == request.version)
    service = request.service.name
    known = context.software_versions
    names = known.list_names(service)
    is_single = len(names) == 1 and all(one.version in names for one in workers)
    if is_single or not names:
        # There is no other version, or no list of workers has been read yet.
        return workers
    now = _clock.read_clock()
    admitted = known.list_admitted(service, now)
    usable = context.fleet.list_usable(service, schema.serving.Stage.DECODE)
    if not any(one.version in admitted for one in usable):
        admitted = known.list_visible(service, now)
    if context.origins.is_isolated(now):
        admitted = frozenset(
            name
            for name in admitted
            if not known.needs_known_origin(service, name, now)
        )
    return tuple(one for one in workers if one.version in admitted)


def list_continued(prefills: _Workers, decodes: _Workers) -> _Workers:
    """Lists the prefill workers whose KV caches a decode worker can use.

    :param prefills: prefill workers.
    :param decodes: decode workers; without any, all prefill workers are listed.
    """
    continued = {one.version for one in decodes}
    return tuple(
        one for one in prefills if not continued or one.version in continued
    )


def has_none_left(
    context: _context.Context, request: _requests.Request
) -> bool:
    """Returns whether no worker is left at which a stream may go on.

    :param context: state of the process.
    :param request: the request.
    """
    if request.version is None:
        return False
    usable = context.fleet.list_usable(
        request.service.name, schema.serving.Stage.DECODE
    )
    return not list_fitting(context, request, usable)


def _get_stream(request: _requests.Request) -> str:
    """Returns the id of the client's attempt that got the first event."""
    return request.call.resumes or request.call.id


def _list_possible(
    context: _context.Context, request: _requests.Request
) -> frozenset[str] | versions.Uncertain:
    return context.software_versions.list_possible(
        request.service.name, _clock.read_clock()
    )


def _has_single_versions(
    context: _context.Context, request: _requests.Request
) -> bool:
    """Returns whether each service of the route is certain to have one version.

    Any of them may have begun a stream that is taken up again.
    """
    now = _clock.read_clock()
    known = context.software_versions
    possible = (
        known.list_possible(one.service, now)
        for one in request.route.destinations
    )
    return all(isinstance(one, frozenset) and len(one) <= 1 for one in possible)


async def _wait_for_possible(
    context: _context.Context, request: _requests.Request
) -> frozenset[str] | versions.Uncertain:
    """Waits until the versions in use are certain.

    After the loss of the process that reads the list of workers for all, another
    one does so within about a second.
    """
    end_s = _clock.read_clock() + _MAX_CONFIRM_S
    while True:
        possible = _list_possible(context, request)
        is_certain = not isinstance(possible, versions.Uncertain)
        if is_certain or _clock.read_clock() >= end_s:
            return possible
        await asyncio.sleep(_CONFIRM_CHECK_S)


def _set_origin(
    context: _context.Context,
    request: _requests.Request,
    origin: schema.messages.StreamOrigin | None,
    version: str,
) -> None:
    """Sets the version of a request, and the service where a route has several."""
    request.version = version
    if origin is None or origin.service == request.service.name:
        return
    destinations = {one.service for one in request.route.destinations}
    service = context.fleet.find_service(origin.service)
    if service is not None and origin.service in destinations:
        request.service = service
