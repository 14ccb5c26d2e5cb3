"""Registers this process in the store and follows the others."""

import asyncio

import attrs

from briarknot import platform, telemetry
from briarknot.gateway import _context

_TABLE = 'gateways'
#: Period in which a process registers itself and reads the others.
_PERIOD_S = 6.0
#: Time from the first read to the second one, in seconds. All processes start
#: within a second, so that the first read shows few of the others, and each
#: process that knows no others reads the store for itself.
_SECOND_READ_S = 1.5
#: Processes that may register in a second; larger fleets do it less often.
_HOSTS_PER_S = 6.0
#: Periods without a change after which a process does not count any more.
_PERIODS_KEPT = 3
#: Processes that may start before the next count.
_SPARE = 3


@attrs.frozen
class _Seen:
    """Entry of a process as it last changed.

    :param version: version of the entry.
    :param period: own period in which the version was new.
    """

    version: int
    period: int


@attrs.define(eq=False)
class Hosts:
    """Keeps the list of gateway processes up to date."""

    _context: _context.Context
    _client: platform.Client
    _period: int = 0
    _seen: dict[str, _Seen] = attrs.field(factory=dict)

    async def follow(self) -> None:
        """Registers this process, and counts those that change their entry."""
        while True:
            self._period += 1
            page = await self._client.read_table(_TABLE)
            if not isinstance(page, platform.Unavailable):
                self._note_rows(page.rows)
                await self._register()
            await asyncio.sleep(self._choose_period())

    def _choose_period(self) -> float:
        if self._period == 1:
            return _SECOND_READ_S
        hosts = len(self._context.hosts)
        return max(_PERIOD_S, hosts / _HOSTS_PER_S)

    async def _register(self) -> None:
        settings = self._context.settings
        known = self._seen.get(settings.host)
        # A conflict or an outage is mended by the next period's write.
        await self._client.commit(
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

    def _note_rows(self, rows: tuple[platform.Row, ...]) -> None:
        hosts = {}
        domain_hosts = []
        for row in rows:
            known = self._seen.get(row.key)
            if known is None or known.version != row.version:
                known = _Seen(row.version, self._period)
                self._seen[row.key] = known
            if self._period - known.period < _PERIODS_KEPT:
                hosts[row.key] = (row.value['address'], row.value['port'])
                if row.value['domain'] == self._context.settings.domain:
                    domain_hosts.append(row.key)
        hosts.pop(self._context.settings.host, None)
        self._context.domain_hosts = tuple(domain_hosts)
        if hosts.keys() != self._context.hosts.keys():
            telemetry.log_event('hosts_changed', hosts=sorted(hosts))
        self._context.hosts = hosts
        # A share of the budget must be safe also where more processes start.
        self._context.budget.set_hosts(1 + len(hosts) + _SPARE)


def make_hosts(context: _context.Context, client: platform.Client) -> Hosts:
    """Makes the list of a process that knows no others.

    :param context: state of the process.
    :param client: client of the store.
    """
    return Hosts(context, client)
