"""Tests of the bounds, floors, and tickets of admission."""

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


def _flood(controller, rank, count, now=0, **options):
    answers = [
        controller.submit(_request(rank, **options), now) for _ in range(count)
    ]
    return [answer for answer in answers if answer]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Submits, finishes, expires, and changes capacity in any order."""

    tickets = stateful.Bundle('tickets')

    def __init__(self):
        """Starts without any request."""
        super().__init__()
        self._now = 0
        self._slots = _SLOTS
        self._admission = _make()
        self._issued = []

    @stateful.rule(
        target=tickets,
        rank=strategies.sampled_from(('urgent', 'normal', 'batch', 'unknown')),
        account=strategies.sampled_from(('a', 'b')),
        work_s=strategies.sampled_from((0.01, 1, 5)),
    )
    def submit(self, rank, account, work_s):
        """Submits a request."""
        running = self._admission.running
        answer = self._admission.submit(
            _request(rank, account, work_s), self._now
        )
        assert self._admission.running <= max(running, self._slots)
        if not answer:
            assert answer.reason and answer.retry_after_s > 0
            return stateful.multiple()
        self._issued.append(answer)
        return answer

    @stateful.rule(ticket=stateful.consumes(tickets))
    def finish(self, ticket):
        """Finishes a running ticket or withdraws a queued one."""
        self._admission.finish(ticket, self._now, ticket.request.work_s * 2)
        self._admission.finish(ticket, self._now)

    @stateful.rule(step=strategies.sampled_from((0.1, 3, 50)))
    def advance(self, step):
        """Advances time and expires tickets."""
        self._now += step
        self._admission.expire(self._now)

    @stateful.rule(slots=strategies.sampled_from((0, 2, 8)))
    def change_capacity(self, slots):
        """Changes the capacity."""
        self._slots = slots
        running = self._admission.running
        self._admission.apply_capacity(slots, slots, self._now)
        assert self._admission.running <= max(running, slots)

    @stateful.rule()
    def change_document(self):
        """Applies the same document again."""
        self._admission.apply_document(_DOCUMENT)

    @stateful.invariant()
    def no_ticket_is_lost(self):
        """Each ticket is queued, running, or ended, and counted once."""
        names = [ticket.phase.name for ticket in self._issued]
        assert names.count('RUNNING') == self._admission.running
        assert names.count('QUEUED') == self._admission.queued

    @stateful.invariant()
    def queue_is_bounded(self):
        """No ticket stays in the queue after it has expired."""
        for ticket in self._queued():
            assert ticket.expires_s > self._now

    @stateful.invariant()
    def floors_are_kept(self):
        """No slot is free while a rank with queued work is below its floor."""
        for ticket in self._queued():
            running = sum(
                other.phase.name == 'RUNNING'
                and other.request.rank == ticket.request.rank
                for other in self._issued
            )
            has_floor = ticket.request.rank in {'urgent', 'normal'}
            if has_floor and running < self._slots / 4:
                assert self._admission.running >= self._slots

    def _queued(self):
        return [one for one in self._issued if one.phase.name == 'QUEUED']


TestAdmissionMachine = AdmissionMachine.TestCase


@pytest.mark.parametrize('flooding', ['urgent', 'batch'])
def test_floor_is_kept_in_a_flood(flooding):
    """A flood of one rank must not take another below its floor."""
    controller = _make()
    running = _flood(controller, flooding, 200)[:_SLOTS]
    waiting = _flood(controller, 'normal', 4)
    for ticket in running:
        controller.finish(ticket, 1)
    assert sum(bool(ticket.outcome) for ticket in waiting) >= 2


def test_slot_is_reserved_for_urgent_work():
    """Urgent work must not wait for long batch requests to end."""
    controller = _make()
    _flood(controller, 'batch', 50)
    assert controller.submit(_request('urgent'), 0).outcome


def test_accounts_share_a_rank_by_work():
    """An account with longer requests must not get more work done."""
    controller = _make()
    running = _flood(controller, 'batch', 20, account='c', work_s=0.1)
    long = _flood(controller, 'batch', 40, account='a', work_s=2)
    short = _flood(controller, 'batch', 40, account='b', work_s=0.5)
    for index in range(60):
        order = [one for one in running if one.phase.name == 'RUNNING']
        order += [one for one in long + short if one.phase.name == 'RUNNING']
        controller.finish(order[0], index)
    served = [
        sum(bool(one.outcome) for one in group) for group in (long, short)
    ]
    assert abs(served[0] * 2 - served[1] * 0.5) <= 2


def test_request_is_refused_early_if_its_target_is_unreachable():
    """A request that will miss its target must not delay others."""
    controller = _make()
    answers = [controller.submit(_request('urgent'), 0) for _ in range(100)]
    refused = [answer for answer in answers if not answer]
    assert {answer.cause for answer in refused} == {'target_unreachable'}
    assert 8 <= controller.queued <= 16


def test_account_cap_holds_while_slots_are_free():
    """An account must not use more than its share of the slots."""
    controller = _make()
    _flood(controller, 'batch', 60, account='capped', work_s=9)
    assert controller.running == 2
    refused = controller.submit(_request(account='capped', work_s=9), 0)
    assert refused.cause == 'account_cap'


def test_prefill_window_keeps_long_prompts_out_of_engine_queues():
    """Long prompts queued inside engines would delay urgent requests."""
    controller = _make()
    tickets = _flood(controller, 'batch', 4, work_s=4, prefill_s=4)
    assert controller.running == 1
    urgent = controller.submit(_request('urgent', prefill_s=0.5), 0)
    assert urgent.outcome
    controller.finish(urgent, 1)
    controller.start_decode(tickets[0], 1)
    assert controller.running == 2


async def test_waiter_times_out_and_a_cancelled_one_leaves_the_queue():
    """A waiter without an outcome would keep its connection open for ever."""
    rank = attrs.evolve(_RANKS[0], max_queue_s=0.01, first_token_s=9)
    document = schema.fleet.Fleet(ranks=(rank,))
    controller = admission.make_admission(
        'fifo', document, admission.Capacity(1, 1)
    )
    first, late, cancelled, last = (
        controller.submit(_request('urgent'), controller.read_clock())
        for _ in range(4)
    )
    assert await first.wait()
    waiter = asyncio.create_task(cancelled.wait())
    await asyncio.sleep(0)
    waiter.cancel()
    assert (await late.wait()).cause == 'queue_timeout'
    controller.finish(first, controller.read_clock())
    assert controller.queued == 0 and not await last.wait()


def test_closed_admission_keeps_queued_requests():
    """A shutdown must refuse new requests and finish the others."""
    controller = _make()
    tickets = _flood(controller, 'batch', 12)
    controller.close()
    assert controller.submit(_request(), 0).cause == 'shutting_down'
    running = controller.running
    controller.finish(tickets[0], 1)
    assert controller.running == running and controller.queued == 11 - running
