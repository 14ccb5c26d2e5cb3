"""Results of commands, and their output."""

import enum
import typing

import attrs
import orjson
import rich.console
import rich.table
import rich.text

from briarknot import document, platform, schema


class ExitCode(enum.IntEnum):
    """Exit codes of ``briarknotctl``."""

    DONE = 0
    FAULT = 1
    BAD_SETTINGS = 2
    FINDINGS = 3
    RACE = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_FOUND = 7
    TIMEOUT = 8


@attrs.frozen
class Report:
    """Result of a command.

    :param code: exit code.
    :param tree: plain values for ``--json``.
    :param parts: texts and tables for terminal output.
    """

    code: enum.IntEnum
    tree: typing.Any
    parts: tuple[rich.console.RenderableType, ...] = ()


def make_report(
    tree: typing.Any,
    *parts: rich.console.RenderableType,
    code: ExitCode = ExitCode.DONE,
) -> Report:
    """Makes a report.

    :param tree: plain values, or a generated value.
    :param parts: texts and tables for terminal output.
    :param code: exit code.
    """
    return Report(code, schema.to_plain(tree), parts)


def report_findings(
    findings: typing.Iterable[document.Finding],
) -> Report:
    """Reports findings, one per line with its location."""
    listed = tuple(findings)
    return make_report(
        {'findings': [attrs.asdict(finding) for finding in listed]},
        *(str(finding) for finding in listed),
        code=ExitCode.FINDINGS,
    )


def report_unavailable(
    reason: str, code: ExitCode = ExitCode.UNAVAILABLE
) -> Report:
    """Reports that the platform did not answer."""
    state = 'nothing was changed'
    if code is ExitCode.UNKNOWN:
        state = 'the change may be in force; look at the history'
    return make_report(
        {'error': 'platform unavailable', 'reason': reason, 'state': state},
        f'The platform did not answer: {reason}; {state}.',
        code=code,
    )


def report_missing(
    answer: platform.Missing | platform.Unavailable, subject: str
) -> Report:
    """Reports why something could not be read.

    :param answer: result of the platform client.
    :param subject: what was requested.
    """
    if isinstance(answer, platform.Unavailable):
        return report_unavailable(answer.reason)
    return make_report(
        {'error': 'not found', 'subject': subject},
        f'Not found: {subject}.',
        code=ExitCode.NOT_FOUND,
    )


def make_table(
    *columns: str, rows: typing.Iterable[typing.Iterable[object]]
) -> rich.table.Table:
    """Makes a table.

    :param columns: headings.
    :param rows: cells, with numbers already formatted.
    """
    table = rich.table.Table(box=None, pad_edge=False, header_style='bold')
    for column in columns:
        # Ids and paths must not be truncated, because operators copy them.
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*(rich.text.Text(str(cell)) for cell in row))
    return table


def make_changes_table(
    changes: typing.Iterable[document.Change],
) -> rich.table.Table:
    """Makes a table of the differences between two documents."""
    rows = ((one.path, one.before, one.after) for one in changes)
    return make_table('field', 'before', 'after', rows=rows)


def print_report(report: Report, *, as_json: bool) -> None:
    """Prints a report to standard output.

    :param report: result of a command.
    :param as_json: whether to print the tree.
    """
    if as_json:
        tree = report.tree
        if isinstance(tree, dict):
            tree = {'exit_code': report.code, **tree}
        print(orjson.dumps(tree, option=orjson.OPT_INDENT_2).decode())
        return
    console = rich.console.Console(highlight=False)
    for part in report.parts:
        is_text = isinstance(part, str)
        console.print(part, soft_wrap=is_text, markup=False)
