"""Tests the limits of workers and the permits to send to them, in virtual time.

Each process has its own state, messages take their time or are lost, and all
requests that reach the worker are counted as the platform counts them.
"""

import heapq
import itertools
import math
import random

import attrs
import pytest

from briarknot import schema, serving

_DOMAINS = ('a', 'b', 'c')
_WORKER = schema.serving.Worker(id='w', service='s', domain='a', born_ms=1)
_START = serving.name_start(_WORKER)
_NAMED = serving.Backpressure
_WINDOW_S = 4.0
_GOSSIP_S = 1.0
#: Time after the first answer with a limit from which a process must keep to it.
_TOLD_S = 0.5
_ANSWER_TIMEOUT_S = 0.25
#: Time at which permits that a process got before it was cut off are used.
_CUT_S = 8.5


@attrs.define(eq=False)
class Process:
    """A simulated process.

    :param host: its host.
    :param domain: its failure domain.
    :param permits: its state.
    :param is_up: whether it runs; a suspended one handles no events.
    :param is_cut: whether its messages to and from other processes are lost.
    """

    host: str
    domain: str
    permits: serving.SendPermits
    is_up: bool = True
    is_cut: bool = False


@attrs.define(eq=False)
class Fleet:
    """Processes that send to one worker, in virtual time.

    :param limit_per_s: limit that the worker names; None for none.
    :param processes: the processes by host.
    :param arrivals: times and hosts of the requests that reached the worker.
    :param told_s: times at which the hosts got the first answer with a limit.
    :param loss: share of the messages that are lost.
    """

    limit_per_s: float | None
    source: random.Random
    processes: dict[str, Process] = attrs.field(factory=dict)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    told_s: dict[str, float] = attrs.field(factory=dict)
    loss: float = 0
    now: float = 0
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def at(self, time_s, call, *arguments):
        """Schedules a call."""
        entry = (time_s, next(self._numbers), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until_s):
        """Handles the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, call, arguments = heapq.heappop(self._events)
            self.now = time_s
            call(*arguments)
        self.now = until_s

    def start(self, host, demand_per_s):
        """Starts a process that others know at once, with its demand."""
        domain = _DOMAINS[len(self.processes) % len(_DOMAINS)]
        known = self.processes.get(host)
        if known is not None:
            domain = known.domain
        permits = serving.make_send_permits(host, domain, self.now)
        process = Process(host, domain, permits)
        self.processes[host] = process
        self.told_s.pop(host, None)
        domains = {one.host: one.domain for one in self.processes.values()}
        for one in self.processes.values():
            one.permits.set_domains(domains)
        self._demand(process, 1 / demand_per_s)
        self._gossip(process)

    def suspend(self, host, seconds):
        """Suspends a process."""
        process = self.processes[host]
        process.is_up = False
        self.at(self.now + seconds, self._resume, process)

    def kill(self, host):
        """Ends a process, which the others still list."""
        self.processes[host].is_up = False

    def count_most(self, since_s, excused=()):
        """Counts the most arrivals in a window as the platform does.

        Those of a process count half a second after it got an answer that
        names the limit.
        """
        times = [
            time_s
            for time_s, host, is_counted in self.arrivals
            if time_s >= since_s and is_counted and host not in excused
        ]
        return max(
            (
                sum(one <= other < one + _WINDOW_S for other in times)
                for one in times
            ),
            default=0,
        )

    def _resume(self, process):
        process.is_up = True
        process.permits.forget_issued()
        self._gossip(process)
        self._demand(process, 0.5)

    def _is_current(self, process):
        return process.is_up and self.processes[process.host] is process

    def _send(self, sender, receiver, call, *arguments):
        """Delivers a message after its latency, unless it is lost."""
        is_lost = sender.is_cut or receiver.is_cut
        if is_lost or self.source.random() < self.loss:
            return
        latency_s = 0.001 if sender.domain == receiver.domain else 0.03
        delay_s = latency_s * self.source.uniform(1, 1.3)
        self.at(self.now + delay_s, self._deliver, receiver, call, arguments)

    def _deliver(self, receiver, call, arguments):
        if self._is_current(receiver):
            call(*arguments)

    def _demand(self, process, mean_s):
        if not self._is_current(process):
            return
        self._request(process)
        delay_s = self.source.expovariate(1 / mean_s)
        self.at(self.now + delay_s, self._demand, process, mean_s)

    def _gossip(self, process):
        """Repeats the limits as the task of a process does."""
        if not self._is_current(process):
            return
        permits = process.permits
        records = permits.limits.list_records(self.now)
        hosts = sorted(self.processes)
        receivers = set(self.source.sample(hosts, min(3, len(hosts))))
        if process.host in permits.rank_issuers(_WORKER):
            receivers.update(permits.rank_issuers(_WORKER))
        for host in sorted(receivers - {process.host}):
            self._tell(process, host, records)
        self.at(self.now + _GOSSIP_S, self._gossip, process)

    def _tell(self, process, host, records):
        receiver = self.processes[host]
        if records:
            self._send(
                process, receiver, self._merge, receiver, process.host, records
            )

    def _merge(self, receiver, host, records):
        receiver.permits.record_heard(host, self.now)
        receiver.permits.limits.merge(records, self.now)

    def _request(self, process, unanswered=()):
        """Sends a request, if a permit is granted where one is needed."""
        permits = process.permits
        if permits.get_limit(_WORKER, self.now) is None:
            self._arrive_later(process)
            return
        need = serving.Need(rank=0, max_wait_s=0.3)
        for host in permits.list_issuers(_WORKER, self.now):
            if host in unanswered:
                continue
            if host == process.host:
                result = permits.issue(_WORKER, need, self.now)
                self._apply(process, result)
            else:
                self._ask(process, host, need, unanswered)
            return

    def _ask(self, process, host, need, unanswered):
        pending = [True]

        def answer(result):
            if pending:
                pending.clear()
                process.permits.record_heard(host, self.now)
                self._apply(process, result)

        def give_up():
            if pending:
                pending.clear()
                process.permits.record_unanswered(host, self.now)
                self._request(process, (*unanswered, host))

        issuer = self.processes[host]
        record = process.permits.limits.find_record(_START, self.now)

        def issue():
            issuer.permits.record_heard(process.host, self.now)
            issuer.permits.limits.merge((record,), self.now)
            result = issuer.permits.issue(_WORKER, need, self.now)
            self._send(issuer, process, answer, result)

        self._send(process, issuer, issue)
        self.at(self.now + _ANSWER_TIMEOUT_S, give_up)

    def _apply(self, process, result):
        if isinstance(result, serving.Permit):
            self.at(self.now + result.wait_s, self._arrive_later, process)

    def _arrive_later(self, process):
        if not self._is_current(process):
            return
        # A new connection takes a round trip more.
        near = process.domain == _WORKER.domain
        delay_s = self.source.uniform(0.001, 0.02 if near else 0.1)
        self.at(self.now + delay_s, self._arrive, process, self.now)

    def _arrive(self, process, sent_s):
        told_s = self.told_s.get(process.host, math.inf)
        is_counted = self.now >= told_s + _TOLD_S
        self.arrivals.append((self.now, process.host, is_counted))
        delay_s = 0.001 if process.domain == _WORKER.domain else 0.03
        stated = _NAMED(limit_per_s=self.limit_per_s)
        self.at(self.now + delay_s, self._answer, process, stated, sent_s)

    def _answer(self, process, stated, sent_s):
        if not self._is_current(process):
            return
        if stated.limit_per_s is not None:
            self.told_s.setdefault(process.host, self.now)
        limits = process.permits.limits
        limits.record_answer(_START, stated, sent_s, self.now)
        records = limits.take_changed(self.now)
        for host in self.processes:
            if host != process.host:
                self._tell(process, host, records)


def make_fleet(size, limit_per_s, demand_per_s, seed=1):
    """Makes a fleet whose worker has no limit in the first two seconds."""
    fleet = Fleet(None, random.Random(seed), now=-5)
    for number in range(size):
        fleet.start(f'g{number}', demand_per_s / size)
    fleet.run(2)
    fleet.limit_per_s = limit_per_s
    return fleet


def compute_allowed(limit_per_s):
    """Returns the requests that the platform allows in a window."""
    return 1.5 * limit_per_s * _WINDOW_S + 5


def list_issuers(fleet):
    """Lists the hosts that issue the permits of the worker, in order."""
    return fleet.processes['g0'].permits.rank_issuers(_WORKER)


@pytest.mark.parametrize('size', [3, 8, 90, 195])
@pytest.mark.parametrize('limit_per_s', [0, 0.3, 1.1, 4, 20])
def test_limit_holds_at_any_number_of_processes(size, limit_per_s):
    """A limit below the number of processes was exceeded by their bursts."""
    fleet = make_fleet(size, limit_per_s, 4 * limit_per_s + 10)
    fleet.run(25)
    allowed = compute_allowed(limit_per_s)
    assert fleet.count_most(2) <= allowed
    sent = [one for one, _, _ in fleet.arrivals if 10 <= one < 22]
    assert len(sent) >= 0.6 * allowed * 3


@pytest.mark.parametrize('size', [3, 8, 90])
@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_its_issuers_are_suspended_and_killed(size, seed):
    """Two processes issued the same permits when the first one was lost."""
    fleet = make_fleet(size, 3, 30, seed)
    first, second, *_ = list_issuers(fleet)
    fleet.run(8)
    fleet.suspend(first, 4)
    fleet.run(18)
    fleet.kill(first)
    fleet.run(26)
    fleet.start(first, 30 / size)
    fleet.suspend(second, 3)
    fleet.run(36)
    assert fleet.count_most(6, excused={first, second}) <= compute_allowed(3)


@pytest.mark.parametrize('seed', range(4))
def test_permits_are_issued_again_after_the_loss_of_an_issuer(seed):
    """All requests were refused until the list of processes was renewed."""
    fleet = make_fleet(8, 3, 30, seed)
    fleet.run(10)
    fleet.kill(list_issuers(fleet)[0])
    fleet.run(14)
    count = len(fleet.arrivals)
    fleet.run(22)
    assert len(fleet.arrivals) - count >= 8 * 3


@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_where_processes_are_cut_off(seed):
    """A process that reached no issuer sent as if there were no limit."""
    fleet = make_fleet(8, 3, 30, seed)
    issuers = list_issuers(fleet)
    cut = next(one for one in fleet.processes if one not in issuers)
    fleet.run(8)
    fleet.processes[cut].is_cut = True
    fleet.run(14)
    late = [host for time_s, host, _ in fleet.arrivals if time_s > _CUT_S]
    assert late
    assert cut not in late
    fleet.processes[issuers[0]].is_cut = True
    fleet.run(22)
    fleet.processes[issuers[0]].is_cut = False
    fleet.run(30)
    excused = {cut, issuers[0]}
    assert fleet.count_most(6, excused) <= compute_allowed(3)


@pytest.mark.parametrize('size', [8, 90])
def test_limit_holds_while_messages_are_lost(size):
    """A process that missed the first message never learned of the limit."""
    fleet = make_fleet(size, 3, 30)
    fleet.loss = 0.05
    fleet.run(30)
    assert fleet.count_most(6) <= compute_allowed(3)


@pytest.mark.parametrize('size', [8, 90])
def test_started_process_keeps_to_the_limit(size):
    """Processes that started sent without a permit until they got an answer."""
    fleet = make_fleet(size, 3, 30)
    for number in range(3):
        fleet.run(8 + 3 * number)
        fleet.start(f'new{number}', 3)
    fleet.run(24)
    assert fleet.count_most(6) <= compute_allowed(3)


@pytest.mark.parametrize('size', [8, 90])
def test_changed_limit_is_in_force_and_ends_with_its_cause(size):
    """A limit that the worker no longer named stayed in force."""
    fleet = make_fleet(size, 6, 40)
    fleet.run(12)
    fleet.limit_per_s = 2
    fleet.run(22)
    assert fleet.count_most(14) <= compute_allowed(2)
    fleet.limit_per_s = 8
    fleet.run(30)
    assert fleet.count_most(24) > compute_allowed(2)
    fleet.limit_per_s = None
    fleet.run(36)
    assert fleet.count_most(32) > compute_allowed(8)


def test_worker_that_takes_nothing_is_asked_again():
    """A worker with a limit of zero got no request, and could not end it."""
    fleet = make_fleet(8, 0, 20)
    fleet.run(20)
    fleet.limit_per_s = None
    fleet.run(30)
    assert len(fleet.arrivals) > 100
    for process in fleet.processes.values():
        assert process.permits.get_limit(_WORKER, fleet.now) is None


def test_answer_from_before_the_limit_does_not_end_it():
    """Answers overtake each other, so that a late one cleared the limit."""
    limits = serving.make_worker_limits()
    limits.record_answer(_START, _NAMED(limit_per_s=3), sent_s=1.0, now=1.1)
    assert not limits.record_answer(_START, _NAMED(), sent_s=1.0, now=1.2)
    assert limits.get(_START, 1.2) == 3
    assert limits.record_answer(_START, _NAMED(), sent_s=1.3, now=1.4)
    assert limits.get(_START, 1.4) is None


def test_records_merge_in_any_order():
    """A repeated record brought a limit back that had ended."""
    first = serving.make_worker_limits()
    first.record_answer(_START, _NAMED(limit_per_s=3), sent_s=1.0, now=1.1)
    named = first.list_records(1.2)
    first.record_answer(_START, _NAMED(), sent_s=2.0, now=2.1)
    ended = first.list_records(2.2)
    for orders in itertools.permutations(((named, 1.2), (ended, 2.2))):
        other = serving.make_worker_limits()
        for records, exported_s in orders:
            # Ages count from the time at which a message arrives.
            aged = [
                attrs.evolve(
                    one, age_ms=one.age_ms + int((3 - exported_s) * 1000)
                )
                for one in records
            ]
            other.merge(aged, now=3)
        assert other.get(_START, 3) is None


def test_restarted_worker_has_no_limit():
    """The limit of a worker was kept for the next one with its id."""
    permits = serving.make_send_permits('g', 'a', now=-9)
    permits.limits.record_answer(_START, _NAMED(limit_per_s=0), 1, 1)
    restarted = attrs.evolve(_WORKER, born_ms=2)
    assert permits.get_limit(_WORKER, 2) == 0
    assert permits.get_limit(restarted, 2) is None


def test_urgent_requests_find_turns_that_others_leave():
    """Less urgent requests took all turns, and urgent ones waited for seconds."""
    permits = serving.make_send_permits('g', 'a', now=-9)
    permits.limits.record_answer(_START, _NAMED(limit_per_s=4), 1, 1)
    patient = serving.Need(rank=2, max_wait_s=0)
    urgent = serving.Need(rank=0, max_wait_s=0)
    now = 1.0
    for _ in range(1000):
        now += 0.01
        if not permits.issue(_WORKER, patient, now) and now > 8:
            break
    granted = [
        isinstance(permits.issue(_WORKER, urgent, now), serving.Permit)
        for now in (now + 0.2, now + 0.4, now + 0.6)
    ]
    assert granted == [True, True, True]


@pytest.mark.parametrize('limit_per_s', [20_000, 2**31 - 1, 1e308])
def test_limit_that_no_worker_reaches_is_none(limit_per_s):
    """A worker that named one exhausted the memory of its permits' issuer.

    The issuer kept a time for each permit of a window. Larger numbers had no
    integer, and each request to the worker failed.
    """
    permits = serving.make_send_permits('g1', 'a', now=0)
    permits.limits.record_answer(_START, _NAMED(limit_per_s=5), 1, now=1)
    stated = _NAMED(limit_per_s=limit_per_s)
    permits.limits.record_answer(_START, stated, 9, now=9)
    need = serving.Need(rank=0, max_wait_s=0)
    assert permits.issue(_WORKER, need, now=9) == serving.Permit(0)
    other = serving.make_send_permits('g2', 'a', now=0)
    record = schema.messages.LimitRecord(
        worker=_START, is_limited=True, per_s=limit_per_s
    )
    other.limits.merge((record,), now=9)
    assert other.issue(_WORKER, need, now=9) == serving.Permit(0)
