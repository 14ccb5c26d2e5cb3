"""Tests relays of the work between processes, over the loopback interface."""

import asyncio
import collections
import contextlib
import time

import attrs
import pytest

from briarknot import schema, serving
from briarknot.gateway import (
    _context,
    _part_relays,
    _peer_socket,
    _peers,
    _work_relays,
)
from briarknot.gateway.tests import test_peers as peers_tests
from briarknot.gateway.tests import test_store_sync as stores

_DOMAIN_HOSTS = 5


@attrs.define(eq=False)
class Node:
    """A process and its tasks."""

    context: object
    peers: object
    tasks: list = attrs.field(factory=list)
    received: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def host(self):
        """Its host."""
        return self.context.settings.host

    def start(self):
        """Starts its tasks."""
        self.tasks = [
            asyncio.ensure_future(task())
            for task in (
                self.peers.receive,
                self.peers.broadcast_work,
                self.peers.relay_work,
            )
        ]

    def stop(self):
        """Stops its tasks as if it were killed or suspended."""
        for task in self.tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def open_nodes(monkeypatch, domains='ab'):
    """Runs processes of some domains that use relays."""
    monkeypatch.setattr(_peers, '_MAX_DIRECT_HOSTS', 0)
    contexts = [
        peers_tests.make_peer_context(f'{domain}{index}', domain)
        for domain in domains
        for index in range(_DOMAIN_HOSTS)
    ]
    nodes = {}
    for context in contexts:
        context.peer_hosts = {
            one.settings.host: _context.PeerHost(
                ('127.0.0.1', one.settings.peer_port), one.settings.domain
            )
            for one in contexts
            if one is not context
        }
        node = Node(context, _peers.make_peers(context))
        nodes[node.host] = node
        node.start()
    yield nodes
    for node in nodes.values():
        node.stop()


async def wait_for_tokens(nodes, tokens, seconds=5):
    """Waits until processes count the given work at the worker."""
    async with asyncio.timeout(seconds):
        while True:
            now = time.monotonic()
            counts = {
                node.context.prompt_load.work.get_total('w', now).tokens
                for node in nodes
            }
            if counts == {tokens}:
                return
            await asyncio.sleep(0.02)


async def test_work_reaches_all_processes_by_relays(monkeypatch):
    """The choices of 195 processes were 1.3 s behind the work of the others."""
    async with open_nodes(monkeypatch) as nodes:
        for node in nodes.values():
            node.context.prompt_load.work.add('w', tokens=10)
        await wait_for_tokens(nodes.values(), 10 * len(nodes))
        nodes['a0'].context.prompt_load.work.add('w', tokens=-10)
        await wait_for_tokens(nodes.values(), 10 * len(nodes) - 10)


async def test_work_of_an_idle_fleet_is_not_relayed(monkeypatch):
    """Messages cost processor time and traffic while nobody sends requests."""
    async with open_nodes(monkeypatch) as nodes:
        sent = []
        monkeypatch.setattr(
            _peer_socket.PeerSocket, 'send', lambda *call: sent.append(call)
        )
        await asyncio.sleep(1)
        assert not sent
        assert len(nodes) == 2 * _DOMAIN_HOSTS


@pytest.mark.parametrize('killed', [1, 2])
async def test_other_processes_take_the_place_of_lost_relays(
    monkeypatch, killed
):
    """Nobody knew the work of others after the relays were killed."""
    async with open_nodes(monkeypatch, 'a') as nodes:
        ranked = serving.rank_names('relays', nodes)
        left = [nodes[host] for host in ranked[killed:]]
        for node in nodes.values():
            node.context.prompt_load.work.add('w', tokens=10)
        await wait_for_tokens(nodes.values(), 10 * len(nodes))
        for host in ranked[:killed]:
            nodes[host].stop()
        left[0].context.prompt_load.work.add('w', tokens=5)
        await wait_for_tokens(left, 10 * len(left) + 5, 8)


async def test_parts_reach_all_processes(monkeypatch):
    """Processes of other domains had shared parts prefilled again."""
    async with open_nodes(monkeypatch) as nodes:
        parts = (
            schema.serving.PromptPart(id='k', tokens=5000),
            schema.serving.PromptPart(id='o', tokens=200),
        )
        prompt = serving.Prompt(parts=parts, tokens=5200, output_tokens=1)
        caches = nodes['a3'].context.prompt_load.caches
        caches.record_prompt('w', prompt, time.monotonic())
        loads = [node.context.prompt_load for node in nodes.values()]
        await stores.wait_until(
            lambda: all(load.caches.count_cached('w', prompt) for load in loads)
        )


