"""Starts a small deployment on loopback addresses, and ends it again.

The gateways are the project's own programs, started with the command and the
variables of the deploy file. The store is the project's stand-in of the platform.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
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
HELD = 0
BROKEN = 1
NOT_RUN = 2


class CannotRun(Exception):
    """The case can't run here."""


def read_trouble():
    """Returns whether the disruption is to be caused."""
    return os.environ.get('TROUBLE', '1') != '0'


class Fleet:
    """Processes of one run of a case."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='briarknot-review-'))
        self.record = (self.folder / 'record.txt').open('w')
        self.processes = []
        self.gateways = {}
        self.settings = {}
        self.worker_processes = {}
        self.worker_configs = {}
        self.worker_log = self.temp / 'workers.jsonl'
        self.started_s = time.monotonic()
        self._ports = set()
        self.store_port = self.choose_port()

    def note(self, text):
        """Writes a line to the record."""
        line = f'{time.monotonic() - self.started_s:8.3f}  {text}'
        self.record.write(line + '\n')
        self.record.flush()

    def choose_port(self):
        """Returns a free port below those of outgoing connections."""
        while True:
            port = random.randrange(12_000, 32_000)
            if port in self._ports:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(('127.0.0.1', port))
                except OSError:
                    continue
            self._ports.add(port)
            return port

    def start_process(self, name, arguments, variables):
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(DEPS),
            'PYTHONDONTWRITEBYTECODE': '1',
            **variables,
        }
        log = (self.temp / f'{name}.log').open('ab')
        process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        return process

    async def start_store(self, manifest):
        """Starts the store, and writes the first manifest."""
        if not DEPS.is_dir():
            raise CannotRun(
                'target/deps is missing: the deploy file was not built'
            )
        self.start_process(
            'store',
            [
                'python3',
                '-m',
                'briarknot_standins.platform',
                '--port',
                str(self.store_port),
            ],
            {},
        )
        await wait_for_port(self.store_port)
        await self.write_manifest(manifest)

    async def write_manifest(self, manifest):
        """Writes a manifest as the operator."""
        value = base64.b64encode(json.dumps(manifest).encode()).decode()
        row = {'table': 'op', 'part': '', 'key': 'config', 'value': value}
        body = json.dumps({'put': [row]}).encode()
        status, _, _ = await request(
            self.store_port, 'POST', '/v1/rows-tx', {}, body
        )
        if status != 200:
            raise CannotRun(f'the store answers {status} to the manifest')

    async def call_store(self, path, tree):
        """Calls the stand-in's own controls."""
        return await request(
            self.store_port, 'POST', path, {}, json.dumps(tree).encode()
        )

    def make_settings(self, name, zone='a', **changes):
        """Makes the settings of a gateway, as the deploy file's template does."""
        zones = ('a', 'b', 'c')
        settings = {
            'host': name,
            'domain': zone,
            'region': f'region-{zone}',
            'domains': [
                {'domain': one, 'region': f'region-{one}'} for one in zones
            ],
            'address': '127.0.0.1',
            'front_address': f'127.0.0.1:{self.choose_port()}',
            'readiness_address': f'127.0.0.1:{self.choose_port()}',
            'metrics_port': self.choose_port(),
            'peer_port': self.choose_port(),
            'store_address': f'127.0.0.1:{self.store_port}',
            'stop_grace_s': 8,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'retry_share': 0.2,
            'retry_extra': 54,
            'retry_window_s': 10,
            'duty_address': '',
            'duties': [],
        }
        settings.update(changes)
        self.settings[name] = settings
        path = self.temp / f'{name}.json'
        path.write_text(json.dumps(settings))
        return settings

    def start_gateway(self, name):
        """Starts a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        role = deploy['roles']['gateway']
        settings = self.settings[name]
        variables = {
            key: text.replace('{{listen.front}}', settings['front_address'])
            for key, text in role['env'].items()
        }
        variables['BRIARKNOT_NODE_FILE'] = str(self.temp / f'{name}.json')
        process = self.start_process(name, role['run'].split(), variables)
        self.gateways[name] = process
        return process

    async def wait_ready(self, name, timeout_s=15):
        """Waits until a gateway answers the readiness check with 200."""
        end_s = time.monotonic() + timeout_s
        port = get_port(self.settings[name]['readiness_address'])
        while time.monotonic() < end_s:
            try:
                status, _, _ = await request(port, 'GET', '/v1/ready', {})
            except OSError:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{name} is not ready after {timeout_s} s')

    def get_front(self, name):
        """Returns the port for clients."""
        return get_port(self.settings[name]['front_address'])

    def start_worker(self, worker_id, service, **options):
        """Starts a worker, or starts it again, also with other options."""
        config = {**self.worker_configs.get(worker_id, {}), **options}
        config.update(
            id=worker_id,
            service=service,
            store_port=self.store_port,
            log=str(self.worker_log),
        )
        config.setdefault('port', self.choose_port())
        self.worker_configs[worker_id] = config
        program = pathlib.Path(__file__).with_name('worker.py')
        process = self.start_process(
            worker_id, ['python3', str(program), json.dumps(config)], {}
        )
        self.worker_processes[worker_id] = process
        return process

    def kill_worker(self, worker_id):
        """Ends a worker at once, as in a crash."""
        process = self.worker_processes[worker_id]
        process.kill()
        process.wait()

    async def wait_worker(self, worker_id):
        await wait_for_port(self.worker_configs[worker_id]['port'])

    def read_worker_log(self):
        """Returns what the workers wrote."""
        if not self.worker_log.exists():
            return []
        lines = self.worker_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def close(self):
        """Ends all processes, and adds the workers' log to the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.write('\nwhat the workers wrote:\n')
        for line in self.read_worker_log():
            line['t'] = round(line['t'] - self.started_s, 3)
            self.record.write(json.dumps(line) + '\n')
        self.record.close()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def get_port(address):
    return int(address.rpartition(':')[2])


