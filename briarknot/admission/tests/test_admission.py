"""Guards the bounds, floors, and tickets of admission."""

import asyncio

import attrs
import pytest
from hypothesis import stateful, strategies

from briarknot import admission, schema

_RANKS = (
    schema.fleet.Rank(
        name='urgent', worth=100, first_token_s=2, floor_share=0.25
    ),
    schema.fleet.Rank(
        name='normal', worth=10, first_token_s=60, floor_share=0.25
    ),
    schema.fleet.Rank(
        name='batch', worth=1, first_token_s=900, max_queue_s=100
    ),
)
_ACCOUNTS = (
    schema.fleet.Account(name='a', max_streams=1000),
    schema.fleet.Account(name='b', max_streams=1000),
    schema.fleet.Account(name='capped', cap_share=0.25),
)
_DOCUMENT = schema.fleet.Fleet(ranks=_RANKS, accounts=_ACCOUNTS)
_SLOTS = 8


def _make(policy='ranked', **options):
    capacity = admission.Capacity(work_per_s=8, concurrent=_SLOTS)
    return admission.make_admission(policy, _DOCUMENT, capacity, **options)


def _request(rank='batch', account='a', work_s=1, **options):
    return admission.AdmissionRequest(
        account=account, rank=rank, work_s=work_s, **options
    )


def _flood(gate, rank, count, now=0, **options):
    answers = [
        gate.submit(_request(rank, **options), now) for _ in range(count)
    ]
    return [answer for answer in answers if answer]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Submits, finishes, expires, and changes capacity in any order."""

    tickets = stateful.Bundle('tickets')

    def __init__(self):
        """Starts with an idle admission."""
        super().__init__()
        self._now = 0
        self._slots = _SLOTS
        self._gate = _make()
        self._issued = []

    @stateful.rule(
        target=tickets,
        rank=strategies.sampled_from(('urgent', 'normal', 'batch', 'unknown')),
        account=strategies.sampled_from(('a', 'b')),
        work_s=strategies.sampled_from((0.01, 1, 5)),
    )
    def submit(self, rank, account, work_s):
        """Submits a request."""
        running = self._gate.running
        answer = self._gate.submit(_request(rank, account, work_s), self._now)
        assert self._gate.running <= max(running, self._slots)
        if not answer:
            assert answer.reason and answer.retry_after_s > 0
            return stateful.multiple()
        self._issued.append(answer)
        return answer

    @stateful.rule(ticket=stateful.consumes(tickets))
    def finish(self, ticket):
        """Finishes a running ticket or withdraws a queued one."""
        self._gate.finish(ticket, self._now, ticket.request.work_s * 2)
        self._gate.finish(ticket, self._now)

    @stateful.rule(step=strategies.sampled_from((0.1, 3, 50)))
    def advance(self, step):
        """Lets time pass."""
        self._now += step
        self._gate.expire(self._now)

    @stateful.rule(slots=strategies.sampled_from((0, 2, 8)))
    def change_capacity(self, slots):
        """Changes the capacity."""
        self._slots = slots
        running = self._gate.running
        self._gate.apply_capacity(slots, slots, self._now)
        assert self._gate.running <= max(running, slots)

    @stateful.rule()
    def change_document(self):
        """Takes the document again."""
        self._gate.apply_document(_DOCUMENT)

    @stateful.invariant()
    def no_ticket_is_lost(self):
        """Each ticket is queued, running, or ended, and counted once."""
        names = [ticket.phase.name for ticket in self._issued]
        assert names.count('RUNNING') == self._gate.running
        assert names.count('QUEUED') == self._gate.queued

    @stateful.invariant()
    def queue_is_bounded(self):
        """No ticket stays in the queue beyond its time."""
        for ticket in self._queued():
            assert ticket.expires_s > self._now

    @stateful.invariant()
    def floors_are_kept(self):
        """A free slot never waits while a rank is below its floor."""
        for ticket in self._queued():
            running = sum(
                other.phase.name == 'RUNNING'
                and other.request.rank == ticket.request.rank
                for other in self._issued
            )
            has_floor = ticket.request.rank in {'urgent', 'normal'}
            if has_floor and running < self._slots / 4:
                assert self._gate.running >= self._slots

    def _queued(self):
        return [one for one in self._issued if one.phase.name == 'QUEUED']


TestAdmissionMachine = AdmissionMachine.TestCase


@pytest.mark.parametrize('flooding', ['urgent', 'batch'])
def test_floor_is_kept_in_a_flood(flooding):
    """A flood of one rank must not push another below its floor."""
    gate = _make()
    running = _flood(gate, flooding, 200)[:_SLOTS]
    waiting = _flood(gate, 'normal', 4)
    for ticket in running:
        gate.finish(ticket, 1)
    assert sum(bool(ticket.outcome) for ticket in waiting) >= 2


def test_slot_is_kept_for_urgent_work():
    """Urgent work must not wait for long batch requests to end."""
    gate = _make()
    _flood(gate, 'batch', 50)
    assert gate.submit(_request('urgent'), 0).outcome


def test_accounts_take_turns_by_work():
    """An account with long requests must not get more than another."""
    gate = _make()
    running = _flood(gate, 'batch', 20, account='c', work_s=0.1)
    long = _flood(gate, 'batch', 40, account='a', work_s=2)
    short = _flood(gate, 'batch', 40, account='b', work_s=0.5)
    for index in range(60):
        order = [one for one in running if one.phase.name == 'RUNNING']
        order += [one for one in long + short if one.phase.name == 'RUNNING']
        gate.finish(order[0], index)
    served = [
        sum(bool(one.outcome) for one in group) for group in (long, short)
    ]
    assert abs(served[0] * 2 - served[1] * 0.5) <= 2


def test_refused_early_where_the_target_is_out_of_reach():
    """A request that will be late anyway must not take others' time."""
    gate = _make()
    answers = [gate.submit(_request('urgent'), 0) for _ in range(100)]
    refused = [answer for answer in answers if not answer]
    assert {answer.cause for answer in refused} == {'target_unreachable'}
    assert 8 <= gate.queued <= 16


