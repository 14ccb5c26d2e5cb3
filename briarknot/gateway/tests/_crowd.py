"""A gateway process on a small host, and clients that don't keep the limits."""

import asyncio
import base64
import contextlib
import json
import pathlib
import socket

import attrs

from briarknot_standins import launcher

HOST = '127.0.0.1'
#: What the host has. The process ran out of memory or descriptors where it
#: exceeded them.
MEMORY_MB = 96
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 4 << 20
#: Time that a crowd has for sending.
_SEND_S = 10
_KB = 1024
_ROUTE = {
    'name': 'r',
    'host': HOST,
    'pathPrefix': '/r/',
    'kind': 'idempotent',
    'timeoutMs': 60_000,
    'targetLatencyMs': 1000,
    'service': 'plain',
    'maxAttempts': 2,
}
#: Routes of the worker whose answers a test sets, by the names of its services.
_FAULTY_ROUTES = {
    'faulty': {'kind': 'idempotent'},
    'faulty-engine': {'kind': 'streaming', 'resumable': True},
}
_MANIFEST = {
    'version': 1,
    'routes': [
        _ROUTE,
        *(
            _ROUTE
            | {'name': name, 'pathPrefix': f'/{name}/', 'service': name}
            | {'maxAttempts': 1}
            | kind
            for name, kind in _FAULTY_ROUTES.items()
        ),
    ],
    'services': [
        {'name': 'plain', 'maxConnections': 200},
        {'name': 'faulty', 'maxConnections': 200},
        {
            'name': 'faulty-engine',
            'maxConnections': 200,
            'engine': {'slots': 200, 'kvTokens': 400_000, 'handleTtlS': 5},
        },
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': MAX_BODY_BYTES,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


@attrs.define(eq=False)
class SmallHost:
    """A running gateway process with its own small limits."""

    process: launcher.Process
    faulty: 'FaultyWorker'
    _crowd: list[socket.socket] = attrs.field(factory=list)

    async def send_crowd(self, count, data):
        """Sends the same bytes on many connections, which stay open."""
        loop = asyncio.get_running_loop()

        async def send(connection):
            with contextlib.suppress(OSError):
                await loop.sock_connect(connection, (HOST, self.process.port))
                await loop.sock_sendall(connection, data)

        for _ in range(count):
            connection = socket.socket()
            # The responses that a client doesn't read stay at the process.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            self._crowd.append(connection)
        tasks = [asyncio.create_task(send(one)) for one in self._crowd]
        _, pending = await asyncio.wait(tasks, timeout=_SEND_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def fetch(self, head, times=0, data=b'', end=b''):
        """Sends one request, and reads its response until it closes."""
        reader, writer = await asyncio.open_connection(HOST, self.process.port)
        writer.write(head)
        for _ in range(times):
            writer.write(data)
            await writer.drain()
        writer.write(end)
        response = await reader.read()
        writer.close()
        return response

    async def fetch_ordinary(self):
        """Sends an ordinary request, again after refusals as clients do."""
        head = make_head('GET', 10, 'Connection: close\r\nDeadline-Ms: 8000')
        for _ in range(5):
            with contextlib.suppress(OSError):
                response = await self.fetch(head)
                if response.startswith(b'HTTP/1.1 200'):
                    return response
            await asyncio.sleep(1)
        return b''

    async def check(self):
        """Checks that the process lives within its host and answers."""
        response = await self.fetch_ordinary()
        peak_mb = self._read_peak_mb()
        descriptors = self._count_descriptors()
        state = f'{peak_mb:.0f} MB, {descriptors} descriptors, {response!r}'
        assert self.process.exit_status is None, self.process.read_output()
        assert peak_mb < MEMORY_MB, state
        assert descriptors < MAX_DESCRIPTORS, state
        assert response.endswith(b'\r\n\r\n' + b'x' * 10), state
        assert 'Traceback' not in self.process.read_output()

    def _count_descriptors(self):
        """Counts the open file descriptors of the process."""
        folder = pathlib.Path(f'/proc/{self.process.pid}/fd')
        return sum(1 for _ in folder.iterdir())

    def _read_peak_mb(self):
        """Returns the largest resident size so far."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0]) / _KB

    def close_crowd(self):
        """Closes the connections of the crowd."""
        for connection in self._crowd:
            connection.close()
        self._crowd.clear()


@attrs.define(eq=False)
class FaultyWorker:
    """A worker that sends an answer without end on each connection.

    :param start: its first bytes.
    :param block: bytes that it sends again and again until it is disconnected.
    :param sent_bytes: bytes that it has sent.
    """

    start: bytes = b''
    block: bytes = b''
    sent_bytes: int = 0

    async def answer(self, reader, writer):
        """Serves a connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.start)
            while True:
                writer.write(self.block)
                self.sent_bytes += len(self.block)
                await writer.drain()
        writer.close()


def make_head(method, size, *lines, route='r'):
    """Makes the header section of a request for a response of some size."""
    return '\r\n'.join(
        (
            f'{method} /{route}/{size} HTTP/1.1',
            f'Host: {HOST}',
            'Request-Id: q',
            *lines,
            '\r\n',
        )
    ).encode()


async def _answer(reader, writer):
    """Serves a connection of the worker: as many bytes as the path says."""
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            _, _, length = head.partition('content-length:')
            if length:
                await reader.readexactly(int(length.split()[0]))
            size = int(head.split()[1].rpartition('/')[2])
            writer.write(
                b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Seal: s\r\n'
                b'Content-Length: %d\r\n\r\n' % size
            )
            writer.write(b'x' * size)
            await writer.drain()
    writer.close()


async def _write_manifest(store, limits):
    manifest = {**_MANIFEST, 'limits': {**_MANIFEST['limits'], **limits}}
    value = base64.b64encode(json.dumps(manifest).encode()).decode()
    row = {'table': 'op', 'part': '', 'key': 'config', 'value': value}
    body = json.dumps({'put': [row]}).encode()
    reader, writer = await asyncio.open_connection(HOST, store.port)
    writer.write(
        b'POST /v1/rows-tx HTTP/1.1\r\nHost: s\r\nConnection: close\r\n'
        b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n'
        % len(body)
        + body
    )
    response = await reader.read()
    writer.close()
    assert response.startswith(b'HTTP/1.1 200')


@contextlib.asynccontextmanager
async def open_host(**limits):
    """Runs a gateway process, a store, and a worker.

    The limits replace those of the manifest.
    """
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(launcher.make_cluster())
        worker = await asyncio.start_server(_answer, HOST)
        stack.callback(worker.close)
        worker_port = worker.sockets[0].getsockname()[1]
        store = await cluster.start('briarknot_standins.platform')
        await _write_manifest(store, limits)
        faulty = FaultyWorker()
        faulty_server = await asyncio.start_server(faulty.answer, HOST)
        stack.callback(faulty_server.close)
        faulty_port = faulty_server.sockets[0].getsockname()[1]
        # They keep the workers above in the store.
        for service, address, stage in (
            ('plain', worker_port, 'none'),
            ('faulty', faulty_port, 'none'),
            ('faulty-engine', faulty_port, 'decode'),
        ):
            await cluster.start(
                'briarknot_standins.worker',
                ['--address', f'{HOST}:{address}', '--store', store.url]
                + ['--service', service, '--stage', stage]
                + ['--failure-share', '0', '--seed', '1'],
            )
        port, readiness_port, metrics_port = (
            cluster.choose_port() for _ in range(3)
        )
        path = cluster.write_settings(
            'gateway',
            {
                'host': 'g',
                'domain': 'a',
                'region': 'a',
                'address': HOST,
                'front_address': f'{HOST}:{port}',
                'readiness_address': f'{HOST}:{readiness_port}',
                'metrics_port': metrics_port,
                'store_address': f'{HOST}:{store.port}',
                'memory_mb': MEMORY_MB,
                'max_descriptors': MAX_DESCRIPTORS,
            },
        )
        process = await cluster.start(
            'briarknot.gateway', ['--settings', str(path)], port=port
        )
        host = SmallHost(process, faulty)
        stack.callback(host.close_crowd)
        await host.check()
        yield host
