"""Commands on the fleet document."""

import datetime
import pathlib
import sys
import typing

import attrs
import cappa

from briarknot import config, document, platform, schema
from briarknot.ctl import _commands, _commits, _report

_STANDARD_INPUT = '-'
_Path = typing.Annotated[
    pathlib.Path, cappa.Arg(help='Path of a document; - for standard input.')
]


def read_file(
    path: pathlib.Path,
) -> tuple[str, document.ReadResult[schema.fleet.Fleet]]:
    """Reads a document.

    :param path: path, or ``-`` for standard input.
    :returns: text, and the parsed document or its findings.
    """
    try:
        text = _read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        finding = document.Finding(
            str(path), document.Position(), '', str(error), 'a readable file'
        )
        return '', document.ReadResult(None, (finding,))
    return text, document.read_text(schema.fleet.Fleet, text, str(path))


def _read_text(path: pathlib.Path) -> str:
    if str(path) == _STANDARD_INPUT:
        return sys.stdin.read()
    return path.read_text(encoding='utf-8')


def report_commit(
    result: typing.Any, changes: tuple[document.Change, ...]
) -> _report.Report:
    """Reports the result of a commit.

    :param result: what ``config.commit_document`` returned.
    :param changes: differences from the previous document.
    """
    if isinstance(result, config.Accepted):
        return _report.make_report(
            {'revision': result.revision, 'changes': list_changes(changes)},
            f'Revision {result.revision} is accepted.',
            _report.make_changes_table(changes),
        )
    if isinstance(result, config.Race):
        return report_race(result.row)
    if isinstance(result, config.Invalid):
        return _report.report_findings(result.findings)
    code = _report.ExitCode.UNAVAILABLE
    if result.may_have_applied:
        code = _report.ExitCode.UNKNOWN
    return _report.report_unavailable(result.reason, code)


def report_race(row: schema.records.DocumentRow) -> _report.Report:
    """Reports that another operator committed first.

    :param row: row in force.
    """
    winner = row.history[0] if row.history else schema.records.Commit()
    return _report.make_report(
        {'error': 'race', 'winner': schema.to_plain(winner)},
        f'Refused: revision {row.revision} of {winner.operator} '
        f'({format_time(winner.time_s)}) is in force: '
        f'{winner.note or "no note"}.',
        'Nothing was changed; run "diff" to see the differences.',
        code=_report.ExitCode.RACE,
    )


def list_changes(
    changes: typing.Iterable[document.Change],
) -> list[dict[str, str]]:
    """Returns changes as plain values."""
    return [attrs.asdict(change) for change in changes]


def format_time(time_s: float) -> str:
    """Formats a Unix time in UTC."""
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return f'{moment:%Y-%m-%d %H:%M:%S} UTC'


@_commands.COMMANDS.register('validate')
@cappa.command(name='validate', help='Checks documents; needs no settings.')
@attrs.frozen
class Validate:
    """Checks documents and prints every finding with its location."""

    files: list[_Path]

    def run_local(self) -> _report.Report:
        """Runs the command."""
        findings: list[document.Finding] = []
        for checked in self.files:
            findings.extend(read_file(checked)[1].findings)
        if findings:
            return _report.report_findings(findings)
        names = [str(path) for path in self.files]
        return _report.make_report(
            {'findings': [], 'files': names},
            *(f'{name}: no findings' for name in names),
        )


@_commands.COMMANDS.register('apply')
@cappa.command(name='apply', help='Commits a document.')
@attrs.frozen
class Apply:
    """Commits a document unless another commit came first."""

    file: _Path
    note: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Reason, shown in the history.')
    ] = None
    expected_revision: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Revision that the change was made from; by default the '
            'one in force when the command starts.',
        ),
    ] = None

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        text, parsed = read_file(self.file)
        if parsed.value is None:
            return _report.report_findings(parsed.findings)
        current = await config.read_row(context.client)
        if isinstance(current, platform.Unavailable):
            return _report.report_unavailable(current.reason)
        expected = self.expected_revision
        if expected is None:
            expected = current.row.revision
        before = await context.archive.read_document(expected)
        result = await _commits.commit(context, text, self.note or '', expected)
        changes = ()
        if isinstance(before, config.CommittedDocument):
            changes = document.compare(before.fleet, parsed.value)
        return report_commit(result, changes)


@_commands.COMMANDS.register('show')
@cappa.command(name='show', help='Prints the document in force.')
@attrs.frozen
class Show:
    """Prints a committed document."""

    revision: typing.Annotated[
        int | None, cappa.Arg(long=True, help='An earlier revision.')
    ] = None

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        committed = await context.archive.read_document(self.revision)
        if not isinstance(committed, config.CommittedDocument):
            return report_unreadable(committed, self.revision)
        return _report.make_report(
            {
                'commit': schema.to_plain(committed.commit),
                'text': committed.text,
                'document': schema.to_plain(committed.fleet),
            },
            committed.text.rstrip('\n'),
        )


def report_unreadable(
    answer: config.UnreadableDocument | platform.Missing | platform.Unavailable,
    revision: int | None,
) -> _report.Report:
    """Reports why a document could not be read."""
    if isinstance(answer, config.UnreadableDocument):
        return _report.report_findings(answer.findings)
    subject = 'a document in force'
    if revision is not None:
        subject = f'revision {revision} in the history'
    return _report.report_missing(answer, subject)


@_commands.COMMANDS.register('diff')
@cappa.command(name='diff', help='Compares a document with the one in force.')
@attrs.frozen
class Diff:
    """Prints what a document would change."""

    file: _Path

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        _, parsed = read_file(self.file)
        if parsed.value is None:
            return _report.report_findings(parsed.findings)
        committed = await context.archive.read_document()
        if not isinstance(committed, config.CommittedDocument):
            return report_unreadable(committed, None)
        changes = document.compare(committed.fleet, parsed.value)
        revision = committed.commit.revision
        part: typing.Any = f'No differences from revision {revision}.'
        if changes:
            part = _report.make_changes_table(changes)
        return _report.make_report(
            {'revision': revision, 'changes': list_changes(changes)}, part
        )


@_commands.COMMANDS.register('history')
@cappa.command(name='history', help='Lists the latest commits.')
@attrs.frozen
class History:
    """Lists the latest commits, newest first."""

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        current = await config.read_row(context.client)
        if isinstance(current, platform.Unavailable):
            return _report.report_unavailable(current.reason)
        commits = current.row.history
        rows = (
            (
                commit.revision,
                format_time(commit.time_s),
                commit.operator,
                commit.note,
            )
            for commit in commits
        )
        return _report.make_report(
            {'commits': schema.to_plain(commits)},
            _report.make_table(
                'revision', 'time', 'operator', 'note', rows=rows
            ),
        )
