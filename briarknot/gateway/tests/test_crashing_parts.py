"""Tests prompts with a part that makes each worker end that answers them."""

import asyncio
import contextlib
import itertools
import time

import aiohttp
import attrs
import pytest

from briarknot import schema, serving
from briarknot.gateway import _context, _crashes, _requests
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_DEADLY = 'dd'
#: Requests that may reach workers: those of five crashes and three later ones.
_MAX_SENT = 8


@attrs.define(eq=False)
class CrashingWorker(_support.ScriptedWorker):
    """Answers, or breaks off on a request with the deadly part.

    :param events: events that it sends before it breaks off.
    :param ends: whether it refuses connections afterwards.
    """

    script: list = attrs.field(factory=list)
    events: tuple = ()
    ends: bool = True

    async def _take_reply(self, head, reader):
        self.script = [_support.make_stream('x')]
        if self.stage == 'none':
            self.script = [
                _support.make_reply(200, 'done', _support.SEAL.strip())
            ]
        if f'{_DEADLY}:' in head:
            begun = _support.make_stream(*self.events, end=False)
            self.script = [_support.Reply(begun.text, _support.CLOSE)]
            if self.ends:
                self.server.close()
        return await super()._take_reply(head, reader)


async def send(gateway, number, *parts):
    """Sends a request whose last part is its own; returns its status."""
    prefix = ','.join(f'{one}:1000' for one in (*parts, f'ee{number:04x}'))
    headers = {
        'Model': 'm',
        'Token-Counts': f'{1000 * (len(parts) + 1)},5',
        'Prompt-Prefix': prefix,
        'Request-Id': f'q{number}',
    }
    with contextlib.suppress(aiohttp.ClientError):
        status, _, _ = await gateway.send(headers=headers)
        return status
    return 0


def make_workers(count, **options):
    """Makes decode workers, which prefill prompts themselves."""
    return [CrashingWorker(stage='decode', **options) for _ in range(count)]


def count_sent(workers, part):
    """Counts the requests with a part that have reached workers."""
    return sum(
        f'{part}:' in fields['prompt-prefix']
        for worker in workers
        for fields in worker.requests
    )


@pytest.mark.parametrize('events', [(), ('x',)], ids=('no_event', 'one_event'))
async def test_part_that_ends_workers_reaches_few_of_them(events):
    """Each request with such a part ended one or two more workers."""
    workers = make_workers(2 * _MAX_SENT, events=events)
    route = _support.make_route(_Kind.GENERATION, resumable=True)
    numbers = itertools.count()
    async with _support.open_gateway(route, *workers) as gateway:
        for _ in range(2 * _MAX_SENT):
            await send(gateway, next(numbers), 'aa', _DEADLY)
        statuses = [
            await send(gateway, next(numbers), 'aa', 'bb') for _ in range(4)
        ]
    assert count_sent(workers, _DEADLY) <= _MAX_SENT
    assert set(statuses) == {200}


async def test_part_of_broken_streams_is_served_while_workers_go_on():
    """A connection that breaks off says nothing about the parts of its prompt."""
    workers = make_workers(4, ends=False)
    route = _support.make_route(_Kind.GENERATION, resumable=True)
    async with _support.open_gateway(route, *workers) as gateway:
        for number in range(4):
            await send(gateway, number, 'aa', _DEADLY)
    assert count_sent(workers, _DEADLY) == 8


@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.NON_IDEMPOTENT])
async def test_plain_request_that_ends_workers_reaches_few_of_them(kind):
    """The same request came again and ended one worker after the other."""
    workers = [CrashingWorker() for _ in range(2 * _MAX_SENT)]
    async with _support.open_gateway(
        _support.make_route(kind), *workers
    ) as gateway:
        for number in range(2 * _MAX_SENT):
            headers = {'Request-Id': f'q{number}', 'X-Part': f'{_DEADLY}:'}
            await gateway.send(path='/r/deadly', headers=headers)
        status, _, _ = await gateway.send(path='/r/sound')
    sent = [one for worker in workers for one in worker.requests]
    assert len(sent) <= _MAX_SENT
    assert status == 200


async def test_trial_does_not_end_the_last_worker():
    """The trial of a suspected part left no worker for any request."""
    workers = make_workers(2)
    route = _support.make_route(_Kind.GENERATION, resumable=True)
    async with _support.open_gateway(route, *workers) as gateway:
        await send(gateway, 1, 'aa', _DEADLY)
        assert await send(gateway, 2, 'aa', 'bb') == 200
    assert count_sent(workers, _DEADLY) == 1


def make_waiting(host, other):
    """Makes a process at which a part is in trial, and a request with it."""
    settings = schema.settings.GatewaySettings(host=host, domain='a')
    context = _context.make_context(settings, calls=None)
    context.peer_hosts = {other: _context.PeerHost(('', 0), 'a')}
    keys = ('part aa', f'part {_DEADLY}', f'request {host}')
    now = time.monotonic()
    context.quarantine.record_crash('w', keys[:2], now)
    context.quarantine.start_trial(keys[:2], now + 0.01)
    context.quarantine.take_changed(now)
    call = serving.Call(
        id=host,
        host='h',
        method='POST',
        path='/',
        headers=(),
        body=b'',
        received_s=now,
        timeout_s=9,
    )
    route = _support.make_route(_Kind.GENERATION)
    service = schema.serving.Service(name='s')
    request = _requests.Request(call, route, service, None, now + 9, keys=keys)
    return context, request


async def exchange_late(first, second):
    """Sends new evidence of two processes to each other with a latency."""
    while True:
        now = time.monotonic()
        sent = [(second, first.take_changed(now))]
        sent.append((first, second.take_changed(now)))
        await asyncio.sleep(0.06)
        for receiver, records in sent:
            receiver.merge(records, now)


async def test_processes_that_waited_try_a_part_one_after_the_other():
    """Requests that waited at four gateways ended three workers at once."""
    waiting = [make_waiting('g1', 'g2'), make_waiting('g2', 'g1')]
    evidence = [context.quarantine for context, _ in waiting]
    exchanges = [asyncio.ensure_future(exchange_late(*evidence))]
    tasks = [
        asyncio.ensure_future(_crashes.wait_for_trial(context, request))
        for context, request in waiting
    ]
    done, pending = await asyncio.wait(
        tasks, timeout=10, return_when=asyncio.FIRST_COMPLETED
    )
    assert len(done) == 1
    still_pending = (await asyncio.wait(pending, timeout=0.4))[1]
    assert len(still_pending) == 1
    for task in (*exchanges, *tasks):
        task.cancel()


async def test_request_does_not_wait_for_a_trial_until_its_deadline():
    """A refused client had no time left to come back."""
    context, request = make_waiting('g1', 'g2')
    request.deadline_s = time.monotonic() + 2
    context.quarantine.start_trial(request.keys, time.monotonic() + 2)
    result = await _crashes.wait_for_trial(context, request)
    assert isinstance(result, serving.Quarantined)
    assert round(request.remaining_s(time.monotonic())) == 1
