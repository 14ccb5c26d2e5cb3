"""Measures the cost of the entry hop: ``python -m benchmarks.forwarding``.

Streams are read directly from engine stand-ins and through one entry process,
at several numbers of open streams. The table shows the times to the first token
and to the end, and the tokens that the entry process forwards per second of CPU
time.
"""

import asyncio
import itertools
import pathlib
import statistics
import time
import typing

import aiohttp
import attrs
import cappa
import orjson
import psutil
import rich.console
import rich.table

from briarknot import schema
from briarknot_standins import fleet, launcher

_DATA = b'data: '
_DONE = b'[DONE]'
_OK = 200
_TOKENS = 100
_STREAMS = (1, 64, 512)
#: Enough fast engines that they don't limit the measurement.
_ENGINES = 4
_ENGINE_ARGUMENTS = (
    '--decode-tokens-per-s',
    '50',
    '--max-streams',
    '256',
    '--kv-blocks',
    '4096',
    '--prefill-tokens-per-s',
    '1000000',
)


@cappa.command(name='benchmarks.forwarding')
@attrs.frozen(kw_only=True)
class Arguments:
    """Arguments of the measurement.

    :param output: path of a JSON file for the figures.
    :param rounds: rounds of each number of streams.
    """

    output: typing.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None
    rounds: typing.Annotated[int, cappa.Arg(long=True)] = 2


@attrs.frozen(kw_only=True)
class Figures:
    """Figures of one network path and one number of streams.

    :param way: name of the network path, ``direct`` or ``entry``.
    :param streams: open streams.
    :param first_token_s: median time to the first token.
    :param total_s: median time to the end.
    :param tokens_per_s: tokens received per second, all streams.
    :param tokens_per_cpu_s: tokens per second of the entry process's CPU time.
    """

    way: str
    streams: int
    first_token_s: float
    total_s: float
    tokens_per_s: float
    tokens_per_cpu_s: float = 0


@attrs.frozen
class _Stream:
    first_token_s: float
    total_s: float
    tokens: int


@attrs.frozen
class _NetworkPath:
    """Network path of the streams.

    :param name: ``direct`` or ``entry``.
    :param urls: base URLs, used round robin.
    :param headers: headers of each request.
    :param process: entry process whose CPU time is measured, if any.
    """

    name: str
    urls: tuple[str, ...]
    headers: dict[str, str]
    process: psutil.Process | None = None

    def get_cpu_s(self) -> float:
        """Returns the CPU time that the entry process has used."""
        if self.process is None:
            return 0
        times = self.process.cpu_times()
        return times.user + times.system


async def _send(
    session: aiohttp.ClientSession, path: _NetworkPath, url: str, number: int
) -> _Stream:
    started = time.monotonic()
    first_s = float('nan')
    tokens = 0
    body = {
        'request_id': f'{path.name}-{number}-{started}',
        'model': 'assist-lm',
        'prompt': f'measurement {number}',
        'max_tokens': _TOKENS,
        'priority': 0,
        'resume_from': 0,
        'stream': True,
    }
    async with session.post(
        f'{url}/v1/completions', json=body, headers=path.headers
    ) as response:
        if response.status != _OK:
            raise RuntimeError(await response.text())
        async for line in response.content:
            if line.startswith(_DATA) and _DONE not in line:
                if not tokens:
                    first_s = time.monotonic() - started
                tokens += 1
    return _Stream(first_s, time.monotonic() - started, tokens)


async def _measure(
    session: aiohttp.ClientSession,
    path: _NetworkPath,
    streams: int,
    rounds: int,
) -> Figures:
    urls = itertools.cycle(path.urls)
    cpu_s = path.get_cpu_s()
    started = time.monotonic()
    results: list[_Stream] = []
    for _ in range(rounds):
        streams_of_round = await asyncio.gather(
            *[
                _send(session, path, next(urls), number)
                for number in range(streams)
            ]
        )
        results.extend(streams_of_round)
    elapsed_s = time.monotonic() - started
    tokens = sum(result.tokens for result in results)
    used_s = path.get_cpu_s() - cpu_s
    return Figures(
        way=path.name,
        streams=streams,
        first_token_s=statistics.median(one.first_token_s for one in results),
        total_s=statistics.median(one.total_s for one in results),
        tokens_per_s=tokens / elapsed_s,
        tokens_per_cpu_s=tokens / used_s if used_s else 0,
    )


def _make_plan() -> fleet.FleetPlan:
    return attrs.evolve(
        fleet.make_sprossenwerk_plan(),
        domains=(
            fleet.DomainPlan(
                name='obb-a',
                region='obb',
                engines=(fleet.EnginePlan(count=_ENGINES),),
            ),
        ),
        model=schema.fleet.Model(name='assist-lm', max_streams=256),
        engine_arguments=_ENGINE_ARGUMENTS,
    )


async def run(arguments: Arguments) -> list[Figures]:
    """Runs the measurement.

    :param arguments: rounds of each number of streams.
    """
    async with fleet.run_fleet(_make_plan()) as running:
        entry = running.entries[0]
        paths = (
            _NetworkPath('direct', _get_urls(running.engines.values()), {}),
            _NetworkPath(
                'entry',
                (entry.url,),
                running.make_headers('urgent'),
                psutil.Process(entry.process.pid),
            ),
        )
        figures = []
        for streams in _STREAMS:
            for path in paths:
                figures.append(
                    await _measure(
                        running.session, path, streams, arguments.rounds
                    )
                )
    return figures


def _get_urls(processes: typing.Iterable[launcher.Process]) -> tuple[str, ...]:
    return tuple(process.url for process in processes)


def _print_table(figures: list[Figures]) -> None:
    table = rich.table.Table(title='Cost of the entry hop')
    for heading in (
        'way',
        'streams',
        'first token',
        'total',
        'tokens/s',
        'tokens/CPU s',
    ):
        table.add_column(heading, justify='right')
    for one in figures:
        table.add_row(
            one.way,
            str(one.streams),
            f'{one.first_token_s * 1000:.1f} ms',
            f'{one.total_s:.3f} s',
            f'{one.tokens_per_s:.0f}',
            f'{one.tokens_per_cpu_s:.0f}',
        )
    rich.console.Console().print(table)


def main() -> None:
    """Runs the measurement and prints its table."""
    arguments = cappa.parse(Arguments)
    figures = asyncio.run(run(arguments))
    _print_table(figures)
    if arguments.output:
        plain = [attrs.asdict(one) for one in figures]
        arguments.output.write_bytes(
            orjson.dumps(plain, option=orjson.OPT_INDENT_2)
        )


if __name__ == '__main__':
    main()
