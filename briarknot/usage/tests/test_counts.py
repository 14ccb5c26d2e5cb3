"""Tests counts and their sums with messages that are lost, in virtual time."""

import random

import pytest

from briarknot import usage

_LIMIT = 3


class _Process:
    """A process whose counts are sent to relays, and on to a collector."""

    def __init__(self, host, domain='a', born_ms=1):
        self.source = usage.Source(host, born_ms, domain)
        self.counts = usage.Counts()
        self.known = {}

    def report(self, relay, now=0, *, is_lost=False):
        """Sends what a relay lacks."""
        log = self.counts.local
        key = (relay.source, 'report')
        for changes in log.list_changes(self.known.get(key, 0), _LIMIT):
            if not is_lost:
                self.known[key] = relay.counts.apply_report(
                    self.source, changes, now
                )

    def forward(self, collector, now=0):
        """Sends the sums of each domain to a collector."""
        for domain, log in self.counts.sums.items():
            source = usage.Source(self.source.host, 1, domain)
            key = (collector.source, domain)
            for changes in log.list_changes(self.known.get(key, 0), _LIMIT):
                hosts = self.counts.list_reporters(domain, now)
                self.known[key] = collector.counts.apply_sums(
                    source, changes, hosts, now
                )


def test_sums_are_complete_after_lost_messages():
    """A lost datagram took the requests that it stood for out of the report."""
    source = random.Random(4)
    relay, collector = _Process('r'), _Process('c')
    processes = [_Process(f'p{number}') for number in range(5)]
    expected = {}
    for _ in range(300):
        process = source.choice(processes)
        account = f'account {source.randrange(8)}'
        process.counts.count(account, 7)
        expected[account] = expected.get(account, 0) + 1
        process.report(relay, is_lost=source.choice((True, False)))
        relay.forward(collector)
    for process in processes:
        process.report(relay)
    relay.forward(collector)
    assert collector.counts.compute(7) == expected
    assert collector.counts.count_covered(0) == 5


def test_relays_of_a_domain_are_not_added_up():
    """Each request was reported once for each relay that had heard of it."""
    process, collector = _Process('p'), _Process('c')
    relays = [_Process('r1'), _Process('r2')]
    process.counts.count('x', 7)
    process.report(relays[0])
    process.counts.count('x', 7)
    process.report(relays[1])
    for relay in relays:
        relay.forward(collector)
    assert collector.counts.compute(7) == {'x': 2}


def test_sums_of_earlier_start_count():
    """The counts of a process were lost when it was killed and started again."""
    relay, collector = _Process('r'), _Process('c')
    for born_ms, count in ((1, 2), (2, 3)):
        process = _Process('p', born_ms=born_ms)
        for _ in range(count):
            process.counts.count('x', 7)
        process.report(relay)
    relay.forward(collector)
    assert collector.counts.compute(7) == {'x': 5}


def test_relay_that_starts_again_gets_everything():
    """A restarted relay got later changes only, and reported too few."""
    process, collector = _Process('p'), _Process('c')
    relay = _Process('r')
    process.counts.count('x', 7)
    process.report(relay)
    restarted = _Process('r')
    process.counts.count('y', 7)
    process.report(restarted)
    process.report(restarted)
    restarted.forward(collector)
    assert collector.counts.compute(7) == {'x': 1, 'y': 1}


def test_counts_arrive_after_a_partition():
    """A process that was cut off for several windows never delivered them."""
    process, relay, collector = _Process('p'), _Process('r'), _Process('c')
    for window in range(7, 20):
        process.counts.count('x', window)
        process.report(relay, is_lost=True)
    relay.counts.forget(9, 20)
    process.report(relay)
    relay.forward(collector)
    found = [collector.counts.compute(number) for number in (9, 10, 19)]
    assert found == [{}, {'x': 1}, {'x': 1}]


def test_withdrawn_request_is_not_reported():
    """A request that a worker rejected was reported as run."""
    process, relay, collector = _Process('p'), _Process('r'), _Process('c')
    process.counts.count('x', 7)
    process.report(relay)
    process.counts.count('x', 7, -1)
    process.report(relay)
    relay.forward(collector)
    assert collector.counts.compute(7) == {}


def test_memory_is_bounded_while_no_window_is_fixed():
    """Counts grew for as long as the store was away."""
    process = _Process('p')
    for window in range(1000):
        process.counts.count('x', window)
        process.counts.forget(0, window)
    changes = next(process.counts.local.list_changes(0, 9999))
    assert len(changes.counts) <= 241


@pytest.mark.parametrize('jump_s', (-7, 0.5, 30))
def test_jump_of_the_wall_clock_is_ignored(jump_s):
    """Requests were counted in other windows while the clock had jumped."""
    clock = usage.TrueClock()
    for second in range(20):
        has_jumped = 5 < second < 15
        clock.observe(1000 + second + has_jumped * jump_s, second)
        assert clock.read(second) == pytest.approx(1000 + second)


def test_most_hosts_decide_on_the_time():
    """A host whose clock was wrong at its start counted in other windows."""
    clock = usage.TrueClock()
    clock.observe(1009, 1)
    stated = [usage.Clock(offset_s, 2) for offset_s in (500, 500.01, 509)]
    outdated = [usage.Clock(700, 1) for _ in range(9)]
    agreed = usage.choose_clock((*stated, *outdated), 2)
    clock.agree(agreed, -500, 2)
    assert clock.read(2) == pytest.approx(1002, abs=0.1)
    assert clock.is_different


def test_silent_receivers_are_passed_over():
    """A killed receiver got all counts until the list of hosts changed."""
    receivers = usage.Receivers()
    hosts = ('a', 'b', 'c')
    for tenth in range(20):
        for host in receivers.choose(hosts, 2, tenth / 10):
            receivers.record_sent(host, tenth / 10)
        receivers.record_answer('b')
        receivers.record_answer('c')
    assert receivers.choose(hosts, 2, 2) == ('b', 'c')
    assert receivers.choose(hosts, 2, 30) == ('a', 'b')


def test_later_grant_names_the_holder():
    """A late message named the earlier holder, which then got the sums."""
    status = usage.Status()
    assert status.record_grant('b', 8, 100)
    assert not status.record_grant('a', 7, 101)
    assert status.get_holder(103) == 'b'
    assert not status.get_holder(120)
