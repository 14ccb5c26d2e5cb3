"""Admission control for the endpoints of a failure domain."""

import collections
import heapq
import time
import typing

import attrs

from briarknot import registry, routing, schema
from briarknot.admission import _policies, _refusals, _tickets, _usage

#: Stale entries that the heap of expiries may hold before it is rebuilt.
_HEAP_SLACK = 256


@attrs.define(eq=False)
class Admission:
    """Admits requests up to the capacity; queues or refuses the others."""

    _document: schema.fleet.Fleet
    _policy_name: str
    _policy: _policies.Policy
    _usage: _usage.Usage
    _clock: typing.Callable[[], float]
    _accounts: dict[str, schema.fleet.Account]
    _expiries: list[tuple[float, int, _tickets.Ticket]] = attrs.field(
        factory=list
    )
    _open: collections.Counter = attrs.field(factory=collections.Counter)
    _submitted: int = 0
    _closed: bool = False

    @property
    def policy_name(self) -> str:
        """Name of the policy in the registry."""
        return self._policy_name

    @property
    def queued(self) -> int:
        """Requests in the queue."""
        return self._policy.count

    @property
    def running(self) -> int:
        """Admitted requests that have not finished."""
        return self._usage.running

    def read_clock(self) -> float:
        """Returns the monotonic time in seconds, for waiting tickets."""
        return self._clock()

    def submit(
        self, request: _tickets.AdmissionRequest, now: float
    ) -> _tickets.Ticket | _tickets.Refusal:
        """Submits a request.

        :param request: account, rank, and work.
        :param now: monotonic time in seconds.
        :returns: a ticket, admitted already or in the queue, or the refusal.
        """
        rank = self._find_rank(request.rank)
        refusal = self._check_open(request.account, rank)
        if refusal is not None:
            return refusal
        self.expire(now)
        ticket = self._make_ticket(request, rank, now)
        self._policy.push(ticket)
        self._dispatch(now)
        if ticket.phase is not _tickets.Phase.QUEUED:
            return ticket
        refusal = self._policy.check(ticket, now)
        if refusal is not None:
            self._leave_queue(ticket, refusal)
            return refusal
        self._schedule_expiry(ticket)
        return ticket

    def start_decode(self, ticket: _tickets.Ticket, now: float) -> None:
        """Records that the prefill of a ticket has ended, at the first token.

        :param ticket: admitted ticket.
        :param now: monotonic time in seconds.
        """
        self._usage.start_decode(ticket)
        self._dispatch(now)

    def finish(
        self,
        ticket: _tickets.Ticket,
        now: float,
        used_work_s: float | None = None,
    ) -> None:
        """Releases a ticket; a second call for it has no effect.

        :param ticket: ticket in any phase.
        :param now: monotonic time in seconds.
        :param used_work_s: engine seconds that the request took; None where
            that is not known.
        """
        if ticket.phase is _tickets.Phase.QUEUED:
            self._leave_queue(
                ticket,
                _refusals.refuse_expired(
                    now - ticket.submitted_s, 'the caller left the queue'
                ),
            )
        elif ticket.phase is _tickets.Phase.RUNNING:
            ticket.phase = _tickets.Phase.ENDED
            estimate = ticket.request.work_s
            used = estimate if used_work_s is None else used_work_s
            self._policy.charge(ticket, used - estimate)
            self._usage.end(ticket, now, used, is_queued=self._policy.count > 0)
            self._close_stream(ticket)
        self._dispatch(now)

    def expire(self, now: float) -> None:
        """Refuses the tickets whose time in the queue has expired."""
        while self._expiries and self._expiries[0][0] <= now:
            ticket = heapq.heappop(self._expiries)[2]
            if ticket.phase is _tickets.Phase.QUEUED:
                queued_s = now - ticket.submitted_s
                waited_for = self._policy.explain(ticket)
                self._leave_queue(
                    ticket, _refusals.refuse_expired(queued_s, waited_for)
                )
        self._dispatch(now)

    def apply_capacity(
        self, work_per_s: float, concurrent: int, now: float
    ) -> None:
        """Applies a new capacity; running requests are never interrupted.

        :param work_per_s: engine seconds per second.
        :param concurrent: requests that may run concurrently.
        :param now: monotonic time in seconds.
        """
        self._usage.capacity = routing.Capacity(work_per_s, concurrent)
        self.expire(now)

    def apply_document(self, document: schema.fleet.Fleet) -> None:
        """Applies a new document; queued tickets keep their order."""
        named = document.policies.admission
        if named != self._document.policies.admission:
            self._policy_name = named
        factory = _policies.POLICIES.get(self._policy_name)
        if isinstance(factory, registry.UnknownName):
            return
        tickets = sorted(self._policy.tickets, key=lambda ticket: ticket.number)
        self._policy = factory(document, self._usage)
        self._document = document
        self._accounts = _index_accounts(document)
        for ticket in tickets:
            self._policy.push(ticket)

    def close(self) -> None:
        """Refuses new requests; queued and running ones continue."""
        self._closed = True

    def _check_open(
        self, account: str, rank: schema.fleet.Rank
    ) -> _tickets.Refusal | None:
        if self._closed:
            return _refusals.refuse_closed()
        if self._usage.capacity.concurrent <= 0:
            return _refusals.refuse_without_capacity(self._usage.capacity)
        # Streams of less urgent ranks do not count, so that a flood of them
        # does not block the account's more urgent requests.
        opened = sum(
            self._open.get((account, one.name), 0)
            for one in self._list_ranks()
            if one.worth >= rank.worth
        )
        default = schema.fleet.Account(name=account)
        allowed = self._accounts.get(account, default).max_streams
        if opened >= allowed:
            return _refusals.refuse_streams(account, opened, allowed)
        return None

    def _make_ticket(
        self,
        request: _tickets.AdmissionRequest,
        rank: schema.fleet.Rank,
        now: float,
    ) -> _tickets.Ticket:
        longest = rank.max_queue_s
        if request.deadline_s is not None:
            longest = min(longest, request.deadline_s)
        self._submitted += 1
        self._open[request.account, rank.name] += 1
        return _tickets.Ticket(
            request=attrs.evolve(request, rank=rank.name),
            number=self._submitted,
            submitted_s=now,
            expires_s=now + longest,
            issuer=self,
        )

    def _list_ranks(self) -> tuple[schema.fleet.Rank, ...]:
        return self._document.ranks or (_policies.DEFAULT_RANK,)

    def _find_rank(self, name: str) -> schema.fleet.Rank:
        ranks = self._list_ranks()
        by_name = {rank.name: rank for rank in ranks}
        return by_name.get(name) or min(ranks, key=lambda one: one.worth)

    def _dispatch(self, now: float) -> None:
        while ticket := self._policy.pop(now):
            ticket.phase = _tickets.Phase.RUNNING
            ticket.admitted_s = now
            self._usage.start(ticket)
            queued_s = now - ticket.submitted_s
            reason = 'a slot was free'
            if queued_s > 0:
                waited = self._policy.explain(ticket)
                reason = f'waited {queued_s:.3f} s: {waited}'
            ticket.set_outcome(
                _tickets.Admitted(queued_s=queued_s, reason=reason)
            )

    def _leave_queue(
        self, ticket: _tickets.Ticket, refusal: _tickets.Refusal
    ) -> None:
        self._policy.remove(ticket)
        ticket.phase = _tickets.Phase.ENDED
        ticket.set_outcome(refusal)
        self._close_stream(ticket)

    def _close_stream(self, ticket: _tickets.Ticket) -> None:
        key = (ticket.request.account, ticket.request.rank)
        self._open[key] -= 1
        if not self._open[key]:
            self._open.pop(key)

    def _schedule_expiry(self, ticket: _tickets.Ticket) -> None:
        heapq.heappush(
            self._expiries, (ticket.expires_s, ticket.number, ticket)
        )
        if len(self._expiries) > 2 * self._policy.count + _HEAP_SLACK:
            # Admitted tickets would stay in the heap until their expiry.
            self._expiries = [
                entry
                for entry in self._expiries
                if entry[2].phase is _tickets.Phase.QUEUED
            ]
            heapq.heapify(self._expiries)


def make_admission(
    policy_name: str,
    document: schema.fleet.Fleet,
    capacity: routing.Capacity,
    clock: typing.Callable[[], float] = time.monotonic,
) -> Admission | registry.UnknownName:
    """Makes the admission of an entry process.

    :param policy_name: name in :data:`POLICIES`.
    :param document: document in force.
    :param capacity: capacity of the endpoints.
    :param clock: monotonic time in seconds, read only by waiting tickets.
    :returns: the admission, or a sentinel where the name is unknown.

    >>> capacity = routing.Capacity(work_per_s=1, concurrent=1)
    >>> admission = make_admission('ranked', schema.fleet.Fleet(), capacity)
    >>> request = _tickets.AdmissionRequest(account='a', rank='', work_s=1)
    >>> bool(admission.submit(request, now=0).outcome)
    True
    """
    factory = _policies.POLICIES.get(policy_name)
    if isinstance(factory, registry.UnknownName):
        return factory
    usage = _usage.Usage(capacity)
    policy = factory(document, usage)
    return Admission(
        document, policy_name, policy, usage, clock, _index_accounts(document)
    )


def _index_accounts(
    document: schema.fleet.Fleet,
) -> dict[str, schema.fleet.Account]:
    return {account.name: account for account in document.accounts}
