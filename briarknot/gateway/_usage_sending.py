"""Sends stored usage reports to the platform until it answers."""

import asyncio

import attrs
import prometheus_client

from briarknot import authority, platform, telemetry
from briarknot.gateway import _clock, _context, _usage_rows

_REPORTS = prometheus_client.Counter(
    'briarknot_gateway_usage_reports',
    'Calls that report usage to the platform by result.',
    ('result',),
)
#: Pause between two rounds of calls.
_RESEND_S = 0.5
#: Windows for which an unanswered report is sent again.
RESENT_WINDOWS = 3
#: Calls at the same time. All processes together may make 50 per second.
_MAX_CALLS = 8


@attrs.define(eq=False)
class _Unsent:
    """A stored report without an answer.

    :param report: the report.
    :param until_s: time until which it is sent.
    """

    report: platform.UsageReport
    until_s: float


@attrs.define(eq=False)
class UsageSending:
    """Stored reports that the platform has not answered."""

    _context: _context.Context
    _duties: platform.Duties
    _unsent: dict[int, _Unsent] = attrs.field(factory=dict)
    _taken: set[int] = attrs.field(factory=set)

    def add(self, report: platform.UsageReport) -> None:
        """Makes a stored report due, unless it was answered.

        :param report: the report.
        """
        if report.window in self._taken:
            return
        window_s = self._context.settings.usage_window_s
        until_s = _clock.read_clock() + RESENT_WINDOWS * window_s
        self._unsent[report.window] = _Unsent(report, until_s)

    def drop_outdated(self) -> None:
        """Drops what is too old, because another process has sent it."""
        for window in self._list_outdated():
            del self._unsent[window]

    async def send(self, grant: authority.OrderGrant) -> None:
        """Sends the reports without an answer, while the grant is valid.

        :param grant: the duty.
        """
        while grant.is_valid:
            self._give_up()
            batch = sorted(self._unsent)[:_MAX_CALLS]
            if not batch:
                return
            await asyncio.gather(*(self._call(one, grant) for one in batch))
            if self._unsent:
                await asyncio.sleep(_RESEND_S)

    async def close(self) -> None:
        """Closes the connections."""
        await self._duties.close()

    async def _call(self, window: int, grant: authority.OrderGrant) -> None:
        result = await self._duties.report_usage(
            self._context.settings.duty_address,
            self._unsent[window].report,
            grant.fence,
        )
        if isinstance(result, platform.Taken):
            _REPORTS.labels('sent').inc()
            telemetry.log_event(
                'usage_report_sent', window=window, fence=grant.fence
            )
            self._end(window)
            return
        _REPORTS.labels('refused' if result.is_final else 'failed').inc()
        _log_failure(window, result.reason, is_final=result.is_final)
        if result.is_final:
            self._end(window)

    def _end(self, window: int) -> None:
        del self._unsent[window]
        self._taken.add(window)
        oldest = window - _usage_rows.KEPT_WINDOWS
        self._taken = {one for one in self._taken if one > oldest}

    def _give_up(self) -> None:
        for window in self._list_outdated():
            _REPORTS.labels('given_up').inc()
            _log_failure(window, 'no answer in time', is_final=True)
            del self._unsent[window]

    def _list_outdated(self) -> list[int]:
        now = _clock.read_clock()
        return [
            window
            for window, unsent in self._unsent.items()
            if now > unsent.until_s
        ]


def _log_failure(window: int, reason: str, *, is_final: bool) -> None:
    telemetry.log_event(
        'usage_report_failed', window=window, reason=reason, is_final=is_final
    )


def make_usage_sending(context: _context.Context) -> UsageSending:
    """Makes what sends reports; a running event loop is needed.

    :param context: state of the process.
    """
    return UsageSending(context, platform.make_duties(context.settings.host))
