"""Tests reports of usage with failures, against the stand-in store."""

import asyncio
import time
from unittest import mock

import pytest

from briarknot import authority, platform, usage
from briarknot.gateway import (
    _clock,
    _usage,
    _usage_reports,
    _usage_rows,
    _usage_sending,
    _usage_sync,
)
from briarknot.gateway.tests import _usage_support as support

_HOSTS = ('a1', 'a2', 'a3')


async def test_each_window_is_reported_once_and_complete(monkeypatch):
    """Counts of some processes were missing, or windows were left out."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        expected = {}
        for number in range(40):
            for node in fleet.nodes.values():
                account = f'x{number % 3}'
                window = node.count(account)
                counts = expected.setdefault(window, {})
                counts[account] = counts.get(account, 0) + 1
            await asyncio.sleep(0.03)
        for window, counts in expected.items():
            assert await fleet.wait_for_window(window) == counts
        windows = [one.window for one in fleet.server.calls]
        assert windows == list(range(windows[0], windows[0] + len(windows)))
        stats = await fleet.store.read_stats()
        # The rows of manifest and worker, and for each window a grant and a row.
        assert stats['operations'] <= 2 + 2 * len(windows) + 2


async def test_requests_before_the_first_check_are_reported(monkeypatch):
    """Requests were never reported if their window ended before the first check."""
    windows = []

    def count(nodes):
        for node in nodes:
            windows.append(_usage.read_window(node.context) - 1)
            node.context.account_usage.counts.count('x', windows[-1])

    async with support.open_fleet(monkeypatch, _HOSTS, prepare=count) as fleet:
        counts = await fleet.wait_for_window(windows[0])
    assert counts == {'x': windows.count(windows[0])}


async def test_others_ask_for_the_duty_only_without_a_holder(monkeypatch):
    """Each process read the grant in each window, and store calls are billed."""
    refused = []
    acquire = authority.acquire_grant

    async def count(client, name, host, pause_s):
        grant = await acquire(client, name, host, pause_s)
        if not grant:
            refused.append(host)
        return grant

    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(3)
        monkeypatch.setattr(authority, 'acquire_grant', count)
        await fleet.wait_for_reports(6)
    assert len(refused) <= 2


async def test_counts_pass_relays_of_large_fleets(monkeypatch):
    """In a large fleet the holder got a message of each process."""
    monkeypatch.setattr(_usage_sync, '_MAX_DIRECT_HOSTS', 0)
    hosts = ('a1', 'a2', 'a3', 'b1', 'b2', 'b3')
    async with support.open_fleet(monkeypatch, hosts) as fleet:
        await fleet.wait_for_reports()
        await fleet.begin_window()
        for node in fleet.nodes.values():
            window = node.count('x', 2)
        assert await fleet.wait_for_window(window) == {'x': 12}
        counts = fleet.get_holder().context.account_usage.counts
        assert counts.count_covered(_clock.read_clock()) == 6


@pytest.mark.parametrize('reply', (support.LOST, support.ENDLESS, 429, 500))
async def test_unanswered_report_is_sent_again(monkeypatch, reply):
    """A report was lost with its answer, or repeated with other counts."""
    async with support.open_fleet(monkeypatch, ('a1',)) as fleet:
        monkeypatch.setattr('briarknot.platform._duties._TIMEOUT_S', 0.2)
        fleet.server.replies.append(reply)
        window = fleet.nodes['a1'].count('x')
        await fleet.wait_for_window(window + 1)
        sent = [one.window for one in fleet.server.calls]
        assert sent.count(sent[0]) == 2


async def test_refused_report_is_not_sent_again(monkeypatch):
    """A report that the platform rejects was sent until it was too old."""
    async with support.open_fleet(monkeypatch, ('a1',)) as fleet:
        fleet.server.replies.append(400)
        await fleet.wait_for_reports(3)
        windows = [one.window for one in fleet.server.calls]
        assert len(set(windows)) == len(windows)


async def test_report_is_given_up_after_three_windows(monkeypatch):
    """Reports that nobody takes any more piled up."""
    async with support.open_fleet(monkeypatch, ('a1',)) as fleet:
        fleet.server.replies.extend(500 for _ in range(400))
        await fleet.wait_for_reports()
        first = fleet.server.calls[0].window
        await fleet.wait_for_window(first + 6)
        last = fleet.server.calls[-1].window
        recent = [one.window for one in fleet.server.calls[-3:]]
        assert min(recent) >= last - 4


async def test_holder_is_killed_before_the_row(monkeypatch):
    """The windows of a killed holder were never reported."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(2)
        holder = fleet.get_holder()
        granted = support.stop_at(
            monkeypatch, holder, _usage_reports.UsageReports, '_store'
        )
        window = fleet.get_others()[0].count('x', 3)
        holder.count('x', 2)
        await granted.wait()
        holder.kill()
        assert await fleet.wait_for_window(window) == {'x': 5}
        assert fleet.get_holder() is not holder


