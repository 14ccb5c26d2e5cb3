"""Tests the work messages between gateway processes."""

import asyncio
import contextlib
import time

import attrs

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _peers
from briarknot.gateway.tests import _support

_WORKER = schema.serving.Worker(
    id='w', service='s', stage=schema.serving.Stage.PREFILL
)


def make_peer_context(host, domain='a'):
    """Makes the state of one process, with its own port.

    Each failure domain is in its own region.
    """
    settings = schema.settings.GatewaySettings(
        host=host,
        domain=domain,
        region=domain,
        domains=tuple(
            schema.settings.DomainRegion(domain=one, region=one)
            for one in ('a', 'b')
        ),
        address='127.0.0.1',
        front_address='127.0.0.1:0',
        readiness_address='127.0.0.1:0',
        store_address='127.0.0.1:1',
        peer_port=_support.find_port(),
    )
    return _context.make_context(settings, calls=None)


async def test_prompts_of_peers_are_counted_until_their_prefill_ends():
    """All processes would send their prompts to the same busy worker."""
    first, second = make_peer_context('g1'), make_peer_context('g2')
    address = ('127.0.0.1', second.settings.peer_port)
    first.peer_hosts = {'g2': _context.PeerHost(address, 'a')}
    part = schema.serving.PromptPart(id='k', tokens=500)
    private = schema.serving.PromptPart(id='o', tokens=200)
    prompt = serving.Prompt(parts=(part, private), tokens=700, output_tokens=1)
    placement = serving.Placement(
        prefill_worker=_WORKER, expected_s=0.1, uncached=700, work=700
    )
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        tasks = [
            group.create_task(_peers.make_peers(first).broadcast_work()),
            group.create_task(_peers.make_peers(second).receive()),
        ]
        first.prompt_load.add(placement, prompt, 0)
        await wait_for_tokens(second, 700)
        first.prompt_load.remove(placement, prompt, 0, 0.1, is_prefilled=True)
        await wait_for_tokens(second, 0)
        assert second.prompt_load.count_uncached(_WORKER, prompt) == 200
        for task in tasks:
            task.cancel()


async def test_starting_process_announces_itself():
    """Others would send it nothing until they reread the list of hosts."""
    first, second = make_peer_context('g1'), make_peer_context('g2')
    address = ('127.0.0.1', second.settings.peer_port)
    first.peer_hosts = {'g2': _context.PeerHost(address, 'a')}
    peers = _peers.make_peers(first)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(peers.broadcast_work()),
            group.create_task(_peers.make_peers(second).receive()),
        ]
        peers.announce()
        async with asyncio.timeout(5):
            while 'g1' not in second.peer_hosts:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
    port = first.settings.peer_port
    assert second.peer_hosts['g1'].address == ('127.0.0.1', port)


async def test_work_reaches_another_domain_by_one_process():
    """Each process sent to all others, at the cost of inter-domain traffic."""
    first, second, third = (
        make_peer_context(host, domain)
        for host, domain in (('g1', 'a'), ('g2', 'b'), ('g3', 'b'))
    )
    contexts = (first, second, third)
    for context in contexts:
        for other in contexts:
            address = ('127.0.0.1', other.settings.peer_port)
            peer = _context.PeerHost(address, other.settings.domain)
            if other is not context:
                context.peer_hosts[other.settings.host] = peer
    # The third process receives messages from the second one only.
    unused_address = ('127.0.0.1', _support.find_port())
    first.peer_hosts['g3'] = _context.PeerHost(unused_address, 'b')
    placement = serving.Placement(
        prefill_worker=_WORKER, expected_s=0.1, uncached=700, work=700
    )
    part = schema.serving.PromptPart(id='k', tokens=700)
    prompt = serving.Prompt(parts=(part,), tokens=700, output_tokens=1)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(task)
            for task in (
                _peers.make_peers(first).broadcast_work(),
                _peers.make_peers(second).receive(),
                _peers.make_peers(third).receive(),
            )
        ]
        first.prompt_load.add(placement, prompt, 0)
        await wait_for_tokens(second, 700)
        await wait_for_tokens(third, 700)
        for task in tasks:
            task.cancel()


async def wait_for_tokens(context, tokens):
    """Waits until a process counts the given work at the worker."""
    async with asyncio.timeout(5):
        while True:
            now = time.monotonic()
            if context.prompt_load.get_queued_work(_WORKER, now) == tokens:
                return
            await asyncio.sleep(0.02)


def test_malformed_message_is_logged_by_its_forwarder(monkeypatch):
    """A message that was dropped instead of sent on left no trace."""
    events = []
    monkeypatch.setattr(
        telemetry, 'log_event', lambda event, **_: events.append(event)
    )
    message = schema.messages.EngineWork(
        host='g2',
        domain='b',
        forward=True,
        workers=(schema.messages.WorkerWork(worker='bad-worker'),),
    )
    data = schema.encode(message).replace(b'bad-', b'b\xff\xff-')
    peers = _peers.make_peers(make_peer_context('g1'))
    peers.apply_work(schema.decode(data), 0)
    assert events == ['peer_message_malformed']


def test_late_message_is_ignored():
    """Datagrams may be reordered, so an old one would replace newer work."""
    load = serving.make_prompt_load()
    newer = schema.messages.EngineWork(host='g', sequence=2, born_ms=5)
    older = attrs.evolve(
        newer,
        sequence=1,
        workers=(schema.messages.WorkerWork(worker='w', tokens=9),),
    )
    load.work.apply_peer_work(newer, 0)
    load.work.apply_peer_work(older, 0)
    assert load.get_queued_work(_WORKER, 0) == 0
    restarted = attrs.evolve(older, born_ms=6)
    load.work.apply_peer_work(restarted, 0)
    assert load.get_queued_work(_WORKER, 0) == 9


def test_outdated_work_is_dropped():
    """The work of a killed process would be counted for ever."""
    load = serving.make_prompt_load()
    update = schema.messages.EngineWork(
        host='g',
        sequence=1,
        workers=(schema.messages.WorkerWork(worker='w', tokens=9),),
    )
    load.work.apply_peer_work(update, 0)
    assert load.get_queued_work(_WORKER, 60) == 0


def test_prompt_of_a_removed_worker_leaves_no_work():
    """A negative number of tokens stopped the messages to all peers."""
    load = serving.make_prompt_load()
    part = schema.serving.PromptPart(id='k', tokens=700)
    prompt = serving.Prompt(parts=(part,), tokens=700, output_tokens=1)
    placement = serving.Placement(
        prefill_worker=_WORKER, expected_s=0.1, uncached=700, work=700
    )
    load.add(placement, prompt, 0)
    load.remove_worker(_WORKER.id)
    load.remove(placement, prompt, 0, 0.1, is_prefilled=False)
    assert not load.work.local

    assert load.get_queued_work(_WORKER, 0) == 0
