"""Fault kinds of the proxy."""

import asyncio
import typing
import weakref

import attrs

from briarknot import registry
from briarknot_standins.proxy import _config


@attrs.frozen(eq=False)
class Chunk:
    """Bytes that pass through the proxy.

    :param payload: the bytes; empty at the end of the stream.
    :param arrived_at_s: event loop time at which they were read.
    """

    payload: bytes
    arrived_at_s: float


@attrs.define(eq=False)
class Connection:
    """A connection through the proxy.

    :param link: name of its link.
    :param close: closes both sides at once, without passing on more bytes.
    :param reset: whether one side reset the connection.
    """

    link: str
    close: typing.Callable[[], None]
    reset: bool = False


@attrs.define(eq=False)
class Fault:
    """A fault in force; the base class passes all bytes unchanged.

    :param request: request that set the fault.
    """

    #: Whether the fault stays in force when faults are removed.
    permanent: typing.ClassVar[bool] = False

    request: _config.FaultRequest
    _ended: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    @property
    def ended(self) -> asyncio.Event:
        """Set when the fault is removed."""
        return self._ended

    def covers(self, connection: Connection) -> bool:
        """Returns whether the fault applies to a connection's link."""
        return self.request.link in {'', connection.link}

    def affects(
        self, connection: Connection, direction: _config.Direction
    ) -> bool:
        """Returns whether bytes of a connection pass through the fault."""
        covered = self.covers(connection)
        return covered and self.request.direction.includes(direction)

    def start(self, connections: typing.Collection[Connection]) -> None:
        """Takes effect on the connections that are open now."""

    def accepts(self, connection: Connection) -> bool:
        """Returns whether a new connection is let through."""
        return True

    async def receive(self, connection: Connection, chunk: Chunk) -> None:
        """Delays the next read from the sender."""

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Delays the bytes as the fault requires.

        :returns: whether the bytes are passed on.
        """
        return True


FAULT_KINDS: registry.Registry[type[Fault]] = registry.Registry('fault kinds')


@FAULT_KINDS.register('cut')
@attrs.define(eq=False)
class CutFault(Fault):
    """Closes open connections, and new ones as they are accepted."""

    def start(self, connections: typing.Collection[Connection]) -> None:
        """Closes the connections that are open."""
        for connection in connections:
            connection.close()

    def accepts(self, connection: Connection) -> bool:
        """Accepts no connection."""
        return False

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Drops the bytes."""
        return False


@FAULT_KINDS.register('delay')
@attrs.define(eq=False)
class DelayFault(Fault):
    """Delivers bytes ``seconds`` after they arrived, in order."""

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Waits until the delay has passed."""
        now_s = asyncio.get_running_loop().time()
        due_s = chunk.arrived_at_s + self.request.seconds
        await asyncio.sleep(max(0, due_s - now_s))
        return True


@FAULT_KINDS.register('freeze')
@attrs.define(eq=False)
class FreezeFault(Fault):
    """Neither reads nor passes on bytes until it is removed.

    The sender's buffers fill up, as with a paused receiver.
    """

    async def receive(self, connection: Connection, chunk: Chunk) -> None:
        """Stops reading."""
        await self.ended.wait()

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Waits until the fault is removed."""
        await self.ended.wait()
        return True


@FAULT_KINDS.register('hold')
@attrs.define(eq=False)
class HoldFault(Fault):
    """Holds bytes and releases them late, even if the sender disconnects.

    With a marker, holding starts with the bytes that contain it and affects
    only their connection.
    """

    _held: weakref.WeakSet = attrs.field(factory=weakref.WeakSet, init=False)

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Waits until the time has passed or the fault is removed."""
        if self.request.marker.encode() in chunk.payload:
            self._held.add(connection)
        if connection in self._held:
            await _wait(self.ended, chunk, self.request.seconds)
        return True


@FAULT_KINDS.register('silence')
@attrs.define(eq=False)
class SilenceFault(Fault):
    """Silences the connections that are open now permanently.

    They stay open and silent after the fault is removed; new ones work.
    """

    permanent: typing.ClassVar[bool] = True

    _silent: weakref.WeakSet = attrs.field(factory=weakref.WeakSet, init=False)

    def start(self, connections: typing.Collection[Connection]) -> None:
        """Records the connections that are open."""
        self._silent.update(connections)

    async def deliver(self, connection: Connection, chunk: Chunk) -> bool:
        """Drops the bytes of silent connections, and their end."""
        return connection not in self._silent


async def _wait(ended: asyncio.Event, chunk: Chunk, seconds: float) -> None:
    if not seconds:
        await ended.wait()
        return
    now_s = asyncio.get_running_loop().time()
    left_s = chunk.arrived_at_s + seconds - now_s
    try:
        await asyncio.wait_for(ended.wait(), max(0, left_s))
    except TimeoutError:
        return
