"""Slopes of the messages between gateways, measured in this process.

``gateway_message`` measures each message with the work of all listed workers.
``gateway_idle`` runs the background tasks of one gateway that serves no requests:
in an idle fleet, and in one whose relays send a sum in each of their periods.
"""

import asyncio
import collections.abc
import contextlib
import functools
import socket
import threading
import time
import typing

import attrs

from benchmarks import _slopes
from briarknot import platform, schema
from briarknot.gateway import (
    _context,
    _limit_sync,
    _peers,
    _quarantine_sync,
    _store_sync,
    _version_sync,
)

_GATEWAYS = (8, 30, 90, 195, 340)
_WORKERS = (45, 150, 600)
_DOMAINS = 6
_DOMAIN_HOSTS = 15
_REPEATS = 60
_SETTLE_S = 1.0
_MEASURE_S = 6.0
#: Periods of the messages that an idle gateway gets.
_UPDATE_PERIOD_S = 0.8
_MIN_SUM_PERIOD_S = 0.075
_SUMS_PER_S = 200
_IDLE_WORKERS = 45
_REPORTED_WORKERS = 10
_RELAYS = 2
_MICROSECONDS = 1e6


def _find_port() -> int:
    with contextlib.closing(
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ) as bound:
        bound.bind(('127.0.0.1', 0))
        return bound.getsockname()[1]


def _name_host(index: int) -> str:
    return f'gateway-{index}'


def make_workers(count: int) -> tuple[schema.serving.Worker, ...]:
    """Makes engines of one service in all domains.

    :param count: number of engines.
    """
    return tuple(
        schema.serving.Worker(
            id=f'engine-{number}-a1b2',
            service='lm',
            domain=f'domain-{number % _DOMAINS}',
            address=f'10.0.0.1:{number}',
            stage=schema.serving.Stage.PREFILL,
        )
        for number in range(count)
    )


def make_context(gateways: int, workers: int) -> _context.Context:
    """Makes the state of one gateway that knows its fleet.

    :param gateways: gateways of the fleet.
    :param workers: workers of the fleet.
    """
    settings = schema.settings.GatewaySettings(
        # Not the leader of the store readers at any of the measured sizes.
        host='gateway-0',
        domain='domain-0',
        address='127.0.0.1',
        peer_port=_find_port(),
    )
    context = _context.make_context(settings, calls=None)
    context.set_peer_hosts(
        {
            _name_host(index): _context.PeerHost(
                ('127.0.0.1', 9), f'domain-{index % _DOMAINS}'
            )
            for index in range(1, gateways)
        }
    )
    context.fleet.apply_manifest(schema.serving.Manifest(version=1))
    context.fleet.apply_workers(make_workers(workers), 0, after_outage=False)
    return context


def make_work(workers: int) -> tuple[schema.messages.WorkerWork, ...]:
    """Makes work at all workers.

    :param workers: number of workers.
    """
    return tuple(
        schema.messages.WorkerWork(
            worker=worker.id,
            tokens=1000 + number,
            streams=number % 20,
            stream_tokens=5000 + 7 * number,
        )
        for number, worker in enumerate(make_workers(workers))
    )


def make_fleet_work(
    workers: int, hosts: int, sequence: int
) -> schema.messages.FleetWork:
    """Makes the sum of a relay.

    :param workers: number of workers with work.
    :param hosts: processes of the domain.
    :param sequence: number of the sum.
    """
    return schema.messages.FleetWork(
        relay='gateway-6',
        born_ms=1,
        sequence=sequence,
        workers=make_work(workers),
        included=tuple(
            schema.messages.IncludedReport(host=_name_host(index), sequence=0)
            for index in range(0, hosts * _DOMAINS, _DOMAINS)
        ),
        processes=hosts * _DOMAINS,
    )


def _make_report(workers: int, sequence: int) -> schema.messages.EngineWork:
    return schema.messages.EngineWork(
        host='gateway-6',
        sequence=sequence,
        born_ms=1,
        workers=make_work(workers),
        domain='domain-0',
        address='127.0.0.1',
        port=9,
        to_relay=True,
    )


