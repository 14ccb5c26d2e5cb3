"""Reports the requests of client accounts to the platform, once per window.

The process that is granted the duty inserts a row with what a window's report says,
and sends what the row says. The design is in docs/design/usage-reports.md.
"""

import asyncio

import attrs

from briarknot import authority, platform, telemetry
from briarknot.gateway import (
    _clock,
    _context,
    _usage,
    _usage_messages,
    _usage_rows,
    _usage_sending,
    _usage_sync,
)

#: Period of checking whether something is due.
_PERIOD_S = 0.2
#: Period of checking whether usage is reported at all; each wake-up costs.
_IDLE_PERIOD_S = 1.0
#: Share of the time until a report is due after which its counts are fixed. A
#: process that takes over from a killed holder is then in time.
_FIX_SHARE = 0.3
#: Time that the holder has before others try, and that each has before the next.
_FIRST_DELAY_S = 1.5
_NEXT_DELAY_S = 1.0
#: Processes that try after these times. The others follow later, so that a store
#: that is away does not get calls of a whole fleet.
_FIRST_HOSTS = 4
_LAST_DELAY_S = 20.0
#: Time from a grant to one of another process. Calls end 5 s after a grant at the
#: latest: its 3 s and the time limit of a call.
_OTHER_HOLDER_S = 6.5
#: Pause after an attempt that failed.
_RETRY_S = 1.0
#: Share of the time until a report is due up to which the first counts of at least
#: half of the processes are awaited.
_WAIT_SHARE = 0.6
#: Windows before the first one of this process that it reports if requests were
#: counted in them: processes don't start at the same moment. A host whose clock is
#: far behind must not add more.
_EARLIER_WINDOWS = 2
_GRANT = 'usage'


