"""Tests the check of client accounts at the bytes that workers receive."""

import asyncio
import contextlib
import logging
import time

import attrs
import pytest

from briarknot import platform, serving, telemetry
from briarknot.gateway import _accounts, _clock, _manifest_status
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation
from briarknot.gateway.tests import test_store_sync as stores

_KEY = 'secret-key'
_AUTHORIZED = {'Authorization': f'Bearer {_KEY}'}
PROMPT = {**generation.PROMPT, **_AUTHORIZED}
_IDENTITY = ('authorization', 'tenant')


def make_entry(name='a', keys=(_KEY,), **more):
    """Makes the manifest's entry of an account."""
    return {'name': name, 'apiKeys': list(keys), **more}


def put_accounts(gateway, *entries, confirm=True, **changes):
    """Puts a manifest with accounts in force; without entries has none."""
    context = gateway.context
    tree = dict(stores._MANIFEST)
    if entries:
        tree['tenants'] = list(entries)
    decoded = platform.decode_manifest(tree)
    manifest = attrs.evolve(
        context.fleet.manifest,
        version=context.fleet.version + 1,
        accounts=decoded.accounts,
        has_accounts=decoded.has_accounts,
        invalid_accounts=decoded.invalid_accounts,
        **changes,
    )
    assert context.fleet.apply_manifest(manifest)
    _accounts.apply_manifest(context, manifest)
    if confirm:
        confirm_manifest(context)


def confirm_manifest(context, later_s=0):
    """Confirms the manifest as of a time from now."""
    context.manifest_status.confirm(_clock.read_clock() + later_s)


@contextlib.asynccontextmanager
async def open_gateway(*replies, kind='IDEMPOTENT', **changes):
    """Runs a gateway with an account and a worker."""
    worker = _support.ScriptedWorker(replies)
    route = _support.make_route(generation._Kind[kind], **changes)
    async with _support.open_gateway(route, worker) as gateway:
        put_accounts(gateway, make_entry())
        # Unknown keys wait for a confirmation that began after their arrival.
        confirm_manifest(gateway.context, later_s=60)
        yield gateway, worker


def read_identity(fields):
    """Returns the headers about the client that a worker received."""
    return tuple(fields.get(name) for name in _IDENTITY)


@pytest.fixture
def lines(monkeypatch):
    """Records the log lines."""
    recorded = []
    monkeypatch.setattr(
        telemetry,
        'log_event',
        lambda event, **fields: recorded.append((event, fields)),
    )
    return recorded


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Authorization': 'Bearer unknown'},
        {'Authorization': f'Basic {_KEY}'},
        {'Tenant': 'a'},
    ],
)
async def test_request_without_a_known_key_is_refused(headers, lines):
    """Anyone could use the workers."""
    async with open_gateway() as (gateway, worker):
        status, answer, _ = await gateway.send(headers=headers)
    assert (status, answer['WWW-Authenticate']) == (401, 'Bearer')
    assert not worker.requests
    assert lines[-1][0] == 'request_ended'
    assert lines[-1][1]['outcome'] == 'unauthenticated'


async def test_worker_gets_the_account_and_not_the_key():
    """Workers would see keys, or believe the name that a client states."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    async with open_gateway(reply) as (gateway, worker):
        headers = {**_AUTHORIZED, 'Tenant': 'b', 'tEnant': 'c', 'X-Y': 'z'}
        status, _, _ = await gateway.send(headers=headers)
        fields = worker.requests[0]
    assert status == 200
    assert read_identity(fields) == (None, 'a')
    assert fields['head'].lower().count('tenant') == 1
    assert fields['x-y'] == 'z'


async def test_retry_and_repetition_carry_the_account():
    """A worker would get a request that belongs to nobody."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    lost = _support.Reply('', _support.CLOSE)
    async with open_gateway(_support.REJECTED, lost, reply) as opened:
        gateway, worker = opened
        for _ in range(3):
            status, _, _ = await gateway.send(headers=_AUTHORIZED)
            if status == 200:
                break
    assert status == 200
    assert len(worker.requests) == 3
    assert {read_identity(one) for one in worker.requests} == {(None, 'a')}


