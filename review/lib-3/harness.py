"""A small deployment on loopback addresses for the cases 11 to 15.

The gateways are the project's own program, started with the command and the variables
of the deploy file, and with its template's settings. The store is the project's
stand-in of the platform. Workers and clients are small stand-ins in this process.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPS = ROOT / 'target' / 'deps'
HELD, BROKEN, NOT_RUN = 0, 1, 2
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case can't run here."""


def has_trouble():
    """Returns whether the disruption is to be caused."""
    return os.environ.get('TROUBLE', '1') != '0'


def find_port(address):
    """Returns a free TCP port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def note(self, text):
        """Writes a line."""
        seconds = time.monotonic() - self._started_s
        self._file.write(f'{seconds:8.3f}  {text}\n')
        self._file.flush()


# --- HTTP -----------------------------------------------------------------------


class Message:
    """A request or an answer: its first line, headers in order, and body."""

    def __init__(self, line, headers, body=b''):
        self.line = line
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Returns the first header of a name."""
        return next(
            (v for n, v in self.headers if n.lower() == name.lower()), default
        )

    def get_all(self, name):
        """Returns all headers of a name."""
        return [v for n, v in self.headers if n.lower() == name.lower()]

    @property
    def status(self):
        """Status of an answer."""
        return int(self.line.split(' ')[1])


async def read_head(reader):
    """Reads a first line and headers; None where the connection ends before."""
    try:
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *lines = text[:-4].split('\r\n')
    headers = [tuple(p.strip() for p in one.split(':', 1)) for one in lines]
    return Message(line, headers)


async def read_chunks(reader):
    """Yields the chunks of a body, and None after its regular end."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            yield None
            return
        yield data[:-2]


async def read_request(reader):
    """Reads a whole request; None where the connection ends before it."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.get('Transfer-Encoding').lower() == 'chunked':
            async for part in read_chunks(reader):
                message.body += part or b''
        else:
            length = int(message.get('Content-Length', '0'))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def make_answer(status, request_id, body=b'', headers=()):
    """Makes a whole answer of a worker."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'Request-Id: {request_id}')
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


# --- Deployment -----------------------------------------------------------------


class Fleet:
    """The processes of one run of a case."""

    def __init__(self, folder):
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='briarknot-case-'))
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.note = self.record.note
        self.processes = []
        self.gateways = {}
        self.tasks = []
        self.workers = []
        self.store = ('127.0.0.1', find_port('127.0.0.1'))

    def start(self, name, arguments, variables):
        """Starts a process, whose output goes to a file."""
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME')
            if key in os.environ
        }
        environment |= {
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(DEPS),
            'PYTHONDONTWRITEBYTECODE': '1',
            **variables,
        }
        with (self.temp / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    async def start_store(self, manifest):
        """Starts the store and writes the first manifest."""
        if not DEPS.is_dir():
            raise CannotRunError(
                'target/deps is missing: build the deploy file'
            )
        host, port = self.store
        self.start(
            'store',
            [
                'python3',
                '-m',
                'briarknot_standins.platform',
                '--port',
                str(port),
            ],
            {},
        )
        await wait_for_listener(host, port)
        await self.write_row('op', 'config', manifest)

    async def write_row(self, table, key, value):
        """Writes a row as the operator or a worker; None removes it."""
        row = {'table': table, 'part': '', 'key': key}
        kind = 'remove'
        if value is not None:
            kind = 'put'
            text = (
                value
                if isinstance(value, bytes)
                else json.dumps(value).encode()
            )
            row['value'] = base64.b64encode(text).decode()
        body = json.dumps({kind: [row]}).encode()
        status, _ = await call(self.store, 'POST', '/v1/rows-tx', body)
        return status == 200

    def write_settings(self, name, address, ports, zone, zones):
        """Writes what the template of the deploy file makes for a machine."""
        path = self.temp / f'{name}.settings'
        settings = {
            'host': name,
            'domain': zone,
            'region': zones[zone],
            'domains': [
                {'domain': one, 'region': region}
                for one, region in zones.items()
            ],
            'address': address,
            'front_address': f'{address}:{ports[0]}',
            'readiness_address': f'{address}:{ports[1]}',
            'metrics_port': ports[2],
            'peer_port': ports[3],
            'store_address': f'{self.store[0]}:{self.store[1]}',
            'stop_grace_s': 8,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'retry_share': 0.2,
            'retry_extra': 54,
            'retry_window_s': 10,
            'duty_address': '',
            'duties': [],
        }
        path.write_text(json.dumps(settings, indent=1), encoding='utf-8')
        return path

    def add_gateway(self, name, address, zone, zones):
        """Writes the settings of a machine whose process is not started."""
        ports = [find_port(address) for _ in range(4)]
        path = self.write_settings(name, address, ports, zone, zones)
        self.gateways[name] = {
            'front': (address, ports[0]),
            'ready': (address, ports[1]),
            'settings': path,
            'process': None,
        }

    def launch(self, name):
        """Starts the process of a machine with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        gateway = self.gateways[name]
        host, port = gateway['front']
        gateway['process'] = self.start(
            name,
            deploy['roles']['gateway']['run'].split(),
            {
                'BRIARKNOT_NODE_FILE': str(gateway['settings']),
                'BRIARKNOT_FRONT_ADDRESS': f'{host}:{port}',
                'SSL_CERT_FILE': '/dev/null',
                'SSL_CERT_DIR': '/dev/null',
            },
        )
        return gateway['process']

    async def wait_ready(self, name, limit_s=15):
        """Waits until the readiness check of a machine answers 200."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            status, _ = await call(
                self.gateways[name]['ready'], 'GET', '/v1/ready'
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{name} is not ready')

    def read_events(self, name):
        """Returns the log lines of a machine's process."""
        events = []
        path = self.temp / f'{name}.log'
        for line in path.read_text(encoding='utf-8').splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                events.append(json.loads(line))
        return events

    async def close(self):
        """Ends everything that was started."""
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            worker.crash()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get('KEEP'):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


