"""Tests which process reads the list of an engine's cache, in virtual time."""

import itertools
import random

import attrs
import pytest

from briarknot import schema, serving
from briarknot.serving import cache_lists

_DOMAINS = 'abcde'
_ENGINES = 30
#: Period of the processes' checks, and time until a list is known to all.
_STEP_S = 0.05
_READ_S = 0.1
#: Latest time of the first reads, and of those that one process leaves to the
#: next.
_FIRST_READS_S = 0.5
_SECOND_READS_S = 1.5
#: Latest time of a read where a third of the processes is absent.
_LAST_READS_S = 6.0


def make_engines(count=_ENGINES):
    """Makes engines in all failure domains."""
    return tuple(
        schema.serving.Worker(
            id=f'i-{number}',
            domain=_DOMAINS[number % 5],
            stage=schema.serving.Stage.PREFILL,
            born_ms=1,
        )
        for number in range(count)
    )


def group_hosts(count):
    """Makes hosts, grouped by failure domain."""
    hosts = [f'g{number}' for number in range(count)]
    return {
        domain: tuple(hosts[index::5])
        for index, domain in enumerate(_DOMAINS)
        if hosts[index::5]
    }


@attrs.define(eq=False)
class Fleet:
    """Processes that start together, and the reads of the engines' lists."""

    hosts: dict
    absent: frozenset = frozenset()
    failing: frozenset = frozenset()
    late_s: dict = attrs.field(factory=dict)
    reads: list = attrs.field(factory=list)

    def run(self, engines, seconds=9.0):
        """Returns the times of all reads by engine."""
        processes = self._start_processes()
        under_way = []
        reads = {engine.id: [] for engine in engines}
        for step in range(int(seconds / _STEP_S)):
            now = step * _STEP_S
            arrived = [one for one in under_way if one[0] <= now]
            under_way = [one for one in under_way if one[0] > now]
            for (_, host, engine), (other, order) in itertools.product(
                arrived, processes
            ):
                if self.late_s.get(order.host, 0) <= now:
                    self._deliver(other, host, engine)
            for listing, order in processes:
                for engine in listing.take_due(engines, order, now):
                    reads[engine.id].append((now, order.host))
                    under_way.append((now + _READ_S, order.host, engine))
        return reads

    def _deliver(self, listing, host, engine):
        start = serving.name_start(engine)
        if engine.id in self.failing:
            listing.record_failure(start, host)
        else:
            listing.record_list(start)

    def _start_processes(self):
        processes = []
        for domain, hosts in self.hosts.items():
            for host in hosts:
                if host not in self.absent:
                    order = cache_lists.ListingOrder(host, domain, self.hosts)
                    listing = cache_lists.make_cache_listing(0)
                    listing.enable()
                    listing.begin(self.late_s.get(host, 0))
                    processes.append((listing, order))
        return processes


@pytest.mark.parametrize('count', [8, 90, 340])
def test_processes_agree_on_the_order(count):
    """Two processes of the same rank would read the same list."""
    hosts = group_hosts(count)
    orders = [
        cache_lists.ListingOrder(host, domain, hosts)
        for domain, names in hosts.items()
        for host in names
    ]
    for engine in make_engines(10):
        ranks = {order.find_rank(engine): order.domain for order in orders}
        assert sorted(ranks) == list(range(count))
        assert ranks[0] == engine.domain


@pytest.mark.parametrize('count', [8, 90, 340])
def test_each_list_is_read_once(count):
    """Each process would read all lists, and delay the engines' work."""
    reads = Fleet(group_hosts(count)).run(make_engines())
    assert {len(times) for times in reads.values()} == {1}
    assert max(times[0][0] for times in reads.values()) < _FIRST_READS_S