@attrs.define(eq=False)
class UsageReports:
    """Fixes, stores and sends reports while this process holds the duty."""

    _context: _context.Context
    _client: platform.Client
    _sending: _usage_sending.UsageSending
    _rows: _usage_rows.UsageRows
    _first_window: int = 0
    _fence: int = 0
    _is_loaded: bool = False
    _fixed: dict[int, platform.UsageReport] = attrs.field(factory=dict)
    _granted_window: int = 0
    _refused: str = ''

    async def run(self) -> None:
        """Reports each window, if this process is to."""
        while True:
            is_enabled = _usage.is_enabled(self._context)
            await asyncio.sleep(_PERIOD_S if is_enabled else _IDLE_PERIOD_S)
            if is_enabled and self._is_due():
                await self.report()

    async def close(self) -> None:
        """Closes the connections."""
        await self._sending.close()

    async def report(self) -> None:
        """Acquires the duty, and reports all windows that are due."""
        due = self._compute_due()
        host = self._context.settings.host
        started_s = _clock.read_clock()
        grant = await authority.acquire_grant(
            self._client, _GRANT, host, _OTHER_HOLDER_S
        )
        if not isinstance(grant, authority.OrderGrant):
            self._log_refused(grant)
            await asyncio.sleep(_RETRY_S)
            return
        self._refused = ''
        self._granted_window = due
        status = self._context.account_usage.status
        if status.record_grant(host, grant.fence, started_s):
            _usage_messages.log_holder(self._context)
        if grant.fence != self._fence + 1:
            # Another process held the duty, or the store was restored.
            self._is_loaded = False
        self._fence = grant.fence
        if await self._store(grant, due):
            first = self._list_others(host)[:_FIRST_HOSTS]
            _usage_messages.send_status(self._context, tuple(first))
            await self._sending.send(grant)
        else:
            await asyncio.sleep(_RETRY_S)

    def _is_due(self) -> bool:
        """Returns whether this process is to report now."""
        context = self._context
        status = context.account_usage.status
        now = _clock.read_clock()
        if not self._first_window:
            self._first_window = _usage.read_window(context)
        due = self._compute_due()
        if due < self._first_window:
            return False
        holder = status.get_holder(now)
        host = context.settings.host
        # Later windows don't reset the waits for counts and for other processes.
        first = max(self._first_window, status.fixed_window + 1)
        late_s = self._compute_late_s(min(first, due), now)
        if self._is_incomplete(late_s, now):
            return False
        if holder == host:
            return due > max(status.fixed_window, self._granted_window)
        if due <= status.fixed_window:
            return False
        if holder:
            late_s -= _FIRST_DELAY_S
        if late_s < 0:
            return False
        rank = self._list_others(holder).index(host)
        step_s = _NEXT_DELAY_S if rank < _FIRST_HOSTS else _LAST_DELAY_S
        return late_s >= rank * step_s

    def _list_others(self, one: str) -> list[str]:
        """Lists all processes but one in the order in which they take the duty."""
        ranked = _usage_sync.rank_hosts(self._context)
        return [host for host in ranked if host != one]

    def _compute_due(self) -> int:
        """Returns the latest window whose counts are to be fixed."""
        settings = self._context.settings
        true_s = self._context.account_usage.clock.read(_clock.read_clock())
        fixed_s = true_s - settings.usage_late_s * _FIX_SHARE
        return int(fixed_s // settings.usage_window_s) - 1

    def _compute_late_s(self, due: int, now: float) -> float:
        """Returns the time since the counts of a window were to be fixed."""
        settings = self._context.settings
        end_s = (due + 1) * settings.usage_window_s
        fix_s = end_s + settings.usage_late_s * _FIX_SHARE
        return self._context.account_usage.clock.read(now) - fix_s

    def _is_incomplete(self, late_s: float, now: float) -> bool:
        """Returns whether this process has only begun to collect the counts."""
        processes = 1 + len(self._context.peer_hosts)
        covered = self._context.account_usage.counts.count_covered(now)
        wait_s = self._context.settings.usage_late_s * (
            _WAIT_SHARE - _FIX_SHARE
        )
        return 2 * covered < processes and late_s < wait_s

    async def _store(self, grant: authority.OrderGrant, due: int) -> bool:
        """Stores the reports of all windows up to one.

        :param grant: the duty.
        :param due: the window.
        :returns: whether all are stored.
        """
        while grant.is_valid:
            if not self._is_loaded and not await self._load(due):
                return False
            self._fix(due)
            missing = {**self._fixed}
            for window in self._rows.list_lost():
                missing[window] = self._rows.reports[window]
            if not missing:
                self._context.account_usage.status.record_fixed(due)
                return True
            result = await self._rows.insert(missing, grant.holder, grant.fence)
            if isinstance(result, platform.Unavailable):
                # The write may have taken effect, and is repeated as it was.
                telemetry.log_event(
                    'usage_report_not_stored', reason=result.reason
                )
                return False
            if isinstance(result, platform.Conflict):
                self._is_loaded = False
                continue
            self._take_stored()
        return False

    async def _load(self, due: int) -> bool:
        """Reads the rows; what another process has fixed replaces the own.

        That process has sent what is too old by now.

        :param due: the latest window that is due.
        :returns: whether the rows could be read.
        """
        before = set(self._rows.reports)
        if not await self._rows.load():
            return False
        self._is_loaded = True
        self._sending.drop_outdated()
        # What this process has not fixed may have been sent by another one.
        recent = due - _usage_sending.RESENT_WINDOWS
        for window in self._rows.reports.keys() - before:
            self._fixed.pop(window, None)
            if window > recent:
                self._sending.add(self._rows.reports[window])
        return True

    def _fix(self, due: int) -> None:
        """Fixes the reports of windows that have none.

        A window that is known to be fixed, and has neither a row nor a remembered
        report, may have been reported with other counts before a restore of the
        store.

        :param due: the latest window.
        """
        state = self._context.account_usage
        known = max(
            state.status.fixed_window,
            self._rows.latest,
            max(self._fixed, default=0),
        )
        first = known + 1 if known else self._find_first_window()
        first = max(first, due - _usage_rows.KEPT_WINDOWS + 1)
        now = _clock.read_clock()
        for window in range(first, due + 1):
            counts = state.counts.compute(window)
            self._fixed[window] = platform.UsageReport(window, counts)
            telemetry.log_event(
                'usage_report_fixed',
                window=window,
                accounts=len(counts),
                requests=sum(counts.values()),
                processes=state.counts.count_covered(now),
            )

    def _find_first_window(self) -> int:
        """Returns the first window to report where no report is known.

        Requests may have been counted before this process first checked whether
        something is due, or started.
        """
        counted = self._context.account_usage.counts.find_first_window(
            self._first_window - _EARLIER_WINDOWS
        )
        if counted is None:
            return self._first_window
        return min(counted, self._first_window)

    def _take_stored(self) -> None:
        """Makes the reports due that the store has now."""
        for window in self._fixed.keys() & self._rows.reports.keys():
            del self._fixed[window]
            self._sending.add(self._rows.reports[window])
        if not self._fixed:
            self._context.account_usage.status.record_fixed(self._rows.latest)

    def _log_refused(self, refused: authority.NotGranted) -> None:
        """Logs that the duty was not granted, once for each reason."""
        kind = refused.reason.partition(' ')[0]
        if kind != self._refused:
            self._refused = kind
            telemetry.log_event('usage_not_granted', reason=refused.reason)


def make_usage_reports(
    context: _context.Context, client: platform.Client
) -> UsageReports:
    """Makes what reports usage; a running event loop is needed.

    :param context: state of the process.
    :param client: client of the store.
    """
    return UsageReports(
        context,
        client,
        _usage_sending.make_usage_sending(context),
        _usage_rows.make_usage_rows(client),
    )
