"""Slopes of resource use, measured on real processes on loopback."""

import asyncio
import collections.abc
import contextlib
import re
import time

import attrs
import psutil

from benchmarks import _slopes
from briarknot import schema
from briarknot_standins import fleet

_DOMAIN = fleet.DomainPlan(name='obb-a', region='obb')
_SETTLE_S = 4.0
_MEASURE_S = 8.0
_ENGINES = (1, 20, 60, 120)
_HOSTS = (2, 6, 14)
_STREAMS = (0, 100, 200, 400)
_REQUESTS = (50, 100, 200)
_TOKENS = (1, 50, 200)
_MEBIBYTE = 2**20
_PEER_BYTES = re.compile(
    r'^briarknot_peer_bytes_total\{[^}]*\} (\S+)$', re.MULTILINE
)
#: Engine settings that don't limit the measured processes.
_FAST_ENGINE = (
    '--decode-tokens-per-s',
    '200',
    '--max-streams',
    '512',
    '--kv-blocks',
    '8192',
    '--prefill-tokens-per-s',
    '1000000',
)


@attrs.frozen
class _Usage:
    """Resource use of a process in an interval.

    :param cpu: share of a core.
    :param memory: resident memory in MiB.
    :param peer_bytes: bytes per second on peer links, both directions.
    """

    cpu: float
    memory: float
    peer_bytes: float


def _make_plan(**changes: object) -> fleet.FleetPlan:
    plan = attrs.evolve(
        fleet.make_sprossenwerk_plan(),
        domains=(attrs.evolve(_DOMAIN, **changes),),
        model=schema.fleet.Model(name='assist-lm', max_streams=512),
        engine_arguments=_FAST_ENGINE,
        # Default periods, not the short ones of tests.
        timing=schema.settings.Timing(),
        lease_s=schema.settings.ControlSettings().lease_s,
    )
    return attrs.evolve(plan, name='capacity')


async def _read_peer_bytes(running: fleet.RunningFleet, entry: object) -> float:
    text = await running.read_metrics(entry)
    return sum(float(found) for found in _PEER_BYTES.findall(text))


async def _measure_entry(
    running: fleet.RunningFleet, number: int = 0
) -> _Usage:
    entry = running.entries[number]
    process = psutil.Process(entry.process.pid)
    await asyncio.sleep(_SETTLE_S)
    bytes_before = await _read_peer_bytes(running, entry)
    cpu_before = sum(process.cpu_times()[:2])
    started = time.monotonic()
    await asyncio.sleep(_MEASURE_S)
    elapsed = time.monotonic() - started
    cpu = sum(process.cpu_times()[:2]) - cpu_before
    peer_bytes = await _read_peer_bytes(running, entry) - bytes_before
    return _Usage(
        cpu / elapsed,
        process.memory_info().rss / _MEBIBYTE,
        peer_bytes / elapsed,
    )


def _multiply_engines(
    document: schema.fleet.Fleet, count: int
) -> schema.fleet.Fleet:
    """Declares one running engine under many names."""
    first = document.engines[0]
    engines = tuple(
        attrs.evolve(first, name=f'{first.name}-{number}')
        for number in range(count)
    )
    return attrs.evolve(document, engines=engines)


async def _measure_engines() -> list[tuple[int, _Usage, _Usage]]:
    points = []
    plan = _make_plan(entries=2, controls=1)
    async with fleet.run_fleet(plan) as running:
        for count in _ENGINES:
            await running.commit(_multiply_engines(running.document, count))
            entry = await _measure_entry(running)
            control = next(iter(running.controls.values()))
            process = psutil.Process(control.pid)
            before = sum(process.cpu_times()[:2])
            await asyncio.sleep(_MEASURE_S)
            cpu = (sum(process.cpu_times()[:2]) - before) / _MEASURE_S
            memory = process.memory_info().rss / _MEBIBYTE
            points.append((count, entry, _Usage(cpu, memory, 0)))
    return points


