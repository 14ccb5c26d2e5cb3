"""Baseline admission policy: one queue in order of arrival."""

import attrs

from briarknot import schema
from briarknot.admission import _policies, _tickets, _usage

_MAX_QUEUED = 10000


@attrs.define(eq=False)
class Fifo:
    """Admits requests in order of arrival, whatever their rank."""

    _usage: _usage.Usage
    _queue: dict[int, _tickets.Ticket] = attrs.field(factory=dict)

    @property
    def count(self) -> int:
        """Queued tickets."""
        return len(self._queue)

    @property
    def tickets(self) -> list[_tickets.Ticket]:
        """All queued tickets."""
        return list(self._queue.values())

    def push(self, ticket: _tickets.Ticket) -> None:
        """Adds a ticket to the queue."""
        self._queue[ticket.number] = ticket

    def remove(self, ticket: _tickets.Ticket) -> None:
        """Removes a queued ticket."""
        self._queue.pop(ticket.number)

    def pop(self, _now: float) -> _tickets.Ticket | None:
        """Removes and returns the oldest ticket; None if no slot is free."""
        if self._usage.free <= 0 or not self._queue:
            return None
        return self._queue.pop(next(iter(self._queue)))

    def check(
        self, _ticket: _tickets.Ticket, _now: float
    ) -> _tickets.Refusal | None:
        """Refuses a ticket only if the queue is full."""
        if len(self._queue) <= _MAX_QUEUED:
            return None
        return _tickets.Refusal(
            cause='queue_full',
            reason=f'the queue holds {_MAX_QUEUED} requests',
            retry_after_s=_policies.clamp_retry_after(1),
        )

    def charge(self, _ticket: _tickets.Ticket, _extra_s: float) -> None:
        """Does nothing, because the policy does not distinguish accounts."""

    def explain(self, _ticket: _tickets.Ticket) -> str:
        """Returns what a ticket waits for, for the journal."""
        return (
            f'{self._usage.running} of {self._usage.capacity.concurrent} '
            f'slots in use, {len(self._queue)} requests still queued'
        )


@_policies.POLICIES.register('fifo')
def make_fifo(
    _document: schema.fleet.Fleet, usage: _usage.Usage
) -> _policies.Policy:
    """Makes the first-in, first-out policy.

    :param usage: counts of running requests.
    """
    return Fifo(usage)
