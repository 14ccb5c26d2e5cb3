"""Starts a small deployment on loopback addresses for the review's scripts.

The gateways are started with the command of the deploy file, the store is the
project's stand-in, and the workers are small HTTP servers in this process, so
that a case can choose each byte that they send and when. A case records what was
sent, answered and run in ``record.txt``.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0
HEARTBEAT_S = 0.4
ATTEMPTS = {'non_idempotent': 1}  # noqa: WPS407
LIMIT_S = 110.0


def is_troubled():
    """Returns whether the case includes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def find_ports(count):
    """Finds free ports on the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(contextlib.closing(socket.socket()))
            for _ in range(count)
        ]
        for opened in sockets:
            opened.bind((HOST, 0))
        return [bound.getsockname()[1] for bound in sockets]


class Record:
    """Writes what was seen, with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(  # noqa: WPS515
            path, 'w', encoding='utf-8', buffering=1
        )
        self._started_s = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._started_s:8.3f} {text}'
        self._file.write(line + '\n')

    def close(self):
        self._file.close()


class Head:
    """Start line and headers of a message, as they were received."""

    def __init__(self, data):
        lines = data.decode('latin-1').split('\r\n')
        self.start = lines[0]
        self.fields = [
            tuple(part.strip() for part in line.split(':', 1))
            for line in lines[1:]
            if ':' in line
        ]

    def get_all(self, name):
        """Returns all values of a header, in the order of their lines."""
        return [v for n, v in self.fields if n.lower() == name.lower()]

    def get(self, name, default=''):
        """Returns the first value of a header."""
        found = self.get_all(name)
        return found[0] if found else default


