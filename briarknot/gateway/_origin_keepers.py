"""Informs the processes that keep the origin of a stream, and asks them for it."""

import asyncio

import attrs

from briarknot import schema, versions
from briarknot.gateway import _clock, _context

#: Longest wait for the processes that know a stream. The round trip to another
#: region takes 0.06 s.
_ANSWER_TIMEOUT_S = 0.25
#: Pause before they are asked once more: the origin of a stream may be on its way.
_REPEAT_S = 0.1
_ROUNDS = 2
#: Longest wait for the confirmation of an origin before it is sent once more, and the
#: number of times. A process that was killed is back within about half a second.
_CONFIRM_TIMEOUT_S = 0.15
_CONFIRM_ROUNDS = 4
_Answer = schema.messages.OriginAnswer


@attrs.frozen
class Found:
    """What the keepers of a stream know of it.

    :param origin: its origin; None if none of them knows it.
    :param sole: version that must have begun it, where none of them knows it; None
        if that is not certain.
    :param asked: number of other processes that were asked.
    :param answered: number of those that answered.
    """

    origin: schema.messages.StreamOrigin | None
    sole: str | None
    asked: int
    answered: int


def choose_others(context: _context.Context, stream: str) -> tuple[str, ...]:
    """Chooses the other processes that keep the origin of a stream.

    :param context: state of the process.
    :param stream: id of the stream.
    """
    local = context.settings.host
    keepers = versions.choose_keepers(stream, {local, *context.peer_hosts})
    return tuple(host for host in keepers if host != local)


async def ask(context: _context.Context, stream: str, service: str) -> Found:
    """Asks the other keepers of a stream for its origin, twice if need be.

    :param context: state of the process.
    :param stream: id of the stream.
    :param service: service at which it is to go on.
    """
    answers: dict[str, _Answer] = {}
    message = _make_request(context, stream, service)
    others = choose_others(context, stream)
    origin, sole = None, None
    for number in range(_ROUNDS):
        if number:
            await asyncio.sleep(_REPEAT_S)
        origin = await _ask_once(context, message, others, answers)
        origin = origin or context.origins.find(stream, _clock.read_clock())
        sole = _choose_sole(context, stream, service, answers)
        if origin is not None or sole is not None:
            break
    return Found(origin, sole, asked=len(others), answered=len(answers))


def testify(context: _context.Context, stream: str, service: str) -> str | None:
    """Returns the version that must have begun a stream without an origin.

    :param context: state of the process, which is a keeper of the stream.
    :param stream: id of the stream.
    :param service: service at which it is to go on.
    :returns: the version; None where this process is no witness.
    """
    now = _clock.read_clock()
    if not context.origins.is_witness(stream, now):
        return None
    return context.software_versions.find_sole(service, now)


async def confirm(
    context: _context.Context, origin: schema.messages.StreamOrigin
) -> bool:
    """Sends an origin to its other keepers until enough of them know it.

    :param context: state of the process.
    :param origin: origin of a stream that begins.
    :returns: whether enough have confirmed it in time.
    """
    hosts = {context.settings.host, *context.peer_hosts}
    keepers = versions.choose_keepers(origin.stream, hosts)
    is_keeper = context.settings.host in keepers
    needed = versions.count_confirmations(len(hosts), is_keeper=is_keeper)
    if not needed:
        return True
    tasks = [
        asyncio.ensure_future(_confirm_host(context, origin, host))
        for host in choose_others(context, origin.stream)
    ]
    confirmations = 0
    try:
        for confirmed in asyncio.as_completed(tasks):
            confirmations += await confirmed
            if confirmations >= needed:
                return True
    finally:
        for task in tasks:
            task.cancel()
    if not confirmations:
        context.origins.record_isolation(_clock.read_clock())
    return False


def _choose_sole(
    context: _context.Context,
    stream: str,
    service: str,
    answers: dict[str, _Answer],
) -> str | None:
    """Chooses the version that the keepers, maybe with this process, agree on."""
    hosts = {context.settings.host, *context.peer_hosts}
    testimonies = [
        one.sole_version for one in answers.values() if one.is_witness
    ]
    if context.settings.host in versions.choose_keepers(stream, hosts):
        testimonies.append(testify(context, stream, service))
    return versions.choose_sole(testimonies, len(hosts))


def _make_request(
    context: _context.Context, stream: str, service: str
) -> schema.messages.OriginRequest:
    settings = context.settings
    return schema.messages.OriginRequest(
        host=settings.host,
        domain=settings.domain,
        address=settings.address,
        port=settings.peer_port,
        stream=stream,
        service=service,
    )


async def _ask_once(
    context: _context.Context,
    message: schema.messages.OriginRequest,
    others: tuple[str, ...],
    answers: dict[str, _Answer],
) -> schema.messages.StreamOrigin | None:
    """Asks the keepers of a stream, and returns the first origin.

    :param context: state of the process.
    :param message: the request, without a number.
    :param others: the keepers to ask.
    :param answers: answers by host; those that arrive are added.
    """
    tasks = [
        asyncio.ensure_future(
            _request(context, message, host, _ANSWER_TIMEOUT_S)
        )
        for host in others
    ]
    try:
        for answered in asyncio.as_completed(tasks):
            answer = await answered
            if answer is None:
                continue
            answers[answer.host] = answer
            if answer.is_known:
                return answer.origin
    finally:
        for task in tasks:
            task.cancel()
    return None


async def _confirm_host(
    context: _context.Context, origin: schema.messages.StreamOrigin, host: str
) -> bool:
    message = attrs.evolve(origin, host=context.settings.host)
    for _ in range(_CONFIRM_ROUNDS):
        if await _request(context, message, host, _CONFIRM_TIMEOUT_S):
            return True
    return False


async def _request(
    context: _context.Context,
    message: schema.messages.OriginRequest | schema.messages.StreamOrigin,
    host: str,
    timeout_s: float,
) -> _Answer | None:
    """Sends a message, and waits for its answer.

    :param context: state of the process.
    :param message: the message, without a number.
    :param host: host of the receiver.
    :param timeout_s: longest wait in seconds.
    :returns: the answer; None where none arrives in time.
    """
    number = context.origin_answers.open()
    context.send_message(attrs.evolve(message, number=number), (host,))
    return await context.origin_answers.wait(number, timeout_s)