async def wait_for_port(port, timeout_s=15):
    """Waits until something listens at a port."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return
    raise CannotRun(f'nothing listens at port {port}')


async def request(port, method, path, headers, body=b''):
    """Sends one request on a new connection; returns status, headers, and body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        fields = {'Host': 'shop.example', **headers}
        fields['Content-Length'] = str(len(body))
        lines = ''.join(
            f'{name}: {value}\r\n' for name, value in fields.items()
        )
        writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        status, answer = await read_head(reader)
        length = int(answer.get('content-length', 0))
        return status, answer, await reader.readexactly(length)
    finally:
        writer.close()


async def read_head(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    answer = {}
    for line in lines:
        name, _, value = line.partition(':')
        answer[name.strip().lower()] = value.strip()
    return int(first.split(' ')[1]), answer


async def read_stream(port, path, headers, body=b''):
    """Reads a stream; returns status, its bytes, and whether it is complete."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    data = b''
    try:
        fields = {'Host': 'shop.example', **headers}
        fields['Content-Length'] = str(len(body))
        lines = ''.join(
            f'{name}: {value}\r\n' for name, value in fields.items()
        )
        writer.write(f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        status, answer = await read_head(reader)
        if answer.get('transfer-encoding') != 'chunked':
            length = int(answer.get('content-length', 0))
            return status, await reader.readexactly(length), True
        while True:
            size = int((await reader.readline()).strip(), 16)
            data += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return status, data, True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return 0, data, False
    finally:
        writer.close()


def run_case(folder, play):
    """Runs a case, and exits with its result.

    :param folder: folder of the case.
    :param play: coroutine function; it returns whether the rule held.
    """
    # Ends the processes of the case also where its run is cut short.
    signal.signal(signal.SIGTERM, _stop)
    fleet = Fleet(folder)
    result = NOT_RUN
    try:
        held = asyncio.run(play(fleet, read_trouble()))
        result = HELD if held else BROKEN
    except CannotRun as error:
        fleet.note(f'the case could not run: {error}')
    except Exception:
        # A fault of the script says nothing about the rule.
        fleet.note(f'the script failed: {traceback.format_exc()}')
    finally:
        fleet.close()
    sys.exit(result)


def _stop(number, frame):
    sys.exit(NOT_RUN)
