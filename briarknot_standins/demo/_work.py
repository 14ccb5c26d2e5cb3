"""Requests that the demo sends, and their results."""

import asyncio
import random

import attrs

from briarknot_standins import engine, fleet

_SEED = 7
#: Length of the standards dossier that each rail check contains.
_DOSSIER_TOKENS = 6000
_SPREAD_S = 12.0


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of work.

    :param name: name in the table.
    :param rank: rank.
    :param count: number of requests.
    :param prompt_tokens: length of the shared prompt prefix, in tokens.
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
    :param answer: answer that the client received.
    :param is_correct: whether the text is the one that the stand-in generates.
    """

    kind: Kind
    answer: fleet.Completion
    is_correct: bool


def make_prompt(kind: Kind, number: int) -> str:
    """Makes a prompt whose prefix all requests of a kind share."""
    shared = ' '.join(
        f'{kind.rank}{word}' for word in range(kind.prompt_tokens)
    )
    return f'{shared} question {number}'


async def send_work(running: fleet.RunningFleet) -> list[Result]:
    """Sends all requests, at random times over some seconds.

    :param running: the fleet.
    """
    generator = random.Random(_SEED)
    requests = [
        _send(running, kind, number, generator.uniform(0, _SPREAD_S))
        for kind in KINDS
        for number in range(kind.count)
    ]
    return list(await asyncio.gather(*requests))


async def _send(
    running: fleet.RunningFleet, kind: Kind, number: int, delay_s: float
) -> Result:
    await asyncio.sleep(delay_s)
    prompt = make_prompt(kind, number)
    answer = await running.complete(kind.rank, prompt, kind.max_tokens)
    expected = engine.expected_text(prompt, kind.max_tokens)
    return Result(kind, answer, answer.text == expected)


def compute_quantile(times: list[float], share: float) -> float:
    """Returns the time below which a share of the times lies."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
