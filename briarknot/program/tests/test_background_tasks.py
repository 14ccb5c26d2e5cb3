"""Guards against failed background tasks that end or are not restarted."""

import asyncio
import sys

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


async def test_task_is_restarted_without_free_descriptors(monkeypatch):
    """A process without descriptors never ran the task again."""
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 2:
            raise OSError

    # Imports need descriptors.
    monkeypatch.setattr(sys, 'meta_path', [])
    monkeypatch.delitem(sys.modules, 'absl.logging', raising=False)
    await asyncio.wait_for(program.run_background_task('peers', run, 0), 20)
    assert runs == [0, 1]


async def test_cancelled_task_ends():
    """A planned stop would never end."""
    task = asyncio.create_task(
        program.run_background_task('journal', asyncio.Event().wait)
    )
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
