"""A group of processes that are started and stopped together."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import sys
import tempfile
import typing

import aiohttp
import attrs
import orjson
from aiohttp import web

from briarknot import schema
from briarknot_standins import serving
from briarknot_standins.launcher import _ports, _process

_READY_TIMEOUT_S = 20
_READY_POLL_S = 0.02
#: Time between SIGTERM and SIGKILL at the end of a cluster.
_STOP_TIMEOUT_S = 5


class StartError(RuntimeError):
    """A process ended, or was not ready in time."""


@attrs.define(eq=False)
class Cluster:
    """Processes of one test, demo or benchmark.

    :param folder: folder for settings and process output.
    """

    folder: pathlib.Path
    _processes: list[_process.Process] = attrs.field(factory=list, init=False)
    _numbers: typing.Iterator[int] = attrs.field(
        factory=itertools.count, init=False
    )

    @property
    def processes(self) -> tuple[_process.Process, ...]:
        """All processes that were started, oldest first."""
        return tuple(self._processes)

    def choose_port(self) -> int:
        """Chooses a free port on the loopback interface."""
        return _ports.choose_port()

    def write_settings(self, name: str, settings: typing.Any) -> pathlib.Path:
        """Writes settings as JSON.

        :param name: name of the file, without suffix.
        :param settings: attrs instance or tree of plain values.
        :returns: path of the file.
        """
        path = self.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(schema.to_plain(settings)))
        return path

    async def start(
        self,
        module: str,
        arguments: typing.Sequence[str] = (),
        *,
        port: int = 0,
        name: str = '',
        environment: typing.Mapping[str, str] | None = None,
        ready_path: str = '',
    ) -> _process.Process:
        """Starts ``python -m MODULE`` and waits until it listens on its port.

        :param module: module to run.
        :param arguments: its arguments.
        :param port: port on which it will listen, where the arguments or the
            settings contain it; 0 chooses one and adds ``--port``.
        :param name: name of its output file; by default from the module.
        :param environment: variables to add to those of this process.
        :param ready_path: path that must answer 200 before the process counts
            as ready; empty where an open port is enough.
        :raises StartError: where the process ends or is not ready in time.
        """
        arguments = list(arguments)
        if not port:
            port = self.choose_port()
            arguments.extend(('--port', str(port)))
        name = name or module.rpartition('.')[2]
        output_path = self.folder / f'{next(self._numbers)}-{name}.log'
        process = _process.Process(
            name,
            port,
            output_path,
            await _spawn(module, arguments, output_path, environment or {}),
        )
        self._processes.append(process)
        await self.wait_ready(process, ready_path)
        return process

    async def wait_ready(
        self,
        process: _process.Process,
        ready_path: str = '',
        timeout_s: float = _READY_TIMEOUT_S,
    ) -> None:
        """Waits until a process is ready.

        :param process: the process.
        :param ready_path: path that must answer 200; empty where an open
            port is enough.
        :param timeout_s: maximum wait.
        :raises StartError: where it ends or is not ready in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await _poll(process, ready_path)
        except TimeoutError as error:
            raise StartError(_describe(process)) from error

    async def stop(self) -> None:
        """Ends all processes of the cluster and waits for them."""
        for stopped in self._processes:
            stopped.terminate()
            stopped.resume()
        waits = [
            asyncio.create_task(waited.wait()) for waited in self._processes
        ]
        if not waits:
            return
        _, pending = await asyncio.wait(waits, timeout=_STOP_TIMEOUT_S)
        if pending:
            for killed in self._processes:
                killed.kill()
            await asyncio.wait(pending)

    async def close(self) -> None:
        """Ends all processes, even if the wait for them is cancelled."""
        try:
            await self.stop()
        finally:
            for process in self._processes:
                process.kill()


@contextlib.asynccontextmanager
async def make_cluster() -> typing.AsyncIterator[Cluster]:
    """Makes a cluster whose processes end with the context, also on error."""
    with tempfile.TemporaryDirectory(prefix='briarknot-') as folder:
        cluster = Cluster(pathlib.Path(folder))
        try:
            yield cluster
        finally:
            await cluster.close()


async def _spawn(
    module: str,
    arguments: list[str],
    output_path: pathlib.Path,
    environment: typing.Mapping[str, str],
) -> asyncio.subprocess.Process:
    with output_path.open('wb') as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, **_make_python_path(), **environment},
        )


def _make_python_path() -> dict[str, str]:
    # The processes run the same source as this one in any working directory.
    source = str(pathlib.Path(__file__).parents[2])
    inherited = os.environ.get('PYTHONPATH', '')
    paths = [source, inherited] if inherited else [source]
    return {'PYTHONPATH': os.pathsep.join(paths)}


async def _poll(process: _process.Process, ready_path: str) -> None:
    while not await _accepts_requests(process, ready_path):
        if process.exit_status is not None:
            raise StartError(_describe(process))
        await asyncio.sleep(_READY_POLL_S)


async def _accepts_requests(process: _process.Process, ready_path: str) -> bool:
    if ready_path:
        return await _is_ready(f'{process.url}{ready_path}')
    try:
        _, writer = await asyncio.open_connection(serving.HOST, process.port)
    except OSError:
        return False
    writer.close()
    return True


async def _is_ready(url: str) -> bool:
    try:
        async with aiohttp.request('GET', url) as response:
            return response.status == web.HTTPOk.status_code
    except aiohttp.ClientError:
        return False


def _describe(process: _process.Process) -> str:
    return (
        f'{process.name}: no answer on port {process.port}, exit status '
        f'{process.exit_status}\n{process.read_output()}'
    )