async def test_holder_is_killed_after_the_row(monkeypatch):
    """The next holder reported other counts than the store held."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(2)
        holder = fleet.get_holder()
        stored = support.stop_at(
            monkeypatch, holder, _usage_sending.UsageSending, 'send'
        )
        await stored.wait()
        window = holder.reports._rows.latest
        row = holder.reports._rows.reports[window]
        holder.kill()
        fleet.get_others()[0].context.account_usage.counts.count('late', window)
        assert await fleet.wait_for_window(window) == row.counts


async def test_windows_of_an_outage_of_the_store_follow(monkeypatch):
    """What began while the store was away was never reported."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(2)
        await fleet.store.set_faults(down=True)
        windows = []
        for _ in range(3):
            await fleet.begin_window()
            windows.append(fleet.nodes['a2'].count('x', 4))
        await asyncio.sleep(1)
        await fleet.store.set_faults(down=False)
        for window in windows:
            assert await fleet.wait_for_window(window) == {'x': 4}


async def test_unconfirmed_row_is_sent_as_it_was_stored(monkeypatch):
    """A row whose answer was lost was fixed a second time with other counts."""
    async with support.open_fleet(monkeypatch, ('a1',)) as fleet:
        await fleet.wait_for_reports()
        node = fleet.nodes['a1']
        window = node.count('x')
        await fleet.store.set_faults(lose_answers=3)
        counts = await fleet.wait_for_window(window)
        row = await fleet.store.read_row('usage', str(window).zfill(12))
        assert counts == {'x': 1}
        assert [one['account'] for one in row['counts']] == ['x']


async def test_nothing_is_sent_before_it_is_stored(monkeypatch):
    """After a kill, another process could report the window differently."""
    rows = _usage_rows.UsageRows
    insert = rows.insert
    is_away = True

    async def fail(*values):
        if is_away:
            return platform.Unavailable('away')
        return await insert(*values)

    monkeypatch.setattr(rows, 'insert', fail)
    async with support.open_fleet(monkeypatch, ('a1',)) as fleet:
        window = fleet.nodes['a1'].count('x')
        await asyncio.sleep(2.5)
        assert not fleet.server.calls
        is_away = False
        assert await fleet.wait_for_window(window) == {'x': 1}


async def test_window_that_was_fixed_is_not_fixed_by_another(monkeypatch):
    """After a restore, the next holder reported windows without their counts."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(1)
        await fleet.store._post('/copy', {})
        window = fleet.nodes['a1'].count('x')
        assert await fleet.wait_for_window(window) == {'x': 1}
        await asyncio.sleep(0.3)
        holder = fleet.get_holder()
        holder.kill()
        await fleet.store._post('/restore', {})
        await fleet.wait_for_window(window + 4)
        assert fleet.get_holder() is not holder
        assert {} not in fleet.server.list_counts(window)


async def test_restored_store_gets_the_missing_rows(monkeypatch):
    """Windows after the copy were reported again with other counts."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(1)
        await fleet.store._post('/copy', {})
        window = fleet.nodes['a1'].count('x')
        counts = await fleet.wait_for_window(window)
        await fleet.store._post('/restore', {})
        fleet.nodes['a1'].context.account_usage.counts.count('late', window)
        key = str(window).zfill(12)
        async with asyncio.timeout(8):
            row = {}
            while not row:
                row = await fleet.store.read_row('usage', key)
                await asyncio.sleep(0.05)
        assert {one['account']: one['requests'] for one in row['counts']} == (
            counts
        )
        await fleet.wait_for_reports(1)


