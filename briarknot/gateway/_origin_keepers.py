"""Asks the processes that keep the origin of a stream."""

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
_Answer = schema.messages.OriginAnswer


@attrs.frozen
class Found:
    """What the keepers of a stream know of it.

    :param origin: its origin; None if none of them knows it.
    :param asked: number of other processes that were asked.
    :param answered: number of those that answered.
    """

    origin: schema.messages.StreamOrigin | None
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


async def ask(context: _context.Context, stream: str) -> Found:
    """Asks the other keepers of a stream for its origin, twice if need be.

    :param context: state of the process.
    :param stream: id of the stream.
    """
    answers: dict[str, _Answer] = {}
    others = choose_others(context, stream)
    for number in range(_ROUNDS):
        if number:
            await asyncio.sleep(_REPEAT_S)
        origin = await _ask_once(context, stream, others, answers)
        if origin is not None:
            break
    else:
        origin = context.origins.find(stream, _clock.read_clock())
    return Found(origin, asked=len(others), answered=len(answers))


async def _ask_once(
    context: _context.Context,
    stream: str,
    others: tuple[str, ...],
    answers: dict[str, _Answer],
) -> schema.messages.StreamOrigin | None:
    """Asks the keepers of a stream, and returns the first origin.

    :param context: state of the process.
    :param stream: id of the stream.
    :param others: the keepers to ask.
    :param answers: answers by host; those that arrive are added.
    """
    tasks = [
        asyncio.ensure_future(_ask_host(context, stream, host))
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


async def _ask_host(
    context: _context.Context, stream: str, host: str
) -> _Answer | None:
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
