"""Guards against failed background tasks that end or are not restarted."""

import asyncio

import pytest

from briarknot import program


async def test_failed_task_is_restarted():
    """A malformed row of the platform would end all entry processes."""
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise TypeError('expected int')

    await asyncio.wait_for(program.run_background_task('document', run, 0), 20)
    assert runs == [0, 1, 2]


async def test_cancelled_task_ends():
    """A planned stop would never end."""
    task = asyncio.create_task(
        program.run_background_task('journal', asyncio.Event().wait)
    )
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