@pytest.mark.parametrize('is_killed', [False, True])
async def test_parts_pass_one_relay(monkeypatch, is_killed):
    """Each process got a message of every other one about each prompt.

    The second relay takes the place of one that was killed.
    """
    receivers = collections.defaultdict(set)
    send = _peer_socket.PeerSocket.send

    def record(peer_socket, data, address):
        message = schema.decode(data)
        parts = getattr(message, 'parts', ())
        if parts and not message.to_relay:
            receivers[message.host].add(address)
        send(peer_socket, data, address)

    async with open_nodes(monkeypatch, 'a') as nodes:
        monkeypatch.setattr(_peer_socket.PeerSocket, 'send', record)
        ranked = serving.rank_names('relays', nodes)
        if is_killed:
            nodes[ranked[0]].stop()
        left = [nodes[host] for host in ranked[is_killed:]]
        prompt = serving.Prompt(
            parts=(
                schema.serving.PromptPart(id='k', tokens=5000),
                schema.serving.PromptPart(id='o', tokens=200),
            ),
            tokens=5200,
            output_tokens=1,
        )
        # A report shows that the first relay is silent.
        left[-1].context.prompt_load.work.add('w', tokens=10)
        left[-1].context.prompt_load.caches.record_prompt(
            'w', prompt, time.monotonic()
        )
        await stores.wait_until(
            lambda: all(
                node.context.prompt_load.caches.count_cached('w', prompt)
                for node in left
            ),
            6,
        )
    # Others may inform a single process that they have not heard of before.
    senders = {host for host, heard in receivers.items() if len(heard) > 1}
    assert senders == {ranked[is_killed]}


def test_part_is_sent_once_and_aged():
    """Reports of several processes were repeated, with times that had passed."""
    relay = _part_relays.make_part_relay()
    part = schema.messages.CachedPart(
        worker='w', part='k', tokens=5000, ready_in_ms=400
    )
    relay.add((part,), 0)
    relay.add((attrs.evolve(part, ready_in_ms=300),), 0.1)
    relay.take_far(1, 0)
    assert [one.ready_in_ms for one in relay.take_near(0.15, 0.2)] == [200]
    assert not relay.take_near(0.15, 1)
    relay.add((part,), 0.9)
    assert not relay.take_far(1, 0.95)
    assert [one.ready_in_ms for one in relay.take_far(1, 1.1)] == [200]


def test_part_that_another_relay_sends_is_dropped():
    """A process that is not the first relay kept all parts for ever."""
    relay = _part_relays.make_part_relay()
    for number in range(100):
        part = schema.messages.CachedPart(worker='w', part=str(number))
        relay.add((part,), number)
    assert len(relay.take_near(0.15, 100)) <= 2


async def test_idle_process_of_a_large_domain_is_not_suspended(monkeypatch):
    """Each idle process forgot the work of others in each round."""
    context = make_context(170)
    peers = _peers.make_peers(context)
    forgotten = []
    monkeypatch.setattr(
        serving.EngineWork, 'forget_peers', lambda _: forgotten.append(1)
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(peers.relay_work(), 1.5)
    assert not forgotten


def test_messages_of_a_process_do_not_grow_with_the_fleet():
    """With reports to all, a process decoded 150 messages a second."""
    relays = {
        size: _work_relays.make_work_relays(make_context(size)).choose(0)
        for size in (8, 34, 340)
    }
    assert {len(chosen) for chosen in relays.values()} == {2}


def make_context(size):
    """Makes the state of a process in a domain of the given size."""
    context = peers_tests.make_peer_context('h0')
    context.peer_hosts = {
        f'h{index}': _context.PeerHost(('127.0.0.1', index), 'a')
        for index in range(1, size)
    }
    return context


def test_silent_relay_is_passed_over_for_a_while():
    """A suspended relay got all reports and sent no sums."""
    relays = _work_relays.make_work_relays(make_context(8))
    first = next(one for one in relays.choose(0) if one != 'h0')
    relays.record_report(first, 0)
    relays.record_report(first, 0.9)
    assert first in relays.choose(0.9)
    relays.record_report(first, 1.2)
    assert first not in relays.choose(1.3)
    assert first in relays.choose(7)
    relays.record_report(first, 7)
    relays.record_sum(first)
    relays.record_report(first, 8.5)
    assert first in relays.choose(8.6)
