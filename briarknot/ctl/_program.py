"""Parses the command line and runs a command."""

import asyncio
import pathlib
import sys
import typing

import attrs
import cappa

import briarknot
from briarknot import config, httpclient, platform, program, schema
from briarknot.ctl import _commands, _report
from briarknot.ctl import _config_commands as _registered_configs
from briarknot.ctl import _document_commands as _registered_documents
from briarknot.ctl import _fleet_commands as _registered_fleet
from briarknot.ctl import _journal_commands as _registered_journal
from briarknot.ctl import _key_commands as _registered_keys
from briarknot.ctl import _log_commands as _registered_logs

#: Modules whose import registers their commands.
COMMAND_MODULES = (
    _registered_configs,
    _registered_documents,
    _registered_fleet,
    _registered_journal,
    _registered_keys,
    _registered_logs,
)
_SETTINGS_VARIABLE = 'BRIARKNOTCTL_SETTINGS'
_TIMEOUT_S = 30
_AnyCommand = typing.Union[  # noqa: UP007
    tuple(_commands.COMMANDS.get(name) for name in _commands.COMMANDS.names)
]


@cappa.command(
    name='briarknotctl',
    help='Reads and changes the fleet document, and explains requests.',
    description=(
        'Exit codes: 0 done; 2 bad settings or arguments; 3 findings; '
        '4 another operator committed first; 5 platform unavailable, nothing '
        'changed; 6 platform unavailable, may be in force; 7 not found; '
        '8 the wait timed out. check-config: 1 warnings; 2 errors.'
    ),
)
@attrs.frozen
class Arguments:
    """Arguments of the program.

    :param command: the command.
    :param settings: path of the settings, JSON with comments.
    :param json: whether to print JSON.
    """

    command: cappa.Subcommands[_AnyCommand]
    settings: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(_SETTINGS_VARIABLE),
            help='Path of the settings file.',
        ),
    ] = None
    json: typing.Annotated[
        bool, cappa.Arg(long=True, propagate=True, help='Print JSON.')
    ] = False


def run(argv: list[str]) -> int:
    """Runs one command.

    :param argv: arguments without the program's name.
    :returns: exit code.
    """
    arguments = cappa.parse(
        Arguments,
        argv=argv,
        version=cappa.Arg(briarknot.__version__, long=True),
    )
    command = arguments.command
    if hasattr(command, 'run_local'):
        report = command.run_local()
    elif arguments.settings is None:
        print(
            f'--settings or {_SETTINGS_VARIABLE} is required', file=sys.stderr
        )
        return program.BAD_SETTINGS_EXIT
    else:
        settings = program.read_settings(
            schema.settings.CtlSettings, arguments.settings
        )
        report = asyncio.run(_run_fleet_command(command, settings))
    _report.print_report(report, as_json=arguments.json)
    return report.code


async def _run_fleet_command(
    command: _commands.FleetCommand, settings: schema.settings.CtlSettings
) -> _report.Report:
    async with httpclient.make_session(repeats_reads=True) as session:
        client = platform.make_client(
            session, settings.platform_url, _TIMEOUT_S
        )
        archive = config.make_archive(client)
        return await command.run(
            _commands.Context(settings, client, archive, session)
        )