async def test_prefill_and_resumed_stream_carry_the_account():
    """A stream would go on at a worker that doesn't know whose it is."""
    truncated = _support.make_stream('x', then=_support.CLOSE, end=False)
    workers = generation.make_workers(
        [_support.HANDLE, _support.HANDLE],
        [truncated],
        [_support.make_stream('y', start=2)],
    )
    route = generation.make_stream_route()
    async with _support.open_gateway(route, *workers) as gateway:
        put_accounts(gateway, make_entry())
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    received = [one for worker in workers for one in worker.requests]
    assert {one.get('serving-stage') for one in received} == {None, 'prefill'}
    assert len(received) == 4
    assert {read_identity(one) for one in received} == {(None, 'a')}


async def test_moved_stream_carries_the_account():
    """A stream would move to a worker that doesn't know whose it is."""
    silent = attrs.evolve(
        _support.make_stream('x', end=False), then=_support.SILENT
    )
    workers = generation.make_workers(
        [_support.HANDLE, _support.HANDLE],
        [silent],
        [_support.make_stream('y', start=2)],
    )
    route = generation.make_stream_route(max_silence_s=9.0)
    async with _support.open_gateway(route, *workers) as gateway:
        put_accounts(gateway, make_entry())
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert read_identity(workers[2].requests[0]) == (None, 'a')


async def test_key_is_checked_for_each_request_of_a_connection():
    """A kept-alive connection would go on with a withdrawn key."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    statuses = []
    async with open_gateway(reply, reply) as (gateway, _):
        for keys in ((_KEY,), (), (_KEY,)):
            put_accounts(gateway, make_entry(keys=keys))
            status, _, _ = await gateway.send(headers=_AUTHORIZED)
            statuses.append(status)
    assert statuses == [200, 401, 200]


async def test_stream_goes_on_after_its_key_is_withdrawn():
    """A stream that has begun would be cut off."""
    stream = _support.make_stream('x', end=False)
    later = ('10\r\nid: 2\ndata: yy\n\n\r\n', '0\r\n\r\n')
    stream = attrs.evolve(stream, later=later, pause_s=0.3)
    async with open_gateway(stream, kind='GENERATION') as (gateway, worker):
        # A prompt needs engines of a stage, which a plain worker is not.
        worker.stage = 'decode'
        entry = attrs.evolve(worker.entry)
        gateway.context.fleet.apply_workers((entry,), 0, after_outage=False)
        sent = asyncio.ensure_future(gateway.send(headers=_AUTHORIZED))
        await worker.wait_requests(1)
        put_accounts(gateway, make_entry(keys=()))
        status, _, body = await sent
    assert (status, generation.read_data(body)) == (200, ['x', 'yy'])


@pytest.mark.parametrize(
    ('headers', 'account'),
    [
        ({}, None),
        ({'Authorization': 'Bearer unknown', 'Tenant': 'a'}, None),
        (_AUTHORIZED, 'a'),
    ],
)
async def test_public_route_needs_no_key(headers, account):
    """Callers of a public route would be refused, or could choose a name."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    async with open_gateway(reply, is_public=True) as (gateway, worker):
        status, _, _ = await gateway.send(headers=headers)
    assert status == 200
    assert read_identity(worker.requests[0]) == (None, account)


