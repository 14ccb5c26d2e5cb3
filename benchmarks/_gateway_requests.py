"""Slopes of the CPU time that a gateway process needs for its requests.

The gateway runs in a process of its own; clients and scripted workers run in
this one. The worker's port is passed as that of the metrics, which the measured
process doesn't serve.
"""

import asyncio
import collections.abc
import compileall
import contextlib
import functools
import itertools
import os
import sys
import sysconfig
import tempfile

import attrs
import orjson
import psutil

from benchmarks import _slopes
from briarknot_standins import launcher

_REQUESTS = (50, 100, 200)
_EVENTS = (10, 100, 400)
_LINES = (50, 100, 200)
_STARTS = (1, 2, 4)
_STREAMS = 10
#: Pause of a worker between two events, so that each is read by itself.
_EVENT_PAUSE_S = 0.002
#: Requests before a measurement, which load what the first ones load.
_WARM_UP = 20
_START_TIMEOUT_S = 20.0
_ATTEMPT_PAUSE_S = 0.02
_HOST = '127.0.0.1'
_HANDLE = b'{"kvHandle":"k1","tokens":9000,"version":1}'
_PROMPT = 'Token-Counts: 9000,5\r\nPrompt-Prefix: aa:6000,bb:3000\r\n'
_STATEMENTS = 'Server-Seal: 0123456789abcdef\r\nInstance-Load: 1,0,64,100\r\n'


def _read_header(head: str, name: str) -> str:
    _, _, rest = head.partition(f'\r\n{name}: ')
    return rest.partition('\r\n')[0]


async def _write_stream(
    writer: asyncio.StreamWriter, start: str, events: int
) -> None:
    writer.write(
        f'{start}Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'.encode()
    )
    for number in range(1, events + 1):
        event = f'id: {number}\ndata: {{"text": "token"}}\n\n'
        writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
        await asyncio.sleep(_EVENT_PAUSE_S)
    writer.write(b'0\r\n\r\n')


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers a gateway's requests on one connection as a worker."""
    try:
        while True:
            await _answer_next(reader, writer)
    except (asyncio.IncompleteReadError, OSError):
        return
    finally:
        writer.close()


