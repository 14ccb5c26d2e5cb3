"""Sends sums of the work, and shared parts, while processes report to this one."""

import asyncio
import math
import time

import attrs

from briarknot import program, schema, serving, telemetry
from briarknot.gateway import (
    _clock,
    _context,
    _part_relays,
    _peer_socket,
    _started_hosts,
    _work_relays,
    _work_reports,
)

#: Shortest time between sums, and between messages with shared parts.
_PERIOD_S = 0.075
_PARTS_PERIOD_S = 0.15
#: Sums that a relay sends per second to its domain, and messages with shared parts.
#: Links have 10 Mbit/s; a message to a process of a fleet with 200 engines takes 3 KB.
_MAX_SENT_PER_S = 200.0
_MAX_PARTS_PER_S = 100.0
#: Period of sums for the relays of other domains; traffic between domains is
#: billed by volume.
_DOMAIN_PERIOD_S = 0.3
#: Period of sending shared parts to other domains.
_FAR_PARTS_PERIOD_S = 1.0
#: Time after the last report, or sum of another domain, at which a relay stops.
_MAX_RELAY_IDLE_S = 2.0
#: Longest pause of a process that is no relay at the time. A report or sum of
#: another domain ends it.
_IDLE_PERIOD_S = 0.3
#: A longer wait of the relay task, which takes at most ``_IDLE_PERIOD_S``, means
#: that the process was suspended, and what it knows of others is outdated.
_MAX_SUSPENSION_S = 1.0


@attrs.define(eq=False)
class FleetRelay:
    """State of a process as far as others report to it."""

    _context: _context.Context
    _socket: _peer_socket.PeerSocket
    _relays: _work_relays.WorkRelays
    _sums: serving.WorkSums
    _reports: _work_reports.WorkReports
    _parts: _part_relays.PartRelay = attrs.field(
        factory=_part_relays.make_part_relay
    )
    _needed: program.Signal = attrs.field(factory=program.Signal)
    _reported_s: float = float('-inf')
    _domain_work_s: float = float('-inf')
    _checked_s: float = float('inf')

    def record_report(
        self, parts: tuple[schema.messages.CachedPart, ...], now: float
    ) -> None:
        """Records that a process of the domain has reported to this one.

        :param parts: shared parts that it has sent to engines.
        :param now: monotonic time in seconds.
        """
        self._parts.add(parts, now)
        self._reported_s = now
        self._needed.notify()

    def record_domain_work(
        self, message: schema.messages.DomainWork, now: float
    ) -> None:
        """Records the sum of another domain.

        :param message: the sum.
        :param now: monotonic time in seconds.
        """
        self._domain_work_s = now
        self._needed.notify()
        self._relays.record_domain_work(message.relay, message.domain, now)
        self._sums.apply_domain_work(message, now)

    async def run(self) -> None:
        """Sends sums of the work while processes report to this one.

        The sums of other domains alone are sent on within the domain only;
        otherwise the relays of idle domains would keep each other active.
        """
        domain_sent_s = float('-inf')
        self._checked_s = _clock.read_clock()
        while True:
            if not self._is_relay(time.monotonic()):
                await self._needed.wait(_IDLE_PERIOD_S)
                self._check_suspension()
            near = self._socket.list_near()
            pause_s = max(_PERIOD_S, len(near) / _MAX_SENT_PER_S)
            waits = math.ceil(pause_s / _IDLE_PERIOD_S)
            for _ in range(waits):
                await asyncio.sleep(pause_s / waits)
                self._check_suspension()
            log_malformed(self._context.prompt_load.work)
            now = time.monotonic()
            if self._is_relay(now):
                self._send_fleet_work(near, now)
            if now - self._reported_s >= _MAX_RELAY_IDLE_S:
                continue
            self._send_parts(now)
            if now - domain_sent_s >= _DOMAIN_PERIOD_S:
                domain_sent_s = now
                self._send_domain_work(now)

    def _is_relay(self, now: float) -> bool:
        """Whether processes or relays of other domains report to this one."""
        last_s = max(self._reported_s, self._domain_work_s)
        return now - last_s < _MAX_RELAY_IDLE_S

    def _send_fleet_work(
        self, near: list[_context.PeerHost], now: float
    ) -> None:
        number = self._reports.take_number()
        work = self._context.prompt_load.work
        work.record_report(number)
        message = self._sums.make_fleet_work(number, now)
        work.apply_fleet_work(message, self._context.settings.host, now)
        data = schema.encode(message)
        for peer in near:
            self._socket.send(data, peer.address)

    def _send_parts(self, now: float) -> None:
        """Sends the shared parts of the domain on, if this is its first relay."""
        first = self._relays.choose(now)[0]
        if first != self._context.settings.host:
            # The processes that report to this one report to the first relay too,
            # which then sends sums, also if this process has nothing to report.
            self._relays.record_report(first, now)
            return
        receivers = len(self._context.host_groups.near)
        period_s = max(_PARTS_PERIOD_S, receivers / _MAX_PARTS_PER_S)
        near = self._parts.take_near(period_s, now)
        for batch in _started_hosts.split_parts(near):
            self._reports.send_near(self._reports.make(batch))
        far = self._parts.take_far(_FAR_PARTS_PERIOD_S, now)
        for batch in _started_hosts.split_parts(far):
            self._reports.send_far(self._reports.make(batch))

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


def log_malformed(work: serving.EngineWork) -> None:
    """Logs messages whose work turned out to be malformed when it was used.

    :param work: work of the fleet.
    """
    for error in work.take_malformed():
        telemetry.log_event('peer_message_malformed', message=repr(error))