async def test_counts_of_a_killed_process_are_reported(monkeypatch):
    """The requests of a process that was killed in a window were lost."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(1)
        await fleet.begin_window()
        killed = fleet.get_others()[0]
        window = killed.count('x', 5)
        await asyncio.sleep(0.2)
        killed.kill()
        fleet.get_holder().count('x', 2)
        assert await fleet.wait_for_window(window) == {'x': 7}


async def test_counts_of_a_process_that_was_cut_off_arrive(monkeypatch):
    """A process never sent what it had counted while it was cut off."""
    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        await fleet.wait_for_reports(1)
        await fleet.store.set_faults(down=True)
        node = fleet.get_others()[0]
        peer_hosts = node.context.peer_hosts
        node.context.set_peer_hosts({})
        window = node.count('x', 5)
        await asyncio.sleep(1)
        node.context.set_peer_hosts(peer_hosts)
        await asyncio.sleep(0.5)
        await fleet.store.set_faults(down=False)
        assert await fleet.wait_for_window(window) == {'x': 5}


async def test_wrong_clock_of_one_host_is_corrected(monkeypatch):
    """Requests of a host with a wrong clock were counted in other windows."""

    def prepare(nodes):
        support.set_wrong_clock(nodes[1], time.time() - _clock.read_clock() + 7)

    async with support.open_fleet(
        monkeypatch, _HOSTS, prepare=prepare
    ) as fleet:
        await fleet.wait_for_reports(3)
        windows = {
            _usage.read_window(node.context) for node in fleet.nodes.values()
        }
        assert max(windows) - min(windows) <= 1


async def test_row_decides_between_two_holders(monkeypatch):
    """Two processes that held the duty sent different reports of a window."""

    async def acquire(client, name, host, pause_s):
        if host == 'a3':
            return authority.NotGranted('third')
        return support.make_grant(host, 1 + (host == 'a2'))

    async with support.open_fleet(monkeypatch, _HOSTS) as fleet:
        fleet.server.has_two_holders = True
        monkeypatch.setattr(authority, 'acquire_grant', acquire)
        monkeypatch.setattr(
            _usage_reports.UsageReports, '_is_due', lambda _: True
        )
        monkeypatch.setattr(
            usage.Counts, 'compute', lambda own, window: {str(id(own)): window}
        )
        await asyncio.sleep(3)
        assert len({one.window for one in fleet.server.calls}) >= 3
        assert {one.holder for one in fleet.server.calls} == {'a1', 'a2'}


@pytest.mark.parametrize(
    'changes',
    (
        {'duties': ()},
        {'duties': ('autoscale',)},
        {'duty_address': ''},
        None,
    ),
)
async def test_nothing_happens_without_the_duty(monkeypatch, changes):
    """A deployment without the duty, or without accounts, was charged for it."""

    def prepare(nodes):
        for node in nodes:
            if changes is None:
                node.context.fleet._manifest = support.make_manifest(
                    has_accounts=False
                )

    async with support.open_fleet(
        monkeypatch, _HOSTS, prepare=prepare, **(changes or {})
    ) as fleet:
        before = await fleet.store.read_stats()
        await asyncio.sleep(1.5)
        assert await fleet.store.read_stats() == before
        assert not fleet.server.calls
        counts = fleet.nodes['a1'].context.account_usage.counts
        assert not counts.sums


async def test_process_that_comes_last_takes_the_duty_over(monkeypatch):
    """Where the first ones were lost, no process reported until they were back."""
    monkeypatch.setattr(_usage_reports, '_LAST_DELAY_S', 0.3)
    hosts = tuple(f'a{number}' for number in range(6))
    async with support.open_fleet(monkeypatch, hosts) as fleet:
        context = fleet.nodes['a0'].context
        *first, last = _usage_sync.rank_hosts(context)
        for host in first:
            fleet.nodes[host].kill()
        await fleet.wait_for_reports(1)
        assert fleet.server.calls[-1].holder == last


async def test_rows_that_were_removed_as_old_are_not_missing():
    """A process that got the duty back wrote rows that nobody needs any more."""

    latest = platform.Row(str(_usage_rows.KEPT_WINDOWS + 10), {}, 1)
    client = mock.Mock()
    client.read_table = mock.AsyncMock(return_value=platform.Page((latest,), 1))
    rows = _usage_rows.UsageRows(client, dict.fromkeys((9, 10, 11)))
    assert await rows.load()
    assert rows.list_lost() == [11]
