"""Ranked queues with floors, account caps, and early refusal."""

import math

import attrs

from briarknot import schema
from briarknot.admission import _policies, _queues, _tickets, _usage

#: Share of the target that the expected wait may take; the rest covers the
#: error of the estimate.
_TARGET_SHARE = 0.7
#: Outstanding prefill that is admitted, as a share of the first rank's target
#: for the first token. It keeps engines busy while the queue stays here, where
#: ranks and floors are respected; engines know priorities only.
_WINDOW_SHARE = 0.4
#: Share of the target within which slots that end are counted on.
_RELEASE_SHARE = 0.25
#: Bound on the number of queued requests of a rank, for memory.
_MAX_QUEUED = 10000
#: Time in which a rank's remembered peak and its rate of work halve.
_PEAK_HALF_LIFE_S = 30.0
_RATE_HALF_LIFE_S = 5.0
#: Slots below which none is kept free for a rank that has no work.
_MIN_SLOTS = 4


@attrs.define(eq=False)
class _Fading:
    """A figure that halves over time."""

    _half_life_s: float
    _figure: float = 0
    _at_s: float = 0

    def read(self, now: float) -> float:
        elapsed = max(0, now - self._at_s)
        return self._figure * 0.5 ** (elapsed / self._half_life_s)

    def add(self, amount: float, now: float) -> None:
        self._figure = self.read(now) + amount
        self._at_s = now

    def raise_to(self, figure: float, now: float) -> None:
        self.add(max(0, figure - self.read(now)), now)

    def read_rate(self, now: float) -> float:
        """Returns the amount added per second."""
        return self.read(now) * math.log(2) / self._half_life_s


@attrs.define(eq=False)
class _RankState:
    rank: schema.fleet.Rank
    queue: _queues.RankQueue = attrs.field(factory=_queues.RankQueue)
    peak: _Fading = attrs.field(factory=lambda: _Fading(_PEAK_HALF_LIFE_S))
    admitted: _Fading = attrs.field(factory=lambda: _Fading(_RATE_HALF_LIFE_S))


