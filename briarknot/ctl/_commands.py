"""Registry of commands and what they are given."""

import getpass
import typing

import aiohttp
import attrs

from briarknot import config, platform, registry, schema
from briarknot.ctl import _report


@attrs.frozen
class Context:
    """What a command that needs the fleet is given.

    :param settings: the program's settings.
    :param client: client of the platform.
    :param archive: committed documents.
    :param session: session for calls to endpoints.
    """

    settings: schema.settings.CtlSettings
    client: platform.Client
    archive: config.Archive
    session: aiohttp.ClientSession


def read_operator(settings: schema.settings.CtlSettings) -> str:
    """Returns the name for the history.

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


#: Classes of commands by name; each is parsed by cappa.
COMMANDS: registry.Registry[type] = registry.Registry('command')
