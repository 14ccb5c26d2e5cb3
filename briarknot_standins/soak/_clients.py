"""Clients of a soak, and what they have seen."""

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
#: The routes' time limit, and the time in which it must be kept. Processes
#: that faults pause are late, so that the check uses the client's own limit.
_CLIENT_LIMIT_S = 4.0
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,6',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}
_EVENT = re.compile(rb'^data: (\S+) (\d+)/(\d+)$', re.MULTILINE)


@attrs.frozen
class Seen:
    """One attempt of a client.

    :param id: id of the request.
    :param kind: kind of the request.
    :param status: status; 0 where the connection ended without an answer.
    :param body: whole body; empty where it was cut.
    :param is_sealed: whether a worker's seal came with it.
    :param sent_s: monotonic time at which it was sent.
    """

    id: str
    kind: str
    status: int
    body: bytes
    is_sealed: bool
    sent_s: float

    @property
    def fault(self) -> str:
        """What is wrong with the answer; empty where nothing is."""
        if self.status != 200:
            return ''
        if not self.is_sealed:
            return 'a success without a seal'
        if self.kind == 'chat':
            return self._find_stream_fault()
        expected = f'answer {self.id} '.encode()
        if not self.body.startswith(expected):
            return f'the body {self.body!r} is of another request'
        return ''

    def _find_stream_fault(self) -> str:
        events = _EVENT.findall(self.body)
        numbers = [int(number) for _, number, _ in events]
        if {name for name, _, _ in events} != {self.id.encode()}:
            return 'events of another request'
        if numbers != list(range(1, int(events[-1][-1]) + 1)):
            return f'the events are {numbers}'
        return ''


@attrs.define(eq=False)
class Clients:
    """Sends requests until it is told to stop.

    :param fleet: processes.
    :param seed: seed of the choices.
    :param seen: attempts so far.
    :param stopping: set when no more requests are wanted.
    """

    fleet: _fleet.Fleet
    seed: int
    seen: list[Seen] = attrs.field(factory=list)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, number: int) -> None:
        """Runs one client.

        :param number: number of the client, which tells its requests apart.
        """
        source = random.Random(f'{self.seed} {number}')
        # A client keeps using its connection until the process is gone.
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CLIENT_LIMIT_S)
        ) as session:
            count = 0
            while not self.stopping.is_set():
                count += 1
                kind = source.choice(_KINDS)
                gateway = source.choice(self.fleet.gateways)
                request_id = f'{self.seed}-{number}-{count}'
                self.seen.append(
                    await _send(session, gateway, kind, request_id)
                )
                await asyncio.sleep(_PAUSE_S)


async def _send(
    session: aiohttp.ClientSession,
    gateway: _fleet.Member,
    kind: str,
    request_id: str,
) -> Seen:
    sent_s = time.monotonic()
    headers: dict[str, typing.Any] = {
        'Request-Id': request_id,
        'Deadline-Ms': str(int(_CLIENT_LIMIT_S * 1000)),
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
        # No whole answer: the client knows nothing of the request.
        status = 0
    return Seen(request_id, kind, status, body, is_sealed, sent_s)