def test_account_cap_holds_with_free_slots():
    """An account must not use more than its share of the slots."""
    gate = _make()
    _flood(gate, 'batch', 60, account='capped', work_s=9)
    assert gate.running == 2
    refused = gate.submit(_request(account='capped', work_s=9), 0)
    assert refused.cause == 'account_cap'


def test_prefill_window_leaves_the_queue_in_front_of_the_engines():
    """Long prompts that queue inside engines would delay urgent ones."""
    gate = _make()
    tickets = _flood(gate, 'batch', 4, work_s=4, prefill_s=4)
    assert gate.running == 1
    urgent = gate.submit(_request('urgent', prefill_s=0.5), 0)
    assert urgent.outcome
    gate.finish(urgent, 1)
    gate.start_decode(tickets[0], 1)
    assert gate.running == 2


async def test_waiter_times_out_and_a_cancelled_one_leaves():
    """A waiter without an answer would hold its connection for ever."""
    rank = attrs.evolve(_RANKS[0], max_queue_s=0.01, first_token_s=9)
    document = schema.fleet.Fleet(ranks=(rank,))
    gate = admission.make_admission('fifo', document, admission.Capacity(1, 1))
    first, late, gone, last = (
        gate.submit(_request('urgent'), gate.read_clock()) for _ in range(4)
    )
    assert await first.wait()
    waiter = asyncio.create_task(gone.wait())
    await asyncio.sleep(0)
    waiter.cancel()
    assert (await late.wait()).cause == 'queue_timeout'
    gate.finish(first, gate.read_clock())
    assert gate.queued == 0 and not await last.wait()


def test_closed_admission_keeps_what_is_queued():
    """A planned stop must refuse new work and finish the rest."""
    gate = _make()
    tickets = _flood(gate, 'batch', 12)
    gate.close()
    assert gate.submit(_request(), 0).cause == 'shutting_down'
    running = gate.running
    gate.finish(tickets[0], 1)
    assert gate.running == running and gate.queued == 11 - running
