"""Guards against sums that differ from those computed from scratch."""

import weakref

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from briarknot import schema, serving
from briarknot.serving import _work_parts

_WorkerWork = schema.messages.WorkerWork
_WORK = st.dictionaries(
    st.sampled_from(('w0', 'w1', 'w2')),
    st.tuples(*(st.integers(0, 9) for _ in range(3))),
)
_CHANGES = st.lists(
    st.dictionaries(st.sampled_from('abc'), _WORK), min_size=1, max_size=8
)


def make_work(numbers):
    """Makes work by worker id."""
    return {
        worker: _WorkerWork(
            worker=worker, tokens=one[0], streams=one[1], stream_tokens=one[2]
        )
        for worker, one in numbers.items()
    }


def add_up(works):
    """Adds up work from scratch."""
    totals = {}
    for work in works:
        for worker, one in work.items():
            known = totals.get(worker, _WorkerWork(worker=worker))
            totals[worker] = _work_parts.add_work(known, one)
    return totals


@hypothesis.given(_CHANGES, st.randoms(use_true_random=False))
def test_running_sum_equals_the_sum_from_scratch(changes, choice):
    """A relay would spread a drifting sum for as long as it runs."""
    running = _work_parts.RunningSum()
    parts = {}
    for change in changes:
        kept = {key: parts[key] for key in parts if choice.getrandbits(1)}
        parts = {
            **kept,
            **{key: make_work(numbers) for key, numbers in change.items()},
        }
        running.update(parts)
        expected = add_up(parts.values())
        assert {one.worker: one for one in running.list_values()} == expected
        assert running.get('w0') == expected.get('w0')


def make_report(host, sequence, numbers):
    """Makes a report of a process of the domain of the relay."""
    return schema.messages.EngineWork(
        host=host,
        sequence=sequence,
        domain='a',
        workers=tuple(make_work(numbers).values()),
    )


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(('a1', 'a2', 'b1', 'local')),
            _WORK,
            st.floats(0, 1),
        ),
        max_size=12,
    )
)
def test_sums_of_a_relay_equal_sums_from_scratch(messages):
    """Outdated, replaced or local work would stay in the sums."""
    relay, now = Relay(), 0
    reports, domains = {}, {}
    for sequence, (host, numbers, wait_s) in enumerate(messages, 1):
        now += wait_s
        if host == 'local':
            for worker, one in numbers.items():
                relay.work.add(worker, tokens=one[0] - 4, streams=one[1])
        elif host == 'b1':
            relay.sums.apply_domain_work(
                schema.messages.DomainWork(
                    domain='b',
                    relay=host,
                    sequence=sequence,
                    workers=tuple(make_work(numbers).values()),
                ),
                now,
            )
            domains[host] = (now, make_work(numbers))
        else:
            report = make_report(host, sequence, numbers)
            relay.sums.apply_report(report, now)
            reports[host] = (now, make_work(numbers))
        own = [relay.work.local_work, *list_recent(reports, now, 3 / 2)]
        others = list_recent(domains, now, 2)
        check_sum(relay.sums.make_domain_work(now), own)
        check_sum(relay.sums.make_fleet_work(1, now), own + others)


def check_sum(message, works):
    """Checks the work of a sum."""
    assert {one.worker: one for one in message.workers} == add_up(works)


def list_recent(works, now, max_age_s):
    """Lists the work that was received recently."""
    return [work for at, work in works.values() if now - at < max_age_s]


class Relay:
    """Work and sums of a relay."""

    def __init__(self):
        """Makes a relay that has received nothing."""
        self.work = serving.EngineWork()
        self.sums = serving.make_work_sums('a0', 'a', 1, self.work)


def damage(message):
    """Returns a received message with work that can't be decoded."""
    data = schema.encode(message)
    damaged = schema.decode(data.replace(b'bad-', b'b\xff\xff-'))
    assert isinstance(damaged.workers, schema.DeferredList)
    return damaged


