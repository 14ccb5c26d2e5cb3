"""Tests the authority to give orders, against the stand-in store."""

import contextlib
import time

import aiohttp
import pytest

from briarknot import authority, platform
from briarknot.authority import _order_grants
from briarknot_standins import platform as standin
from briarknot_standins import serving as standin_serving


@contextlib.asynccontextmanager
async def open_client():
    """Runs a store and opens a client of it."""
    config = standin.PlatformConfig(host_lag_s=0)
    async with standin_serving.serve(standin.make_app(config)) as url:
        async with aiohttp.ClientSession() as session:
            yield platform.make_client(session, str(url), 1), session, url


async def test_fencing_number_grows_with_each_grant():
    """Engines could not tell a delayed order from a later one."""
    async with open_client() as (client, _, _):
        grants = [
            await authority.acquire_grant(client, 'lm', 'g1') for _ in range(3)
        ]
    assert [grant.fence for grant in grants] == [1, 2, 3]
    assert all(grant.is_valid for grant in grants)


async def test_restore_before_the_write_prevents_the_grant(monkeypatch):
    """A number was given out that a grant missing in the copy had, too."""
    async with open_client() as (client, _, _):
        assert await authority.acquire_grant(client, 'lm', 'g1')
        commit = platform.Client.commit

        async def restore(client, *operations):
            client.record_era(client.era + 1)
            return await commit(client, *operations)

        monkeypatch.setattr(platform.Client, 'commit', restore)
        refused = await authority.acquire_grant(client, 'lm', 'g1')
        assert isinstance(refused, authority.NotGranted)


async def test_orders_of_two_processes_never_alternate(monkeypatch):
    """Two leaders gave opposite orders to one engine within a lease."""
    async with open_client() as (client, _, _):
        assert await authority.acquire_grant(client, 'lm', 'g1')
        refused = await authority.acquire_grant(client, 'lm', 'g2')
        assert isinstance(refused, authority.NotGranted)
        monkeypatch.setattr(_order_grants, '_OTHER_HOLDER_S', 0)
        second = await authority.acquire_grant(client, 'lm', 'g2')
    assert second.fence == 2


async def test_grants_of_two_services_are_independent():
    """A change of one service's engines delayed that of another one."""
    async with open_client() as (client, _, _):
        assert await authority.acquire_grant(client, 'lm', 'g1')
        assert await authority.acquire_grant(client, 'vision', 'g2')


async def test_unconfirmed_write_is_no_grant():
    """A process gave orders although the store did not know of it."""
    async with open_client() as (client, session, url):
        faults = {'lose_answers': 1}
        async with session.post(
            f'{url.rstrip("/")}/faults', json=faults
        ) as response:
            assert response.status == 200
        grant = await authority.acquire_grant(client, 'lm', 'g1')
    assert isinstance(grant, authority.NotGranted)


async def test_grant_ends_while_the_host_is_suspended(monkeypatch):
    """A process that woke up gave an order on an outdated view."""
    async with open_client() as (client, _, _):
        grant = await authority.acquire_grant(client, 'lm', 'g1')
    assert grant.is_valid
    later_s = time.clock_gettime(time.CLOCK_BOOTTIME) + 3.1
    monkeypatch.setattr(_order_grants, '_read_clock', lambda: later_s)
    assert not grant.is_valid


@pytest.mark.parametrize('value', [{'fence': 'g2'}, [], 'x'])
async def test_unreadable_row_grants_nothing(value):
    """A row of another build would end the task of the orders."""
    async with open_client() as (client, _, _):
        await client.commit(platform.Operation('grants', 'lm', value))
        grant = await authority.acquire_grant(client, 'lm', 'g1')
    assert isinstance(grant, authority.NotGranted)


async def test_clock_of_an_earlier_era_delays_no_grant(monkeypatch):
    """After a restore to an earlier clock, no other process got a grant."""
    async with open_client() as (client, session, url):
        assert await authority.acquire_grant(client, 'lm', 'g1')
        for path in ('copy', 'restore'):
            async with session.post(f'{url}/{path}', json={}) as response:
                assert response.ok
        monkeypatch.setattr(_order_grants, '_OTHER_HOLDER_S', 0)
        granted = await authority.acquire_grant(client, 'lm', 'g2', 100)
    assert granted
