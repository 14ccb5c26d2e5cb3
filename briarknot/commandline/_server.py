"""Command line of a server program."""

import asyncio
import collections.abc
import pathlib
import typing

import attrs
import cappa

import briarknot
from briarknot import program, schema, telemetry

_Main = typing.Callable[
    [program.Process, typing.Any], collections.abc.Awaitable[None]
]


@attrs.frozen
class Arguments:
    """Arguments of a server program.

    :param settings: path of the settings, JSON with comments.
    :param check_settings: whether to check the settings and exit.
    """

    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='Path of the settings file.'),
    ]
    check_settings: typing.Annotated[
        bool, cappa.Arg(long=True, help='Check the settings and exit.')
    ] = False


def run_program(name: str, kind: type[typing.Any], main: _Main) -> None:
    """Runs a server program until it receives a stop signal.

    :param name: name of the program.
    :param kind: its generated settings class, with a ``node`` field.
    :param main: coroutine that serves until ``process.stopping`` is set.
    """
    command = cappa.command(name=name, help=main.__doc__)(Arguments)
    arguments = cappa.parse(
        command, version=cappa.Arg(briarknot.__version__, long=True)
    )
    settings = program.read_settings(kind, arguments.settings)
    if arguments.check_settings:
        print(f'{arguments.settings}: no findings')
        return
    node: schema.settings.Node = settings.node
    telemetry.set_up_logs(name, node.host)
    telemetry.set_up_traces(name, node.host, node.tracing)
    asyncio.run(_run(name, node, settings, main))


async def _run(
    name: str,
    node: schema.settings.Node,
    settings: typing.Any,
    main: _Main,
) -> None:
    process = program.make_process(name, node)
    await process.start()
    try:
        await main(process, settings)
    finally:
        await process.close()
        telemetry.shut_down_traces()
    telemetry.log_change(name, 'stopped', host=node.host)
