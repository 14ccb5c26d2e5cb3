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

    async def receive(self) -> None:
        """Takes the messages of other processes."""
        loop = asyncio.get_running_loop()
        while True:
            data = await loop.sock_recv(self._socket, _DATAGRAM_BYTES)
            message = schema.decode(data)
            _MESSAGES.labels('received').inc()
            if isinstance(message, schema.messages.EngineWork):
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

    def send_news(self) -> None:
        """Tells all other processes what was just read."""
        fleet = self._context.fleet
        data = schema.encode(
            schema.messages.FleetNews(
                host=self._context.settings.host,
                manifest_version=fleet.version,
                workers_digest=fleet.workers_digest,
            )
        )
        for address in self._context.hosts.values():
            self._send_one(data, address)

    async def send(self) -> None:
        """Sends the own work at engines to all others while there is some."""
        sequence = 0
        was_idle = True
        while True:
            hosts = tuple(self._context.hosts.values())
            period_s = max(_PERIOD_S, len(hosts) / _MESSAGES_PER_S)
            await asyncio.sleep(period_s)
            work = self._context.prompts.work.own
            parts = self._context.prompts.caches.take_news()
            if not work and not parts and was_idle:
                continue
            was_idle = not work
            sequence += 1
            data = schema.encode(self._make_message(work, parts, sequence))
            for address in hosts:
                self._send_one(data, address)

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
