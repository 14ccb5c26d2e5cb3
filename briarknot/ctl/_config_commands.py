"""Command that checks a manifest of the users' platform."""

import asyncio
import collections
import enum
import pathlib
import sys
import typing
import urllib.parse

import attrs
import cappa
import orjson

from briarknot import document, platform, schema
from briarknot.ctl import _commands, _report

_STANDARD_INPUT = '-'
_TIMEOUT_S = 30
_Path = typing.Annotated[
    pathlib.Path,
    cappa.Arg(help='Path of a manifest (JSON); - for standard input.'),
]


class CheckCode(enum.IntEnum):
    """Exit codes of the command, which differ from those of the others."""

    NO_FINDINGS = 0
    WARNINGS = 1
    ERRORS = 2


@attrs.frozen
class _InForce:
    """What is in force.

    :param manifest: the manifest; None where none is known.
    :param workers: number of workers by service; None where it is not known.
    :param findings: why the manifest can't be read.
    """

    manifest: schema.serving.Manifest | None = None
    workers: dict[str, int] | None = None
    findings: tuple[platform.ConfigFinding, ...] = ()


@_commands.COMMANDS.register('check-config')
@cappa.command(
    name='check-config',
    help='Checks a manifest before it is sent; needs no settings.',
    description=(
        'Exit codes: 0 no findings; 1 warnings; 2 errors; 5 the store did '
        'not answer.'
    ),
)
@attrs.frozen
class CheckConfig:
    """Checks a manifest, and compares it with the one in force."""

    file: _Path
    against: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help='Path of the manifest in force.'),
    ] = None
    store: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help='IP number and port of the store that has the manifest in '
            'force and the workers.',
        ),
    ] = None

    def run_local(self) -> _report.Report:
        """Runs the command."""
        in_force = _InForce()
        if self.store is not None:
            answer = asyncio.run(_read_store(self.store))
            if isinstance(answer, platform.Unavailable):
                return _report.report_unavailable(answer.reason)
            in_force = answer
        if self.against is not None:
            in_force = _read_against(self.against, in_force.workers)
        text = _read_bytes(self.file)
        if isinstance(text, platform.ConfigFinding):
            return _report_findings((text, *in_force.findings), ())
        known = in_force.manifest
        checked = platform.check_config(
            text, known.version if known else None, in_force.workers
        )
        changes = ()
        if known is not None and checked.manifest is not None:
            changes = platform.compare_configs(known, checked.manifest)
        return _report_findings(
            (*checked.findings, *in_force.findings), changes
        )


def _read_bytes(path: pathlib.Path) -> bytes | platform.ConfigFinding:
    try:
        if str(path) == _STANDARD_INPUT:
            return sys.stdin.buffer.read()
        return path.read_bytes()
    except OSError as error:
        return platform.ConfigFinding(
            platform.Severity.ERROR, 'file', str(path), str(error)
        )


def _read_against(
    path: pathlib.Path, workers: dict[str, int] | None
) -> _InForce:
    text = _read_bytes(path)
    if isinstance(text, platform.ConfigFinding):
        return _InForce(None, workers, (text,))
    return _decode_in_force(text, str(path), workers)


def _decode_in_force(
    text: bytes, source: str, workers: dict[str, int] | None
) -> _InForce:
    """Decodes the manifest in force, whose own findings don't matter here."""
    checked = platform.check_config(text)
    if checked.manifest is not None:
        return _InForce(checked.manifest, workers)
    findings = tuple(
        attrs.evolve(one, subject=f'{source} {one.subject}'.strip())
        for one in checked.findings
    )
    return _InForce(None, workers, findings)


async def _read_store(address: str) -> _InForce | platform.Unavailable:
    url = f'http://{address}'
    try:
        urllib.parse.urlsplit(url).port  # noqa: B018
    except ValueError as error:
        return platform.Unavailable(str(error))
    async with platform.make_store_session(_TIMEOUT_S) as session:
        client = platform.make_client(session, url, _TIMEOUT_S)
        row = await client.read_row(
            platform.MANIFEST_TABLE, platform.MANIFEST_KEY
        )
        if isinstance(row, platform.Unavailable):
            return row
        rows = await client.scan_rows(platform.WORKERS_TABLE)
        if isinstance(rows, platform.Unavailable):
            return rows
    workers = _count_workers(rows)
    if isinstance(row, platform.Missing):
        return _InForce(None, workers)
    text = row.value
    if not isinstance(text, bytes):
        text = orjson.dumps(text)
    return _decode_in_force(text, address, workers)


def _count_workers(rows: tuple[platform.Row, ...]) -> dict[str, int]:
    counts: collections.Counter[str] = collections.Counter()
    for row in rows:
        worker = platform.decode_worker(row.key, row.value)
        if not isinstance(worker, platform.Malformed) and not worker.draining:
            counts[worker.service] += 1
    return dict(counts)


def _report_findings(
    findings: tuple[platform.ConfigFinding, ...],
    changes: tuple[document.Change, ...],
) -> _report.Report:
    severities = {one.severity for one in findings}
    code = CheckCode.NO_FINDINGS
    if platform.Severity.ERROR in severities:
        code = CheckCode.ERRORS
    elif severities:
        code = CheckCode.WARNINGS
    parts: list[typing.Any] = [str(one) for one in findings]
    if changes:
        parts.append(_report.make_changes_table(changes))
    return _report.Report(
        code,
        {
            'findings': [attrs.asdict(one) for one in findings],
            'changes': [attrs.asdict(one) for one in changes],
        },
        tuple(parts or ('no findings',)),
    )
