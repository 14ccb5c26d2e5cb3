"""Messages between gateway processes: work at engines and fleet updates."""

import asyncio
import math
import time
import typing

import attrs

from briarknot import program, registry, schema, serving, telemetry
from briarknot.gateway import (
    _clock,
    _context,
    _peer_socket,
    _started_hosts,
    _work_relays,
)

#: Period of reports. The prefill of a prompt takes a few hundred milliseconds,
#: so a later message would arrive after its end.
_PERIOD_S = 0.15
#: Largest number of processes that report to all others. In a larger fleet
#: relays add up the work, since decoding a message takes 0.1 ms.
_MAX_DIRECT_HOSTS = 22
#: Messages that a relay sends per second to its domain.
_MAX_SENT_PER_S = 200.0
#: Period of sums for the relays of other domains; traffic between domains is
#: billed by volume.
_DOMAIN_PERIOD_S = 0.3
#: Period of sending shared parts to other domains of a large fleet.
_FAR_PARTS_PERIOD_S = 1.0
#: Time after the last report, or sum of another domain, at which a relay stops.
_MAX_RELAY_IDLE_S = 2.0
#: Longest pause of a process that is no relay at the time. A report or sum of
#: another domain ends it.
_IDLE_PERIOD_S = 0.3
#: A longer wait of the relay task, which takes at most ``_IDLE_PERIOD_S``, means
#: that the process was suspended, and what it knows of others is outdated.
_MAX_SUSPENSION_S = 1.0
#: Longest time between messages while the work does not change; peers drop
#: work that has not been reported for 1.5 s.
_MAX_SILENCE_S = 0.6
#: Processes of another domain that take turns in forwarding the messages of
#: this one, so that the loss of one costs only every second message.
_FORWARDERS_PER_DOMAIN = 2
_MS_PER_S = 1000
#: Apply received messages, by the name of their class.
HANDLERS: registry.Registry[typing.Callable[..., None]] = registry.Registry(
    'peer_message'
)