@attrs.define(eq=False)
class Ranked:
    """Serves ranks by worth, after those that are below their floor."""

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
        """Removes and returns the ticket that runs next, if any may run."""
        if self._usage.free <= 0:
            return None
        for state in self._states.values():
            ticket = self._pop_below_floor(state)
            if ticket:
                return self._note(state, ticket, now)
        kept = 0
        for state in self._states.values():
            if self._usage.running and self._usage.free <= kept:
                return None
            ticket = state.queue.pop(self._fits_window)
            if ticket:
                return self._note(state, ticket, now)
            kept += self._count_kept(state, now)
        return None

    def check(
        self, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Refusal | None:
        """Returns why a queued ticket should be refused now, if it should."""
        state = self._find_state(ticket)
        pace = max(self._usage.work_per_s, 1e-9)
        queued = state.queue.work_s
        bound = pace * state.rank.max_queue_s
        if state.queue.count > _MAX_QUEUED or queued > bound:
            return _tickets.Refusal(
                cause='queue_full',
                reason=(
                    f'the queue of rank {state.rank.name} holds '
                    f'{state.queue.count} requests with {queued:.2f} engine s, '
                    f'bound {_MAX_QUEUED} requests or {bound:.2f} engine s'
                ),
                retry_after_s=_policies.limit_retry(queued / pace / 2),
            )
        refusal = self._check_cap(ticket, state, pace)
        if refusal is None:
            refusal = self._check_target(ticket, state, now)
        return refusal

    def charge(self, ticket: _tickets.Ticket, extra_s: float) -> None:
        """Charges a ticket's account for work beyond its estimate."""
        self._find_state(ticket).queue.charge(ticket.request.account, extra_s)

    def explain(self, ticket: _tickets.Ticket) -> str:
        """Says what a ticket waited for."""
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

    def _note(
        self, state: _RankState, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Ticket:
        running = self._usage.count_rank(state.rank.name) + 1
        state.peak.raise_to(running, now)
        state.admitted.add(ticket.request.work_s, now)
        return ticket

    def _count_floor(self, state: _RankState) -> int:
        share = state.rank.floor_share * self._usage.capacity.concurrent
        return math.ceil(share - 1e-9)

    def _count_kept(self, state: _RankState, now: float) -> int:
        """Returns free slots that less urgent ranks must leave to a rank.

        They are what the rank used of late, but for the slots that end within
        its target anyway and for the floors of the others. The first rank has
        at least one.
        """
        slots = self._usage.capacity.concurrent
        held_s = self._usage.pace.held_s
        least = int(state is next(iter(self._states.values())))
        if slots < _MIN_SLOTS or not held_s:
            return least if slots >= _MIN_SLOTS else 0
        running = self._usage.count_rank(state.rank.name)
        usable_s = state.rank.first_token_s * _RELEASE_SHARE
        wanted = state.peak.read(now) + 1 - running - slots * usable_s / held_s
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
        # Less urgent prefill is left out: engines serve urgent work first.
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
        self, ticket: _tickets.Ticket, state: _RankState, pace: float
    ) -> _tickets.Refusal | None:
        account = self._find_account(ticket.request.account)
        queued = state.queue.sum_account(account.name)
        wait_s = queued / pace / max(account.cap_share, 1e-9)
        allowed = ticket.expires_s - ticket.submitted_s
        if account.cap_share >= 1 or wait_s <= allowed:
            return None
        return _tickets.Refusal(
            cause='account_cap',
            reason=(
                f'account {account.name} has {queued:.2f} engine s queued at '
                f'a cap of {account.cap_share:.0%} of {pace:.2f} engine s/s: '
                f'expected wait {wait_s:.2f} s, allowed {allowed:.2f} s'
            ),
            retry_after_s=_policies.limit_retry(wait_s - allowed),
        )

    def _check_target(
        self, ticket: _tickets.Ticket, state: _RankState, now: float
    ) -> _tickets.Refusal | None:
        wait_s = self._expect_wait(ticket, state, now)
        target = _policies.read_target(ticket, state.rank)
        prefill_s = ticket.request.prefill_s
        # Admitted prefill is ahead of it inside the engines.
        capacity = max(self._usage.capacity.work_per_s, 1e-9)
        backlog_s = self._usage.outstanding_prefill_s / capacity
        if state.queue.count == 1:
            # Without a queue most prefill runs beside it on other engines.
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
            retry_after_s=_policies.limit_retry(expected - target),
        )

    def _expect_wait(
        self, ticket: _tickets.Ticket, state: _RankState, now: float
    ) -> float:
        """Returns the time until the ticket's turn, itself included."""
        pace = self._usage.work_per_s
        ahead, others_rate = 0, 0
        is_more_urgent = True
        for other in self._states.values():
            rate = other.admitted.read_rate(now)
            if other is state:
                is_more_urgent = False
            elif is_more_urgent:
                ahead += other.queue.work_s
                others_rate += rate
            else:
                # Less urgent work passes only up to its floor.
                others_rate += min(rate, pace * other.rank.floor_share)
        share = max(pace - others_rate, pace * state.rank.floor_share)
        fair = state.queue.sum_account(ticket.request.account)
        own = min(state.queue.work_s, fair * max(1, state.queue.accounts))
        # The floor is served even while more urgent work is ahead.
        by_rank = (ahead + own) / max(share, 1e-9)
        by_floor = own / max(pace * state.rank.floor_share, 1e-9)
        return min(by_rank, by_floor)


@_policies.POLICIES.register('ranked')
def make_ranked(
    document: schema.fleet.Fleet, usage: _usage.Usage
) -> _policies.Policy:
    """Makes the ranked policy.

    :param document: document in force; the order of equally worthy ranks is
        the document's.
    :param usage: counts of what is running.
    """
    ranks = document.ranks or (_policies.DEFAULT_RANK,)
    by_worth = sorted(ranks, key=lambda rank: -rank.worth)
    return Ranked(
        {rank.name: _RankState(rank) for rank in by_worth},
        {account.name: account for account in document.accounts},
        usage,
    )
