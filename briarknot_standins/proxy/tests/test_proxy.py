"""Guards the faults that failure tests put between processes."""

import asyncio
import contextlib
import socket
import struct

import attrs
import pytest

from briarknot_standins import proxy, serving

# Long enough for bytes on loopback; nothing arrives while a fault holds it.
_QUIET_S = 0.1
_DELAY_S = 0.05


@attrs.define(eq=False)
class Bench:
    """A proxy in front of a server that echoes and notes what it reads."""

    proxy: proxy.Proxy
    port: int = 0
    received: bytearray = attrs.field(factory=bytearray)
    arrived: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def echo(self, reader, writer):
        """Echoes until the client ends its side."""
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
        """Sends bytes and waits until the target has them."""
        writer.write(payload)
        await self.wait_received(payload)

    async def wait_received(self, payload):
        """Waits until the target has read bytes."""
        async with self.arrived:
            await self.arrived.wait_for(lambda: payload in self.received)

    def add_fault(self, kind, **members):
        """Puts a fault in force."""
        assert self.proxy.add_fault(proxy.FaultRequest(kind=kind, **members))


@contextlib.asynccontextmanager
async def open_bench():
    """Opens a proxy with one link to an echo server."""
    bench = Bench(proxy.make_proxy())
    server = await asyncio.start_server(bench.echo, serving.HOST, 0)
    target = server.sockets[0].getsockname()[1]
    bench.port = await bench.proxy.open_link(
        proxy.Link(name='a', target_port=target)
    )
    try:
        yield bench
    finally:
        await bench.proxy.close()
        server.close()


def reset(writer):
    """Closes a connection with a reset, as a killed process may."""
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


async def test_bytes_and_ends_pass():
    """Without faults the proxy must not change anything."""
    payload = bytes(range(256)) * 4096
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        writer.write(payload)
        writer.write_eof()
        assert await reader.read(-1) == payload
        stats = bench.proxy.stats[0]
        assert (stats.forward_bytes, stats.opened) == (len(payload), 1)
        writer.close()


async def test_cut_closes_open_connections_and_refuses_new_ones():
    """A cut link that still answers would hide a missing retry."""
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        await bench.send(writer)
        await reader.read(4)
        bench.add_fault('cut')
        for open_reader in (reader, (await bench.connect())[0]):
            with contextlib.suppress(ConnectionError):
                assert not await open_reader.read(1)
        bench.proxy.remove_faults()
        _, writer = await bench.connect()
        await bench.send(writer, b'healed')


async def test_delay_keeps_the_order():
    """A delay that is too short or reorders would not be like a long link."""
    clock = asyncio.get_running_loop().time
    async with open_bench() as bench:
        bench.add_fault('delay', seconds=_DELAY_S)
        reader, writer = await bench.connect()
        sent_at_s = clock()
        for payload in (b'one ', b'two ', b'three'):
            writer.write(payload)
            await asyncio.sleep(0.01)
        assert await reader.readexactly(13) == b'one two three'
        # Both directions are delayed.
        assert clock() - sent_at_s >= 2 * _DELAY_S


@pytest.mark.parametrize('direction', ['both', 'forward', 'backward'])
async def test_freeze_holds_its_direction_only(direction):
    """A partition of one direction must let the other one pass."""
    async with open_bench() as bench:
        bench.add_fault('freeze', direction=proxy.Direction(direction))
        reader, writer = await bench.connect()
        writer.write(b'ping')
        assert await is_quiet(reader)
        assert bool(bench.received) is (direction == 'backward')
        bench.proxy.remove_faults()
        assert await reader.readexactly(4) == b'ping'


async def test_silent_connections_stay_silent_and_new_ones_work():
    """Silence must last, and must not spread."""
    async with open_bench() as bench:
        reader, writer = await bench.connect()
        await bench.send(writer)
        assert await reader.readexactly(4) == b'ping'
        bench.add_fault('silence')
        bench.proxy.remove_faults()
        writer.write(b'lost')
        assert await is_quiet(reader)
        _, other = await bench.connect()
        await bench.send(other, b'new')
        assert b'lost' not in bench.received


async def test_held_bytes_arrive_after_their_sender_left():
    """An order that arrives late must not need a living sender."""
    async with open_bench() as bench:
        bench.add_fault('hold', marker='POST /orders')
        _, writer = await bench.connect()
        await bench.send(writer, b'GET /orders')
        writer.write(b'POST /orders')
        await asyncio.sleep(_QUIET_S)
        reset(writer)
        await asyncio.sleep(_QUIET_S)
        assert b'POST' not in bench.received
        bench.proxy.remove_faults()
        await bench.wait_received(b'POST /orders')


async def test_fault_of_another_link_has_no_effect():
    """A fault on the wrong link would make a test prove nothing."""
    async with open_bench() as bench:
        bench.add_fault('cut', link='b')
        _, writer = await bench.connect()
        await bench.send(writer)


def test_unknown_kind_is_refused():
    """A misspelt fault would let a test pass without its fault."""
    request = proxy.FaultRequest(kind='chop')
    assert not proxy.make_proxy().add_fault(request)