def _make_domain_work(
    workers: int, sequence: int
) -> schema.messages.DomainWork:
    return schema.messages.DomainWork(
        domain='domain-1',
        relay='gateway-1',
        born_ms=1,
        sequence=sequence,
        workers=make_work(workers),
        processes=_DOMAIN_HOSTS,
    )


_MAKERS: dict[str, typing.Callable[[int, int], typing.Any]] = {
    'report': _make_report,
    'domain sum': _make_domain_work,
    'fleet sum': lambda workers, sequence: make_fleet_work(
        workers, _DOMAIN_HOSTS, sequence
    ),
}


def _time(call: typing.Callable[[typing.Any], object], items: list) -> float:
    started = time.process_time()
    for one in items:
        call(one)
    return (time.process_time() - started) / len(items) * _MICROSECONDS


@attrs.define(eq=False)
class _Receiver:
    """Decodes and applies messages as the receiving task does."""

    _peers: _peers.Peers

    def apply(self, data: bytes) -> None:
        """Decodes and applies a message."""
        message = schema.decode(data)
        handler = _peers.HANDLERS.get(type(message).__name__)
        handler(self._peers, message, time.monotonic())

    def apply_and_use(self, data: bytes) -> None:
        """Applies a message, and looks up the work at one worker."""
        self.apply(data)
        work = self._peers.context.prompt_load.work
        work.get_total('engine-1-a1b2', time.monotonic())

    def send_sum(self, data: bytes) -> None:
        """Applies a message, and encodes the sum of the fleet."""
        self.apply(data)
        sums = self._peers._sums
        schema.encode(sums.make_fleet_work(1, time.monotonic()))

    def relay(self, data: bytes) -> None:
        """Applies a message, and makes both sums of a relay."""
        self.apply(data)
        now = time.monotonic()
        self._peers._sums.make_domain_work(now)
        self._peers._sums.make_fleet_work(1, now)


def _measure_kind(kind: str, workers: int) -> dict[str, float]:
    messages = [_MAKERS[kind](workers, 1 + one) for one in range(_REPEATS)]
    datagrams = [schema.encode(message) for message in messages]
    figures = {'encoded': _time(schema.encode, messages)}
    for name, use in (
        ('received', _Receiver.apply),
        ('received and used', _Receiver.apply_and_use),
        ('received and relayed', _Receiver.relay),
    ):
        peers = _peers.make_peers(make_context(_DOMAIN_HOSTS, workers))
        receiver = _Receiver(peers)
        figures[name] = _time(functools.partial(use, receiver), datagrams)
    return figures


@_slopes.MEASUREMENTS.register('gateway_message')
def measure_messages() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures each message against the workers whose work is in it."""
    for kind in _MAKERS:
        figures = {
            workers: _measure_kind(kind, workers) for workers in _WORKERS
        }
        for name in figures[_WORKERS[0]]:
            points = [
                _slopes.Point(workers, figures[workers][name])
                for workers in _WORKERS
            ]
            yield _slopes.fit_slope(
                f'{kind} {name}', 'workers', 'CPU us', points
            )


def _measure_relay(workers: int) -> float:
    """Returns the cost of a report, and of the sum of the fleet after it."""
    peers = _peers.make_peers(make_context(_DOMAIN_HOSTS, workers))
    receiver = _Receiver(peers)
    for index in range(1, _DOMAINS):
        message = attrs.evolve(
            _make_domain_work(workers, 1), domain=f'domain-{index}'
        )
        receiver.apply(schema.encode(message))
    work = make_work(workers)
    reports = [
        attrs.evolve(
            _make_report(0, sequence),
            host=_name_host(sequence % _DOMAIN_HOSTS),
            workers=work[sequence : sequence + _REPORTED_WORKERS],
        )
        for sequence in range(2 * _DOMAIN_HOSTS)
    ]
    datagrams = [schema.encode(report) for report in reports]
    for data in datagrams[:_DOMAIN_HOSTS]:
        receiver.apply(data)
    return _time(receiver.send_sum, datagrams[_DOMAIN_HOSTS:])


@_slopes.MEASUREMENTS.register('gateway_relay')
def measure_relay() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures a report at a relay and the sum that the relay then sends."""
    yield _slopes.fit_slope(
        'report received and fleet sum encoded',
        'workers',
        'CPU us',
        [_slopes.Point(count, _measure_relay(count)) for count in _WORKERS],
    )


