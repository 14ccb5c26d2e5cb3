"""Tests of urgent targets and rank floors in simulated floods."""

import collections
import heapq
import random

import pytest

from briarknot import admission, schema

_SLOTS = 32
_WARM_UP_S = 20
_END_S = 80
_TARGET_S = 1.7
_RANKS = (
    schema.fleet.Rank(
        name='urgent', worth=100, first_token_s=_TARGET_S, floor_share=0.3
    ),
    schema.fleet.Rank(
        name='normal', worth=10, first_token_s=20, floor_share=0.3
    ),
    schema.fleet.Rank(
        name='batch',
        worth=1,
        first_token_s=600,
        floor_share=0.1,
        max_queue_s=600,
    ),
)


class _Load:
    """Simulates requests at random times that hold a slot for 1 to 4 s."""

    def __init__(self, rates):
        document = schema.fleet.Fleet(ranks=_RANKS)
        capacity = admission.Capacity(work_per_s=4, concurrent=_SLOTS)
        self.controller = admission.make_admission('ranked', document, capacity)
        self.held_s = collections.Counter()
        self.late = collections.Counter()
        self.offered = collections.Counter()
        self._random = random.Random(3)
        self._queued = set()
        self._events = []
        for rank, rate in rates.items():
            now = self._random.expovariate(rate)
            while now < _END_S:
                heapq.heappush(self._events, (now, len(self._events), rank))
                now += self._random.expovariate(rate)
        self._count = len(self._events)

    def run(self):
        """Runs the simulation to its end and returns the load."""
        while self._events and self._events[0][0] < _END_S:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, str):
                self._arrive(event, now)
            else:
                self.controller.finish(event, now)
            self._start_admitted(now)
        return self

    def _arrive(self, rank, now):
        request = admission.AdmissionRequest(
            account=f'a{self._random.randrange(20)}',
            rank=rank,
            work_s=self._random.uniform(1, 4) * 4 / _SLOTS,
        )
        ticket = self.controller.submit(request, now)
        self.offered[rank] += now > _WARM_UP_S
        if ticket:
            self._queued.add(ticket)
        else:
            self.late[rank] += now > _WARM_UP_S

    def _start_admitted(self, now):
        answered = {one for one in self._queued if one.outcome is not None}
        self._queued -= answered
        for ticket in sorted(answered, key=lambda one: one.number):
            rank = ticket.request.rank
            if not ticket.outcome or ticket.outcome.queued_s > _TARGET_S:
                self.late[rank] += now > _WARM_UP_S
            if not ticket.outcome:
                continue
            end_s = now + ticket.request.work_s * _SLOTS / 4
            self._count += 1
            heapq.heappush(self._events, (end_s, self._count, ticket))
            if now > _WARM_UP_S:
                self.held_s[rank] += min(end_s, _END_S) - now


def test_urgent_work_meets_its_target_in_a_batch_flood():
    """A tenfold flood of the least urgent work must not delay urgent work."""
    load = _Load({'urgent': 4, 'normal': 3, 'batch': 128}).run()
    assert load.late['urgent'] <= 0.01 * load.offered['urgent']
    used = sum(load.held_s.values()) / (_SLOTS * (_END_S - _WARM_UP_S))
    assert used * 100 > 85


@pytest.mark.parametrize('rank', ['normal', 'batch'])
def test_other_ranks_keep_their_floor_in_an_urgent_flood(rank):
    """A tenfold flood of the most urgent work must not starve the others."""
    load = _Load({'urgent': 128, 'normal': 6, 'batch': 4}).run()
    floor = {one.name: one.floor_share for one in _RANKS}[rank]
    share = load.held_s[rank] / (_SLOTS * (_END_S - _WARM_UP_S))
    assert share >= 0.9 * floor
