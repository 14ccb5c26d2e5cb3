"""Clients of a soak, and the answers that they received."""

import asyncio
import random
import time
import typing
import zlib

import aiohttp
import attrs

from briarknot_standins.soak import _attempts, _fleet

_KINDS = ('booking', 'lookup', 'chat')
_PAUSE_S = 0.05
#: The routes' timeout plus a margin. The client enforces it itself, since a
#: process that a fault pauses answers late.
_CLIENT_TIMEOUT_S = 4.0
_PROMPT = {'Model': 'm', 'Token-Counts': '9000,6'}
#: Parts that prompts share. With a single one, all streams would be sent to the
#: worker that has it.
_SHARED_PARTS = 4
#: Pauses of a client before it takes up a stream that broke off. Together they
#: outlast a restart of all gateways.
_TAKE_UP_PAUSES_S = (0.05, 1.0, 4.0)
#: Longest Retry-After for which a client waits, in seconds: a third of the time
#: that it has left at most.
_MAX_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Clients:
    """Clients that send requests until they are stopped.

    :param fleet: processes of the soak.
    :param seed: seed of the random choices.
    :param attempts: attempts so far.
    :param streams: streams so far.
    :param stopping: set to stop the clients.
    """

    fleet: _fleet.Fleet
    seed: int
    attempts: list[_attempts.Attempt] = attrs.field(factory=list)
    streams: list[_attempts.Stream] = attrs.field(factory=list)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, number: int) -> None:
        """Runs one client.

        :param number: number of the client; part of its request ids.
        """
        source = random.Random(f'{self.seed} {number}')
        # A client reuses its connection until the gateway closes it.
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S)
        ) as session:
            count = 0
            while not self.stopping.is_set():
                count += 1
                kind = source.choice(_KINDS)
                gateway = source.choice(self.fleet.gateways)
                request_id = f'{self.seed}-{number}-{count}'
                attempt = await _send(session, gateway, kind, request_id, {})
                self.attempts.append(attempt)
                if kind == 'chat':
                    stream = _attempts.Stream([attempt])
                    self.streams.append(stream)
                    await self._take_up(session, source, gateway, stream)
                await asyncio.sleep(_PAUSE_S)

    async def _take_up(
        self,
        session: aiohttp.ClientSession,
        source: random.Random,
        gateway: _fleet.Member,
        stream: _attempts.Stream,
    ) -> None:
        """Takes up a stream that broke off, each time at another gateway."""
        for number, pause_s in enumerate(_TAKE_UP_PAUSES_S, 1):
            if not stream.is_broken:
                return
            wait_s = min(stream.attempts[-1].retry_after_s, _MAX_RETRY_AFTER_S)
            await asyncio.sleep(max(wait_s, pause_s))
            gateway = source.choice(self.fleet.list_others(gateway))
            attempt = await _send(
                session,
                gateway,
                'chat',
                f'{stream.id}-{number}',
                {
                    'Last-Event-Id': str(stream.events[-1].number),
                    'Resumes': stream.id,
                },
            )
            self.attempts.append(attempt)
            stream.attempts.append(attempt)


async def _send(
    session: aiohttp.ClientSession,
    gateway: _fleet.Member,
    kind: str,
    request_id: str,
    stream_headers: typing.Mapping[str, str],
) -> _attempts.Attempt:
    sent_s = time.monotonic()
    headers: dict[str, typing.Any] = {
        'Request-Id': request_id,
        'Deadline-Ms': str(int(_CLIENT_TIMEOUT_S * 1000)),
    }
    if kind == 'chat':
        headers.update(_PROMPT)
        headers.update(stream_headers)
        own = zlib.crc32(headers.get('Resumes', request_id).encode())
        shared = own % _SHARED_PARTS
        headers['Prompt-Prefix'] = f'a{shared:x}:6000,{own:x}:3000'
    status, body, is_sealed, retry_after_s = 0, bytearray(), False, 0
    try:
        async with session.request(
            'GET' if kind == 'lookup' else 'POST',
            f'http://127.0.0.1:{gateway.port}/{kind}/x',
            headers=headers,
            data=None if kind == 'lookup' else b'body',
        ) as response:
            is_sealed = 'Server-Seal' in response.headers
            retry_after_s = float(response.headers.get('Retry-After', 0))
            async for part in response.content.iter_any():
                body.extend(part)
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        # Without a complete answer it is unknown whether the request ran.
        status = 0
    return _attempts.Attempt(
        request_id, kind, status, bytes(body), is_sealed, sent_s, retry_after_s
    )
