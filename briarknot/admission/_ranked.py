"""Admission policy by rank, with floors, caps, and early refusal."""

import math

import attrs

from briarknot import schema
from briarknot.admission import _policies, _queues, _tickets, _usage

#: Share of the target that the expected time may take; the rest allows for
#: errors of the estimate.
_TARGET_SHARE = 0.7
#: Bound of the outstanding prefill, as a share of the most urgent rank's target
#: for the first token. It keeps engines busy while the queue stays here, where
#: ranks and floors are respected; engines only know priorities.
_WINDOW_SHARE = 0.4
#: Share of the target within which slots that become free are counted as free.
_RELEASE_SHARE = 0.25
#: Bound of the queued requests of a rank, which limits memory.
_MAX_QUEUED = 10000
#: Half-lives of a rank's peak of running requests and of its rate of work.
_PEAK_HALF_LIFE_S = 30.0
_RATE_HALF_LIFE_S = 5.0
#: Slots below which none is reserved for a rank that has no work.
_MIN_SLOTS = 4


@attrs.define(eq=False)
class _DecayingValue:
    """A value that decays exponentially with a half-life."""

    _half_life_s: float
    _value: float = 0
    _at_s: float = 0

    def get(self, now: float) -> float:
        elapsed = max(0, now - self._at_s)
        return self._value * 0.5 ** (elapsed / self._half_life_s)

    def add(self, amount: float, now: float) -> None:
        self._value = self.get(now) + amount
        self._at_s = now

    def raise_to(self, value: float, now: float) -> None:
        self.add(max(0, value - self.get(now)), now)

    def get_rate(self, now: float) -> float:
        """Returns the amount added per second."""
        return self.get(now) * math.log(2) / self._half_life_s


@attrs.define(eq=False)
class _RankState:
    rank: schema.fleet.Rank
    queue: _queues.RankQueue = attrs.field(factory=_queues.RankQueue)
    peak: _DecayingValue = attrs.field(
        factory=lambda: _DecayingValue(_PEAK_HALF_LIFE_S)
    )
    admitted: _DecayingValue = attrs.field(
        factory=lambda: _DecayingValue(_RATE_HALF_LIFE_S)
    )


