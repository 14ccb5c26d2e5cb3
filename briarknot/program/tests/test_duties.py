"""Guards against processes that end, or go on without one of their duties."""

import asyncio

import pytest

from briarknot import program


async def test_failed_duty_is_started_again():
    """A malformed row of the platform would end all entry processes."""
    runs = []

    async def follow():
        runs.append(len(runs))
        if len(runs) < 3:
            raise TypeError('expected int')

    await asyncio.wait_for(program.keep_running('document', follow, 0), 20)
    assert runs == [0, 1, 2]


async def test_cancelled_duty_ends():
    """A planned stop would never end."""
    duty = asyncio.create_task(
        program.keep_running('journal', asyncio.Event().wait)
    )
    await asyncio.sleep(0)
    duty.cancel()
    with pytest.raises(asyncio.CancelledError):
        await duty
