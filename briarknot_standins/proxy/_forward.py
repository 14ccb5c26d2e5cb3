"""Links of the proxy and the tasks of their connections."""

import asyncio
import contextlib
import typing

import attrs

from briarknot_standins import serving
from briarknot_standins.proxy import _config, _faults

_READ_BYTES = 64 * 1024
# Chunks that a delay may buffer for each direction; beyond that, reads from the
# sender wait.
_QUEUE_CHUNKS = 1024


@attrs.define
class LinkStats:
    """Counters of one link.

    :param name: name of the link.
    :param port: port that it listens on.
    :param opened: connections since the start.
    :param open: connections that are open now.
    :param forward_bytes: bytes passed on to the target.
    :param backward_bytes: bytes passed on from the target.
    """

    name: str
    port: int = 0
    opened: int = 0
    open: int = 0
    forward_bytes: int = 0
    backward_bytes: int = 0

    def count_open(self, change: int) -> None:
        """Counts a connection that was opened (1) or closed (-1)."""
        self.open += change
        self.opened += max(0, change)

    def add_bytes(self, direction: _config.Direction, count: int) -> None:
        """Counts bytes that were passed on."""
        if direction is _config.Direction.FORWARD:
            self.forward_bytes += count
        else:
            self.backward_bytes += count


@attrs.frozen(eq=False)
class _Side:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@attrs.frozen(eq=False)
class _Path:
    """One direction of a connection, with its undelivered chunks."""

    connection: _faults.Connection
    direction: _config.Direction
    queue: asyncio.Queue


