"""Interface and registry of admission policies."""

import typing

from briarknot import registry, schema
from briarknot.admission import _tickets, _usage

#: Rank of all requests if the document declares no ranks.
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
        """Removes and returns the next ticket to run; None if none may run."""

    def check(
        self, ticket: _tickets.Ticket, now: float
    ) -> _tickets.Refusal | None:
        """Returns the refusal of a queued ticket; None if it may stay."""

    def charge(self, ticket: _tickets.Ticket, extra_s: float) -> None:
        """Charges a ticket's account for work beyond its estimate."""

    def explain(self, ticket: _tickets.Ticket) -> str:
        """Returns what a ticket waits for, for the journal."""


Factory = typing.Callable[[schema.fleet.Fleet, _usage.Usage], Policy]

#: Factories of admission policies.
POLICIES: registry.Registry[Factory] = registry.Registry('admission')


def clamp_retry_after(wait_s: float) -> float:
    """Returns a wait within the bounds for ``Retry-After``, in seconds."""
    return min(max(wait_s, _MIN_RETRY_S), _MAX_RETRY_S)


def get_target(ticket: _tickets.Ticket, rank: schema.fleet.Rank) -> float:
    """Returns a ticket's target for the first token, in seconds."""
    deadline = ticket.request.deadline_s
    return rank.first_token_s if deadline is None else deadline