@attrs.define(eq=False)
class _Store:
    """A store that is not asked while updates of other processes arrive."""

    era: int = 0

    async def read_row_page(self, table: str, key: str) -> platform.Page:
        """Reads an empty table."""
        return platform.Page((), 1)

    async def read_table(self, table: str) -> platform.Page:
        """Reads an empty table, if the process is the leader by mistake."""
        raise RuntimeError(f'an idle gateway reads {table}')

    def record_era(self, era: int) -> None:
        """Ignores the era."""

    def convert_store_time(self, store_s: float) -> float:
        """Returns the time of the process."""
        return time.monotonic()


def _send_to(
    port: int, data: list[bytes], period_s: float, stopped: threading.Event
) -> None:
    """Sends messages of others, in a thread that is not measured."""
    with contextlib.closing(
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ) as sender:
        for one in data:
            sender.sendto(one, ('127.0.0.1', port))
            if stopped.wait(period_s):
                return


async def _measure_idle(gateways: int, *, is_busy: bool) -> float:
    """Returns the share of a core that the tasks of a gateway use."""
    context = make_context(gateways, _IDLE_WORKERS)
    peers = _peers.make_peers(context)
    client = _Store()
    store = _store_sync.make_store_sync(context, client, peers)
    quarantine = _quarantine_sync.make_quarantine_sync(context, client, peers)
    update = schema.encode(
        schema.messages.FleetUpdate(
            host=_name_host(1),
            manifest_version=1,
            workers_digest=context.fleet.workers_digest,
        )
    )
    seconds = _SETTLE_S + _MEASURE_S
    near = max(1, gateways // _DOMAINS)
    sum_period_s = max(_MIN_SUM_PERIOD_S, near / _SUMS_PER_S) / _RELAYS
    count = int(seconds / sum_period_s) + 1 if is_busy else 0
    sums = [
        schema.encode(make_fleet_work(_IDLE_WORKERS, near, 1 + number))
        for number in range(count)
    ]
    port = context.settings.peer_port
    stopped = threading.Event()
    updates = [update for _ in range(2 * int(seconds))]
    senders = [
        threading.Thread(target=_send_to, args=(port, data, period_s, stopped))
        for data, period_s in (
            (updates, _UPDATE_PERIOD_S),
            (sums, sum_period_s),
        )
    ]
    for sender in senders:
        sender.start()
    tasks = [
        asyncio.ensure_future(task)
        for task in (
            peers.receive(),
            peers.broadcast_work(),
            peers.relay_work(),
            _limit_sync.make_limit_sync(context, peers).send(),
            quarantine.send(),
            quarantine.store(),
            _version_sync.make_version_sync(context, client, peers).send(),
            store.sync_manifest(),
            store.sync_workers(),
        )
    ]
    await asyncio.sleep(_SETTLE_S)
    started, started_s = time.thread_time(), time.monotonic()
    await asyncio.sleep(_MEASURE_S)
    used = time.thread_time() - started
    elapsed_s = time.monotonic() - started_s
    stopped.set()
    for task in tasks:
        if task.done():
            await task
        task.cancel()
    return used / elapsed_s


@_slopes.MEASUREMENTS.register('gateway_idle')
def measure_idle() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures an idle gateway against the gateways of the fleet."""
    for name, is_busy in (('an idle fleet', False), ('a busy fleet', True)):
        points = [
            _slopes.Point(
                gateways, asyncio.run(_measure_idle(gateways, is_busy=is_busy))
            )
            for gateways in _GATEWAYS
        ]
        yield _slopes.fit_slope(
            f'idle gateway of {name}', 'gateways', 'share of a core', points
        )
