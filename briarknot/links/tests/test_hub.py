"""Guards against unauthorized, duplicate, blocked or dead links."""

import asyncio
import contextlib

import aiohttp
import attrs
import prometheus_client
import pytest
from aiohttp import test_utils, web

from briarknot import links, schema

_SHORT_LIMITS = links.LinkLimits(
    heartbeat_s=0.4, retry_first_s=0.02, retry_longest_s=0.1, retire_s=0.1
)
_HEARTBEAT = schema.messages.Heartbeat(incarnation=1, revision=2)


@attrs.define(eq=False)
class _Node:
    hub: links.Hub
    url: str
    received: list[schema.messages.Heartbeat] = attrs.field(factory=list)

    async def record(self, _link, message):
        self.received.append(message)


def _count(name, **labels):
    return prometheus_client.REGISTRY.get_sample_value(name, labels) or 0


async def _wait_until(condition):
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the condition was not met within 10 s')


@pytest.fixture
async def start_node():
    """Starts hubs on loopback ports and stops them after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(host, incarnation=1, secret='s', limits=_SHORT_LIMITS):
            hello = schema.messages.Hello(
                host=host, domain='a', program='entry', incarnation=incarnation
            )
            hub = links.make_hub(hello, secret, limits)
            app = web.Application()
            hub.add_routes(app)
            server = test_utils.TestServer(app)
            await stack.enter_async_context(server)
            node = _Node(hub, str(server.make_url('')))
            hub.register(schema.messages.Heartbeat, node.record)
            return node

        yield start


async def test_two_hubs_that_connect_at_once_keep_one_link(start_node):
    """Two links would deliver twice; differing choices would leave none."""
    left, right = await start_node('left'), await start_node('right')
    left.hub.connect(right.url)
    right.hub.connect(left.url)
    await _wait_until(lambda: left.hub.links and right.hub.links)
    for number in range(40):
        message = attrs.evolve(_HEARTBEAT, incarnation=number)
        assert left.hub.send('right', message)
        assert right.hub.broadcast(message, domain='a') == 1
        await asyncio.sleep(0.01)
    await _wait_until(lambda: len(left.received) + len(right.received) >= 80)
    numbers = [message.incarnation for message in left.received]
    assert numbers == list(range(40))
    assert left.hub.links[0].host == 'right'
    assert len(left.hub._open_links) == len(right.hub._open_links) == 1


async def test_wrong_secret_is_refused_and_counted(start_node):
    """A process without the secret must not join."""
    left, right = await start_node('left', secret='x'), await start_node('r')
    before = _count('briarknot_peer_refusals_total', reason='secret')
    left.hub.connect(right.url)
    await _wait_until(
        lambda: (
            _count('briarknot_peer_refusals_total', reason='secret') > before
        )
    )
    assert not left.hub.links and not right.hub.links
    assert not left.hub.send('right', _HEARTBEAT)


async def test_newer_incarnation_replaces_the_link(start_node):
    """After a restart, messages must not go to the old process's link."""
    server = await start_node('server')
    old, new = await start_node('a', 1), await start_node('a', 2)
    old.hub.connect(server.url)
    await _wait_until(lambda: server.hub.links)
    new.hub.connect(server.url)
    await _wait_until(lambda: server.hub.links[0].incarnation == 2)
    assert server.hub.send('a', _HEARTBEAT)
    await _wait_until(lambda: new.received)
    assert not old.received
    assert len(server.hub.links) == 1


async def test_new_incarnation_is_sent_to_peers(start_node):
    """Without it, peers would suspect a process that resumed from a pause."""
    left, right = await start_node('left'), await start_node('right')
    left.hub.connect(right.url)
    await _wait_until(lambda: right.hub.links)
    left.hub.update_hello(incarnation=5, revision=7)
    await _wait_until(lambda: right.hub.links[0].incarnation == 5)


async def test_peer_that_does_not_read_never_blocks_the_sender(start_node):
    """A stuck peer must lose only its own messages, in a bounded queue."""
    limits = attrs.evolve(_SHORT_LIMITS, queue_messages=4, heartbeat_s=60)
    left, right = await start_node('left', limits=limits), await start_node('r')
    stuck = asyncio.Event()

    async def hang(_link, _message):
        await stuck.wait()

    right.hub.register(schema.messages.DocumentBody, hang)
    left.hub.connect(right.url)
    await _wait_until(lambda: left.hub.links)
    before = _count(
        'briarknot_peer_dropped_messages_total', reason='queue_full'
    )
    body = schema.messages.DocumentBody(text='x' * 2**20)
    were_queued = []
    for _ in range(60):
        were_queued.append(left.hub.send('r', body))
        await asyncio.sleep(0)
    dropped = _count(
        'briarknot_peer_dropped_messages_total', reason='queue_full'
    )
    stuck.set()
    assert dropped > before
    assert were_queued.count(False) == dropped - before


async def test_undecodable_frame_is_dropped_and_the_link_stays(start_node):
    """A frame of a newer version must not disconnect peers."""
    node = await start_node('node')
    hello = schema.encode(schema.messages.Hello(host='x', program='entry'))
    reason = {'reason': 'undecodable'}
    before = _count('briarknot_peer_dropped_messages_total', **reason)
    async with (
        aiohttp.ClientSession(headers={'Authorization': 'Bearer s'}) as session,
        session.ws_connect(f'{node.url}/peer/link') as socket,
    ):
        await socket.send_bytes(hello)
        await socket.send_bytes(b'\xff' * 9)
        await socket.send_str('text')
        await socket.send_bytes(schema.encode(_HEARTBEAT))
        await _wait_until(lambda: node.received == [_HEARTBEAT])
    after = _count('briarknot_peer_dropped_messages_total', **reason)
    assert after - before == 2


async def test_failing_handler_leaves_the_link_open(start_node):
    """A message whose handler raises must not stop later messages."""
    left, right = await start_node('left'), await start_node('right')

    async def fail(_link, _message):
        raise LookupError('no such limit')

    right.hub.register(schema.messages.CreditRequest, fail)
    left.hub.connect(right.url)
    await _wait_until(lambda: left.hub.links)
    left.hub.send('right', schema.messages.CreditRequest(limit='x'))
    left.hub.send('right', _HEARTBEAT)
    await _wait_until(lambda: right.received == [_HEARTBEAT])


async def test_closed_link_is_opened_again(start_node):
    """A link that was closed must be opened again."""
    left, right = await start_node('left'), await start_node('right')
    left.hub.connect(right.url)
    await _wait_until(lambda: left.hub.links)
    first = left.hub.links[0]
    await first.close()
    await _wait_until(lambda: left.hub.links and left.hub.links[0] != first)
    left.hub.disconnect(right.url)
    await _wait_until(lambda: not left.hub.links and not right.hub.links)


async def test_unresponsive_connection_is_closed(start_node):
    """A connection that does not answer pings must not count as a link."""
    node = await start_node('node')
    hello = schema.encode(schema.messages.Hello(host='x', program='entry'))
    async with (
        aiohttp.ClientSession(headers={'Authorization': 'Bearer s'}) as session,
        session.ws_connect(f'{node.url}/peer/link', autoping=False) as socket,
    ):
        await socket.send_bytes(hello)
        await _wait_until(lambda: node.hub.links)
        await _wait_until(lambda: not node.hub.links)
