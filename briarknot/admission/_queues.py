"""Queue of one rank with deficit round robin by account."""

import collections
import math
import typing

import attrs

from briarknot.admission import _tickets

#: Quantum: work that is admitted per account and round, in engine seconds.
_QUANTUM_S = 0.25
#: Largest debt of an account whose requests took longer than estimated.
_MAX_DEBT_S = 30.0
#: Accounts without queued requests whose debt is kept.
_MAX_DEBTS = 20000

Fits = typing.Callable[[_tickets.Ticket], bool]


@attrs.define(eq=False)
class RankQueue:
    """Tickets of one rank, fair among accounts by work."""

    _account_queues: dict[str, collections.deque[_tickets.Ticket]] = (
        attrs.field(factory=dict)
    )
    _deficits: dict[str, float] = attrs.field(factory=dict)
    _account_work: dict[str, float] = attrs.field(factory=dict)
    _count: int = 0

    @property
    def count(self) -> int:
        """Queued tickets."""
        return self._count

    @property
    def work_s(self) -> float:
        """Queued work in engine seconds."""
        return math.fsum(self._account_work.values())

    @property
    def accounts(self) -> int:
        """Accounts with queued tickets."""
        return len(self._account_queues)

    @property
    def tickets(self) -> list[_tickets.Ticket]:
        """All queued tickets."""
        return [
            ticket
            for queue in self._account_queues.values()
            for ticket in queue
        ]

    def sum_account(self, account: str) -> float:
        """Returns the queued work of an account, in engine seconds."""
        return self._account_work.get(account, 0)

    def push(self, ticket: _tickets.Ticket) -> None:
        """Adds a ticket behind the others of its account."""
        account = ticket.request.account
        if account not in self._account_queues:
            self._account_queues[account] = collections.deque()
        self._account_queues[account].append(ticket)
        self._count += 1
        self._add_work(account, ticket.request.work_s)

    def remove(self, ticket: _tickets.Ticket) -> None:
        """Removes a queued ticket."""
        account = ticket.request.account
        queue = self._account_queues[account]
        queue.remove(ticket)
        self._count -= 1
        self._add_work(account, -ticket.request.work_s)
        if not queue:
            self._account_queues.pop(account)
            self._account_work.pop(account)
            # Unused quanta are not kept, but a debt is.
            debt = min(0, self._deficits.pop(account, 0))
            if debt and len(self._deficits) < _MAX_DEBTS:
                self._deficits[account] = debt

    def pop(self, fits: Fits) -> _tickets.Ticket | None:
        """Removes and returns the next ticket that may run.

        :param fits: returns whether an account's first ticket may run now.
        """
        ready = [
            queue[0]
            for queue in self._account_queues.values()
            if fits(queue[0])
        ]
        if not ready:
            return None
        chosen = min(ready, key=self._count_rounds)
        rounds = self._count_rounds(chosen)
        for ticket in ready:
            account = ticket.request.account
            deficit = self._deficits.get(account, 0)
            self._deficits[account] = deficit + rounds * _QUANTUM_S
        self._dequeue(chosen)
        return chosen

    def charge(self, account: str, extra_s: float) -> None:
        """Charges an account for work beyond the estimate.

        :param account: account that caused the work.
        :param extra_s: engine seconds; negative where less was needed.
        """
        deficit = self._deficits.get(account, 0) - extra_s
        if account in self._account_queues or (
            deficit < 0 and len(self._deficits) < _MAX_DEBTS
        ):
            self._deficits[account] = max(-_MAX_DEBT_S, deficit)

    def _dequeue(self, ticket: _tickets.Ticket) -> None:
        account = ticket.request.account
        self._deficits[account] -= ticket.request.work_s
        self.remove(ticket)
        queue = self._account_queues.get(account)
        if queue and self._deficits[account] < queue[0].request.work_s:
            # The account used its quantum and moves to the end of the round.
            self._account_queues[account] = self._account_queues.pop(account)

    def _count_rounds(self, ticket: _tickets.Ticket) -> int:
        """Returns the rounds until the deficit covers a ticket's work."""
        deficit = self._deficits.get(ticket.request.account, 0)
        missing = ticket.request.work_s - deficit
        return max(0, math.ceil(missing / _QUANTUM_S))

    def _add_work(self, account: str, work_s: float) -> None:
        work = self._account_work.get(account, 0) + work_s
        self._account_work[account] = work
