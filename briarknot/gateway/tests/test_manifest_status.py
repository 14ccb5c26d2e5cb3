"""Tests when a process takes its manifest for current, against the stand-in store."""

import asyncio
import contextlib
import math

import attrs
import pytest

from briarknot import platform, schema
from briarknot.gateway import (
    _clock,
    _context,
    _manifest_status,
    _store_sync,
    _update_dates,
)
from briarknot.gateway.tests import test_restored_store as restores
from briarknot.gateway.tests import test_store_sync as stores

_KEY = 'secret-key'
_MAX_AGE_S = _manifest_status.MAX_AGE_S


def make_tree(version, *keys):
    """Makes a manifest with an account that has the given keys."""
    accounts = [{'name': 'a', 'apiKeys': list(keys)}]
    return {**stores._MANIFEST, 'version': version, 'tenants': accounts}


def is_current(context):
    """Returns whether a process takes its manifest for current."""
    return context.manifest_status.is_current(context.fleet.version)


def are_current(contexts):
    """Returns whether all processes take their manifest for current."""
    return all(map(is_current, contexts))


async def assert_not_suspended(contexts):
    """Checks that requests with known keys don't wait as after a suspension."""
    for _ in range(20):
        assert not any(one.manifest_status.was_suspended for one in contexts)
        await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def run_gateways(*hosts):
    """Runs processes whose manifest has version 4 and an account."""
    async with restores.run_gateways(*hosts) as (store, contexts):
        await store.put('op', 'config', make_tree(4, _KEY))
        await stores.wait_until(
            lambda: all(one.fleet.version == 4 for one in contexts)
        )
        yield store, contexts


async def test_manifest_stays_current_in_normal_operation():
    """Unknown keys would get no final answer, or new ones would be refused."""
    async with run_gateways('g1', 'g2', 'g3') as (_, contexts):
        await stores.wait_until(lambda: are_current(contexts))
        ages_s = []
        for _ in range(40):
            await asyncio.sleep(0.1)
            ages_s.extend(one.manifest_status.age_s for one in contexts)
    assert max(ages_s) < _MAX_AGE_S
    assert min(ages_s) >= 0


async def test_key_is_added_and_withdrawn_in_all_processes():
    """A withdrawn key would be served on by those that don't read the store."""
    hashes = [
        platform.decode_manifest(make_tree(1, key)).accounts[0].key_hashes[0]
        for key in (_KEY, 'new')
    ]
    async with run_gateways('g1', 'g2', 'g3') as (store, contexts):
        await store.put('op', 'config', make_tree(5, 'new'))
        await stores.wait_until(
            lambda: all(one.accounts.find(hashes[1]) for one in contexts)
        )
        assert not any(one.accounts.find(hashes[0]) for one in contexts)


async def test_manifest_is_not_current_while_the_store_is_unavailable():
    """A new key would be refused for good by a process that can't know it."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await stores.wait_until(lambda: are_current(contexts))
        await store.set_faults(down=True)
        await stores.wait_until(
            lambda: not any(map(is_current, contexts)), _MAX_AGE_S + 2
        )
        assert all(one.accounts.keys_count == 1 for one in contexts)
        await assert_not_suspended(contexts)
        await store.set_faults(down=False)
        await stores.wait_until(lambda: are_current(contexts))


async def test_older_manifest_of_a_restored_store_confirms_nothing():
    """A key that only the operators' next manifest has would be refused."""
    async with run_gateways('g1', 'g2') as (store, contexts):
        await restores.post(store, '/copy')
        await store.put('op', 'config', make_tree(9))
        await stores.wait_until(
            lambda: all(one.fleet.version == 9 for one in contexts)
        )
        await restores.post(store, '/restore')
        await stores.wait_until(
            lambda: not any(map(is_current, contexts)), _MAX_AGE_S + 3
        )
        assert not any(one.accounts.keys_count for one in contexts)
        await assert_not_suspended(contexts)
        await store.put('op', 'config', make_tree(10, _KEY))
        await stores.wait_until(
            lambda: (
                are_current(contexts)
                and all(one.accounts.keys_count for one in contexts)
            )
        )


async def test_manifest_is_current_again_after_the_store_was_restored():
    """Processes could not convert times of the store's new clock any more."""
    async with run_gateways('g1', 'g2', 'g3') as (store, contexts):
        await restores.post(store, '/copy')
        await restores.raise_version(store, 5)
        await restores.post(store, '/restore')
        await asyncio.sleep(_MAX_AGE_S + 1)
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert are_current(contexts)


@attrs.define(eq=False)
class _Client:
    """Client of a store whose clock is that of the process."""

    era: int = 1
    difference_s: float = 0

    def convert_store_time(self, store_s):
        """Returns a time of the store."""
        return store_s + self.difference_s


def make_store_sync(client):
    """Makes a store synchronization that has a manifest."""
    context = _context.make_context(stores.make_settings('g1', 'a'), None)
    context.fleet.apply_manifest(schema.serving.Manifest(version=4))
    return context, _store_sync.make_store_sync(context, client, None)


async def test_update_from_before_a_suspension_confirms_nothing(monkeypatch):
    """A process that woke up refused keys that were added meanwhile."""
    context, store_sync = make_store_sync(_Client())
    update = schema.messages.FleetUpdate(
        manifest_version=4, store_era=1, manifest_store_s=_clock.read_clock()
    )
    store_sync._confirm_manifest_by(update)
    assert is_current(context)
    woken_s = _clock.read_clock() + 30
    monkeypatch.setattr(_clock, 'read_clock', lambda: woken_s)
    assert not is_current(context)
    store_sync._confirm_manifest_by(update)
    assert not is_current(context)
    fresh = attrs.evolve(update, manifest_store_s=woken_s - 1)
    store_sync._confirm_manifest_by(fresh)
    assert is_current(context)


