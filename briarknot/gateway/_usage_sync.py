"""Sends the counts of client accounts to relays, and their sums to collectors.

With up to 23 gateways, the collectors are the relays of all processes; in larger
fleets each failure domain has two relays. The collectors are the holder of the duty
and the first of the other processes in an order by hash.
"""

import asyncio
import math
import time

import attrs

from briarknot import platform, schema, serving, telemetry, usage
from briarknot.gateway import (
    _clock,
    _context,
    _peers,
    _usage,
    _usage_messages,
)

#: Key of the order of processes.
KEY = 'usage'
#: Period of sending changed counts, which must be sent within 0.5 s.
_PERIOD_S = 0.4
#: Period of checking whether usage is reported at all; each wake-up costs.
_IDLE_PERIOD_S = 1.0
#: Longest time between messages while nothing changes. Their answers say who holds
#: the duty.
_MAX_SILENCE_S = 2.0
#: Largest number of other processes of a fleet without relays.
_MAX_DIRECT_HOSTS = 22
_RECEIVERS = 2
#: Counts in a datagram; each takes about 40 bytes and the name of its account.
_COUNTS_PER_DATAGRAM = 400
#: Any time of the store's clock, to compare it with the steady clock.
_STORE_S = 1.0


@attrs.define(eq=False)
class UsageSync:
    """Sends what this process has counted, received and added up."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _sent_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _ranked_hosts: dict[str, _context.PeerHost] | None = None
    _ranked: tuple[str, ...] = ()
    _is_clock_different: bool = False

    async def run(self) -> None:
        """Sends counts and sums while usage is reported."""
        while True:
            is_enabled = _usage.is_enabled(self._context)
            await asyncio.sleep(_PERIOD_S if is_enabled else _IDLE_PERIOD_S)
            if is_enabled:
                self.send(_clock.read_clock(), time.time())

    def send(self, now: float, wall_s: float) -> None:
        """Sends what is due.

        :param now: time by the clock that includes suspension.
        :param wall_s: Unix time by the wall clock.
        """
        state = self._context.account_usage
        collectors = self._choose_collectors(now)
        self._compare_clocks(collectors, now, wall_s)
        state.counts.forget(
            state.status.fixed_window, _usage.read_window(self._context)
        )
        for host in self._choose_relays(collectors, now):
            self._send_report(host, now)
        for domain in state.counts.sums:
            for host in collectors:
                self._send_sums(host, domain, now)

    def _choose_collectors(self, now: float) -> tuple[str, ...]:
        """Returns the processes that collect the counts.

        The holder is always one of them, also while it doesn't answer: as long as
        it renews its grant, it decides what the reports say.
        """
        ranked = self._rank_hosts()
        holder = self._context.account_usage.status.get_holder(now)
        if holder not in ranked:
            return self._choose(ranked, now)
        others = [host for host in ranked if host != holder]
        return (holder, *self._choose(others, now))

    def _choose_relays(
        self, collectors: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        if len(self._context.peer_hosts) <= _MAX_DIRECT_HOSTS:
            return collectors
        settings = self._context.settings
        hosts = self._context.peer_hosts
        near = [
            host
            for host in self._rank_hosts()
            if host == settings.host or hosts[host].domain == settings.domain
        ]
        return self._choose(near, now)

    def _choose(
        self, ranked: tuple[str, ...] | list[str], now: float
    ) -> tuple[str, ...]:
        receivers = self._context.account_usage.receivers
        # Without any that answers, the first ones are tried on.
        return receivers.choose(ranked, _RECEIVERS, now) or tuple(
            ranked[:_RECEIVERS]
        )

    def _rank_hosts(self) -> tuple[str, ...]:
        """Returns all processes in the order by hash."""
        hosts = self._context.peer_hosts
        if self._ranked_hosts is not hosts:
            self._ranked_hosts = hosts
            self._ranked = rank_hosts(self._context)
        return self._ranked

    def _compare_clocks(
        self, collectors: tuple[str, ...], now: float, wall_s: float
    ) -> None:
        """Takes the time that most processes agree on, if it is known."""
        state = self._context.account_usage
        host = self._context.settings.host
        state.clock.observe(wall_s, now)
        store_less_s = self._client.convert_store_time(_STORE_S) - _STORE_S
        if math.isinf(store_less_s):
            return
        era = self._client.era
        stated = state.clock.state(store_less_s, era)
        if stated is not None:
            state.reported_clocks[host] = stated
        agreed = state.heard_clock
        if host in collectors:
            agreed = state.choose_clock(era, now)
        state.clock.agree(agreed, store_less_s, era)
        is_different = state.clock.is_different
        if is_different != self._is_clock_different:
            self._is_clock_different = is_different
            telemetry.log_event('usage_clock_compared', differs=is_different)

    def _send_report(self, host: str, now: float) -> None:
        settings = self._context.settings
        state = self._context.account_usage
        clock = state.reported_clocks.get(settings.host)
        for changes in self._list_due(host, '', state.counts.local, now):
            message = schema.messages.UsageReport(
                host=settings.host,
                domain=settings.domain,
                address=settings.address,
                port=settings.peer_port,
                born_ms=state.born_ms,
                after=changes.after,
                sequence=changes.sequence,
                counts=_usage_messages.encode_counts(changes.counts),
                clock_ms=_usage_messages.encode_clock(clock),
                clock_era=clock.era if clock else 0,
            )
            if host == settings.host:
                known = _usage_messages.apply_report(
                    self._context, message, now
                )
                state.acknowledged[host, ''] = known
            else:
                self._peers.send(message, (host,))

    def _send_sums(self, host: str, domain: str, now: float) -> None:
        settings = self._context.settings
        state = self._context.account_usage
        log = state.counts.sums[domain]
        reporters = state.counts.list_reporters(domain, now)
        if not (reporters or log.sequence):
            return
        for changes in self._list_due(host, domain, log, now):
            message = schema.messages.UsageSums(
                host=settings.host,
                domain=domain,
                born_ms=state.born_ms,
                after=changes.after,
                sequence=changes.sequence,
                counts=_usage_messages.encode_counts(changes.counts),
                hosts=tuple(
                    _usage_messages.describe_host(state, reporter)
                    for reporter in reporters
                ),
            )
            if host == settings.host:
                known = _usage_messages.apply_sums(self._context, message, now)
                state.acknowledged[host, domain] = known
            else:
                self._peers.send(message, (host,))

    def _list_due(
        self, host: str, domain: str, log: usage.ChangeLog, now: float
    ) -> tuple[usage.Changes, ...]:
        """Lists the changes that a receiver lacks, if a message is due."""
        state = self._context.account_usage
        after = state.acknowledged.get((host, domain), 0)
        sent_s = self._sent_s.get((host, domain), -math.inf)
        if log.sequence <= after and now - sent_s < _MAX_SILENCE_S:
            return ()
        self._sent_s[host, domain] = now
        if host != self._context.settings.host:
            state.receivers.record_sent(host, now)
        return tuple(log.list_changes(after, _COUNTS_PER_DATAGRAM))


def rank_hosts(context: _context.Context) -> tuple[str, ...]:
    """Returns all processes in the order in which they take the duty.

    :param context: state of the process.
    """
    hosts = (context.settings.host, *context.peer_hosts)
    return serving.rank_names(KEY, hosts)


def make_usage_sync(
    context: _context.Context, client: platform.Client, peers: _peers.Peers
) -> UsageSync:
    """Makes what sends the counts of a process.

    :param context: state of the process.
    :param client: client of the store, which knows its clock.
    :param peers: sends the messages.
    """
    return UsageSync(context, client, peers)
