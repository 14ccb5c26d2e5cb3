"""Keeps the events of a stream to workers of one software version."""

import asyncio

import prometheus_client

from briarknot import schema, telemetry, versions
from briarknot.gateway import _clock, _context, _requests

_TAKEN_UP = prometheus_client.Counter(
    'briarknot_gateway_streams_taken_up',
    'Streams that clients took up again, by what decided on their version.',
    ('decided_by',),
)
#: Longest wait for the processes that know a stream. The round trip to another
#: region takes 0.06 s.
_ANSWER_TIMEOUT_S = 0.25
#: Pause before they are asked once more: the origin of a stream may be on its way.
_REPEAT_S = 0.1
_ROUNDS = 2
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
    if is_open and call.resumes:
        decided_by = 'other processes'
        origin = await _ask_keepers(context, call.resumes)
        possible = await _wait_for_possible(context, request, origin)
        chosen = versions.choose_version(possible, origin)
        if origin is None:
            decided_by = 'versions in use'
    is_known = not isinstance(chosen, versions.UnknownOrigin)
    _TAKEN_UP.labels(decided_by if is_known else 'nothing').inc()
    telemetry.log_event(
        'stream_taken_up',
        request=call.id,
        resumes=call.resumes,
        last_event=call.last_event,
        version=chosen if is_known else '',
        decided_by=decided_by if is_known else chosen.reason,
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


def record_begin(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
) -> None:
    """Records the version of a stream, before its first event is forwarded.

    Others are informed unless it is certain that only one version is in use; they
    are informed later if that changes while the stream goes on.

    :param context: state of the process.
    :param request: the request.
    :param worker: worker that sent the event.
    """
    request.version = worker.version
    if not request.route.resumable:
        return
    context.origins.record(_get_stream(request), worker, _clock.read_clock())
    possible = _list_possible(context, request)
    if not isinstance(possible, frozenset) or len(possible) > 1:
        send_origins(context)


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
        context.send_message(origin, _choose_keepers(context, origin.stream))


def list_fitting(
    context: _context.Context, request: _requests.Request, workers: _Workers
) -> _Workers:
    """Lists the workers at whose versions a stream may begin, or go on.

    Where the service has no worker of an admitted version, those of versions that
    all processes know begin streams.

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
    admitted = known.list_admitted(service, _clock.read_clock())
    usable = context.fleet.list_usable(service, schema.serving.Stage.DECODE)
    if not any(one.version in admitted for one in usable):
        admitted = known.list_visible(service, _clock.read_clock())
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
    context: _context.Context,
    request: _requests.Request,
    origin: schema.messages.StreamOrigin | None,
) -> frozenset[str] | versions.Uncertain:
    """Waits until the versions in use are certain, unless the origin is known.

    After the loss of the process that reads the list of workers for all, another
    one does so within about a second.
    """
    end_s = _clock.read_clock() + _MAX_CONFIRM_S
    while True:
        possible = _list_possible(context, request)
        is_certain = not isinstance(possible, versions.Uncertain)
        if is_certain or origin or _clock.read_clock() >= end_s:
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


def _choose_keepers(context: _context.Context, stream: str) -> tuple[str, ...]:
    """Chooses the other processes that know a stream."""
    local = context.settings.host
    keepers = versions.choose_keepers(stream, {local, *context.peer_hosts})
    return tuple(host for host in keepers if host != local)


async def _ask_keepers(
    context: _context.Context, stream: str
) -> schema.messages.StreamOrigin | None:
    for number in range(_ROUNDS):
        if number:
            await asyncio.sleep(_REPEAT_S)
        origin = await _ask_once(context, stream)
        if origin is not None:
            return origin
    return context.origins.find(stream, _clock.read_clock())


async def _ask_once(
    context: _context.Context, stream: str
) -> schema.messages.StreamOrigin | None:
    """Asks the processes that may know a stream, and takes the first answer."""
    tasks = [
        asyncio.ensure_future(_ask(context, stream, host))
        for host in _choose_keepers(context, stream)
    ]
    try:
        for answered in asyncio.as_completed(tasks):
            origin = await answered
            if isinstance(origin, schema.messages.StreamOrigin):
                return origin
    finally:
        for task in tasks:
            task.cancel()
    return None


async def _ask(
    context: _context.Context, stream: str, host: str
) -> schema.messages.StreamOrigin | versions.UnknownOrigin | None:
    settings = context.settings
    number = context.origin_answers.open()
    context.send_message(
        schema.messages.OriginRequest(
            host=settings.host,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
            number=number,
            stream=stream,
        ),
        (host,),
    )
    return await context.origin_answers.wait(number, _ANSWER_TIMEOUT_S)