async def read_message(reader):
    """Reads a message with a length or in chunks; None at the end.

    :returns: its head and body; the body is None where it broke off.
    """
    try:
        head = Head(await reader.readuntil(b'\r\n\r\n'))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    try:
        if 'chunked' in head.get('Transfer-Encoding'):
            body = b''
            while size := int((await reader.readline()).strip() or b'0', 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
            return head, body
        length = int(head.get('Content-Length', '0'))
        return head, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head, None


class Worker:
    """A worker that follows the users' pages, but for what a case changes.

    ``serve`` is called for each request that it accepts, with the head, the
    body, the writer, and the requests that the connection carried before.
    """

    def __init__(self, deployment, name, serve, service='plain', stage=''):
        self.deployment = deployment
        self.id = f'i-{name}'
        self.service = service
        self.stage = stage
        self.state = 'ready'
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.is_listed = True
        self.version = '1'
        self._serve = serve
        self._server = None
        self._writers = set()
        self.running = 0

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._handle, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Ends it as a killed process ends: connections are reset."""
        self.is_listed = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.deployment.record(f'{self.id} crashes')

    async def restart(self, version):
        """Starts it again under its id and address."""
        self.version = version
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        await self.start(self.port)
        await self.register()
        self.is_listed = True
        self.deployment.record(
            f'{self.id} is back with version {version} and registered'
        )

    async def register(self):
        """Writes its entry to the store, as a heartbeat does."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': self.version,
            'slots': 16,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
        await self.deployment.put('servers', self.id, entry)

    async def _handle(self, reader, writer):
        before = []
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                head, body = message
                if body is None:
                    break
                if not await self._answer(head, body, writer, before):
                    break
                before.append(head)
        self._writers.discard(writer)
        with contextlib.suppress(Exception):
            writer.close()

    async def _answer(self, head, body, writer, before):
        record = self.deployment.record
        request_id = head.get('Request-Id')
        if head.get('Expect-Instance', self.id) != self.id:
            record(f'{self.id} answers 421 to {request_id}')
            writer.write(
                f'HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        self.running += 1
        try:
            return await self._serve(self, head, body, writer, before)
        finally:
            self.running -= 1

    def reply(self, head, body, status=200, fields=(), length=True):
        """Makes a whole answer with the worker's digest."""
        lines = [
            f'HTTP/1.1 {status} X',
            f'Request-Id: {head.get("Request-Id")}',
            f'Server-Seal: seal-{self.id}-{head.get("Request-Id")}',
            *fields,
        ]
        if length:
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, deployment, name):
        self.deployment = deployment
        self.name = name
        ports = iter(find_ports(4))
        self.front = next(ports)
        self.readiness = next(ports)
        self.metrics = next(ports)
        self.peer = next(ports)
        self.process = None
        self.log = deployment.folder / f'{name}.log'
        self.settings_path = deployment.folder / f'{name}.settings'

    def write_settings(self, **changes):
        """Writes the settings that the template of the deploy file makes."""
        settings = {
            'host': self.name,
            'domain': 'a',
            'region': 'r',
            'domains': [{'domain': 'a', 'region': 'r'}],
            'address': HOST,
            'front_address': f'{HOST}:{self.front}',
            'readiness_address': f'{HOST}:{self.readiness}',
            'metrics_port': self.metrics,
            'peer_port': self.peer,
            'store_address': self.deployment.store_address,
            'stop_grace_s': 8,
            'retry_share': 0.2,
            'retry_extra': 54,
            'retry_window_s': 10,
        } | changes
        self.settings_path.write_text(json.dumps(settings), encoding='utf-8')

    def start(self):
        """Starts the process; it is restarted by the case only."""
        environment = make_environment()
        environment |= {
            'BRIARKNOT_NODE_FILE': str(self.settings_path),
            'BRIARKNOT_FRONT_ADDRESS': f'{HOST}:{self.front}',
            'SSL_CERT_FILE': '/dev/null',
            'SSL_CERT_DIR': '/dev/null',
        }
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-S', '-m', 'briarknot.gateway.service'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.deployment.processes.append(self.process)
        self.deployment.record(f'{self.name} starts')

    async def is_ready(self):
        """Returns whether its readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n')
            return b' 200 ' in await asyncio.wait_for(reader.readline(), 2)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        await wait_until(self.is_ready, START_LIMIT_S, f'{self.name} is ready')


class Deployment:
    """A store, workers and gateways on loopback addresses."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.processes = []
        self.workers = []
        self.gateways = []
        self.tasks = []
        self.routes = []
        self.services = []
        self.version = 0
        #: Time of the event loop until which streams make no event.
        self.silent_until_s = float('-inf')
        self.store_port = find_ports(1)[0]
        self.store_address = f'{HOST}:{self.store_port}'

    def open_store(self):
        with open(self.folder / 'store.log', 'ab') as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    '-S',
                    '-m',
                    'briarknot_standins.platform',
                    f'--port={self.store_port}',
                ],
                cwd=ROOT,
                env=make_environment(),
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)

    async def start_store(self):
        self.open_store()

        async def answers():
            try:
                await self.call('GET', '/v1/rows-get?table=op&part=')
            except OSError:
                return False
            return True

        await wait_until(answers, START_LIMIT_S, 'the store answers')

    async def call(self, method, path, tree=None):
        """Calls the store as the operator or a worker does."""
        data = json.dumps(tree).encode() if tree else None
        request = urllib.request.Request(
            f'http://{HOST}:{self.store_port}{path}', data, method=method
        )

        def send():
            with urllib.request.urlopen(request, timeout=5) as response:
                return json.loads(response.read() or b'{}')

        return await asyncio.to_thread(send)

    async def put(self, table, key, value):
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': encoded}
        return await self.call('POST', '/v1/rows-tx', {'put': [row]})

    async def remove(self, table, key):
        row = {'table': table, 'part': '', 'key': key}
        return await self.call('POST', '/v1/rows-tx', {'remove': [row]})

    def add_route(self, name, kind, service, **changes):
        self.routes.append(
            {
                'name': name,
                'host': 'site.example',
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 4000,
                'targetLatencyMs': 800,
                'priority': 1,
                'service': service,
                'maxAttempts': ATTEMPTS.get(kind, 2),
            }
            | changes
        )

    async def write_manifest(self):
        self.version += 3
        manifest = {
            'version': self.version,
            'routes': self.routes,
            'services': self.services,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        await self.put('op', 'config', manifest)
        self.record(f'the operator writes manifest {self.version}')

    async def add_worker(self, name, serve, **options):
        worker = Worker(self, name, serve, **options)
        await worker.start()
        await worker.register()
        self.workers.append(worker)
        return worker

    async def add_gateway(self, name):
        gateway = Gateway(self, name)
        gateway.write_settings()
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def run_heartbeats(self):
        async def send():
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                listed = [one for one in self.workers if one.is_listed]
                with contextlib.suppress(OSError):
                    await asyncio.gather(*(one.register() for one in listed))

        self.tasks.append(asyncio.create_task(send()))

    def stop(self):
        """Ends all processes that the case started."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


class Client:
    """A client with one connection, which it keeps open."""

    def __init__(self, deployment, port):
        self._deployment = deployment
        self._port = port
        self._reader = None
        self._writer = None

    async def send(
        self, method, path, request_id, fields=(), body=b'', limit_s=4.0
    ):
        """Sends a request and reads its answer.

        :returns: status, head and body; the status is 0, or the body None, where
            the connection ended first.
        """
        record = self._deployment.record
        if self._writer is None:
            opened = await asyncio.open_connection(HOST, self._port)
            self._reader = opened[0]
            self._writer = opened[1]
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: site.example',
            f'Request-Id: {request_id}',
            f'Deadline-Ms: {int(limit_s * 1000)}',
            *fields,
        ]
        if body or method in {'POST', 'PUT'}:
            lines.append(f'Content-Length: {len(body)}')
        record(f'client sends {request_id}: {lines[0]} {list(fields)}')
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        try:
            async with asyncio.timeout(limit_s + 0.5):
                message = await read_message(self._reader)
        except TimeoutError:
            record(f'client gives up {request_id}')
            self.close()
            return 0, None, None
        if message is None:
            record(f'client gets no answer to {request_id}: closed')
            self.close()
            return 0, None, None
        head, received = message
        status = int(head.start.split()[1])
        shown = 'broken off' if received is None else repr(received[:300])
        record(
            f'client gets {status} to {request_id}, named'
            f' {head.get("Request-Id")!r}, digest'
            f' {head.get("Server-Seal")!r}, body {shown}'
        )
        if received is None or 'close' in head.get('Connection'):
            self.close()
        return status, head, received

    def detach(self):
        """Returns the kept connection, for a request that is a stream."""
        return self._reader, self._writer

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def make_environment():
    """Makes the environment that the platform gives to a process."""
    names = ('PATH', 'HOME', 'LANG')
    kept = {one: os.environ[one] for one in names if one in os.environ}
    path = f'{ROOT / "target" / "deps"}:{ROOT}'
    return kept | {'PYTHONPATH': path, 'PYTHONDONTWRITEBYTECODE': '1'}


async def wait_until(check, limit_s, what):
    """Waits for a condition, and fails the case where it doesn't come."""
    end_s = time.monotonic() + limit_s
    while not await check():
        if time.monotonic() > end_s:
            raise RuntimeError(f'not in {limit_s} s: {what}')
        await asyncio.sleep(0.05)


def make_id():
    """Makes the id of a client attempt."""
    return f'{random.getrandbits(64):016x}'


def run(case):
    """Runs a case, and exits with its result.

    :param case: coroutine function that gets a deployment with a store, and
        returns what broke the rule, one text each.
    """
    record = Record(pathlib.Path(sys.argv[1]) / 'record.txt')
    record(f'TROUBLE={int(is_troubled())}')
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(_run(case, record, pathlib.Path(folder)))
    record(f'exit {result}')
    record.close()
    sys.exit(result)


def copy_logs(folder):
    """Copies the logs of the processes where LOGS names a folder."""
    target = os.environ.get('LOGS')
    for path in folder.glob('*.log') if target else ():
        pathlib.Path(target, path.name).write_bytes(path.read_bytes())


async def _run(case, record, folder):
    deployment = Deployment(record, folder)
    try:
        async with asyncio.timeout(LIMIT_S):
            await deployment.start_store()
            found = await case(deployment)
    except Exception:
        record(f'the case could not run: {traceback.format_exc()}')
        return NOT_RUN
    finally:
        deployment.stop()
        copy_logs(folder)
    for one in found:
        record(f'BROKEN: {one}')
    return BROKEN if found else HELD