@attrs.define(eq=False)
class Ranked:
    """Admits ranks below their floor first, then all ranks by worth."""

    _states: dict[str, _RankState]
    _accounts: dict[str, schema.fleet.Account]
    _usage: _usage.Usage

    @property
    def _window_s(self) -> float:
        first = next(iter(self._states.values()))
        return first.rank.first_token_s * _WINDOW_SHARE

    @property
    def count(self) -> int:
        """Queued tickets."""
        return sum(state.queue.count for state in self._states.values())

    @property
    def tickets(self) -> list[_tickets.Ticket]:
        """All queued tickets."""
        return [
            ticket
            for state in self._states.values()
            for ticket in state.queue.tickets
        ]

    def push(self, ticket: _tickets.Ticket) -> None:
        """Adds a ticket to the queue of its rank."""
        self._find_state(ticket).queue.push(ticket)

    def remove(self, ticket: _tickets.Ticket) -> None:
        """Removes a queued ticket."""
        self._find_state(ticket).queue.remove(ticket)

    def pop(self, now: float) -> _tickets.Ticket | None:
        """Removes and returns the next ticket to run; None if none may run."""
        if self._usage.free <= 0:
            return None
        for state in self._states.values():
            ticket = self._pop_below_floor(state)
            if ticket:
                return self._record_admission(state, ticket, now)
        reserved = 0
        for state in self._states.values():
            if self._usage.running and self._usage.free <= reserved:
                return None
            ticket = state.queue.pop(self._fits_window)
            if ticket:
                return self._record_admission(state, ticket, now)
            reserved += self._count_reserved(state, now)
        return None

    def check(
        self, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Refusal | None:
        """Returns the refusal of a queued ticket; None if it may stay."""
        state = self._find_state(ticket)
        throughput = max(self._usage.work_per_s, 1e-9)
        queued = state.queue.work_s
        bound = throughput * state.rank.max_queue_s
        if state.queue.count > _MAX_QUEUED or queued > bound:
            return _tickets.Refusal(
                cause='queue_full',
                reason=(
                    f'the queue of rank {state.rank.name} holds '
                    f'{state.queue.count} requests with {queued:.2f} engine s, '
                    f'bound {_MAX_QUEUED} requests or {bound:.2f} engine s'
                ),
                retry_after_s=_policies.clamp_retry_after(
                    queued / throughput / 2
                ),
            )
        refusal = self._check_cap(ticket, state, throughput)
        if refusal is None:
            refusal = self._check_target(ticket, state, now)
        return refusal

    def charge(self, ticket: _tickets.Ticket, extra_s: float) -> None:
        """Charges a ticket's account for work beyond its estimate."""
        self._find_state(ticket).queue.charge(ticket.request.account, extra_s)

    def explain(self, ticket: _tickets.Ticket) -> str:
        """Returns what a ticket waits for, for the journal."""
        state = self._find_state(ticket)
        return (
            f'rank {state.rank.name}: {self._usage.running} of '
            f'{self._usage.capacity.concurrent} slots in use, '
            f'{state.queue.count} requests with {state.queue.work_s:.2f} '
            f'engine s still queued, pace {self._usage.work_per_s:.2f} '
            'engine s/s'
        )

    def _find_state(self, ticket: _tickets.Ticket) -> _RankState:
        return self._states[self._find_rank(ticket)]

    def _find_rank(self, ticket: _tickets.Ticket) -> str:
        if ticket.request.rank in self._states:
            return ticket.request.rank
        return next(reversed(self._states))

    def _record_admission(
        self, state: _RankState, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Ticket:
        running = self._usage.count_rank(state.rank.name) + 1
        state.peak.raise_to(running, now)
        state.admitted.add(ticket.request.work_s, now)
        return ticket

    def _count_floor(self, state: _RankState) -> int:
        share = state.rank.floor_share * self._usage.capacity.concurrent
        return math.ceil(share - 1e-9)

    def _count_reserved(self, state: _RankState, now: float) -> int:
        """Returns the free slots that less urgent ranks must leave to a rank.

        These are the recent peak of the rank, less the slots that become free
        within a share of its target, and at most what the floors of the other
        ranks leave. At least one slot is reserved for the most urgent rank.
        """
        slots = self._usage.capacity.concurrent
        held_s = self._usage.throughput.held_s
        least = int(state is next(iter(self._states.values())))
        if slots < _MIN_SLOTS or not held_s:
            return least if slots >= _MIN_SLOTS else 0
        running = self._usage.count_rank(state.rank.name)
        usable_s = state.rank.first_token_s * _RELEASE_SHARE
        wanted = state.peak.get(now) + 1 - running - slots * usable_s / held_s
        floors = sum(self._count_floor(one) for one in self._states.values())
        allowed = slots - floors + self._count_floor(state) - running
        return max(0, min(allowed, max(least, math.ceil(wanted))))

    def _pop_below_floor(self, state: _RankState) -> _tickets.Ticket | None:
        running = self._usage.count_rank(state.rank.name)
        if running >= self._count_floor(state):
            return None

        def fits(ticket: _tickets.Ticket) -> bool:
            return self._fits_cap(ticket) and self._usage.fits_prefill(
                ticket,
                (state.rank.name,),
                self._window_s * state.rank.floor_share,
            )

        return state.queue.pop(fits)

    def _fits_window(self, ticket: _tickets.Ticket) -> bool:
        # Prefill of less urgent ranks is not counted, because engines run the
        # more urgent work first.
        names = list(self._states)
        ranks = names[: names.index(self._find_rank(ticket)) + 1]
        return self._fits_cap(ticket) and self._usage.fits_prefill(
            ticket, ranks, self._window_s
        )

    def _fits_cap(self, ticket: _tickets.Ticket) -> bool:
        account = ticket.request.account
        share = self._find_account(account).cap_share
        slots = max(1, int(share * self._usage.capacity.concurrent + 1e-9))
        return self._usage.count_account(account) < slots

    def _find_account(self, name: str) -> schema.fleet.Account:
        return self._accounts.get(name) or schema.fleet.Account(name=name)

    def _check_cap(
        self, ticket: _tickets.Ticket, state: _RankState, throughput: float
    ) -> _tickets.Refusal | None:
        account = self._find_account(ticket.request.account)
        queued = state.queue.sum_account(account.name)
        wait_s = queued / throughput / max(account.cap_share, 1e-9)
        allowed = ticket.expires_s - ticket.submitted_s
        if account.cap_share >= 1 or wait_s <= allowed:
            return None
        return _tickets.Refusal(
            cause='account_cap',
            reason=(
                f'account {account.name} has {queued:.2f} engine s queued at '
                f'a cap of {account.cap_share:.0%} of {throughput:.2f} '
                f'engine s/s: expected wait {wait_s:.2f} s, '
                f'allowed {allowed:.2f} s'
            ),
            retry_after_s=_policies.clamp_retry_after(wait_s - allowed),
        )

    def _check_target(
        self, ticket: _tickets.Ticket, state: _RankState, now: float
    ) -> _tickets.Refusal | None:
        wait_s = self._estimate_wait(ticket, state, now)
        target = _policies.get_target(ticket, state.rank)
        prefill_s = ticket.request.prefill_s
        # Admitted prefill is ahead of the ticket inside the engines.
        capacity = max(self._usage.capacity.work_per_s, 1e-9)
        backlog_s = self._usage.outstanding_prefill_s / capacity
        if state.queue.count == 1:
            # Without a queue most admitted prefill runs on other engines.
            backlog_s = max(0, backlog_s - prefill_s)
        wait_s += backlog_s
        expected = wait_s + prefill_s
        if expected <= target * _TARGET_SHARE:
            return None
        return _tickets.Refusal(
            cause='target_unreachable',
            reason=(
                f'rank {state.rank.name} needs the first token in '
                f'{target:.2f} s: expected wait {wait_s:.2f} s and prefill '
                f'{ticket.request.prefill_s:.2f} s, with '
                f'{state.queue.work_s:.2f} engine s queued in the rank'
            ),
            retry_after_s=_policies.clamp_retry_after(expected - target),
        )

    def _estimate_wait(
        self, ticket: _tickets.Ticket, state: _RankState, now: float
    ) -> float:
        """Returns the expected wait of a ticket, its own work included."""
        throughput = self._usage.work_per_s
        ahead, others_rate = 0, 0
        is_more_urgent = True
        for other in self._states.values():
            rate = other.admitted.get_rate(now)
            if other is state:
                is_more_urgent = False
            elif is_more_urgent:
                ahead += other.queue.work_s
                others_rate += rate
            else:
                # Less urgent work is admitted first only up to its floor.
                others_rate += min(rate, throughput * other.rank.floor_share)
        share = max(
            throughput - others_rate, throughput * state.rank.floor_share
        )
        fair = state.queue.sum_account(ticket.request.account)
        in_rank = min(state.queue.work_s, fair * max(1, state.queue.accounts))
        # The floor is available even while more urgent work is queued.
        by_rank = (ahead + in_rank) / max(share, 1e-9)
        by_floor = in_rank / max(throughput * state.rank.floor_share, 1e-9)
        return min(by_rank, by_floor)


@_policies.POLICIES.register('ranked')
def make_ranked(
    document: schema.fleet.Fleet, usage: _usage.Usage
) -> _policies.Policy:
    """Makes the ranked policy.

    :param document: document in force, whose order applies to ranks of equal
        worth.
    :param usage: counts of running requests.
    """
    ranks = document.ranks or (_policies.DEFAULT_RANK,)
    by_worth = sorted(ranks, key=lambda rank: -rank.worth)
    return Ranked(
        {rank.name: _RankState(rank) for rank in by_worth},
        {account.name: account for account in document.accounts},
        usage,
    )
