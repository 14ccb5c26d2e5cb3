"""Command line of the gateway program."""

import pathlib
import typing

import attrs
import cappa

import briarknot
from briarknot.gateway import _gateway, service


@cappa.command(name='briarknot-gateway', help='Serves clients on the platform.')
@attrs.frozen
class Arguments:
    """Arguments of the program."""

    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(
            long=True,
            default=cappa.Env(service.SETTINGS_VARIABLE),
            help='Path of the settings file.',
        ),
    ]
    check_settings: typing.Annotated[
        bool, cappa.Arg(long=True, help='Check the settings and exit.')
    ] = False


def run() -> None:
    """Runs the program."""
    arguments = cappa.parse(
        Arguments, version=cappa.Arg(briarknot.__version__, long=True)
    )
    if arguments.check_settings:
        _gateway.read_settings(arguments.settings)
        print(f'{arguments.settings}: no findings')
        return
    _gateway.run(arguments.settings)