async def test_headers_are_forwarded_as_they_came_without_accounts():
    """Deployments without accounts would lose headers of their clients."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    worker = _support.ScriptedWorker([reply, reply])
    route = _support.make_route(generation._Kind.IDEMPOTENT)
    sent = {'A': '1', 'Tenant': 't', 'B': '2', **_AUTHORIZED, 'C': '3'}
    async with _support.open_gateway(route, worker) as gateway:
        await gateway.send(headers=sent)
        put_accounts(gateway, make_entry())
        put_accounts(gateway)
        await gateway.send(headers=sent)
    first, second = (
        [line for line in one['head'].split('\r\n') if line[1:2] != '']
        for one in worker.requests
    )
    lines = [f'{name}: {value}' for name, value in sent.items()]
    assert lines == [one for one in first if one in lines]
    # After a manifest with accounts, keys are never forwarded.
    del lines[3]
    assert lines == [one for one in second if one in lines]
    assert _KEY not in worker.requests[1]['head']


async def test_retry_after_the_first_accounts_carries_no_key():
    """A request of before the accounts would bring its key to a worker."""
    rejected = attrs.evolve(_support.REJECTED, delay_s=0.2)
    workers = [_support.ScriptedWorker([rejected]) for _ in range(2)]
    route = _support.make_route(generation._Kind.IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        headers = {'Tenant': 't', **_AUTHORIZED}
        sent = asyncio.ensure_future(gateway.send(headers=headers))
        await asyncio.sleep(0.1)
        put_accounts(gateway, make_entry())
        await sent
    identities = {read_identity(worker.requests[0]) for worker in workers}
    assert identities == {(f'Bearer {_KEY}', 't'), (None, None)}


@pytest.mark.parametrize(('priority', 'urgency'), [(0, '0'), (None, '6')])
async def test_priority_of_the_account_precedes_that_of_the_route(
    priority, urgency, lines
):
    """Urgent accounts would wait behind others."""
    workers = generation.make_workers(
        [_support.HANDLE], [_support.make_stream('x')]
    )
    route = generation.make_stream_route(rank=2)
    async with _support.open_gateway(route, *workers) as gateway:
        put_accounts(gateway, make_entry(priority=priority))
        await gateway.send(headers=PROMPT)
    urgencies = [
        one['request-urgency'] for worker in workers for one in worker.requests
    ]
    assert urgencies == [urgency, urgency]
    ended = dict(lines)['request_ended']
    assert (ended['rank'], ended['account']) == (int(urgency) / 3, 'a')


async def test_unknown_key_waits_for_a_manifest_that_adds_it():
    """A request with a new key failed if the manifest arrived a moment later."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    async with open_gateway(reply) as (gateway, _):
        put_accounts(gateway, make_entry(keys=('other',)))
        gateway.context.manifest_status._confirmed_s = _clock.read_clock()
        sent = asyncio.ensure_future(gateway.send(headers=_AUTHORIZED))
        await asyncio.sleep(0.2)
        assert not sent.done()
        put_accounts(gateway, make_entry())
        status, _, _ = await sent
    assert status == 200


@pytest.mark.parametrize('path', ['/r/x', '/unknown'])
async def test_outdated_process_refuses_without_a_final_answer(path, lines):
    """A process with an old manifest ended requests that a new one allows."""
    async with open_gateway(timeout_s=1.0) as (gateway, _):
        gateway.context.manifest_status._confirmed_s = _clock.read_clock() - 5
        headers = {'Authorization': 'Bearer unknown', 'Deadline-Ms': '300'}
        status, answer, _ = await gateway.send(path=path, headers=headers)
    assert status == 503
    # Clients honour at most a third of their remaining time.
    assert 50 <= 1000 * float(answer['Retry-After']) <= 100
    assert lines[-1][1]['outcome'] == 'manifest_not_confirmed'


