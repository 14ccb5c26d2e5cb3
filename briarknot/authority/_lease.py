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
#: Share of the lease that is reserved for stopping the controller's tasks
#: before the timer ends the process.
_STEP_DOWN_SHARE = 0.1
#: Wait after a failed renewal, as a share of the renewal period.
_RETRY_PERIOD_SHARE = 0.2


class _Timer(typing.Protocol):
    def arm(self, deadline_s: float) -> None: ...

    def disarm(self) -> None: ...


@attrs.frozen
class _Observation:
    """A lease row as a contender has read it.

    :param row: the row.
    :param version: its version; None where there is no row.
    :param unchanged_since_s: monotonic time of the first read of this version.
    """

    row: schema.records.LeaseRow
    version: int | None
    unchanged_since_s: float


@attrs.define(eq=False)
class Lease:
    """Acquires, renews, and releases the lease of a failure domain."""

    _client: platform.Client
    _domain: str
    _holder: str
    _settings: schema.settings.ControlSettings
    _timer: _Timer
    _row: schema.records.LeaseRow = attrs.field(
        factory=schema.records.LeaseRow, init=False
    )
    _version: int | None = attrs.field(default=None, init=False)
    _write_number: int = attrs.field(default=0, init=False)
    _started_s: dict[int, float] = attrs.field(factory=dict, init=False)
    _deadline_s: float = attrs.field(default=float('-inf'), init=False)
    _quiet_until_s: float = attrs.field(default=float('inf'), init=False)

    @property
    def epoch(self) -> int:
        """Fencing number; valid only while the lease is held."""
        return self._row.epoch

    @property
    def remaining_s(self) -> float:
        """Seconds until the process deadline; not positive if not held."""
        return self._deadline_s - time.monotonic()

    @property
    def quiet_remaining_s(self) -> float:
        """Seconds until no order of an earlier holder can arrive any more."""
        return self._quiet_until_s - time.monotonic()

    @property
    def _until_step_down_s(self) -> float:
        """Seconds until stopping the controller's tasks must begin."""
        return self.remaining_s - self._step_down_s

    @property
    def _step_down_s(self) -> float:
        return self._settings.lease_s * _STEP_DOWN_SHARE

    async def acquire(self) -> None:
        """Waits until this process holds the lease."""
        observed: _Observation | None = None
        while True:
            found = await self._client.read_row(_TABLE, self._domain)
            # Taken after the read, so that the expiry is counted from no
            # earlier than the holder's write.
            now_s = time.monotonic()
            if not isinstance(found, platform.Unavailable):
                observed = _observe(observed, found, now_s)
                if self._is_free(observed, now_s) and await self._try_take(
                    observed
                ):
                    return
            await asyncio.sleep(self._settings.renew_s)

    async def renew_until_lost(self) -> str:
        """Renews the lease until it is lost or about to expire.

        The timer stays armed: the caller has a tenth of the lease to stop the
        work that needs the lease and to call :meth:`step_down`.

        :returns: why the lease can't be renewed.
        """
        wait_s = self._settings.renew_s
        while True:
            await asyncio.sleep(min(wait_s, max(0, self._until_step_down_s)))
            if self._until_step_down_s <= 0:
                return 'no renewal was confirmed in time'
            is_written: bool | None = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._until_step_down_s):
                    is_written = await self._write(self._row)
            if is_written is None:
                return 'another process holds the lease'
            wait_s = self._settings.renew_s
            if not is_written:
                wait_s *= _RETRY_PERIOD_SHARE

    def step_down(self) -> None:
        """Gives up authority and disarms the timer.

        The work that needs the lease must have stopped before.
        """
        self._deadline_s = float('-inf')
        self._quiet_until_s = float('inf')
        self._timer.disarm()
        _EPOCH.set(0)
        telemetry.log_change('lease', 'not held', domain=self._domain)

    async def release(self) -> None:
        """Steps down and frees the row, so that a successor need not wait."""
        self.step_down()
        free = attrs.evolve(self._row, holder='', duration_s=0)
        await self._client.commit(
            platform.make_operation(_TABLE, self._domain, free, self._version)
        )

    def _is_free(self, observed: _Observation, now_s: float) -> bool:
        # The row names this process after a write whose answer was lost, or
        # from before it stepped down.
        if observed.row.holder in {'', self._holder}:
            return True
        return now_s - observed.unchanged_since_s >= observed.row.duration_s

    async def _try_take(self, observed: _Observation) -> bool:
        self._row = observed.row
        self._version = observed.version
        self._started_s.clear()
        wanted = schema.records.LeaseRow(
            holder=self._holder,
            epoch=observed.row.epoch + 1,
            duration_s=self._settings.lease_s,
        )
        deadline_s = self._compute_deadline(time.monotonic())
        # Armed before the write, to also cover a pause directly after it.
        self._timer.arm(deadline_s)
        is_written = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                deadline_s - self._step_down_s - time.monotonic()
            ):
                is_written = await self._write(wanted)
        if not is_written:
            self.step_down()
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

        The read returns the new version, and shows which of the writes
        without an answer took effect. Each write has a number of its own, so
        that the lease time counts from the start of the write that did.

        :param content: the row; its renewal number is replaced.
        :returns: whether the row is stored; None where another process holds
            the lease.
        """
        self._write_number += 1
        wanted = attrs.evolve(content, renewal=self._write_number)
        self._started_s[self._write_number] = time.monotonic()
        result = await self._client.commit(
            platform.make_operation(_TABLE, self._domain, wanted, self._version)
        )
        _WRITES.labels(type(result).__name__.lower()).inc()
        found = await self._client.read_row(_TABLE, self._domain)
        if not isinstance(found, platform.Row):
            return False
        row = schema.from_plain(schema.records.LeaseRow, found.value)
        if row.holder == self._holder and row.renewal in self._started_s:
            self._apply_row(row, found.version)
            return row == wanted
        # A stale read may return a row of an earlier epoch.
        return None if row.epoch > self._row.epoch else False

    def _apply_row(self, row: schema.records.LeaseRow, version: int) -> None:
        self._row = row
        self._version = version
        self._deadline_s = self._compute_deadline(self._started_s[row.renewal])
        self._timer.arm(self._deadline_s)

    def _compute_deadline(self, started_s: float) -> float:
        """Computes the process deadline from the start of a write."""
        return started_s + self._settings.lease_s - self._settings.margin_s


def _observe(
    last: _Observation | None,
    found: platform.Row | platform.Missing,
    now_s: float,
) -> _Observation:
    """Makes an observation; keeps the last one of an unchanged version."""
    if isinstance(found, platform.Missing):
        return _Observation(schema.records.LeaseRow(), None, now_s)
    if last and last.version == found.version:
        return last
    row = schema.from_plain(schema.records.LeaseRow, found.value)
    return _Observation(row, found.version, now_s)


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
    :param holder: name of this process, unique among all that ever contend.
    :param settings: durations of the lease.
    :param timer: ends the process at its deadline; by SIGALRM if None.
    """
    return Lease(
        client, domain, holder, settings, timer or _timer.ProcessTimer()
    )
