"""Tests the timer of many waits."""

import asyncio
import contextlib

import pytest

from briarknot.gateway import _read_timer

_PERIOD_S = 0.1


async def test_only_a_long_wait_ends():
    """A stream would be taken for silent, or a silent one not be noticed."""
    timer = _read_timer.make_read_timer(_PERIOD_S)
    for number in range(6):
        assert await timer.wait_for(asyncio.sleep(0.03, number)) == number
    for _ in range(2):
        with pytest.raises(TimeoutError):
            await timer.wait_for(asyncio.sleep(5))
    # Time between two waits counts for none.
    await asyncio.sleep(0.15)
    assert await timer.wait_for(asyncio.sleep(0.03, 'read')) == 'read'
    timer.close()
    await asyncio.sleep(0.15)
    assert not asyncio.current_task().cancelling()


async def test_cancellation_is_no_timeout():
    """A stream would go on after its request was cancelled."""

    async def wait():
        timer = _read_timer.make_read_timer(_PERIOD_S)
        await timer.wait_for(asyncio.sleep(5))

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.02)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.mark.parametrize('error', [None, ValueError])
async def test_handled_timeout_leaves_no_cancellation(error):
    """The next time limit of the task was taken for its cancellation."""

    async def wait():
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            if error:
                raise error from None

    timer = _read_timer.make_read_timer(0.02)
    with contextlib.suppress(ValueError):
        await timer.wait_for(wait())
    assert not asyncio.current_task().cancelling()


async def test_limit_of_the_request_ends_a_wait():
    """A stream whose time is over would be taken for silent instead."""
    timer = _read_timer.make_read_timer(_PERIOD_S)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.02) as limit:
            await timer.wait_for(asyncio.sleep(5))
    assert limit.expired()
    timer.close()
