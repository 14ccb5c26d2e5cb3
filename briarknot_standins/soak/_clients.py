"""Clients of a soak, and the answers that they received."""

import asyncio
import random
import re
import time
import typing

import aiohttp
import attrs

from briarknot_standins.soak import _fleet

_KINDS = ('booking', 'lookup', 'chat')
_PAUSE_S = 0.05
#: The routes' timeout plus a margin. The client enforces it itself, since a
#: process that a fault pauses answers late.
_CLIENT_TIMEOUT_S = 4.0
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,6',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}
_EVENT = re.compile(rb'^data: (\S+) (\d+)/(\d+)$', re.MULTILINE)


@attrs.frozen
class Attempt:
    """One attempt of a client.

    :param id: id of the request.
    :param kind: kind of the request.
    :param status: HTTP status; 0 where no complete answer was received.
    :param body: complete body; empty where it was truncated.
    :param is_sealed: whether the answer has a worker's seal.
    :param sent_s: monotonic time at which the request was sent.
    """

    id: str
    kind: str
    status: int
    body: bytes
    is_sealed: bool
    sent_s: float

    @property
    def violation(self) -> str:
        """Guarantee that the answer violates; empty where there is none."""
        if self.status != 200:
            return ''
        if not self.is_sealed:
            return 'status 200 without a seal'
        if self.kind == 'chat':
            return self._find_stream_violation()
        expected = f'answer {self.id} '.encode()
        if not self.body.startswith(expected):
            return f'body {self.body!r} belongs to another request'
        return ''

    def _find_stream_violation(self) -> str:
        events = _EVENT.findall(self.body)
        numbers = [int(number) for _, number, _ in events]
        if {name for name, _, _ in events} != {self.id.encode()}:
            return 'events of another request'
        if numbers != list(range(1, int(events[-1][-1]) + 1)):
            return f'missing or repeated events: {numbers}'
        return ''


@attrs.define(eq=False)
class Clients:
    """Clients that send requests until they are stopped.

    :param fleet: processes of the soak.
    :param seed: seed of the random choices.
    :param attempts: attempts so far.
    :param stopping: set to stop the clients.
    """

    fleet: _fleet.Fleet
    seed: int
    attempts: list[Attempt] = attrs.field(factory=list)
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
                self.attempts.append(
                    await _send(session, gateway, kind, request_id)
                )
                await asyncio.sleep(_PAUSE_S)


async def _send(
    session: aiohttp.ClientSession,
    gateway: _fleet.Member,
    kind: str,
    request_id: str,
) -> Attempt:
    sent_s = time.monotonic()
    headers: dict[str, typing.Any] = {
        'Request-Id': request_id,
        'Deadline-Ms': str(int(_CLIENT_TIMEOUT_S * 1000)),
    }
    if kind == 'chat':
        headers.update(_PROMPT)
    status, body, is_sealed = 0, b'', False
    try:
        async with session.request(
            'GET' if kind == 'lookup' else 'POST',
            f'http://127.0.0.1:{gateway.port}/{kind}/x',
            headers=headers,
            data=None if kind == 'lookup' else b'body',
        ) as response:
            body = await response.read()
            status = response.status
            is_sealed = 'Server-Seal' in response.headers
    except (aiohttp.ClientError, TimeoutError, OSError):
        # Without a complete answer it is unknown whether the request ran.
        status = 0
    return Attempt(request_id, kind, status, body, is_sealed, sent_s)
