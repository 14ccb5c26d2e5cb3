"""Registry of commands, and the context that they run in."""

import getpass
import typing

import aiohttp
import attrs

from briarknot import config, platform, registry, schema
from briarknot.ctl import _report


@attrs.frozen
class Context:
    """Settings and clients of a command that needs the fleet.

    :param settings: the program's settings.
    :param client: client of the platform.
    :param archive: committed documents.
    :param session: session for calls to endpoints.
    """

    settings: schema.settings.CtlSettings
    client: platform.Client
    archive: config.Archive
    session: aiohttp.ClientSession


def get_operator_name(settings: schema.settings.CtlSettings) -> str:
    """Returns the operator's name for the history.

    Defaults to the name of the user who runs the program.

    :param settings: the program's settings.
    """
    return settings.operator or getpass.getuser()


class LocalCommand(typing.Protocol):
    """A command that needs neither settings nor the fleet."""

    def run_local(self) -> _report.Report:
        """Runs the command."""


class FleetCommand(typing.Protocol):
    """A command that reads or changes the fleet."""

    async def run(self, context: Context) -> _report.Report:
        """Runs the command.

        :param context: settings and clients.
        """


#: Command classes by name; cappa parses their arguments.
COMMANDS: registry.Registry[type] = registry.Registry('command')
