"""Messages between gateway processes: work at engines and fleet updates."""

import asyncio
import socket
import time

import attrs
import prometheus_client

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context

#: Shortest period of messages. The prefill of a prompt takes a few hundred
#: milliseconds, so a later message would arrive after its end.
_MIN_PERIOD_S = 0.15
#: Limit of the messages that a process receives per second. With more processes
#: the period grows, because decoding one message takes 0.1 ms.
_MAX_RECEIVED_PER_S = 150.0
#: Longest time between messages while the work does not change; peers drop
#: work that has not been reported for 1.5 s.
_MAX_SILENCE_S = 0.6
#: Processes of another domain that take turns in forwarding the messages of
#: this one, so that the loss of one costs only every second message.
_FORWARDERS_PER_DOMAIN = 2
#: Processes that tell one that has just started what the engines' caches hold.
_INFORMERS = 2
#: Cached parts in a datagram; each takes about 50 bytes.
_PARTS_PER_DATAGRAM = 300
_DATAGRAM_BYTES = 65536
_MS_PER_S = 1000
_MESSAGES = prometheus_client.Counter(
    'briarknot_gateway_peer_messages',
    'Messages between gateway processes by direction.',
    ('direction',),
)


@attrs.define(eq=False)
class Peers:
    """Sends and receives messages over UDP; lost messages are not resent."""

    _context: _context.Context
    _socket: socket.socket
    _born_ms: int
    _is_announced: bool = True
    _sequence: int = 0
    _known_starts: dict[str, int] = attrs.field(factory=dict)

    async def receive(self) -> None:
        """Receives and applies the messages of other processes."""
        loop = asyncio.get_running_loop()
        while True:
            data = await loop.sock_recv(self._socket, _DATAGRAM_BYTES)
            message = schema.decode(data)
            _MESSAGES.labels('received').inc()
            if isinstance(message, schema.messages.EngineWork):
                self._record_host(message)
                self._inform_started(message)
                load = self._context.prompt_load
                load.work.apply_peer_work(message, time.monotonic())
                load.caches.record_parts(message.parts, time.monotonic())
                if message.forward:
                    self._forward(message)
            elif isinstance(message, schema.messages.FleetUpdate):
                self._context.fleet.set_changing(
                    message.changing, time.monotonic()
                )
                self._context.fleet_update = message
                self._context.fleet_update_received.set()
            else:
                telemetry.log_event(
                    'peer_message_malformed', message=repr(message)
                )

    def send_fleet_update(self, update: schema.messages.FleetUpdate) -> None:
        """Sends the result of a store read to all other processes.

        :param update: manifest version and workers as they were read.
        """
        self._send_all(schema.encode(update))

    def announce(self) -> None:
        """Makes the next message due even if there is no work to report."""
        self._is_announced = False

    async def broadcast_work(self) -> None:
        """Sends this process's work at engines to all others on a change."""
        sent_work: tuple[schema.messages.WorkerWork, ...] = ()
        sent_s = float('-inf')
        while True:
            hosts = len(self._context.peer_hosts)
            await asyncio.sleep(max(_MIN_PERIOD_S, hosts / _MAX_RECEIVED_PER_S))
            work = self._context.prompt_load.work.local
            parts = self._context.prompt_load.caches.take_unsent_parts()
            is_repeat_due = work and time.monotonic() - sent_s > _MAX_SILENCE_S
            if (
                work == sent_work
                and not (parts or is_repeat_due)
                and self._is_announced
            ):
                continue
            self._is_announced = True
            self._sequence += 1
            sent_work, sent_s = work, time.monotonic()
            self._send_work(self._make_message(work, parts))

    def _send_work(self, message: schema.messages.EngineWork) -> None:
        """Sends to the domain peers, and to one process of each other domain.

        Traffic between domains is billed by volume; the receiving process
        forwards the message to its domain peers.
        """
        data = schema.encode(message)
        for peer in self._list_domain_peers():
            self._send_one(data, peer.address)
        data = schema.encode(attrs.evolve(message, forward=True))
        index = message.sequence % _FORWARDERS_PER_DOMAIN
        for hosts in self._list_other_domains():
            ranked = serving.rank_names(message.host, hosts)
            forwarder = ranked[min(index, len(ranked) - 1)]
            self._send_one(data, self._context.peer_hosts[forwarder].address)

    def _forward(self, message: schema.messages.EngineWork) -> None:
        data = schema.encode(attrs.evolve(message, forward=False))
        for peer in self._list_domain_peers():
            self._send_one(data, peer.address)

    def _list_domain_peers(self) -> list[_context.PeerHost]:
        """Lists the other processes of the local failure domain."""
        domain = self._context.settings.domain
        hosts = self._context.peer_hosts.values()
        return [peer for peer in hosts if peer.domain == domain]

    def _list_other_domains(self) -> list[list[str]]:
        """Lists the hosts of each other failure domain."""
        domains: dict[str, list[str]] = {}
        for host, peer in self._context.peer_hosts.items():
            domains.setdefault(peer.domain, []).append(host)
        domains.pop(self._context.settings.domain, None)
        return list(domains.values())

    def _record_host(self, message: schema.messages.EngineWork) -> None:
        """Adds a process that started after the list of hosts was read."""
        hosts = self._context.peer_hosts
        is_local = message.host == self._context.settings.host
        if message.host not in hosts and message.port and not is_local:
            address = (message.address, message.port)
            peer = _context.PeerHost(address, message.domain)
            self._context.set_peer_hosts({**hosts, message.host: peer})

    def _inform_started(self, message: schema.messages.EngineWork) -> None:
        """Sends the contents of the engines' caches to a process that started.

        Two processes of its domain do, so that the loss of one does no harm.
        Without it the process would have shared parts prefilled again.
        """
        is_known = self._known_starts.get(message.host) == message.born_ms
        self._known_starts[message.host] = message.born_ms
        peer = self._context.peer_hosts.get(message.host)
        if is_known or peer is None:
            return
        local = self._context.settings.host
        domains = {
            local: self._context.settings.domain,
            **{
                host: other.domain
                for host, other in self._context.peer_hosts.items()
            },
        }
        del domains[message.host]
        near = [
            host for host, domain in domains.items() if domain == peer.domain
        ]
        informers = serving.rank_names(message.host, near or domains)
        if local not in informers[:_INFORMERS]:
            return
        parts = self._context.prompt_load.caches.list_parts(time.monotonic())
        work = self._context.prompt_load.work.local
        for start in range(0, len(parts), _PARTS_PER_DATAGRAM):
            batch = parts[start : start + _PARTS_PER_DATAGRAM]
            data = schema.encode(self._make_message(work, batch))
            self._send_one(data, peer.address)
        if parts:
            telemetry.log_event(
                'started_host_informed', peer=message.host, parts=len(parts)
            )

    def _send_all(self, data: bytes) -> None:
        for peer in self._context.peer_hosts.values():
            self._send_one(data, peer.address)

    def _send_one(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            # The next message carries the same state.
            _MESSAGES.labels('failed').inc()
        else:
            _MESSAGES.labels('sent').inc()

    def _make_message(
        self,
        work: tuple[schema.messages.WorkerWork, ...],
        parts: tuple[schema.messages.CachedPart, ...],
    ) -> schema.messages.EngineWork:
        settings = self._context.settings
        return schema.messages.EngineWork(
            host=settings.host,
            sequence=self._sequence,
            born_ms=self._born_ms,
            workers=work,
            parts=parts,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
        )


def make_peers(context: _context.Context) -> Peers:
    """Opens the socket for the messages of peers.

    :param context: state of the process.
    """
    settings = context.settings
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((settings.address, settings.peer_port))
    return Peers(context, opened, int(time.time() * _MS_PER_S))
