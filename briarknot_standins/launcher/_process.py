"""A process of a cluster."""

import asyncio
import contextlib
import pathlib
import signal

import attrs

from briarknot_standins import serving


@attrs.define(eq=False)
class Process:
    """A process that a cluster starts and ends.

    :param name: name in the cluster.
    :param port: port on which it is expected to listen.
    :param output_path: file with its standard output and error.
    """

    name: str
    port: int
    output_path: pathlib.Path
    _process: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def url(self) -> str:
        """Base URL of its port."""
        return f'http://{serving.HOST}:{self.port}'

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None while it runs."""
        return self._process.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            if self._process.returncode is None:
                self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, as the failure of its host would."""
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks the process to stop gracefully."""
        self.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pauses the process."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the paused process."""
        self.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        return await self._process.wait()

    def read_output(self) -> str:
        """Returns what the process has printed so far."""
        return self.output_path.read_text(errors='replace')
