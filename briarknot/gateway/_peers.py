"""Messages between gateway processes: work at engines and fleet updates."""

import asyncio
import time
import typing

import attrs

from briarknot import registry, schema, serving, telemetry
from briarknot.gateway import (
    _context,
    _fleet_relay,
    _peer_socket,
    _started_hosts,
    _work_relays,
    _work_reports,
)

#: Period of reports. The prefill of a prompt takes a few hundred milliseconds,
#: so a later message would arrive after its end.
_PERIOD_S = 0.15
#: Largest number of processes that report to all others. In a larger fleet
#: relays add up the work, since decoding a message takes 0.1 ms.
_MAX_DIRECT_HOSTS = 22
#: Longest time between messages while the work does not change; peers drop
#: work that has not been reported for 1.5 s.
_MAX_SILENCE_S = 0.6
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
    _relays: _work_relays.WorkRelays
    _sums: serving.WorkSums
    _reports: _work_reports.WorkReports
    _relay: _fleet_relay.FleetRelay
    _started_hosts: _started_hosts.StartedHosts
    _is_announced: bool = True

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
            self.send(self._reports.make(batch), (host,))
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
            message = self._reports.make(parts)
            if self._is_direct or not self._is_announced:
                self._reports.send_to_all(message)
            else:
                self._report(message, sent_s)
            self._is_announced = True

    async def relay_work(self) -> None:
        """Sends sums of the work while processes report to this one."""
        await self._relay.run()

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
                self._relay.record_report(message.parts, now)
        else:
            load.work.apply_peer_work(message, now)

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
        self._relay.record_domain_work(message, now)

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

        The first relay sends shared parts on, those of several processes together.

        :param message: the report.
        :param now: monotonic time in seconds.
        """
        data = schema.encode(attrs.evolve(message, to_relay=True))
        relays = self._relays.choose(now)
        for relay in relays:
            if relay == self._context.settings.host:
                self._relay.record_report(message.parts, now)
            else:
                self._socket.send(data, self._context.peer_hosts[relay].address)
                self._relays.record_report(relay, now)


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
    socket = _peer_socket.open_peer_socket(context)
    relays = _work_relays.make_work_relays(context)
    sums = serving.make_work_sums(
        settings.host, settings.domain, born_ms, context.prompt_load.work
    )
    reports = _work_reports.WorkReports(context, socket, born_ms)
    peers = Peers(
        context,
        socket,
        relays,
        sums,
        reports,
        _fleet_relay.FleetRelay(context, socket, relays, sums, reports),
        _started_hosts.StartedHosts(context),
    )
    context.send_message = peers.send
    return peers