@attrs.define(eq=False)
class Proxy:
    """Links, their connections, and the faults in force."""

    _active_faults: list[_faults.Fault] = attrs.field(factory=list, init=False)
    _connections: set[_faults.Connection] = attrs.field(factory=set, init=False)
    _servers: list[asyncio.Server] = attrs.field(factory=list, init=False)
    _tasks: set[asyncio.Task] = attrs.field(factory=set, init=False)
    _stats: dict[str, LinkStats] = attrs.field(factory=dict, init=False)

    @property
    def stats(self) -> tuple[LinkStats, ...]:
        """Counters of each link."""
        return tuple(self._stats.values())

    @property
    def faults(self) -> tuple[_config.FaultRequest, ...]:
        """Faults in force, oldest first, including permanent ones."""
        return tuple(fault.request for fault in self._active_faults)

    def has_link(self, name: str) -> bool:
        """Returns whether a link of this name is open."""
        return name in self._stats

    async def open_link(self, link: _config.Link) -> int:
        """Starts to listen on a link's port.

        :returns: the port that it listens on.
        """

        stats = LinkStats(link.name)

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._run_connection(link, _Side(reader, writer), stats)

        server = await asyncio.start_server(accept, serving.HOST, link.port)
        self._servers.append(server)
        stats.port = server.sockets[0].getsockname()[1]
        self._stats[link.name] = stats
        return stats.port

    def add_fault(self, request: _config.FaultRequest) -> bool:
        """Puts a fault in force.

        :returns: whether its kind is known.
        """
        kind = _faults.FAULT_KINDS.get(request.kind)
        if not kind:
            return False
        fault = kind(request)
        self._active_faults.append(fault)
        fault.start(tuple(filter(fault.covers, self._connections)))
        return True

    def remove_faults(self, link: str = '') -> None:
        """Removes the faults of one link, or all for an empty name."""
        for fault in tuple(self._active_faults):
            if link in {'', fault.request.link} and not fault.permanent:
                fault.ended.set()
                self._active_faults.remove(fault)

    async def close(self) -> None:
        """Closes all links and connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _run_connection(
        self, link: _config.Link, client: _Side, stats: LinkStats
    ) -> None:
        task = asyncio.current_task()
        connection = _faults.Connection(link.name, task.cancel)
        with self._track_connection(connection, task, stats):
            try:
                if self._accepts(connection):
                    await self._connect(connection, link, client)
            except (OSError, asyncio.CancelledError):
                client.writer.transport.abort()
            finally:
                client.writer.close()

    @contextlib.contextmanager
    def _track_connection(
        self,
        connection: _faults.Connection,
        task: asyncio.Task,
        stats: LinkStats,
    ) -> typing.Iterator[None]:
        with contextlib.ExitStack() as stack:
            self._tasks.add(task)
            stack.callback(self._tasks.discard, task)
            self._connections.add(connection)
            stack.callback(self._connections.discard, connection)
            stats.count_open(1)
            stack.callback(stats.count_open, -1)
            yield

    async def _connect(
        self, connection: _faults.Connection, link: _config.Link, client: _Side
    ) -> None:
        target = _Side(
            *await asyncio.open_connection(link.target_host, link.target_port)
        )
        try:
            await self._relay(connection, client, target)
        except* OSError:
            client.writer.transport.abort()
            target.writer.transport.abort()
        finally:
            target.writer.close()

    async def _relay(
        self, connection: _faults.Connection, client: _Side, target: _Side
    ) -> None:
        async with asyncio.TaskGroup() as group:
            for direction, source, sink in (
                (_config.Direction.FORWARD, client, target),
                (_config.Direction.BACKWARD, target, client),
            ):
                queue = asyncio.Queue(_QUEUE_CHUNKS)
                path = _Path(connection, direction, queue)
                group.create_task(self._receive(path, source.reader))
                group.create_task(self._deliver(path, sink.writer))

    async def _receive(self, path: _Path, reader: asyncio.StreamReader) -> None:
        clock = asyncio.get_running_loop().time
        payload = b'unread'
        while payload:
            payload = await self._read(path, reader)
            chunk = _faults.Chunk(payload, clock())
            for fault in self._get_faults(path):
                await fault.receive(path.connection, chunk)
            await path.queue.put(chunk)

    async def _read(self, path: _Path, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(_READ_BYTES)
        except ConnectionError:
            # Bytes that were read before the reset are delivered first.
            path.connection.reset = True
            return b''

    async def _deliver(self, path: _Path, writer: asyncio.StreamWriter) -> None:
        stats = self._stats[path.connection.link]
        payload = b'undelivered'
        while payload:
            chunk = await path.queue.get()
            payload = chunk.payload
            passed = await self._apply_faults(path, chunk)
            if passed and payload:
                writer.write(payload)
                await writer.drain()
                stats.add_bytes(path.direction, len(payload))
            elif not payload:
                await _close_stream(path, writer, passed=passed)

    async def _apply_faults(self, path: _Path, chunk: _faults.Chunk) -> bool:
        """Passes a chunk through all faults, including those set meanwhile."""
        passed: set[_faults.Fault] = set()
        pending = self._get_faults(path)
        while pending:
            if not await pending[0].deliver(path.connection, chunk):
                return False
            passed.add(pending[0])
            pending = [
                one for one in self._get_faults(path) if one not in passed
            ]
        return True

    def _get_faults(self, path: _Path) -> tuple[_faults.Fault, ...]:
        return tuple(
            fault
            for fault in self._active_faults
            if fault.affects(path.connection, path.direction)
        )

    def _accepts(self, connection: _faults.Connection) -> bool:
        return all(
            fault.accepts(connection)
            for fault in self._active_faults
            if fault.covers(connection)
        )


def make_proxy() -> Proxy:
    """Makes a proxy without links."""
    return Proxy()


async def _close_stream(
    path: _Path, writer: asyncio.StreamWriter, *, passed: bool
) -> None:
    if not passed:
        # The end of a silenced connection is dropped, as its bytes are.
        await asyncio.Event().wait()
    if path.connection.reset:
        raise ConnectionResetError
    if writer.can_write_eof():
        writer.write_eof()
