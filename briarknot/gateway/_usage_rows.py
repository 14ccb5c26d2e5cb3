"""Rows of the store with the usage reports, which are inserted and never changed."""

import attrs

from briarknot import platform, schema, telemetry

_TABLE = 'usage'
#: Windows for which rows are kept, and reports remembered.
KEPT_WINDOWS = 120
#: Rows of one write. A row takes about 20 bytes for each account.
_ROWS_PER_WRITE = 20
#: Old rows that are removed in one write.
_REMOVALS_PER_WRITE = 60
#: Digits of a key, so that rows are in the order of their windows.
_KEY_DIGITS = 12
_Reports = dict[int, platform.UsageReport]


@attrs.define(eq=False)
class UsageRows:
    """Reports that this process has read or written.

    :param reports: reports whose rows are known, by window.
    """

    _client: platform.Client
    reports: _Reports = attrs.field(factory=dict)
    _stored: set[int] = attrs.field(factory=set)

    async def load(self) -> bool:
        """Reads all rows.

        A report that this process remembers stays as it is where the row is
        missing after a restore of the store, and is written again.

        :returns: whether they could be read.
        """
        page = await self._client.read_table(_TABLE)
        if isinstance(page, platform.Unavailable):
            telemetry.log_event('usage_rows_unknown', reason=page.reason)
            return False
        self._stored.clear()
        for row in page.rows:
            if not row.key.isdigit():
                continue
            window = int(row.key)
            self._stored.add(window)
            report = _decode_row(window, row.value)
            if report is not None:
                self.reports[window] = report
        # Rows of old windows were removed, and are not missing.
        oldest = max(self._stored, default=0) - KEPT_WINDOWS
        for window in sorted(self.reports):
            if window <= oldest:
                del self.reports[window]
        return True

    def list_lost(self) -> list[int]:
        """Lists the windows of reports that the store no longer has."""
        return sorted(self.reports.keys() - self._stored)

    @property
    def latest(self) -> int:
        """The latest window with a row; 0 if there is none."""
        return max(self._stored | self.reports.keys(), default=0)

    async def insert(
        self, reports: _Reports, holder: str, fence: int
    ) -> platform.Committed | platform.Conflict | platform.Unavailable:
        """Inserts rows, and removes old ones in the same write.

        :param reports: reports to insert; the first ones of them are.
        :param holder: this process.
        :param fence: fencing number of its grant.
        """
        windows = sorted(reports)[:_ROWS_PER_WRITE]
        old = sorted(
            one for one in self._stored if one <= windows[-1] - KEPT_WINDOWS
        )[:_REMOVALS_PER_WRITE]
        result = await self._client.commit(
            *(
                platform.make_operation(
                    _TABLE,
                    _make_key(window),
                    _encode_row(reports[window], holder, fence),
                )
                for window in windows
            ),
            *(
                platform.Operation(
                    _TABLE, _make_key(window), None, is_removal=True
                )
                for window in old
            ),
        )
        if isinstance(result, platform.Committed):
            self._stored.difference_update(old)
            self._stored.update(windows)
            self.reports.update({window: reports[window] for window in windows})
            self._forget(windows[-1] - KEPT_WINDOWS)
        return result

    def _forget(self, until: int) -> None:
        self.reports = {
            window: report
            for window, report in self.reports.items()
            if window > until
        }


def _make_key(window: int) -> str:
    return str(window).zfill(_KEY_DIGITS)


def _encode_row(
    report: platform.UsageReport, holder: str, fence: int
) -> schema.records.UsageRow:
    return schema.records.UsageRow(
        window=report.window,
        counts=tuple(
            schema.records.AccountUsage(account=account, requests=count)
            for account, count in sorted(report.counts.items())
        ),
        holder=holder,
        fence=fence,
    )


def _decode_row(window: int, value: object) -> platform.UsageReport | None:
    try:
        row = schema.from_plain(schema.records.UsageRow, value)
    except (AttributeError, TypeError, ValueError) as error:
        telemetry.log_event('usage_row_malformed', reason=str(error))
        return None
    return platform.UsageReport(
        window, {one.account: one.requests for one in row.counts}
    )


def make_usage_rows(client: platform.Client) -> UsageRows:
    """Makes the rows of a process that has read none.

    :param client: client of the store.
    """
    return UsageRows(client)