@pytest.mark.parametrize('count', [8, 90, 340])
@pytest.mark.parametrize('third', [0, 1, 2])
def test_absent_processes_are_replaced(count, third):
    """Lists whose first readers have not started would never be read."""
    hosts = group_hosts(count)
    names = [name for group in hosts.values() for name in group]
    absent = frozenset(serving.rank_names(str(third), names)[: count // 3])
    reads = Fleet(hosts, absent).run(make_engines())
    assert {len(times) for times in reads.values()} == {1}
    firsts = sorted(times[0][0] for times in reads.values())
    assert firsts[len(firsts) // 2] < _SECOND_READS_S
    assert firsts[-1] < _LAST_READS_S


def test_lost_domain_delays_lists_by_one_step():
    """The next processes in the order would be of the lost domain too."""
    hosts = group_hosts(90)
    reads = Fleet(hosts, frozenset(hosts['a'])).run(make_engines())
    assert max(times[0][0] for times in reads.values()) < _SECOND_READS_S


def test_failed_reads_are_repeated_once_by_the_next_process():
    """An engine without such a list would be asked by all processes."""
    engines = make_engines(5)
    reads = Fleet(
        group_hosts(90), failing=frozenset(one.id for one in engines)
    ).run(engines)
    for times in reads.values():
        (first_s, first), (second_s, second) = times
        assert first != second
        assert second_s - first_s == pytest.approx(1.0, abs=0.1)


def test_late_first_process_leaves_two_reads():
    """A process that starts late knows nothing of earlier reads."""
    hosts = group_hosts(8)
    engines = make_engines()
    reads = Fleet(hosts, late_s={hosts['a'][0]: 3.0}).run(engines)
    assert max(len(times) for times in reads.values()) <= 2


@pytest.mark.parametrize('count', [8, 90, 340])
def test_starts_within_a_second_leave_two_reads(count):
    """Hosts don't start at the same moment after a power loss."""
    hosts = group_hosts(count)
    source = random.Random(1)
    late_s = {
        host: source.random() for group in hosts.values() for host in group
    }
    reads = Fleet(hosts, late_s=late_s).run(make_engines())
    assert {len(times) for times in reads.values()} <= {1, 2}


def make_listing():
    """Makes the state of a process that has begun at 0 s."""
    listing = cache_lists.make_cache_listing(0)
    listing.enable()
    listing.begin(0)
    order = cache_lists.ListingOrder('g', 'a', {'a': ('g',)})
    return listing, order


def test_nothing_is_read_where_a_process_knows():
    """Each restart of one process would cost a read of all engines."""
    listing, order = make_listing()
    listing.record_status('g2', (), is_known=True)
    assert listing.choose_source(0.1) is None
    assert listing.choose_source(0.4) == 'g2'
    assert not listing.take_due(make_engines(), order, 5.0)
    assert not listing.is_over(make_engines(), 5.0)
    listing.record_parts((), is_known=True)
    assert listing.is_over(make_engines(), 5.0)
    assert listing.knows_caches(5.0)


def test_process_that_knows_little_is_no_source_of_the_caches():
    """A process that sent one prompt after a restart of all knows one part."""
    listing, order = make_listing()
    assert not listing.knows_caches(100.0)
    listing.record_parts((), is_known=False)
    assert listing.take_due(make_engines(), order, 0.4) == make_engines()


def test_missed_lists_are_fetched_from_their_reader():
    """A process that starts late would read them again."""
    listing, order = make_listing()
    engines = make_engines(2)
    start = serving.name_start(engines[0])
    listing.record_status('g2', (start,), is_known=False)
    assert listing.choose_source(0.1) == 'g2'
    listing.record_parts((start,), is_known=False)
    assert listing.choose_source(1.0) is None
    assert listing.take_due(engines, order, 0.4) == engines[1:]


def test_engine_is_read_again_after_half_a_minute_at_the_earliest():
    """A restarted task would read all lists once more."""
    listing, order = make_listing()
    engines = make_engines(1)
    assert listing.take_due(engines, order, 0.4) == engines
    assert not listing.take_due(engines, order, 29.0)
    restarted = (attrs.evolve(engines[0], born_ms=2),)
    assert not listing.take_due(restarted, order, 29.0)


def test_engine_that_starts_later_is_read_in_turn():
    """All processes whose turn had passed would read it at the same time."""
    listing, _ = make_listing()
    order = cache_lists.ListingOrder('g1', 'a', {'a': ('g1', 'g2')})
    engines = make_engines()
    later = next(one for one in engines if order.find_rank(one) == 1)
    others = tuple(one for one in engines if one != later)
    assert listing.take_due(others, order, 0.4)
    assert later not in listing.take_due(engines, order, 5.0)
    assert later not in listing.take_due(engines, order, 5.9)
    assert listing.take_due(engines, order, 6.0) == (later,)


def test_list_removes_nothing_that_is_known():
    """Parts in use would be evicted for parts that nobody asks for."""
    load = serving.make_prompt_load()
    load.caches.set_engine_limits(schema.serving.EngineLimits(kv_tokens=1000))
    cached = schema.messages.CachedPart(
        worker='w', part='k', tokens=600, ready_in_ms=5000
    )
    load.caches.record_parts((cached,), 0)
    held = schema.messages.HeldPart
    load.caches.record_list(
        'w', (held(part='k', tokens=500), held(part='l', tokens=500)), 0
    )
    listed = {one.part: one for one in load.caches.list_parts(0)}
    assert list(listed) == ['l', 'k']
    assert listed['k'].tokens == 600
    assert listed['k'].ready_in_ms == 0
    # The part of unknown use is the first to be evicted.
    load.caches.record_parts((attrs.evolve(cached, part='n', tokens=90),), 0)
    assert [one.part for one in load.caches.list_parts(0)] == ['k', 'n']