async def test_outdated_process_serves_known_keys():
    """Callers would be refused in each outage of the store."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    async with open_gateway(reply) as (gateway, _):
        gateway.context.manifest_status._confirmed_s = _clock.read_clock() - 5
        status, _, _ = await gateway.send(headers=_AUTHORIZED)
    assert status == 200


async def test_known_key_waits_for_the_manifest_after_a_suspension():
    """A process that woke up served keys that were withdrawn meanwhile."""
    async with open_gateway() as (gateway, worker):
        status = gateway.context.manifest_status
        status._contact_s = _clock.read_clock() - 9
        status._confirmed_s = status._contact_s
        sent = asyncio.ensure_future(gateway.send(headers=_AUTHORIZED))
        await asyncio.sleep(0.1)
        # The update states a newer manifest, which is read afterwards.
        status.record_version(3)
        status.record_answer(_clock.read_clock())
        await asyncio.sleep(0.1)
        assert not sent.done()
        put_accounts(gateway, make_entry(keys=()))
        confirm_manifest(gateway.context, later_s=60)
        assert (await sent)[0] == 401
    assert not worker.requests


async def test_suspended_process_without_answers_serves_known_keys():
    """Callers would be refused where the store is unavailable."""
    reply = _support.make_reply(200, 'x', _support.SEAL.strip())
    async with open_gateway(reply) as (gateway, _):
        gateway.context.manifest_status._contact_s = 0
        status, _, _ = await gateway.send(
            headers={**_AUTHORIZED, 'Deadline-Ms': '900'}
        )
    assert status == 200


async def test_requests_that_wait_for_the_manifest_are_bounded(monkeypatch):
    """Unknown keys would hold the memory and the connections of a process."""
    monkeypatch.setattr(_manifest_status, 'MAX_WAITERS', 0)
    async with open_gateway() as (gateway, _):
        confirm = gateway.context.manifest_status
        confirm._confirmed_s = _clock.read_clock()
        async with asyncio.timeout(0.5):
            status, _, _ = await gateway.send(
                headers={'Authorization': 'Bearer unknown'}
            )
    assert status == 401


def suspend(gateway):
    """Has a process miss the manifest for longer than an outage lasts."""
    status = gateway.context.manifest_status
    status._contact_s = _clock.read_clock() - 9
    status._confirmed_s = status._contact_s


async def test_unknown_keys_do_not_displace_known_ones(monkeypatch):
    """Withdrawn keys were served while unknown ones filled the waits."""
    async with open_gateway() as (gateway, _):
        status = gateway.context.manifest_status
        status.unknown_waiters._count = _manifest_status.MAX_WAITERS
        suspend(gateway)
        sent = asyncio.ensure_future(gateway.send(headers=_AUTHORIZED))
        await asyncio.sleep(0.2)
        put_accounts(gateway, make_entry(keys=()))
        confirm_manifest(gateway.context, later_s=60)
        assert (await sent)[0] == 401


def test_bodies_of_waiting_requests_are_bounded():
    """200 bodies of 4 MB would fill a host with 200 MB."""
    waiters = _manifest_status.Waiters()
    added = [waiters.try_add(4 << 20) for _ in range(6)]
    assert added == [True, True, True, True, False, False]
    waiters.remove(4 << 20)
    assert waiters.try_add(4 << 20)


async def test_waits_share_the_time_that_remains():
    """A request would wait twice, beyond its deadline."""
    async with open_gateway() as (gateway, _):
        suspend(gateway)
        call = serving.Call(
            id='1',
            host='',
            method='GET',
            path='/r/x',
            headers=(),
            body=b'',
            received_s=time.monotonic() - 1.4,
            timeout_s=2.0,
            key_hash=next(iter(gateway.context.accounts._by_hash)),
        )
        withdraw = asyncio.get_running_loop().call_later
        withdraw(
            0.1,
            lambda: put_accounts(gateway, make_entry(keys=()), confirm=False),
        )
        async with asyncio.timeout(0.3):
            decision = await _accounts.admit(gateway.context, call)
    assert decision.status == 503


def test_labels_of_accounts_are_bounded():
    """A manifest with 16,000 accounts would fill the metrics."""
    labels = _accounts.AccountLabels()
    found = {labels.get(f'a{number}') for number in range(300)}
    assert len(found) == 101
    assert labels.get('a0') == 'a0'
    assert labels.get('a299') == 'other'


async def test_changes_and_invalid_entries_are_logged_once(lines):
    """Operators could not see why a key is refused."""
    async with open_gateway() as (gateway, _):
        lines.clear()
        shared = [make_entry(f'b{number}') for number in range(30)]
        put_accounts(gateway, make_entry(), *shared, make_entry('', ['k9']))
    changed, *invalid = lines
    assert changed[0] == 'accounts_changed'
    assert (changed[1]['accounts'], changed[1]['keys']) == (31, 0)
    assert (changed[1]['accounts_added'], changed[1]['keys_withdrawn']) == (
        30,
        1,
    )
    assert len(changed[1]['names']) == 20
    assert len(invalid) == 2
    assert {event for event, _ in invalid} == {'account_invalid'}
    assert _KEY not in repr(lines)


@pytest.mark.parametrize(
    'value', [f'Bearer {_KEY}', f'Bearer {_KEY}\0', f'Bearer {_KEY}x']
)
async def test_no_key_is_in_any_line_or_answer(value, caplog):
    """Whoever reads the logs could use the keys."""
    caplog.set_level(logging.DEBUG)
    reply = _support.make_reply(500, 'x')
    async with open_gateway(reply) as (gateway, _):
        host, port = gateway.url.removeprefix('http://').split(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            f'GET /r/x HTTP/1.1\r\nHost: {host}\r\nAuthorization: {value}\r\n'
            'Deadline-Ms: 300\r\nConnection: close\r\n\r\n'.encode()
        )
        answer = await reader.read()
        writer.close()
        assert _KEY not in repr(gateway.context.accounts)
        assert _KEY not in repr(gateway.context.fleet.manifest)
    assert answer.startswith(b'HTTP/1.')
    assert _KEY.encode() not in answer
    formatter = logging.Formatter()
    for record in caplog.records:
        assert _KEY not in formatter.format(record)
        assert _KEY not in repr(record.__dict__)
