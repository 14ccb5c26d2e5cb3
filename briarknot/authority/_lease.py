"""Lease of a failure domain's controller."""

import asyncio
import contextlib
import time
import typing

import attrs
import prometheus_client

from briarknot import platform, schema, telemetry
from briarknot.authority import _timer

_TABLE = 'leases'
_EPOCH = prometheus_client.Gauge(
    'briarknot_lease_epoch', 'Epoch of the lease that is held; 0 for none.'
)
_WRITES = prometheus_client.Counter(
    'briarknot_lease_writes', 'Writes of the lease by result.', ('result',)
)
#: Share of the lease that is left for an orderly end of the duties before the
#: timer ends the process.
_STEP_DOWN_SHARE = 0.1
#: Period of a repeated renewal, as a share of the renewal period.
_RETRY_SHARE = 0.2


class _Timer(typing.Protocol):
    def arm(self, deadline_s: float) -> None: ...

    def disarm(self) -> None: ...


@attrs.frozen
class _Seen:
    """A row as a contender saw it.

    :param row: the row.
    :param version: its version; None where there is no row.
    :param since_s: monotonic time since which the version is unchanged.
    """

    row: schema.records.LeaseRow
    version: int | None
    since_s: float


@attrs.define(eq=False)
class Lease:
    """Competes for the lease, renews it, and gives it up."""

    _client: platform.Client
    _domain: str
    _holder: str
    _settings: schema.settings.ControlSettings
    _timer: _Timer
    _row: schema.records.LeaseRow = attrs.field(
        factory=schema.records.LeaseRow, init=False
    )
    _version: int | None = attrs.field(default=None, init=False)
    _number: int = attrs.field(default=0, init=False)
    _sent: dict[int, float] = attrs.field(factory=dict, init=False)
    _deadline_s: float = attrs.field(default=float('-inf'), init=False)
    _quiet_until_s: float = attrs.field(default=float('inf'), init=False)

    @property
    def epoch(self) -> int:
        """Fencing number; only of use while the lease is held."""
        return self._row.epoch

    @property
    def remaining_s(self) -> float:
        """Seconds until the process must be dead; not positive if not held."""
        return self._deadline_s - time.monotonic()

    @property
    def quiet_s(self) -> float:
        """Seconds until orders of an earlier holder can't arrive any more."""
        return self._quiet_until_s - time.monotonic()

    @property
    def _left_s(self) -> float:
        """Seconds until the duties must begin to end."""
        return self.remaining_s - self._spare_s

    @property
    def _spare_s(self) -> float:
        return self._settings.lease_s * _STEP_DOWN_SHARE

    async def acquire(self) -> None:
        """Waits until this process holds the lease."""
        seen: _Seen | None = None
        while True:
            found = await self._client.read_row(_TABLE, self._domain)
            # Taken after the read: the row was unchanged until then.
            now_s = time.monotonic()
            if not isinstance(found, platform.Unavailable):
                seen = _see(seen, found, now_s)
                if self._is_free(seen, now_s) and await self._take(seen):
                    return
            await asyncio.sleep(self._settings.renew_s)

    async def keep(self) -> str:
        """Renews the lease until it is lost or about to expire.

        The timer stays armed, so the caller has a tenth of the lease to end
        its duties before :meth:`stand_down`.

        :returns: why the lease can't be kept.
        """
        wait_s = self._settings.renew_s
        while True:
            await asyncio.sleep(min(wait_s, max(0, self._left_s)))
            if self._left_s <= 0:
                return 'no renewal was confirmed in time'
            is_written: bool | None = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._left_s):
                    is_written = await self._write(self._row)
            if is_written is None:
                return 'another holder'
            wait_s = self._settings.renew_s
            if not is_written:
                wait_s *= _RETRY_SHARE

    def stand_down(self) -> None:
        """Ends the authority of this process; its duties must have ended."""
        self._deadline_s = float('-inf')
        self._quiet_until_s = float('inf')
        self._timer.disarm()
        _EPOCH.set(0)
        telemetry.log_change('lease', 'not held', domain=self._domain)

    async def release(self) -> None:
        """Stands down and lets another holder follow without a wait."""
        self.stand_down()
        free = attrs.evolve(self._row, holder='', duration_s=0)
        await self._client.commit(
            platform.make_operation(_TABLE, self._domain, free, self._version)
        )

    def _is_free(self, seen: _Seen, now_s: float) -> bool:
        # The own row is left by a write whose answer was lost, or by this
        # process before it stood down.
        if seen.row.holder in {'', self._holder}:
            return True
        return now_s - seen.since_s >= seen.row.duration_s

    async def _take(self, seen: _Seen) -> bool:
        self._row = seen.row
        self._version = seen.version
        self._sent.clear()
        wanted = schema.records.LeaseRow(
            holder=self._holder,
            epoch=seen.row.epoch + 1,
            duration_s=self._settings.lease_s,
        )
        deadline_s = self._find_deadline(time.monotonic())
        # Armed before the write, so that a pause after it can't go unnoticed.
        self._timer.arm(deadline_s)
        is_written = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                deadline_s - self._spare_s - time.monotonic()
            ):
                is_written = await self._write(wanted)
        if not is_written:
            self.stand_down()
            return False
        self._quiet_until_s = (
            time.monotonic()
            + self._settings.order_timeout_s
            + self._settings.margin_s
        )
        _EPOCH.set(self.epoch)
        telemetry.log_change(
            'lease', 'held', domain=self._domain, epoch=self.epoch
        )
        return True

    async def _write(self, content: schema.records.LeaseRow) -> bool | None:
        """Writes the row and reads it back.

        The read tells the new version, and what became of writes without an
        answer. Each write has its own number, so that the time counts from
        before the very write that took effect.

        :param content: the row without its number.
        :returns: whether it is there; None where another's row is.
        """
        self._number += 1
        wanted = attrs.evolve(content, renewal=self._number)
        self._sent[self._number] = time.monotonic()
        result = await self._client.commit(
            platform.make_operation(_TABLE, self._domain, wanted, self._version)
        )
        _WRITES.labels(type(result).__name__.lower()).inc()
        found = await self._client.read_row(_TABLE, self._domain)
        if not isinstance(found, platform.Row):
            return False
        row = schema.from_plain(schema.records.LeaseRow, found.value)
        if row.holder == self._holder and row.renewal in self._sent:
            self._adopt(row, found.version)
            return row == wanted
        # A stale read shows an older row.
        return None if row.epoch > self._row.epoch else False

    def _adopt(self, row: schema.records.LeaseRow, version: int) -> None:
        self._row = row
        self._version = version
        self._deadline_s = self._find_deadline(self._sent[row.renewal])
        self._timer.arm(self._deadline_s)

    def _find_deadline(self, sent_s: float) -> float:
        """Returns when the process must be dead, from a write's start."""
        return sent_s + self._settings.lease_s - self._settings.margin_s


def _see(
    last: _Seen | None, found: platform.Row | platform.Missing, now_s: float
) -> _Seen:
    """Notes a row, and since when its version is unchanged."""
    if isinstance(found, platform.Missing):
        return _Seen(schema.records.LeaseRow(), None, now_s)
    if last and last.version == found.version:
        return last
    row = schema.from_plain(schema.records.LeaseRow, found.value)
    return _Seen(row, found.version, now_s)


def make_lease(
    client: platform.Client,
    domain: str,
    holder: str,
    settings: schema.settings.ControlSettings,
    timer: _Timer | None = None,
) -> Lease:
    """Makes a lease that is not held.

    :param client: platform client.
    :param domain: failure domain.
    :param holder: name of this process, unique among all that ever compete.
    :param settings: durations.
    :param timer: ends the process at its deadline.
    """
    return Lease(
        client, domain, holder, settings, timer or _timer.ProcessTimer()
    )
