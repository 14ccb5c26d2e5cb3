"""Guards the receiving of many messages at once."""

import asyncio

from briarknot import schema
from briarknot.gateway import _context, _peer_socket, _peers
from briarknot.gateway.tests import test_peers as peers_tests


async def test_burst_of_messages_is_received_as_a_whole():
    """Datagrams beyond those of one read would wait for the next message."""
    first, second = (
        peers_tests.make_peer_context('g1'),
        peers_tests.make_peer_context('g2'),
    )
    address = ('127.0.0.1', second.settings.peer_port)
    first.peer_hosts = {'g2': _context.PeerHost(address, 'a')}
    sender, receiver = _peers.make_peers(first), _peers.make_peers(second)
    count = 2 * _peer_socket._MAX_READ + 1
    for number in range(count):
        sender.broadcast(
            schema.messages.StageChanges(host='g1', engines=(f'e{number}',))
        )
    task = asyncio.ensure_future(receiver.receive())
    async with asyncio.timeout(5):
        while f'e{count - 1}' not in second.fleet._changing_until_s:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    assert len(second.fleet._changing_until_s) == count
    task.cancel()
