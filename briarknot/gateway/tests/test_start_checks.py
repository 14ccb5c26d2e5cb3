"""Tests the checks that a worker has not started again since it was listed."""

import asyncio

import attrs
import pytest

from briarknot import platform
from briarknot.gateway import _start_checks

_TREE = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'version': '1',
    'slots': 4,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 1,
    'born': 5,
}
_LISTED = platform.decode_worker('w', _TREE)


@attrs.define(eq=False)
class _Store:
    """Answers reads of one entry.

    :param answer: what it answers.
    :param delay_s: time of each read, in seconds.
    """

    answer: object
    delay_s: float = 0.01
    reads: int = 0

    async def read_row(self, table, key):
        """Reads the entry, as it is before the answer is on its way."""
        self.reads += 1
        answer = self.answer
        await asyncio.sleep(self.delay_s)
        return answer


def make_row(**changes):
    """Makes the row of the worker's entry."""
    return platform.Row('w', {**_TREE, **changes}, 1)


def make_checks(answer, **options):
    """Makes a store and the checks that read it."""
    store = _Store(answer, **options)
    return store, _start_checks.make_start_checks(store)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [({}, False), ({'sequence': 9}, False), ({'born': 6}, True)],
)
async def test_new_start_is_read_from_the_entry(changes, expected):
    """The list showed the version that a worker had before its start."""
    _, checks = make_checks(make_row(**changes))
    assert await checks.has_restarted(_LISTED) is expected


async def test_new_version_is_read_from_the_entry():
    """A worker may state another version with the same start."""
    _, checks = make_checks(make_row(version='2'))
    assert await checks.has_restarted(_LISTED)


@pytest.mark.parametrize(
    'answer',
    [platform.Missing(), platform.Unavailable('x'), make_row(born='x')],
)
async def test_entry_that_says_nothing_stops_no_stream(answer):
    """All streams that broke off ended while the store was away."""
    _, checks = make_checks(answer)
    assert not await checks.has_restarted(_LISTED)


async def test_slow_store_does_not_hold_a_stream():
    """Streams waited for the store until their clients left."""
    _, checks = make_checks(make_row(born=6), delay_s=9)
    async with asyncio.timeout(2):
        assert not await checks.has_restarted(_LISTED)


async def test_streams_of_a_broken_worker_share_reads():
    """Each of hundreds of streams read the store by itself."""
    store, checks = make_checks(make_row())
    await asyncio.gather(*(checks.has_restarted(_LISTED) for _ in range(99)))
    assert store.reads <= 2


async def test_read_that_was_under_way_does_not_count():
    """A read that was begun before a start said that there was none."""
    store, checks = make_checks(make_row())
    early = asyncio.ensure_future(checks.has_restarted(_LISTED))
    await asyncio.sleep(0)
    store.answer = make_row(born=6)
    assert await checks.has_restarted(_LISTED)
    assert not await early
