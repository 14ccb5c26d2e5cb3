"""Tests that a start of all gateways keeps what engines hold in use."""

import asyncio
import contextlib
import json

import aiohttp
import pytest

from briarknot_standins import launcher
from briarknot_standins.soak import _config, _fleet

_OK = 200
_PART_TOKENS = 8000
#: Time in which lists would be read.
_READ_S = 2.0


@contextlib.asynccontextmanager
async def run_fleet(*, cache_listing):
    """Runs the processes of a small fleet."""
    config = _config.SoakConfig(
        gateways=2, workers=2, cache_listing=cache_listing
    )
    async with (
        launcher.make_cluster() as cluster,
        aiohttp.ClientSession() as session,
    ):
        fleet = _fleet.Fleet(config, cluster, session)
        await fleet.start()
        if cache_listing:
            await wait_until_listed(fleet)
        yield fleet


def read_events(fleet, name):
    """Reads the log lines of an event of all running gateways."""
    lines = [
        json.loads(line)
        for gateway in fleet.gateways
        for line in gateway.process.read_output().splitlines()
        if f'"{name}"' in line
    ]
    return [line for line in lines if line['event'] == name]


async def wait_until_listed(fleet):
    """Waits until all gateways have ended their reads after a start."""
    async with asyncio.timeout(20):
        while len(read_events(fleet, 'cache_listing_ended')) < len(  # noqa: ASYNC110
            fleet.gateways
        ):
            await asyncio.sleep(0.1)


async def send_prompt(fleet, gateway, request_id):
    """Sends a prompt; returns where it was placed, and its uncached tokens."""
    # A gateway refuses streams until all know the software versions.
    async with asyncio.timeout(10):
        while (  # noqa: ASYNC110
            await _send_once(fleet, gateway, request_id) != _OK
        ):
            await asyncio.sleep(0.2)
    # Log lines are written every 0.2 s.
    await asyncio.sleep(0.5)
    placed = max(
        read_events(fleet, 'prompt_placed'), key=lambda line: line['time']
    )
    return placed['worker'], placed['uncached_tokens']


async def _send_once(fleet, gateway, request_id):
    async with fleet.session.post(
        f'{gateway.process.url}/chat/x',
        headers={
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
            'Token-Counts': f'{_PART_TOKENS + 100},6',
            'Prompt-Prefix': f'5c1e07a2:{_PART_TOKENS},{request_id}:100',
        },
    ) as response:
        await response.read()
        return response.status


def count_reads(fleet):
    """Counts the reads of each engine's list."""
    engines = [one for one in fleet.workers if not one.name.startswith('plain')]
    return [
        one.process.read_output().splitlines().count('kv-list')
        for one in engines
    ]


@pytest.mark.parametrize('cache_listing', [True, False])
async def test_prompt_goes_where_its_part_is_after_a_restart_of_all(
    cache_listing,
):
    """Shared parts that engines held were prefilled again elsewhere."""
    async with run_fleet(cache_listing=cache_listing) as fleet:
        first, uncached = await send_prompt(fleet, fleet.gateways[0], 'q1')
        assert uncached == _PART_TOKENS + 100
        before = count_reads(fleet)
        for gateway in fleet.gateways:
            gateway.process.kill()
            await gateway.process.wait()
        await asyncio.gather(*map(fleet.restart, fleet.gateways))
        if cache_listing:
            await wait_until_listed(fleet)
        else:
            await asyncio.sleep(_READ_S)
        second, uncached = await send_prompt(fleet, fleet.gateways[1], 'q2')
        reads = [
            after - earlier
            for earlier, after in zip(before, count_reads(fleet), strict=True)
        ]
        if cache_listing:
            assert (second, uncached) == (first, 100)
            assert set(reads) <= {1, 2}
        else:
            assert uncached == _PART_TOKENS + 100
            assert set(reads) == {0}


async def test_restart_of_one_gateway_reads_nothing():
    """Each rolling restart would cost a read of all engines by each process."""
    async with run_fleet(cache_listing=True) as fleet:
        await send_prompt(fleet, fleet.gateways[0], 'q1')
        before = count_reads(fleet)
        gateway = fleet.gateways[1]
        gateway.process.kill()
        await gateway.process.wait()
        await fleet.restart(gateway)
        await wait_until_listed(fleet)
        _, uncached = await send_prompt(fleet, gateway, 'q2')
        assert uncached == 100
        assert count_reads(fleet) == before
        assert read_events(fleet, 'cache_listing_ended')[-1]['told']