@_slopes.MEASUREMENTS.register('engines')
def measure_engines() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures idle entry and control processes against the domain's engines.

    Two entry processes share the polls, so each polls half of the engines.
    """
    points = asyncio.run(_measure_engines())
    for name, unit, get_figure in (
        ('entry CPU', 'share of a core', lambda one: one[1].cpu),
        ('entry memory', 'MiB', lambda one: one[1].memory),
        ('entry peer traffic', 'bytes/s', lambda one: one[1].peer_bytes),
        ('control CPU', 'share of a core', lambda one: one[2].cpu),
        ('control memory', 'MiB', lambda one: one[2].memory),
    ):
        yield _slopes.fit_slope(
            name,
            'engines',
            unit,
            [_slopes.Point(one[0], get_figure(one)) for one in points],
        )


async def _measure_hosts(count: int) -> _Usage:
    async with fleet.run_fleet(_make_plan(entries=count)) as running:
        return await _measure_entry(running, count // 2)


@_slopes.MEASUREMENTS.register('hosts')
def measure_hosts() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures an idle entry process against its domain's entry hosts."""
    points = [(count, asyncio.run(_measure_hosts(count))) for count in _HOSTS]
    for name, unit, get_figure in (
        ('member CPU', 'share of a core', lambda usage: usage.cpu),
        ('member memory', 'MiB', lambda usage: usage.memory),
        ('member peer traffic', 'bytes/s', lambda usage: usage.peer_bytes),
    ):
        yield _slopes.fit_slope(
            name,
            'hosts',
            unit,
            [
                _slopes.Point(count, get_figure(usage))
                for count, usage in points
            ],
        )


async def _measure_streams() -> list[_slopes.Point]:
    points = []
    async with fleet.run_fleet(_make_plan()) as running:
        process = psutil.Process(running.entries[0].process.pid)
        for count in _STREAMS:
            streams = [
                asyncio.create_task(
                    running.complete('urgent', f'stream {number}', 1000)
                )
                for number in range(count)
            ]
            await asyncio.sleep(2)
            points.append(
                _slopes.Point(count, process.memory_info().rss / _MEBIBYTE)
            )
            await _cancel(streams)
    return points


async def _cancel(tasks: collections.abc.Iterable[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task


@_slopes.MEASUREMENTS.register('streams')
def measure_streams() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures the memory of an entry process against its open streams."""
    points = asyncio.run(_measure_streams())
    yield _slopes.fit_slope('stream memory', 'streams', 'MiB', points)


async def _time_requests(
    running: fleet.RunningFleet, requests: int, tokens: int
) -> float:
    process = psutil.Process(running.entries[0].process.pid)
    before = sum(process.cpu_times()[:2])
    # A few concurrent requests, as at the design load of a node.
    for _ in range(requests // 10):
        await asyncio.gather(
            *[
                running.complete('urgent', f'request {number}', tokens)
                for number in range(10)
            ]
        )
    return sum(process.cpu_times()[:2]) - before


async def _measure_load() -> tuple[list[_slopes.Point], list[_slopes.Point]]:
    async with fleet.run_fleet(_make_plan()) as running:
        await _time_requests(running, 50, 1)
        by_requests = [
            _slopes.Point(count, await _time_requests(running, count, 1))
            for count in _REQUESTS
        ]
        by_tokens = [
            _slopes.Point(
                tokens * 50, await _time_requests(running, 50, tokens)
            )
            for tokens in _TOKENS
        ]
    return by_requests, by_tokens


@_slopes.MEASUREMENTS.register('load')
def measure_load() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures the CPU time of an entry process under load."""
    by_requests, by_tokens = asyncio.run(_measure_load())
    yield _slopes.fit_slope('request', 'requests', 'CPU s', by_requests)
    yield _slopes.fit_slope('token', 'tokens', 'CPU s', by_tokens)