@attrs.define(eq=False)
class Peers:
    """Sends and receives messages over UDP; lost messages are not resent."""

    _context: _context.Context
    _socket: _peer_socket.PeerSocket
    _born_ms: int
    _relays: _work_relays.WorkRelays
    _sums: serving.WorkSums
    _started_hosts: _started_hosts.StartedHosts
    _is_announced: bool = True
    _sequence: int = 0
    _relay_needed: program.Signal = attrs.field(factory=program.Signal)
    _reported_s: float = float('-inf')
    _domain_work_s: float = float('-inf')
    _far_parts: list[schema.messages.CachedPart] = attrs.field(factory=list)
    _far_sent_s: float = float('-inf')
    _checked_s: float = float('inf')

    @property
    def context(self) -> _context.Context:
        """State of the process."""
        return self._context

    @property
    def _is_direct(self) -> bool:
        """Whether the fleet is so small that processes need no relays."""
        return len(self._context.peer_hosts) <= _MAX_DIRECT_HOSTS

    async def receive(self) -> None:
        """Receives and applies the messages of other processes."""
        with self._socket.listen():
            while True:
                _apply(self, await self._socket.receive())

    def broadcast(self, message: typing.Any) -> None:
        """Sends a message to all other processes.

        :param message: an instance of a message class of the schema.
        """
        self.send(message, tuple(self._context.peer_hosts))

    def send(self, message: typing.Any, hosts: tuple[str, ...]) -> None:
        """Sends a message to other processes, if they are known.

        :param message: an instance of a message class of the schema.
        :param hosts: hosts of the processes.
        """
        data = schema.encode(message)
        for host in hosts:
            peer = self._context.peer_hosts.get(host)
            if peer is not None:
                self._socket.send(data, peer.address)

    def announce(self) -> None:
        """Makes the next message due even if there is no work to report."""
        self._is_announced = False

    def send_caches(self, host: str, now: float, *, has_status: bool) -> None:
        """Sends a process that started what is known of the engines' caches.

        :param host: host of the process.
        :param now: monotonic time in seconds.
        :param has_status: whether a status follows the parts.
        """
        parts = self._context.prompt_load.caches.list_parts(now)
        for batch in _started_hosts.split_parts(parts):
            self.send(self._make_report(batch), (host,))
        status = _started_hosts.make_status(self._context, has_parts=True)
        if has_status and (status.is_known or status.listed):
            self.send(status, (host,))
        if parts:
            telemetry.log_event(
                'started_host_informed', peer=host, parts=len(parts)
            )

    def record_host(self, message: typing.Any) -> None:
        """Adds a process that started after the list of hosts was read.

        :param message: message of the process, with its address.
        """
        if message.host not in self._context.peer_hosts:
            _started_hosts.record_address(self._context, message)

    async def broadcast_work(self) -> None:
        """Sends this process's work at engines to the others on a change."""
        sent_work: tuple[schema.messages.WorkerWork, ...] = ()
        sent_s = float('-inf')
        while True:
            await asyncio.sleep(_PERIOD_S)
            load = self._context.prompt_load
            work = load.work.local
            parts = load.caches.take_unsent_parts()
            is_repeat_due = work and time.monotonic() - sent_s > _MAX_SILENCE_S
            if (
                work == sent_work
                and not (parts or is_repeat_due)
                and self._is_announced
            ):
                continue
            sent_work, sent_s = work, time.monotonic()
            message = self._make_report(parts)
            if self._is_direct or not self._is_announced:
                self._send_to_all(message)
            else:
                self._report(message, sent_s)
            self._is_announced = True

    async def relay_work(self) -> None:
        """Sends sums of the work while processes report to this one.

        The sums of other domains alone are sent on within the domain only;
        otherwise the relays of idle domains would keep each other active.
        """
        domain_sent_s = float('-inf')
        self._checked_s = _clock.read_clock()
        while True:
            if not self._is_relay(time.monotonic()):
                await self._relay_needed.wait(_IDLE_PERIOD_S)
                self._check_suspension()
            near = self._socket.list_near()
            pause_s = max(_PERIOD_S / 2, len(near) / _MAX_SENT_PER_S)
            waits = math.ceil(pause_s / _IDLE_PERIOD_S)
            for _ in range(waits):
                await asyncio.sleep(pause_s / waits)
                self._check_suspension()
            _log_malformed(self._context.prompt_load.work)
            now = time.monotonic()
            has_reports = now - self._reported_s < _MAX_RELAY_IDLE_S
            if self._is_relay(now):
                self._send_fleet_work(near, now)
            if has_reports and now - domain_sent_s >= _DOMAIN_PERIOD_S:
                domain_sent_s = now
                self._send_domain_work(now)

    @HANDLERS.register('EngineWork')
    def apply_work(
        self, message: schema.messages.EngineWork, now: float
    ) -> None:
        """Applies a report, an announcement, or the contents of caches.

        :param message: the message.
        :param now: monotonic time in seconds.
        """
        if message.forward and not self._forward(message):
            return
        self.record_host(message)
        if self._started_hosts.is_informer(message):
            # Processes of a fleet that reads no lists don't need the status,
            # and those of an earlier version can't decode it.
            has_status = self._context.cache_listing.is_enabled
            self.send_caches(message.host, now, has_status=has_status)
        load = self._context.prompt_load
        load.caches.record_parts(message.parts, now)
        if message.domain == self._context.settings.domain:
            self._sums.apply_report(message, now)
            if message.to_relay:
                self._reported_s = now
                self._relay_needed.notify()
        else:
            load.work.apply_peer_work(message, now)

    def _is_relay(self, now: float) -> bool:
        """Whether processes or relays of other domains report to this one."""
        last_s = max(self._reported_s, self._domain_work_s)
        return now - last_s < _MAX_RELAY_IDLE_S

    def _forward(self, message: schema.messages.EngineWork) -> bool:
        """Sends a message of another domain on, unless it is malformed."""
        workers = schema.read_list(message.workers)
        if isinstance(workers, schema.DecodeError):
            telemetry.log_event('peer_message_malformed', message=repr(workers))
            return False
        data = schema.encode(attrs.evolve(message, forward=False))
        for peer in self._socket.list_near():
            self._socket.send(data, peer.address)
        return True

    @HANDLERS.register('DomainWork')
    def apply_domain_work(
        self, message: schema.messages.DomainWork, now: float
    ) -> None:
        """Applies the sum of another domain.

        :param message: the sum.
        :param now: monotonic time in seconds.
        """
        self._domain_work_s = now
        self._relay_needed.notify()
        self._relays.record_domain_work(message.relay, message.domain, now)
        self._sums.apply_domain_work(message, now)

    @HANDLERS.register('FleetWork')
    def apply_fleet_work(
        self, message: schema.messages.FleetWork, now: float
    ) -> None:
        """Applies the sum of the fleet.

        :param message: the sum.
        :param now: monotonic time in seconds.
        """
        self._relays.record_sum(message.relay)
        self._context.prompt_load.work.apply_fleet_work(
            message, self._context.settings.host, now
        )

    def _report(self, message: schema.messages.EngineWork, now: float) -> None:
        """Reports the work to the relays of the domain.

        Shared parts go to all domain peers directly, and to other domains later
        and together: they are most of the bytes, and relays on slow links could
        not send them to a whole domain.

        :param message: the report.
        :param now: monotonic time in seconds.
        """
        data = schema.encode(attrs.evolve(message, to_relay=True))
        relays = self._relays.choose(now)
        for relay in relays:
            if relay == self._context.settings.host:
                self._reported_s = now
                self._relay_needed.notify()
            else:
                self._socket.send(data, self._context.peer_hosts[relay].address)
                self._relays.record_report(relay, now)
        if message.parts:
            data = schema.encode(message)
            for host in self._context.host_groups.near:
                if host not in relays:
                    peer = self._context.peer_hosts[host]
                    self._socket.send(data, peer.address)
        self._far_parts.extend(message.parts)
        if self._far_parts and now - self._far_sent_s >= _FAR_PARTS_PERIOD_S:
            self._far_sent_s = now
            self._send_far(attrs.evolve(message, parts=tuple(self._far_parts)))
            self._far_parts.clear()

    def _send_fleet_work(
        self, near: list[_context.PeerHost], now: float
    ) -> None:
        self._sequence += 1
        work = self._context.prompt_load.work
        work.record_report(self._sequence)
        message = self._sums.make_fleet_work(self._sequence, now)
        work.apply_fleet_work(message, self._context.settings.host, now)
        data = schema.encode(message)
        for peer in near:
            self._socket.send(data, peer.address)

    def _send_domain_work(self, now: float) -> None:
        message = self._sums.make_domain_work(now)
        data = schema.encode(message)
        for domain in self._context.host_groups.far:
            relay = self._relays.choose_for_domain(
                domain, message.sequence, now
            )
            peer = self._context.peer_hosts.get(relay)
            if peer is not None:
                self._socket.send(data, peer.address)

    def _check_suspension(self) -> None:
        """Forgets the work of others if the last wait took too long."""
        waited_s = _clock.read_clock() - self._checked_s
        self._checked_s += waited_s
        if waited_s > _MAX_SUSPENSION_S:
            telemetry.log_event(
                'peer_work_outdated', suspended_s=round(waited_s, 2)
            )
            self._context.prompt_load.work.forget_peers()
            self._context.permits.forget_issued()
            self._sums.clear()

    def _send_to_all(self, message: schema.messages.EngineWork) -> None:
        """Sends to the domain peers, and to one process of each other domain.

        Traffic between domains is billed by volume; the receiving process
        forwards the message to its domain peers.
        """
        data = schema.encode(message)
        for peer in self._socket.list_near():
            self._socket.send(data, peer.address)
        self._send_far(message)

    def _send_far(self, message: schema.messages.EngineWork) -> None:
        """Sends to one process of each other domain, which forwards it."""
        data = schema.encode(attrs.evolve(message, forward=True))
        index = message.sequence % _FORWARDERS_PER_DOMAIN
        groups = self._context.host_groups
        for domain in groups.far:
            ranked = groups.rank_far(message.host, domain)
            forwarder = ranked[min(index, len(ranked) - 1)]
            self._socket.send(data, self._context.peer_hosts[forwarder].address)

    def _make_report(
        self, parts: tuple[schema.messages.CachedPart, ...]
    ) -> schema.messages.EngineWork:
        settings = self._context.settings
        self._sequence += 1
        return schema.messages.EngineWork(
            host=settings.host,
            sequence=self._sequence,
            born_ms=self._born_ms,
            workers=self._context.prompt_load.work.record_report(
                self._sequence
            ),
            parts=parts,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
        )