@pytest.mark.parametrize('changes', [{'store_era': 2}, {'list_store_s': 0}])
async def test_update_that_cannot_be_dated_ends_no_suspension(changes):
    """An update that waited over a suspension let withdrawn keys through."""
    context, store_sync = make_store_sync(_Client())
    now = _clock.read_clock()
    context.accounts.apply_manifest(schema.serving.Manifest(has_accounts=True))
    update = schema.messages.FleetUpdate(
        manifest_version=4, store_era=1, list_store_s=now
    )
    for received, is_dated in (
        (attrs.evolve(update, **changes), False),
        (update, True),
    ):
        context.fleet_update = received
        context.fleet_update_received.set()
        assert await store_sync._is_manifest_confirmed() is is_dated
        assert context.manifest_status.was_suspended is not is_dated
        assert (store_sync._manifest_confirmed_s > 0) is is_dated


async def test_page_that_was_read_late_is_not_sent_as_confirmed(monkeypatch):
    """A leader that was suspended stated an outdated manifest as the newest."""
    async with stores.open_store() as store:
        client = platform.make_client(store.session, store.url, 1)
        _, store_sync = make_store_sync(client)
        now = _clock.read_clock()
        times_s = iter((now - 30,))
        monkeypatch.setattr(_clock, 'read_clock', lambda: next(times_s, now))
        await store_sync._read_manifest(0)
        # No peers are known, so that a broadcast would fail.
        store_sync._send_update()


@pytest.mark.parametrize('has_accounts', [True, False])
async def test_store_is_read_where_its_clock_is_not_known(has_accounts):
    """After a restore, no update would confirm the manifest any more."""
    context, store_sync = make_store_sync(_Client(difference_s=-math.inf))
    manifest = schema.serving.Manifest(version=5, has_accounts=has_accounts)
    context.fleet.apply_manifest(manifest)
    context.accounts.apply_manifest(manifest)
    update = schema.messages.FleetUpdate(
        manifest_version=5, store_era=1, manifest_store_s=7
    )
    assert store_sync._confirm_manifest_by(update) is not has_accounts
    assert not is_current(context)


@pytest.mark.parametrize(
    ('page_s', 'rows', 'age_s'),
    # An unchanged feed is answered after 1.2 s; with rows it may be at once.
    [(0, (), 28.8), (0, (platform.Row('other', 1, 1),), 30), (105, (), 25)],
)
def test_feed_that_was_read_late_is_dated_early(
    monkeypatch, page_s, rows, age_s
):
    """A suspended leader would confirm the manifest of before to all."""
    monkeypatch.setattr(_clock, 'read_clock', lambda: 130)
    page = platform.Page(rows, 1, store_s=page_s, era=1)
    dated_s = _update_dates.date_feed(
        _Client(), page, 100, _store_sync._MANIFEST_WAIT_S
    )
    assert 130 - dated_s == pytest.approx(age_s)


@pytest.mark.parametrize(
    'changes',
    [{'manifest_version': 3}, {'store_era': 2}, {'manifest_store_s': 0}],
)
async def test_update_about_something_else_confirms_nothing(changes):
    """An update of an older manifest, or of a restored store, would count."""
    context, store_sync = make_store_sync(_Client())
    update = schema.messages.FleetUpdate(
        manifest_version=4, store_era=1, manifest_store_s=_clock.read_clock()
    )
    store_sync._confirm_manifest_by(attrs.evolve(update, **changes))
    assert not is_current(context)


async def test_manifest_that_cannot_be_decoded_confirms_nothing():
    """Keys of the newest manifest would be refused by the one before."""
    async with stores.open_store() as store:
        client = platform.make_client(store.session, store.url, 1)
        context = _context.make_context(stores.make_settings('g1', 'a'), None)
        store_sync = _store_sync.make_store_sync(context, client, None)
        version = await store_sync._read_manifest(0)
        assert is_current(context)
        await store.put('op', 'config', {'version': 9, 'tenants': _KEY})
        confirmed_s = context.manifest_status._confirmed_s
        version = await store_sync._wait_for_manifest(version)
        await store_sync._wait_for_manifest(version)
        await store_sync._read_manifest(0)
        assert context.manifest_status._confirmed_s == confirmed_s
        assert context.fleet.version == 3


def test_failed_attempt_does_not_end_a_suspension(monkeypatch):
    """One failed read after a suspension let withdrawn keys through."""
    status = _manifest_status.ManifestStatus()
    now = _clock.read_clock()
    monkeypatch.setattr(_clock, 'read_clock', lambda: now + 30)
    status.record_answer(now)
    status.record_contact(now + 30)
    assert status.was_suspended
    assert status.may_have_missed_manifest(4)
    # Without any answer it is an outage, in which known keys are served.
    status.record_contact(now + 33)
    monkeypatch.setattr(_clock, 'read_clock', lambda: now + 34.1)
    assert not status.was_suspended
    monkeypatch.setattr(_clock, 'read_clock', lambda: now + 31)
    assert status.was_suspended
    status.record_answer(now + 31)
    assert not status.was_suspended


def test_newer_version_of_another_process_counts(monkeypatch):
    """A process that started from a copy refused keys of the others."""
    status = _manifest_status.ManifestStatus()
    now = _clock.read_clock()
    monkeypatch.setattr(_clock, 'read_clock', lambda: now)
    status.confirm(now + 60)
    status.record_version(5)
    assert (status.is_current(4), status.is_current(5)) == (False, True)
    status.record_version(4)
    assert not status.is_current(4)
    monkeypatch.setattr(_clock, 'read_clock', lambda: now + 5)
    status.record_version(4)
    assert status.is_current(4)
