"""Work that the demo sends, and what came of it."""

import asyncio
import random

import attrs

from briarknot_standins import engine, fleet

_SEED = 7
#: Length of the standards dossier against which checks are made, in tokens.
_DOSSIER_TOKENS = 6000
_SPREAD_S = 12.0


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of work.

    :param name: name in the table.
    :param rank: rank.
    :param count: number of requests.
    :param prompt_tokens: length of the prompt that all share, in tokens.
    :param max_tokens: length of the answer, in tokens.
    """

    name: str
    rank: str
    count: int
    prompt_tokens: int
    max_tokens: int


KINDS = (
    Kind(
        name='rail check',
        rank='urgent',
        count=40,
        prompt_tokens=_DOSSIER_TOKENS,
        max_tokens=8,
    ),
    Kind(
        name='bracket lookup',
        rank='ordinary',
        count=40,
        prompt_tokens=200,
        max_tokens=40,
    ),
    Kind(
        name='survey reading',
        rank='waiting',
        count=30,
        prompt_tokens=2500,
        max_tokens=60,
    ),
)


@attrs.frozen
class Result:
    """A request and its answer.

    :param kind: kind of work.
    :param answer: what the client got.
    :param is_right: whether the text is the one that an engine makes.
    """

    kind: Kind
    answer: fleet.Completion
    is_right: bool


def make_prompt(kind: Kind, number: int) -> str:
    """Makes a prompt that starts alike for all requests of a kind."""
    shared = ' '.join(
        f'{kind.rank}{word}' for word in range(kind.prompt_tokens)
    )
    return f'{shared} question {number}'


async def send_work(running: fleet.RunningFleet) -> list[Result]:
    """Sends all kinds of work, spread over some seconds.

    :param running: the fleet.
    """
    generator = random.Random(_SEED)
    sendings = [
        _send(running, kind, number, generator.uniform(0, _SPREAD_S))
        for kind in KINDS
        for number in range(kind.count)
    ]
    return list(await asyncio.gather(*sendings))


async def _send(
    running: fleet.RunningFleet, kind: Kind, number: int, delay_s: float
) -> Result:
    await asyncio.sleep(delay_s)
    prompt = make_prompt(kind, number)
    answer = await running.complete(kind.rank, prompt, kind.max_tokens)
    expected = engine.expected_text(prompt, kind.max_tokens)
    return Result(kind, answer, answer.text == expected)


def read_share(times: list[float], share: float) -> float:
    """Returns the time below which a share of the times lies."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
