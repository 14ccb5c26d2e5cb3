"""One open link to a peer."""

import asyncio

import aiohttp
import attrs
from aiohttp import web

from briarknot import schema
from briarknot.links import _limits, _metrics

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


@attrs.frozen(order=True)
class PeerKey:
    """Identifies a peer process.

    :param host: host of the process.
    :param program: program, since entry and control share a host.
    """

    host: str
    program: str


@attrs.frozen
class Frame:
    """An encoded message.

    :param kind: member of ``PeerMessage``.
    :param body: the encoded message.
    """

    kind: str
    body: bytes


def make_key(hello: schema.messages.Hello) -> PeerKey:
    """Makes the key of the process that sent a hello.

    :param hello: first message of a peer.
    """
    return PeerKey(hello.host, hello.program)


def make_frame(message: schema.messages.PeerMessage) -> Frame:
    """Encodes a message.

    :param message: a member of ``PeerMessage``.
    """
    kind = schema.messages.PEER_MESSAGE_MEMBERS[type(message)]
    return Frame(kind, schema.encode(message))


@attrs.define(eq=False)
class Link:
    """An open link; made by the hub and passed to message handlers.

    :param peer: the latest hello of the peer.
    :param initiator: process that opened the connection.
    """

    _peer: schema.messages.Hello
    _initiator: PeerKey
    _socket: Socket
    _limits: _limits.LinkLimits
    _queue: asyncio.Queue[Frame | None] = attrs.field(
        factory=asyncio.Queue, init=False
    )
    _queued_bytes: int = attrs.field(default=0, init=False)
    _is_retired: bool = attrs.field(default=False, init=False)
    _closed: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    @property
    def peer(self) -> schema.messages.Hello:
        """Latest hello of the peer."""
        return self._peer

    @property
    def socket(self) -> Socket:
        """The connection; only the hub reads from it."""
        return self._socket

    @property
    def key(self) -> PeerKey:
        """Key of the peer process."""
        return make_key(self._peer)

    @property
    def host(self) -> str:
        """Host of the peer."""
        return self._peer.host

    @property
    def domain(self) -> str:
        """Failure domain of the peer."""
        return self._peer.domain

    @property
    def program(self) -> str:
        """Program of the peer."""
        return self._peer.program

    @property
    def incarnation(self) -> int:
        """Latest incarnation of the peer."""
        return self._peer.incarnation

    @property
    def is_closed(self) -> bool:
        """Whether the link no longer accepts messages to send."""
        return self._is_retired or self._closed.is_set()

    def is_preferred_to(self, other: 'Link') -> bool:
        """Decides which of two links to the same peer is kept.

        Both sides decide alike: the newer incarnation, else the connection
        opened by the process with the lower key. A process opens a second
        connection only after it gave up the first, so of two connections
        opened by one process the later is kept.

        :param other: a link that was added earlier.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self._initiator <= other._initiator

    def update_peer(self, hello: schema.messages.Hello) -> None:
        """Applies a later hello of the peer.

        :param hello: the hello; ignored where its incarnation is older.
        """
        if hello.incarnation >= self.incarnation:
            self._peer = attrs.evolve(
                self._peer,
                incarnation=hello.incarnation,
                revision=hello.revision,
            )

    def send(self, message: schema.messages.PeerMessage) -> bool:
        """Queues a message without waiting.

        A handler that replies uses ``Hub.send`` with the link's host and
        program, because the link of the request may have been replaced.

        :param message: a member of ``PeerMessage``.
        :returns: whether it was queued; otherwise it is counted as dropped.
        """
        return self.send_frame(make_frame(message))

    def send_frame(self, frame: Frame) -> bool:
        """Queues an encoded message without waiting.

        :param frame: the encoded message.
        :returns: whether it was queued; otherwise it is counted as dropped.
        """
        queued_bytes = self._queued_bytes + len(frame.body)
        if self.is_closed:
            _metrics.DROPPED.labels('closed').inc()
            return False
        if (
            self._queue.qsize() >= self._limits.queue_messages
            or queued_bytes > self._limits.queue_bytes
        ):
            _metrics.DROPPED.labels('queue_full').inc()
            return False
        self._queued_bytes = queued_bytes
        self._queue.put_nowait(frame)
        return True

    def retire(self) -> None:
        """Closes the link once the queued messages are sent."""
        if not self._is_retired:
            self._is_retired = True
            self._queue.put_nowait(None)

    def mark_closed(self) -> None:
        """Wakes the waiting tasks and counts unsent messages as dropped."""
        self._closed.set()
        unsent = self._queue.qsize() - int(self._is_retired)
        _metrics.DROPPED.labels('closed').inc(max(0, unsent))

    async def wait_closed(self) -> None:
        """Waits until the connection is closed."""
        await self._closed.wait()

    async def close(self) -> None:
        """Closes the connection without sending the queued messages."""
        await self._socket.close()

    async def run_writer(self) -> None:
        """Sends the queued messages in order, until the link is retired."""
        while frame := await self._queue.get():
            self._queued_bytes -= len(frame.body)
            try:
                await self._socket.send_bytes(frame.body)
            except ConnectionError:
                _metrics.DROPPED.labels('closed').inc()
                break
            _metrics.MESSAGES.labels('sent', frame.kind).inc()
            _metrics.BYTES.labels('sent').inc(len(frame.body))
        if self._is_retired:
            await asyncio.sleep(self._limits.retire_s)
        await self._socket.close()