async def call(address, method, path, body=b'', headers=()):
    """Makes a call on a connection of its own; the status is 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(*address)
            lines = [
                f'{method} {path} HTTP/1.1',
                'Host: h',
                'Connection: close',
            ]
            lines += [f'{name}: {value}' for name, value in headers]
            lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            answer = await read_head(reader)
            if answer is None:
                return 0, b''
            return answer.status, await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


async def wait_for_listener(host, port, limit_s=15):
    """Waits until a process listens."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return
    raise CannotRunError(f'nothing listens on {host}:{port}')


# --- Workers --------------------------------------------------------------------


class Worker:
    """A worker as the pages describe it.

    ``handle`` answers one request, which the worker has not rejected.
    """

    def __init__(self, fleet, name, service, zone, handle, **entry):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.handle = handle
        self.entry = entry
        self.state = 'ready'
        self.address = '127.0.0.1'
        self.port = 0
        self.is_up = False
        self.sequence = 0
        self.born = 0
        self._server = None
        self._beat = None
        self._writers = set()
        fleet.workers.append(self)

    @property
    def place(self):
        """Its address as entries state it."""
        return f'{self.address}:{self.port}'

    async def start(self, place=None):
        """Starts a lifetime, on the port that it had before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        if place:
            self.entry['place'] = place
        self.born = int(time.time() * 1000)
        self.is_up = True
        self._beat = asyncio.create_task(self._send_beats())
        await self.report()

    async def report(self):
        """Writes its entry to the store."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.entry.get('place', self.place),
            'zone': self.zone,
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        entry |= {k: v for k, v in self.entry.items() if k != 'place'}
        return await self.fleet.write_row('servers', self.name, entry)

    def crash(self):
        """Ends at once: its port refuses, and its connections are reset."""
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _send_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    async def _serve(self, reader, writer):
        if not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self._answer(request, reader, writer)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            # At the end of the case.
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        expected = request.get('Expect-Instance')
        request_id = request.get('Request-Id')
        if expected and expected != self.name:
            writer.write(
                make_answer(
                    421, request_id, headers=[('Instance-Id', self.name)]
                )
            )
            return
        await self.handle(self, request, reader, writer)


async def run_case(folder, case):
    """Runs a case, and returns its exit status."""
    fleet = Fleet(folder)
    try:
        async with asyncio.timeout(110):
            is_broken = await case(fleet)
        fleet.note('the rule was broken' if is_broken else 'the rule held')
        return BROKEN if is_broken else HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        fleet.note(f'could not run: {error!r}')
        return NOT_RUN
    except Exception:
        fleet.note(traceback.format_exc())
        return NOT_RUN
    finally:
        await fleet.close()


def main(path, case):
    """Runs a case as a program."""
    folder = pathlib.Path(path).resolve().parent
    sys.exit(asyncio.run(run_case(folder, case)))
