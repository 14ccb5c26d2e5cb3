"""Streams of a model service: its workers, and clients that take streams up."""

import asyncio
import contextlib
import random

import harness

#: First part that the prompts share.
SHARED = '5c1e07a2'
SERVICE = {
    'name': 'lm',
    'maxConnections': 600,
    'engine': {'slots': 64, 'kvTokens': 400000, 'kvBytes': 35136},
}


class Stream:
    """What one client has got of its stream, over its tries."""

    def __init__(self):
        self.ids = []
        self.versions = []
        self.is_complete = False
        self.parts = f'{SHARED}:1210,{random.getrandbits(32):08x}:250'

    @property
    def last(self):
        return self.ids[-1] if self.ids else 0

    def add(self, chunk):
        """Adds the events of a chunk; the data begins with the version."""
        for line in chunk.decode().split('\n'):
            if line.startswith('id:'):
                self.ids.append(int(line[3:]))
            if line.startswith('data:'):
                self.versions.append(line.split()[1])


async def attempt(
    deployment, port, stream, request_id, resumes='', connection=None
):
    """Sends one client attempt, and adds its events to the stream.

    :param connection: reader and writer of a kept connection; None opens one.
    :returns: status, 0 where the connection ended without one, and the time after
        which the client may come back.
    """
    fields = [
        'Model: m',
        'Token-Counts: 1460,80',
        f'Prompt-Prefix: {stream.parts}',
    ]
    if resumes:
        fields.append(f'Resumes: {resumes}')
        if stream.last:
            fields.append(f'Last-Event-Id: {stream.last}')
    lines = [
        'POST /ask/1 HTTP/1.1',
        'Host: site.example',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 8000',
        'Content-Length: 4',
        *fields,
    ]
    begun = stream.last
    status, retry_s, writer = 0, 0, None
    deployment.record(f'client sends {request_id}: {lines[0]} {fields[3:]}')
    try:
        reader, writer = connection or await asyncio.open_connection(
            harness.HOST, port
        )
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\nbody')
        head = harness.Head(await reader.readuntil(b'\r\n\r\n'))
        status = int(head.start.split()[1])
        retry_s = float(head.get('Retry-After', '0'))
        while status == 200:
            size = int((await reader.readline()).strip(), 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if not size:
                stream.is_complete = True
                break
            stream.add(chunk)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        deployment.record(f'the connection of {request_id} ends early')
    finally:
        if writer is not None:
            writer.close()
    deployment.record(
        f'client got {status} to {request_id}: events {begun + 1} to'
        f' {stream.last}, versions {sorted(set(stream.versions))}, complete'
        f' {stream.is_complete}'
    )
    return status, retry_s


async def follow(deployment, choose_port, stream, tries=2):
    """Gets a stream, and takes it up again where it broke off."""
    first = harness.make_id()
    for number in range(tries):
        request_id = harness.make_id() if number else first
        resumes = first if stream.ids else ''
        _, retry_s = await attempt(
            deployment, choose_port(), stream, request_id, resumes
        )
        if stream.is_complete:
            return
        await asyncio.sleep(retry_s)


def make_serve(deployment, events, event_s):
    """Makes what a decode worker does with a request."""

    async def serve(worker, head, body, writer, before):
        request_id = head.get('Request-Id')
        version = worker.version
        start = int(head.get('Last-Event-Id', '0')) + 1
        deployment.record(
            f'{worker.id} of version {version} runs {request_id} from event'
            f' {start}'
        )
        writer.write(
            worker.reply(
                head,
                b'',
                fields=(
                    'Content-Type: text/event-stream',
                    'Transfer-Encoding: chunked',
                ),
                length=False,
            )
        )
        for number in range(start, events + 1):
            await asyncio.sleep(event_s)
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0, deployment.silent_until_s - now))
            event = f'id: {number}\ndata: {version} {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            if writer.is_closing():
                return False
        writer.write(b'0\r\n\r\n')
        return True

    return serve
