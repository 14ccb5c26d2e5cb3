"""Members of the membership benchmark, on loopback UDP sockets."""

import asyncio
import json
import socket

import attrs

from briarknot import membership, schema

DOMAIN = 'obb-a'
TIMES = membership.DetectorTimes(heartbeat_s=1, suspect_after_s=3)
#: Assumed lag of the platform's list of hosts; the real one is not known.
LIST_LAG_S = 10
LIST_POLL_S = 5
#: IP and UDP headers of a datagram.
_HEADER_BYTES = 28
_TICK_S = 0.25
_RECEIVE_BUFFER_BYTES = 2**20

Address = tuple[str, int]


@attrs.frozen
class SuspicionChange:
    """One member starts or stops suspecting another.

    :param at_s: loop time.
    :param observer: member whose view changed.
    :param subject: member that the view is about.
    :param suspected: whether the observer now suspects the subject.
    """

    at_s: float
    observer: str
    subject: str
    suspected: bool


@attrs.define(eq=False)
class Port(asyncio.DatagramProtocol):
    """A UDP socket with a queue and a count of traffic."""

    queue: asyncio.Queue[tuple[bytes, Address]] = attrs.field(
        factory=asyncio.Queue
    )
    traffic_bytes: int = 0
    messages: int = 0
    _transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> Address:
        """Address of the socket."""
        return self._transport.get_extra_info('sockname')

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, body: bytes, source: Address) -> None:
        """Queues a datagram; the member's task reads it when it runs."""
        self.traffic_bytes += len(body) + _HEADER_BYTES
        self.queue.put_nowait((body, source))

    def send(self, body: bytes, target: Address) -> None:
        """Sends a datagram."""
        self.messages += 1
        self.traffic_bytes += len(body) + _HEADER_BYTES
        self._transport.sendto(body, target)

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()


async def open_port() -> Port:
    """Opens a UDP socket on loopback."""
    loop = asyncio.get_running_loop()
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    udp.bind(('127.0.0.1', 0))
    udp.setblocking(False)
    _transport, port = await loop.create_datagram_endpoint(Port, sock=udp)
    return port


@attrs.define(eq=False)
class Platform:
    """Answers each datagram with a list of hosts that lags behind."""

    port: Port
    _states: list[tuple[float, bytes]] = attrs.field(factory=list)

    def publish(self, hosts: list[str]) -> None:
        """Changes the list; the change is visible after the lag."""
        entries = [
            {
                'host': host,
                'domain': DOMAIN,
                'peer_url': 'http://10.0.0.1:7000',
                'state': 'live',
            }
            for host in hosts
        ]
        body = json.dumps({'hosts': entries}).encode()
        now = asyncio.get_running_loop().time()
        self._states.append((now + LIST_LAG_S * bool(self._states), body))

    async def run(self) -> None:
        """Answers until it is cancelled."""
        while True:
            _request, source = await self.port.queue.get()
            now = asyncio.get_running_loop().time()
            visible = [body for at_s, body in self._states if at_s <= now]
            self.port.send(visible[-1], source)


@attrs.define(eq=False)
class Node:
    """One member: a socket, a view, and a detector."""

    host: str
    port: Port
    view: membership.Members
    detector: membership.Detector
    platform: Address
    polls: bool
    addresses: dict[str, Address]
    changes: list[SuspicionChange]
    pause_s: float = 0
    _suspects: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Receives and ticks until it is cancelled, which simulates a crash."""
        loop = asyncio.get_running_loop()
        hosts = {address: host for host, address in self.addresses.items()}
        tick_at_s = loop.time()
        poll_at_s = tick_at_s
        while True:
            if self.pause_s:
                await asyncio.sleep(self.pause_s)
                self.pause_s = 0
            try:
                async with asyncio.timeout_at(tick_at_s):
                    body, source = await self.port.queue.get()
            except TimeoutError:
                tick_at_s = loop.time() + _TICK_S
                self._send(self.detector.tick(loop.time()))
                if self.polls and loop.time() >= poll_at_s:
                    poll_at_s = loop.time() + LIST_POLL_S
                    self.port.send(b'GET', self.platform)
            else:
                self._receive(body, hosts.get(source, ''))
            self._record_changes()

    def _receive(self, body: bytes, source: str) -> None:
        now = asyncio.get_running_loop().time()
        if source:
            self._send(self.detector.receive(source, schema.decode(body), now))
        else:
            entries = json.loads(body)['hosts']
            self.detector.apply_hosts(
                [membership.ListedHost(**entry) for entry in entries], now
            )

    def _send(self, actions: membership.Actions) -> None:
        for action in actions:
            body = schema.encode(action.message)
            receivers = [
                address
                for host, address in self.addresses.items()
                if host != self.host
            ]
            if isinstance(action, membership.Send):
                receivers = [self.addresses[action.host]]
            for receiver in receivers:
                self.port.send(body, receiver)

    def _record_changes(self) -> None:
        suspects = frozenset(
            member.host
            for member in self.view.all_known()
            if member.is_suspected
        )
        now = asyncio.get_running_loop().time()
        for subject in suspects ^ self._suspects:
            self.changes.append(
                SuspicionChange(now, self.host, subject, subject in suspects)
            )
        self._suspects = suspects
