"""Socket for the messages between gateway processes."""

import asyncio
import collections
import contextlib
import socket

import attrs
import prometheus_client

from briarknot.gateway import _context

_DATAGRAM_BYTES = 65536
_MESSAGES = prometheus_client.Counter(
    'briarknot_gateway_peer_messages',
    'Messages between gateway processes by direction.',
    ('direction',),
)


_RECEIVED = _MESSAGES.labels('received')
_SENT = _MESSAGES.labels('sent')
_FAILED = _MESSAGES.labels('failed')
#: Datagrams that are read in one iteration of the event loop. Others wait in the
#: socket, whose buffer is bounded.
_MAX_READ = 64


@attrs.define(eq=False)
class PeerSocket:
    """Sends and receives datagrams; lost ones are not resent."""

    _context: _context.Context
    _socket: socket.socket
    _arrived: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _waiter: asyncio.Future[None] | None = None

    @contextlib.contextmanager
    def listen(self) -> collections.abc.Iterator[None]:
        """Watches the socket.

        Registering it for each datagram costs as much as reading it.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read)
        try:
            yield
        finally:
            loop.remove_reader(self._socket)

    async def receive(self) -> bytes:
        """Waits for a datagram of another process, while the socket is watched."""
        while not self._arrived:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._arrived.popleft()

    def _read(self) -> None:
        """Reads what has arrived, and wakes the receiving task once."""
        count = 0
        while count < _MAX_READ:
            try:
                self._arrived.append(self._socket.recv(_DATAGRAM_BYTES))
            except OSError:
                # Nothing is left, or a receiver of an earlier datagram is gone.
                break
            count += 1
        _RECEIVED.inc(count)
        if self._arrived and self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram.

        :param data: an encoded message.
        :param address: IP number and port of the receiver.
        """
        try:
            self._socket.sendto(data, address)
        except OSError:
            # The next message carries the same state.
            _FAILED.inc()
        else:
            _SENT.inc()

    def list_near(self) -> list[_context.PeerHost]:
        """Lists the other processes of the local failure domain."""
        peers = self._context.peer_hosts
        return [peers[host] for host in self._context.host_groups.near]


def open_peer_socket(context: _context.Context) -> PeerSocket:
    """Opens the socket on the port of the settings.

    :param context: state of the process.
    """
    settings = context.settings
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((settings.address, settings.peer_port))
    return PeerSocket(context, opened)
