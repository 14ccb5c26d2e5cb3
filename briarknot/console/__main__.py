"""Program ``briarknot-console``."""

import asyncio

from briarknot import commandline, httpclient, platform, program, schema
from briarknot.console import _app


async def run_console(
    process: program.Process, settings: schema.settings.ConsoleSettings
) -> None:
    """Serves the web forms and the document API until the process stops."""
    node = settings.node
    async with httpclient.make_session(repeats_reads=True) as session:
        client = platform.make_client(
            session, node.platform_url, node.platform_timeout_s
        )
        runner = platform.make_limited_runner(
            _app.make_app(settings, client),
            settings.connections,
            settings.memory_mb,
        )
        await process.listen_with(runner, settings.port)
        process.set_ready()
        await process.stopping.wait()
        process.set_ready('stopping')
        await asyncio.sleep(node.drain_grace_s)


def main() -> None:
    """Runs the program."""
    commandline.run_program(
        'briarknot-console', schema.settings.ConsoleSettings, run_console
    )


if __name__ == '__main__':
    main()