def _log_malformed(work: serving.EngineWork) -> None:
    """Logs messages whose work turned out to be malformed when it was used."""
    for error in work.take_malformed():
        telemetry.log_event('peer_message_malformed', message=repr(error))


def _apply(peers: Peers, data: bytes) -> None:
    """Decodes and applies a message."""
    message = schema.decode(data)
    handler = HANDLERS.get(type(message).__name__)
    if isinstance(handler, registry.UnknownName):
        telemetry.log_event('peer_message_malformed', message=repr(message))
    else:
        handler(peers, message, time.monotonic())


@HANDLERS.register('FleetUpdate')
def apply_fleet_update(
    peers: Peers, message: schema.messages.FleetUpdate, now: float
) -> None:
    """Applies what another process has read from the store.

    :param peers: has the state of the process.
    :param message: the update.
    :param now: monotonic time in seconds.
    """
    peers.context.fleet_update = message
    peers.context.fleet_update_received.set()


@HANDLERS.register('StageChanges')
def apply_stage_changes(
    peers: Peers, message: schema.messages.StageChanges, now: float
) -> None:
    """Leaves out engines that change their stage.

    :param peers: has the state of the process.
    :param message: the engines.
    :param now: monotonic time in seconds.
    """
    peers.context.fleet.set_changing(message.engines, now)


def make_peers(context: _context.Context) -> Peers:
    """Opens the socket for messages, and makes what sends and applies them.

    :param context: state of the process.
    """
    settings = context.settings
    born_ms = int(time.time() * _MS_PER_S)
    peers = Peers(
        context,
        _peer_socket.open_peer_socket(context),
        born_ms,
        _work_relays.make_work_relays(context),
        serving.make_work_sums(
            settings.host, settings.domain, born_ms, context.prompt_load.work
        ),
        _started_hosts.StartedHosts(context),
    )
    context.send_message = peers.send
    return peers