def make_fleet_work(relay, worker, processes):
    """Makes a sum of the fleet with work at one worker."""
    return schema.messages.FleetWork(
        relay=relay,
        sequence=1,
        workers=(_WorkerWork(worker=worker, tokens=7),),
        processes=processes,
    )


def test_malformed_sum_is_replaced_by_another():
    """An error in a deferred list would stop the choice of an engine."""
    work = serving.EngineWork()
    work.apply_fleet_work(make_fleet_work('a0', 'w', 2), 'a2', 0)
    damaged = damage(make_fleet_work('a1', 'bad-worker', 3))
    work.apply_fleet_work(damaged, 'a2', 0)
    assert work.get_total('w', 0).tokens == 7
    assert len(work.take_malformed()) == 1
    assert not work.take_malformed()


@pytest.mark.parametrize('is_report', [True, False])
def test_malformed_work_at_a_relay_is_left_out(is_report):
    """An error in a deferred list would stop the task that sends sums."""
    relay = Relay()
    relay.work.add('w', tokens=5)
    bad = (_WorkerWork(worker='bad-worker', tokens=7),)
    if is_report:
        message = schema.messages.EngineWork(
            host='a1', sequence=1, domain='a', workers=bad
        )
        relay.sums.apply_report(damage(message), 0)
    else:
        message = schema.messages.DomainWork(
            domain='b', relay='b1', sequence=1, workers=bad, processes=4
        )
        relay.sums.apply_domain_work(damage(message), 0)
    made = relay.sums.make_fleet_work(1, 0)
    assert [one.worker for one in made.workers] == ['w']
    assert made.processes == 1
    assert len(relay.work.take_malformed()) == 1


@pytest.mark.parametrize('kind', ['EngineWork', 'DomainWork', 'FleetWork'])
def test_malformed_work_does_not_replace_valid_work(kind):
    """The work of a host counted as 0 when its next message was malformed."""
    relay = Relay()
    message = {
        'EngineWork': make_report('a1', 1, {'bad-worker': (7, 0, 0)}),
        'DomainWork': schema.messages.DomainWork(
            domain='b', relay='b1', sequence=1, processes=4
        ),
        'FleetWork': make_fleet_work('a1', 'w', 3),
    }[kind]
    for sequence, worker in enumerate(('w', 'bad-worker', 'bad-worker'), 1):
        work = (_WorkerWork(worker=worker, tokens=7),)
        sent = attrs.evolve(message, sequence=sequence, workers=work)
        received = schema.decode(schema.encode(sent))
        if sequence > 1:
            received = damage(sent)
        if kind == 'EngineWork':
            relay.sums.apply_report(received, 0)
        elif kind == 'DomainWork':
            relay.sums.apply_domain_work(received, 0)
        else:
            relay.work.apply_fleet_work(received, 'a0', 0)
        if kind != 'FleetWork':
            made = relay.sums.make_fleet_work(1, 0)
            relay.work.apply_fleet_work(made, 'a2', 0)
        assert relay.work.get_total('w', 0).tokens == 7


@pytest.mark.parametrize('parts', [0, 300])
def test_unread_work_keeps_no_message_in_memory(parts):
    """A process kept the last message of each other one, with all its parts."""
    work = serving.EngineWork()
    sent = attrs.evolve(
        make_report('a1', 2, {'w': (7, 0, 0)}),
        parts=(schema.messages.CachedPart(worker='w', part='k'),) * parts,
    )
    message = schema.decode(schema.encode(sent))
    unread = weakref.ref(message.workers)
    work.apply_peer_work(message, 0)
    del message
    if not parts:
        work.apply_peer_work(make_report('a2', 1, {}), 2)
    assert unread() is None
    work.apply_peer_work(attrs.evolve(sent, sequence=1), 2)
    assert work.get_total('w', 2).tokens == 0
