"""What an admission policy decides, and the registry of policies."""

import typing

from briarknot import registry, schema
from briarknot.admission import _tickets, _usage

#: Rank of all work where the document declares none.
DEFAULT_RANK = schema.fleet.Rank(name='default')
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 60.0


class Policy(typing.Protocol):
    """Queues tickets and chooses the next one to run."""

    @property
    def count(self) -> int:
        """Queued tickets."""

    @property
    def tickets(self) -> list[_tickets.Ticket]:
        """All queued tickets."""

    def push(self, ticket: _tickets.Ticket) -> None:
        """Adds a ticket to the queue."""

    def remove(self, ticket: _tickets.Ticket) -> None:
        """Removes a queued ticket."""

    def pop(self, now: float) -> _tickets.Ticket | None:
        """Removes and returns the ticket that runs next, if any may run."""

    def check(
        self, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Refusal | None:
        """Returns why a queued ticket should be refused now."""

    def charge(self, ticket: _tickets.Ticket, extra_s: float) -> None:
        """Charges a ticket's account for work beyond its estimate."""

    def explain(self, ticket: _tickets.Ticket) -> str:
        """Says what a ticket waited for."""


Factory = typing.Callable[[schema.fleet.Fleet, _usage.Usage], Policy]

#: Factories of admission policies.
POLICIES: registry.Registry[Factory] = registry.Registry('admission')


def limit_retry(wait_s: float) -> float:
    """Returns a time for ``Retry-After`` within sensible bounds."""
    return min(max(wait_s, _MIN_RETRY_S), _MAX_RETRY_S)


def read_target(ticket: _tickets.Ticket, rank: schema.fleet.Rank) -> float:
    """Returns the time to the first token that a ticket needs, in seconds."""
    deadline = ticket.request.deadline_s
    return rank.first_token_s if deadline is None else deadline
