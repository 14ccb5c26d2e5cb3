"""Counts of running requests and their measured throughput."""

import collections
import math
import typing

import attrs

from briarknot import routing
from briarknot.admission import _tickets

#: Share by which each finished request reduces the weight of older ones.
_DECAY = 0.05
#: Weight of finished requests from which the measured throughput replaces the
#: reported capacity.
_MIN_SAMPLES = 8.0


@attrs.define(eq=False)
class ThroughputMeter:
    """Measures the work completed per second while requests wait."""

    _weight: float = 0
    _slots: float = 0
    _work_s: float = 0
    _held_s: float = 0

    @property
    def held_s(self) -> float:
        """Mean time for which a slot is held; 0 before enough samples."""
        if self._weight < _MIN_SAMPLES:
            return 0
        return self._held_s / self._weight

    def learn(self, work_s: float, held_s: float, slots: int) -> None:
        """Records a finished request.

        :param work_s: engine seconds.
        :param held_s: time for which it held its slot.
        :param slots: slots that could be in use concurrently.
        """
        self._weight = self._weight * (1 - _DECAY) + 1
        self._slots = self._slots * (1 - _DECAY) + slots
        self._work_s = self._work_s * (1 - _DECAY) + work_s
        self._held_s = self._held_s * (1 - _DECAY) + held_s

    def compute(self, capacity: routing.Capacity) -> float:
        """Returns the completed engine seconds per second.

        This is the measured work of a slot per second times the slots that
        were in use while requests waited. Unlike reported speeds, it includes
        the time in queues inside the engines.

        :param capacity: reported capacity, used before enough samples.
        """
        if self._weight < _MIN_SAMPLES or not self._held_s * self._work_s:
            return capacity.work_per_s
        slots = min(capacity.concurrent, self._slots / self._weight)
        return slots * self._work_s / self._held_s


@attrs.define(eq=False)
class Usage:
    """Counts of running requests.

    :param capacity: capacity of the endpoints.
    :param throughput: measured work per second.
    """

    capacity: routing.Capacity
    throughput: ThroughputMeter = attrs.field(factory=ThroughputMeter)
    _running: int = 0
    _by_rank: collections.Counter = attrs.field(factory=collections.Counter)
    _by_account: collections.Counter = attrs.field(factory=collections.Counter)
    _prefill: dict[int, _tickets.Ticket] = attrs.field(factory=dict)

    @property
    def running(self) -> int:
        """Running requests."""
        return self._running

    @property
    def free(self) -> int:
        """Free slots; negative after a loss of capacity."""
        return self.capacity.concurrent - self._running

    @property
    def outstanding_prefill_s(self) -> float:
        """Prefill of the running requests, in engine seconds."""
        return math.fsum(
            ticket.request.prefill_s for ticket in self._prefill.values()
        )

    @property
    def work_per_s(self) -> float:
        """Engine seconds that can be completed per second."""
        return self.throughput.compute(self.capacity)

    def count_rank(self, rank: str) -> int:
        """Returns the running requests of a rank."""
        return self._by_rank[rank]

    def count_account(self, account: str) -> int:
        """Returns the running requests of an account."""
        return self._by_account[account]

    def fits_prefill(
        self,
        ticket: _tickets.Ticket,
        ranks: typing.Container[str],
        window_s: float,
    ) -> bool:
        """Returns whether a ticket's prefill fits the window.

        If none is outstanding, a prefill of any length fits.

        :param ticket: queued ticket.
        :param ranks: ranks whose outstanding prefill is counted.
        :param window_s: bound of the outstanding prefill of these ranks, in
            seconds of the whole capacity.
        """
        needed = ticket.request.prefill_s
        outstanding = sum(
            other.request.prefill_s
            for other in self._prefill.values()
            if other.request.rank in ranks
        )
        window = self.capacity.work_per_s * window_s
        return not (needed and outstanding) or outstanding + needed <= window

    def start(self, ticket: _tickets.Ticket) -> None:
        """Counts a ticket as running."""
        self._running += 1
        self._by_rank[ticket.request.rank] += 1
        self._by_account[ticket.request.account] += 1
        if ticket.request.prefill_s:
            self._prefill[ticket.number] = ticket

    def start_decode(self, ticket: _tickets.Ticket) -> None:
        """Ends the ticket's outstanding prefill."""
        self._prefill.pop(ticket.number, None)

    def end(
        self,
        ticket: _tickets.Ticket,
        now: float,
        work_s: float,
        *,
        is_queued: bool,
    ) -> None:
        """Ends a running ticket.

        :param ticket: the ticket.
        :param now: monotonic time in seconds.
        :param work_s: engine seconds that it took.
        :param is_queued: whether other requests wait in the queue.
        """
        self.start_decode(ticket)
        # The prefill window may delay requests while slots are free.
        slots = self._running if is_queued else self.capacity.concurrent
        self._running -= 1
        for counter, key in (
            (self._by_rank, ticket.request.rank),
            (self._by_account, ticket.request.account),
        ):
            counter[key] -= 1
            if not counter[key]:
                counter.pop(key)
        self.throughput.learn(work_s, now - ticket.admitted_s, slots)
