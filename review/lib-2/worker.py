"""Stand-in of a worker: serves streams or plain requests as the pages say.

Started as ``python3 worker.py CONFIG``, where CONFIG is a JSON object. It registers
itself in the store when it starts and at each heartbeat, and writes what it gets and
runs to a log of JSON lines.
"""

import asyncio
import base64
import json
import pathlib
import socket
import sys
import time

HEARTBEAT_S = 1.2
PART_BYTES = 32 << 10


class Worker:
    """One lifetime of a worker."""

    def __init__(self, config):
        self.id = config['id']
        self.port = config['port']
        self.store_port = config['store_port']
        self.service = config['service']
        self.zone = config.get('zone', 'a')
        self.stage = config.get('stage', '')
        self.version = config.get('version', 'v1')
        self.slots = config.get('slots', 64)
        self.events = config.get('events', 30)
        self.event_s = config.get('event_s', 0.06)
        self.work_s = config.get('work_s', 0.02)
        #: Bytes of a body that it reads in a second; 0 for no bound.
        self.read_per_s = config.get('read_per_s', 0)
        self.log_path = pathlib.Path(config['log'])
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0

    def log(self, event, **fields):
        line = {'t': round(time.monotonic(), 3), 'worker': self.id}
        line.update(version=self.version, event=event, **fields)
        with self.log_path.open('a') as log_file:
            log_file.write(json.dumps(line) + '\n')

    async def register(self):
        """Writes the entry of the worker."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {'table': 'servers', 'part': '', 'key': self.id, 'value': value}
        body = json.dumps({'put': [row]}).encode()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.store_port
        )
        writer.write(
            b'POST /v1/rows-tx HTTP/1.1\r\nHost: store\r\nConnection: close\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        await reader.read()
        writer.close()

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            try:
                await self.register()
            except OSError as error:
                self.log('heartbeat_failed', reason=str(error))

    async def serve(self, reader, writer):
        try:
            is_open = True
            while is_open:
                is_open = await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.strip().split('\r\n')
        method, path, _ = first.split(' ', 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', 0))
        body = await self.read_body(reader, length)
        request_id = headers.get('request-id', '')
        if not request_id or headers.get('expect-instance', self.id) != self.id:
            status = '421 Misdirected' if request_id else '400 Bad'
            writer.write(
                f'HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
            return True
        self.log('run', id=request_id, method=method, path=path, bytes=length)
        if self.stage:
            await self.stream(writer, headers, request_id)
        else:
            await self.answer(writer, request_id, body)
        return True

    async def read_body(self, reader, length):
        """Reads a body, as slowly as its configuration says."""
        if not self.read_per_s:
            return await reader.readexactly(length)
        body = b''
        while len(body) < length:
            part = await reader.read(min(PART_BYTES, length - len(body)))
            if not part:
                raise asyncio.IncompleteReadError(body, length)
            body += part
            await asyncio.sleep(len(part) / self.read_per_s)
        return body

    async def answer(self, writer, request_id, body):
        await asyncio.sleep(self.work_s)
        text = f'{self.id} answers {request_id}'.encode()
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
            f'Server-Seal: {self.id}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n'.encode()
            + text
        )
        await writer.drain()

    async def stream(self, writer, headers, request_id):
        """Sends the events after the one that the caller has."""
        start = int(headers.get('last-event-id') or 0) + 1
        await asyncio.sleep(self.work_s)
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
            f'Server-Seal: {self.id}\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(start, self.events + 1):
            event = (
                f'id: {number}\n'
                f'data: {self.version} {self.id} {number}/{self.events}\n\n'
            )
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if worker.read_per_s:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * PART_BYTES)
    listener.bind(('127.0.0.1', worker.port))
    server = await asyncio.start_server(worker.serve, sock=listener)
    await worker.register()
    worker.log('start', born_ms=worker.born_ms)
    async with server:
        await worker.heartbeat()


if __name__ == '__main__':
    asyncio.run(main())
