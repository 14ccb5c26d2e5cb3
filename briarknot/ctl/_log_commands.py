"""Commands that read the log lines of gateways."""

import pathlib
import typing

import attrs
import cappa
import orjson

from briarknot.ctl import _commands, _report

#: Fields of every line, which are printed in front of the others or omitted.
_COMMON_FIELDS = frozenset(
    ('time', 'host', 'event', 'level', 'program', 'request')
)


@_commands.COMMANDS.register('trace')
@cappa.command(
    name='trace',
    help='Shows what was logged of a request; needs no settings.',
)
@attrs.frozen
class Trace:
    """Prints the log lines of a request from all files, ordered by time."""

    request_id: typing.Annotated[
        str, cappa.Arg(help='The Request-Id of the attempt.')
    ]
    files: typing.Annotated[
        list[pathlib.Path], cappa.Arg(help='Files with log lines.')
    ]

    def run_local(self) -> _report.Report:
        """Runs the command."""
        lines = sorted(
            (
                line
                for path in self.files
                for line in read_lines(path, self.request_id)
            ),
            key=lambda line: line['time'],
        )
        if not lines:
            return _report.Report(
                _report.ExitCode.NOT_FOUND,
                {'lines': []},
                (f'No log lines of request {self.request_id}.',),
            )
        start_s = lines[0]['time']
        return _report.make_report(
            {'lines': lines},
            *(_format_line(line, start_s) for line in lines),
        )


def read_lines(
    path: pathlib.Path, request_id: str
) -> list[dict[str, typing.Any]]:
    """Reads the lines of a request.

    :param path: file with log lines; text that a log collector put in
        front of a line's JSON object is ignored.
    :param request_id: id of the request.
    """
    marker = f'"request":"{request_id}"'.encode()
    found = []
    with path.open('rb') as text:
        for line in text:
            start = line.find(b'{')
            if marker in line and start >= 0:
                found.append(orjson.loads(line[start:]))
    return found


def _format_line(line: dict[str, typing.Any], start_s: float) -> str:
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _COMMON_FIELDS
    )
    return (
        f'{line["time"] - start_s:8.3f} s {line["host"]} {line["event"]}: '
        f'{details}'
    )
