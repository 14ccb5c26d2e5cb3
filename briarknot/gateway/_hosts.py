"""Registers this process in the store and lists the other processes."""

import asyncio

import attrs

from briarknot import platform, telemetry
from briarknot.gateway import _context, _peers

_TABLE = 'gateways'
#: Shortest period in which a process registers itself and reads the others.
#: A starting process announces itself to all, so the period only bounds how
#: long a stopped one is counted. Calls to the store are billed.
_MIN_PERIOD_S = 30.0
#: Largest number of other processes whose announcements at a common start all
#: arrive.
_MAX_SMALL_FLEET = 22
#: Shortest and longest time from the first read of the list to the second one.
_SECOND_READ_S = (2.0, 4.0)
#: Pause after a failed call to the store.
_RETRY_S = 2.0
#: Limit of the registrations per second of all processes. Larger fleets register
#: less often, because each call to the store is billed.
_MAX_HOSTS_PER_S = 2.0
#: Periods without a change of its entry after which a process is removed.
_MAX_UNCHANGED_PERIODS = 3


@attrs.frozen
class _LastChange:
    """Last change of the entry of a process.

    :param version: version of the entry.
    :param period: period of this process in which the version was first seen.
    """

    version: int
    period: int


@attrs.define(eq=False)
class HostList:
    """Keeps the list of gateway processes up to date."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _period: int = 0
    _era: int = 0
    _last_changes: dict[str, _LastChange] = attrs.field(factory=dict)

    async def sync(self) -> None:
        """Registers this process, and lists those that update their entries.

        Each process writes before it reads: of two that start at the same
        time, at least one sees the other, and announces itself to it.
        """
        while True:
            self._period += 1
            is_registered = await self._register()
            page = await self._client.read_table(_TABLE)
            if isinstance(page, platform.Unavailable):
                await asyncio.sleep(_RETRY_S)
                continue
            self._apply_rows(page.rows)
            if not is_registered:
                # An entry of an earlier start of this host caused a conflict;
                # its version is known now.
                await self._register()
            self._peers.announce()
            self._context.hosts_known.set()
            is_large = len(self._context.peer_hosts) > _MAX_SMALL_FLEET
            if self._period == 1 and is_large:
                await self._read_after_start()
            hosts = len(self._context.peer_hosts)
            await asyncio.sleep(max(_MIN_PERIOD_S, hosts / _MAX_HOSTS_PER_S))

    async def _read_after_start(self) -> None:
        """Reads the list again once processes that started together are in it.

        Announcements are lost when hundreds of processes send them at once.
        """
        delay_s = self._context.random_source.uniform(*_SECOND_READ_S)
        await asyncio.sleep(delay_s)
        page = await self._client.read_table(_TABLE)
        if not isinstance(page, platform.Unavailable):
            self._apply_rows(page.rows)

    async def _register(self) -> bool:
        settings = self._context.settings
        known = self._last_changes.get(settings.host)
        result = await self._client.commit(
            platform.Operation(
                _TABLE,
                settings.host,
                {
                    'address': settings.address,
                    'port': settings.peer_port,
                    'domain': settings.domain,
                    'period': self._period,
                },
                known.version if known else None,
            )
        )
        if isinstance(result, platform.Unavailable):
            telemetry.log_event('host_not_registered', reason=result.reason)
        return isinstance(result, platform.Committed)

    def _apply_rows(self, rows: tuple[platform.Row, ...]) -> None:
        if self._client.era != self._era:
            # The versions of entries are not those of an earlier era.
            self._last_changes.clear()
            self._era = self._client.era
        listed = {row.key for row in rows}
        for host in self._last_changes.keys() - listed:
            # An entry that is gone can only be inserted.
            del self._last_changes[host]
        hosts = {}
        for row in rows:
            known = self._last_changes.get(row.key)
            if known is None or known.version != row.version:
                known = _LastChange(row.version, self._period)
                self._last_changes[row.key] = known
            if self._period - known.period < _MAX_UNCHANGED_PERIODS:
                hosts[row.key] = _context.PeerHost(
                    (row.value['address'], row.value['port']),
                    row.value['domain'],
                )
        self._context.set_peer_hosts(hosts)


def make_host_list(
    context: _context.Context, client: platform.Client, peers: _peers.Peers
) -> HostList:
    """Makes the list of a process that knows no other process.

    :param context: state of the process.
    :param client: client of the store.
    :param peers: sends the announcements.
    """
    return HostList(context, client, peers)
