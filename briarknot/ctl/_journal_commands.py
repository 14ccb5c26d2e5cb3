"""Commands that explain requests from the journal."""

import collections
import re
import time
import typing

import attrs
import cappa

from briarknot import journal, platform, schema
from briarknot.ctl import _commands, _document_commands, _report

_UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}


def parse_duration(text: str) -> float:
    """Parses a duration such as ``90s``, ``15m``, ``1h`` or ``2d``.

    :param text: number and unit.
    :returns: seconds.
    :raises ValueError: for any other format.

    >>> parse_duration('15m')
    900.0
    """
    match = re.fullmatch(r'([0-9]+(?:\.[0-9]+)?)([smhd])', text)
    if match is None:
        raise ValueError(f'found {text!r}, allowed such as 90s, 15m, 1h, 2d')
    return float(match.group(1)) * _UNIT_SECONDS[match.group(2)]


@_commands.COMMANDS.register('explain')
@cappa.command(name='explain', help='Explains what happened to a request.')
@attrs.frozen
class Explain:
    """Explains what happened to a request and to its peer hops."""

    request_id: typing.Annotated[
        str, cappa.Arg(help='The X-Request-Id of the answer.')
    ]

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        record = await journal.read_record(context.client, self.request_id)
        if not isinstance(record, schema.records.RequestRecord):
            return await self._report_missing(context, record)
        hops = await journal.read_hops(context.client, record)
        explanations = [journal.explain(one) for one in (record, *hops)]
        return _report.make_report(
            {
                'record': schema.to_plain(record),
                'hops': schema.to_plain(hops),
                'story': explanations,
            },
            *explanations,
        )

    async def _report_missing(
        self,
        context: _commands.Context,
        answer: platform.Missing | platform.Unavailable,
    ) -> _report.Report:
        losses = await journal.read_losses(context.client, self.request_id)
        lost = sum(count.records for loss in losses for count in loss.counts)
        hint = 'it is written some seconds after the end of the request'
        if lost:
            hint = f'the host lost {lost} records of this minute'
        return _report.report_missing(
            answer, f'record of request {self.request_id} ({hint})'
        )


@_commands.COMMANDS.register('why')
@cappa.command(name='why', help="Lists an account's requests with causes.")
@attrs.frozen
class Why:
    """Lists the requests of an account with their causes."""

    account: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Name of the account; all by default.'),
    ] = None
    since: typing.Annotated[
        float,
        cappa.Arg(
            long=True,
            parse=parse_duration,
            show_default='1h',
            help='How far back, such as 90s, 15m, 1h or 2d.',
        ),
    ] = 3600.0
    late: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Only late, refused and failed requests.'),
    ] = False

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        result = await journal.find_records(
            context.client,
            self.account or '',
            time.time() - self.since,
            self.late,
        )
        if isinstance(result, platform.Unavailable):
            return _report.report_unavailable(result.reason)
        counts = collections.Counter(map(_get_main_reason, result.records))
        lost = sum(
            count.records for loss in result.losses for count in loss.counts
        )
        return _report.make_report(
            {
                'records': schema.to_plain(result.records),
                'reasons': dict(counts),
                'lost_records': lost,
                'unread_objects': list(result.unread),
            },
            _make_records_table(result.records),
            _report.make_table(
                'requests',
                'reason',
                rows=((n, reason) for reason, n in counts.most_common()),
            ),
            f'{len(result.records)} requests; {lost} records were lost; '
            f'{len(result.unread)} objects could not be read.',
        )


def _get_main_reason(record: schema.records.RequestRecord) -> str:
    """Returns the cause, or why a request without one was late."""
    if record.cause:
        return record.cause
    if record.late:
        return record.queue_reason or 'late without a wait in the queue'
    return 'within its target'


def _make_records_table(
    records: typing.Iterable[schema.records.RequestRecord],
) -> typing.Any:
    rows = (
        (
            record.request_id,
            _document_commands.format_time(record.received_s),
            record.rank,
            record.outcome,
            f'{record.queued_s:.2f}',
            f'{record.total_s:.2f}',
            _get_main_reason(record),
        )
        for record in records
    )
    return _report.make_table(
        'request',
        'received',
        'rank',
        'outcome',
        'queued s',
        'total s',
        'reason',
        rows=rows,
    )
