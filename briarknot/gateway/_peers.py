"""Messages between gateway processes: work at engines, and store reads."""

import asyncio
import socket
import time

import attrs
import prometheus_client

from briarknot import schema, telemetry
from briarknot.gateway import _context

#: Shortest period of messages. A prompt takes some hundred milliseconds to
#: read, so that later news would come after it.
_PERIOD_S = 0.15
#: Messages that a process sends in a second at the most; with more peers the
#: period grows, which keeps control traffic within 4 KB a second and region.
_MESSAGES_PER_S = 60.0
_DATAGRAM_BYTES = 65536
_MS_PER_S = 1000
_MESSAGES = prometheus_client.Counter(
    'briarknot_gateway_peer_messages',
    'Messages between gateway processes by direction.',
    ('direction',),
)


@attrs.define(eq=False)
class Peers:
    """Sends and receives messages over UDP; lost ones are not repeated."""

    _context: _context.Context
    _socket: socket.socket
    _born_ms: int
    _is_announced: bool = True

    async def receive(self) -> None:
        """Takes the messages of other processes."""
        loop = asyncio.get_running_loop()
        while True:
            data, address = await loop.sock_recvfrom(
                self._socket, _DATAGRAM_BYTES
            )
            message = schema.decode(data)
            _MESSAGES.labels('received').inc()
            if isinstance(message, schema.messages.EngineWork):
                self._note_host(message, address)
                prompts = self._context.prompts
                prompts.work.apply_peer(message, time.monotonic())
                prompts.caches.apply_peer(message.parts)
            elif isinstance(message, schema.messages.FleetNews):
                self._context.news = message
                self._context.news_arrived.set()
            else:
                telemetry.log_event(
                    'peer_message_malformed', message=repr(message)
                )

    def send_news(self, news: schema.messages.FleetNews) -> None:
        """Tells all other processes what was just read.

        :param news: what was read.
        """
        self._send_all(schema.encode(news))

    def announce(self) -> None:
        """Sends a message soon, also where there is no work to tell of."""
        self._is_announced = False

    async def send(self) -> None:
        """Sends the own work at engines to all others while there is some."""
        sequence = 0
        was_idle = True
        while True:
            hosts = len(self._context.hosts)
            period_s = max(_PERIOD_S, hosts / _MESSAGES_PER_S)
            await asyncio.sleep(period_s)
            work = self._context.prompts.work.own
            parts = self._context.prompts.caches.take_news()
            if not work and not parts and was_idle and self._is_announced:
                continue
            was_idle = not work
            self._is_announced = True
            sequence += 1
            self._send_all(
                schema.encode(self._make_message(work, parts, sequence))
            )

    def _note_host(
        self, message: schema.messages.EngineWork, address: tuple[str, int]
    ) -> None:
        """Adds a process that started after the last read of the list."""
        hosts = self._context.hosts
        if message.host not in hosts:
            peer = _context.PeerHost(address, message.domain)
            self._context.set_hosts({**hosts, message.host: peer})

    def _send_all(self, data: bytes) -> None:
        for peer in self._context.hosts.values():
            self._send_one(data, peer.address)

    def _send_one(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            # The next message tells the same again.
            _MESSAGES.labels('failed').inc()
        else:
            _MESSAGES.labels('sent').inc()

    def _make_message(
        self,
        work: tuple[schema.messages.WorkerWork, ...],
        parts: tuple[schema.messages.CachedPart, ...],
        sequence: int,
    ) -> schema.messages.EngineWork:
        return schema.messages.EngineWork(
            host=self._context.settings.host,
            sequence=sequence,
            born_ms=self._born_ms,
            workers=work,
            parts=parts,
            domain=self._context.settings.domain,
        )


def make_peers(context: _context.Context) -> Peers:
    """Opens the socket for messages of peers.

    :param context: state of the process.
    """
    settings = context.settings
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((settings.address, settings.peer_port))
    return Peers(context, opened, int(time.time() * _MS_PER_S))