async def _answer_next(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    await reader.readexactly(int(_read_header(head, 'Content-Length') or 0))
    name = _read_header(head, 'Request-Id')
    start = f'HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n{_STATEMENTS}'
    path = head.split(' ', 2)[1]
    if path.startswith('/streams/') and 'Serving-Stage' not in head:
        await _write_stream(writer, start, int(path.split('/')[2]))
        return
    length = f'{start}Content-Length: {len(_HANDLE)}\r\n\r\n'
    writer.write(length.encode() + _HANDLE)


@attrs.frozen
class _Client:
    """Sends requests to the measured process.

    :param port: port for clients.
    :param control: connection to the control port.
    """

    port: int
    control: tuple[asyncio.StreamReader, asyncio.StreamWriter]

    async def read_cpu_s(self, lines: int = 0) -> tuple[float, float]:
        """Has the process log lines, and returns its CPU time before and after.

        :param lines: number of lines.
        """
        reader, writer = self.control
        writer.write(f'{lines}\n'.encode())
        return tuple(orjson.loads(await reader.readline()))

    async def send(self, paths: collections.abc.Sequence[str]) -> None:
        """Sends requests one after the other on one connection.

        :param paths: their paths.
        """
        reader, writer = await asyncio.open_connection(_HOST, self.port)
        for number, path in enumerate(paths):
            prompt = _PROMPT if path.startswith('/streams/') else ''
            writer.write(
                f'POST {path} HTTP/1.1\r\nHost: {_HOST}:{self.port}\r\n'
                f'Request-Id: request-{number}\r\nDeadline-Ms: 20000\r\n'
                'User-Agent: benchmark\r\nAccept: */*\r\n'
                f'Content-Type: application/json\r\n{prompt}'
                'Content-Length: 100\r\n\r\n'.encode()
                + b'x' * 100
            )
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            if not head.startswith('HTTP/1.1 200'):
                raise RuntimeError(head)
            if 'chunked' in head:
                await reader.readuntil(b'0\r\n\r\n')
            else:
                await reader.readexactly(
                    int(_read_header(head, 'Content-Length'))
                )
        writer.close()

    async def measure(
        self, connections: collections.abc.Iterable[list[str]]
    ) -> float:
        """Sends requests, and returns the CPU time that they took.

        :param connections: paths of the requests for each connection.
        """
        before_s, _ = await self.read_cpu_s()
        await asyncio.gather(*[self.send(paths) for paths in connections])
        after_s, _ = await self.read_cpu_s()
        return after_s - before_s


def _make_settings(worker_port: int) -> dict[str, object]:
    return {
        'host': 'g',
        'domain': 'a',
        'region': 'a',
        'address': _HOST,
        'front_address': f'{_HOST}:{launcher.choose_port()}',
        'readiness_address': f'{_HOST}:{launcher.choose_port()}',
        'metrics_port': worker_port,
        'store_address': f'{_HOST}:1',
        'peer_port': launcher.choose_port(),
    }


async def _connect(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connects to a process that may not listen yet."""
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                return await asyncio.open_connection(_HOST, port)
            await asyncio.sleep(_ATTEMPT_PAUSE_S)


async def _end(process: asyncio.subprocess.Process) -> None:
    process.kill()
    await process.wait()


@contextlib.asynccontextmanager
async def _run_gateway() -> collections.abc.AsyncIterator[_Client]:
    server = await asyncio.start_server(_answer, _HOST)
    settings = _make_settings(server.sockets[0].getsockname()[1])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'benchmarks._gateway_process',
        orjson.dumps(settings),
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        control = await _connect(settings['peer_port'])
        port = int(settings['front_address'].rpartition(':')[2])
        client = _Client(port, control)
        warm_up = ['/plain/x', '/once/x', '/streams/3']
        await client.measure(itertools.repeat(warm_up, _WARM_UP))
        yield client
        control[1].close()
    finally:
        server.close()
        await _end(process)


async def _measure_requests(
    path: str = '/plain/x', *, is_reused: bool = True
) -> list[_slopes.Point]:
    points = []
    async with _run_gateway() as client:
        for count in _REQUESTS:
            # Ten connections, or one for each request.
            connections = 10 if is_reused else count
            paths = list(itertools.repeat(path, count // connections))
            used_s = await client.measure(itertools.repeat(paths, connections))
            points.append(_slopes.Point(count, used_s))
    return points


async def _measure_events() -> list[_slopes.Point]:
    points = []
    async with _run_gateway() as client:
        for count in _EVENTS:
            used_s = await client.measure(
                itertools.repeat([f'/streams/{count}'], _STREAMS)
            )
            points.append(_slopes.Point(count * _STREAMS, used_s))
    return points


async def _measure_lines() -> list[_slopes.Point]:
    points = []
    async with _run_gateway() as client:
        for count in _LINES:
            before_s, after_s = await client.read_cpu_s(count)
            points.append(_slopes.Point(count, after_s - before_s))
    return points


async def _measure_start() -> float:
    """Starts the program, and returns its CPU time until it listens."""
    settings = _make_settings(launcher.choose_port())
    readiness_port = int(settings['readiness_address'].rpartition(':')[2])
    with tempfile.NamedTemporaryFile(suffix='.settings') as file:
        file.write(orjson.dumps(settings))
        file.flush()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-S',
            '-m',
            'briarknot.gateway.service',
            stdout=asyncio.subprocess.DEVNULL,
            # As the platform starts it; see deploy/system.toml.
            env={
                **os.environ,
                'PYTHONPATH': os.pathsep.join(
                    (os.getcwd(), sysconfig.get_path('purelib'))
                ),
                'BRIARKNOT_NODE_FILE': file.name,
                'BRIARKNOT_FRONT_ADDRESS': settings['front_address'],
                'SSL_CERT_FILE': os.devnull,
                'SSL_CERT_DIR': os.devnull,
            },
        )
        try:
            _, writer = await _connect(readiness_port)
            writer.close()
            return sum(psutil.Process(process.pid).cpu_times()[:2])
        finally:
            await _end(process)


async def _measure_starts() -> list[_slopes.Point]:
    # The build compiles the modules; see deploy/system.toml.
    compileall.compile_dir(os.path.join(os.getcwd(), 'briarknot'), quiet=1)
    return [
        _slopes.Point(
            count, sum([await _measure_start() for _ in range(count)])
        )
        for count in _STARTS
    ]


@_slopes.MEASUREMENTS.register('gateway_request')
def measure_requests() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures requests, events, connections, log lines, and starts."""
    for name, per, measure in (
        ('request', 'requests', _measure_requests),
        (
            'request that runs once',
            'requests',
            functools.partial(_measure_requests, '/once/x'),
        ),
        (
            'generation',
            'requests',
            functools.partial(_measure_requests, '/streams/3'),
        ),
        (
            'request on a new connection',
            'requests',
            functools.partial(_measure_requests, is_reused=False),
        ),
        ('event', 'events', _measure_events),
        ('log line', 'lines', _measure_lines),
        ('start', 'starts', _measure_starts),
    ):
        points = asyncio.run(measure())
        yield _slopes.fit_slope(f'gateway {name}', per, 'CPU s', points)
