"""Checks the faults that failure tests inject between processes."""

import asyncio
import contextlib
import socket
import struct

import attrs
import pytest

from briarknot_standins import proxy, serving

# Long enough for bytes to arrive over loopback if no fault holds them.
_QUIET_S = 0.1
_DELAY_S = 0.05


@attrs.define(eq=False)
class Harness:
    """A proxy in front of an echo server that records what it reads."""

    proxy: proxy.Proxy
    port: int = 0
    received: bytearray = attrs.field(factory=bytearray)
    arrived: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def echo(self, reader, writer):
        """Echoes until the client closes its side."""
        while payload := await reader.read(1024):
            async with self.arrived:
                self.received.extend(payload)
                self.arrived.notify_all()
            writer.write(payload)
        writer.close()

    async def connect(self):
        """Opens a connection through the proxy."""
        return await asyncio.open_connection(serving.HOST, self.port)

    async def send(self, writer, payload=b'ping'):
        """Sends bytes and waits until the target has received them."""
        writer.write(payload)
        await self.wait_received(payload)

    async def wait_received(self, payload):
        """Waits until the target has received bytes."""
        async with self.arrived:
            await self.arrived.wait_for(lambda: payload in self.received)

    def add_fault(self, kind, **members):
        """Puts a fault in force."""
        assert self.proxy.add_fault(proxy.FaultRequest(kind=kind, **members))


@contextlib.asynccontextmanager
async def open_harness():
    """Opens a proxy with one link to an echo server."""
    harness = Harness(proxy.make_proxy())
    server = await asyncio.start_server(harness.echo, serving.HOST, 0)
    target = server.sockets[0].getsockname()[1]
    harness.port = await harness.proxy.open_link(
        proxy.Link(name='a', target_port=target)
    )
    try:
        yield harness
    finally:
        await harness.proxy.close()
        server.close()


def reset(writer):
    """Resets a connection, as can happen when a process is killed."""
    sender = writer.get_extra_info('socket')
    no_linger = struct.pack('ii', 1, 0)
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


async def is_quiet(reader):
    """Returns whether nothing arrives for a while."""
    try:
        await asyncio.wait_for(reader.read(1024), _QUIET_S)
    except TimeoutError:
        return True
    return False


async def test_bytes_and_eof_pass():
    """Guards against a proxy that alters traffic without a fault."""
    payload = bytes(range(256)) * 4096
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        writer.write(payload)
        writer.write_eof()
        assert await reader.read(-1) == payload
        stats = harness.proxy.stats[0]
        assert (stats.forward_bytes, stats.opened) == (len(payload), 1)
        writer.close()


async def test_cut_closes_open_connections_and_refuses_new_ones():
    """Guards against a cut link that still answers.

    It would hide a missing retry.
    """
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        await harness.send(writer)
        await reader.read(4)
        harness.add_fault('cut')
        for open_reader in (reader, (await harness.connect())[0]):
            with contextlib.suppress(ConnectionError):
                assert not await open_reader.read(1)
        harness.proxy.remove_faults()
        _, writer = await harness.connect()
        await harness.send(writer, b'healed')


async def test_delay_keeps_the_order():
    """Guards against a delay that is too short or reorders bytes."""
    clock = asyncio.get_running_loop().time
    async with open_harness() as harness:
        harness.add_fault('delay', seconds=_DELAY_S)
        reader, writer = await harness.connect()
        sent_at_s = clock()
        for payload in (b'one ', b'two ', b'three'):
            writer.write(payload)
            await asyncio.sleep(0.01)
        assert await reader.readexactly(13) == b'one two three'
        # Both directions are delayed.
        assert clock() - sent_at_s >= 2 * _DELAY_S


@pytest.mark.parametrize('direction', ['both', 'forward', 'backward'])
async def test_freeze_holds_its_direction_only(direction):
    """Guards against a one-way partition that blocks both directions."""
    async with open_harness() as harness:
        harness.add_fault('freeze', direction=proxy.Direction(direction))
        reader, writer = await harness.connect()
        writer.write(b'ping')
        assert await is_quiet(reader)
        assert bool(harness.received) is (direction == 'backward')
        harness.proxy.remove_faults()
        assert await reader.readexactly(4) == b'ping'


async def test_silence_lasts_and_affects_open_connections_only():
    """Guards against silence that ends or that affects new connections."""
    async with open_harness() as harness:
        reader, writer = await harness.connect()
        await harness.send(writer)
        assert await reader.readexactly(4) == b'ping'
        harness.add_fault('silence')
        harness.proxy.remove_faults()
        writer.write(b'lost')
        assert await is_quiet(reader)
        _, other = await harness.connect()
        await harness.send(other, b'new')
        assert b'lost' not in harness.received


async def test_held_bytes_arrive_after_disconnect():
    """Guards against held bytes that are lost when their sender disconnects.

    Tests of late orders rely on their arrival.
    """
    async with open_harness() as harness:
        harness.add_fault('hold', marker='POST /orders')
        _, writer = await harness.connect()
        await harness.send(writer, b'GET /orders')
        writer.write(b'POST /orders')
        await asyncio.sleep(_QUIET_S)
        reset(writer)
        await asyncio.sleep(_QUIET_S)
        assert b'POST' not in harness.received
        harness.proxy.remove_faults()
        await harness.wait_received(b'POST /orders')


async def test_fault_of_another_link_has_no_effect():
    """Guards against a fault that affects other links than its own."""
    async with open_harness() as harness:
        harness.add_fault('cut', link='b')
        _, writer = await harness.connect()
        await harness.send(writer)


def test_unknown_kind_is_refused():
    """Guards against a misspelt fault that is silently ignored.

    The test that sets it would then pass without the fault.
    """
    request = proxy.FaultRequest(kind='chop')
    assert not proxy.make_proxy().add_fault(request)
