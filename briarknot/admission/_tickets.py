"""Admission requests, their tickets, and their outcomes."""

import asyncio
import enum
import typing

import attrs

from briarknot import sentinels

#: Causes of refusals, as given to callers and in the journal.
CAUSES = (
    'queue_full',
    'target_unreachable',
    'account_cap',
    'fleet_limit',
    'queue_timeout',
    'shutting_down',
    'no_capacity',
    'quarantined',
    'no_endpoint',
)


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """Properties of a request that admission depends on.

    :param account: account of the caller.
    :param rank: name of the rank; an unknown one counts as the least urgent.
    :param work_s: expected engine seconds.
    :param deadline_s: seconds from the submission within which the first
        token is needed; None means the rank's target.
    :param prefill_s: engine seconds of prefill, part of ``work_s``. Set it
        only if :meth:`Admission.start_decode` is called at the first token;
        without it, only the number of requests is bounded.
    """

    account: str
    rank: str
    work_s: float
    deadline_s: float | None = None
    prefill_s: float = 0


@attrs.frozen(kw_only=True)
class Admitted:
    """A request that may run.

    :param queued_s: time in the queue.
    :param reason: sentence with the figures, for the journal.
    """

    queued_s: float
    reason: str


@attrs.frozen(kw_only=True)
class Refusal(sentinels.Sentinel):
    """Sentinel for a request that must not run.

    :param cause: one of :data:`CAUSES`.
    :param reason: sentence with the figures, for the journal.
    :param retry_after_s: time after which a new attempt may succeed.
    """

    cause: str = attrs.field(validator=attrs.validators.in_(CAUSES))
    reason: str
    retry_after_s: float


class Phase(enum.Enum):
    """Progress of a ticket."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


class TicketIssuer(typing.Protocol):
    """Interface of the admission that issued a ticket."""

    def read_clock(self) -> float:
        """Returns the monotonic time in seconds."""

    def expire(self, now: float) -> None:
        """Refuses the tickets whose time in the queue has expired."""

    def finish(
        self, ticket: 'Ticket', now: float, used_work_s: float | None = None
    ) -> None:
        """Releases a ticket in any phase."""


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """A place in the queue, and then the right to run.

    :param request: what was submitted.
    :param number: increases with each submission.
    :param submitted_s: time of the submission.
    :param expires_s: time at which it is refused if it is still queued.
    :param phase: progress; changed only by the admission.
    :param admitted_s: time of the admission.
    """

    request: AdmissionRequest
    number: int
    submitted_s: float
    expires_s: float
    phase: Phase = Phase.QUEUED
    admitted_s: float = 0
    _issuer: TicketIssuer
    _outcome: Admitted | Refusal | None = attrs.field(default=None, init=False)
    _future: asyncio.Future | None = attrs.field(default=None, init=False)

    @property
    def outcome(self) -> Admitted | Refusal | None:
        """The outcome; None while the ticket is in the queue."""
        return self._outcome

    async def wait(self) -> Admitted | Refusal:
        """Waits for the outcome, at most until the ticket expires.

        A ticket whose waiter is cancelled leaves the queue. A ticket that is
        admitted must still be released with :meth:`Admission.finish`.
        """
        try:
            return await self._wait()
        finally:
            if self._outcome is None:
                self._issuer.finish(self, self._issuer.read_clock())

    def set_outcome(self, outcome: Admitted | Refusal) -> None:
        """Sets the outcome, once, and wakes the waiter."""
        self._outcome = outcome
        if self._future and not self._future.done():
            self._future.set_result(None)

    async def _wait(self) -> Admitted | Refusal:
        if self._outcome is None:
            self._future = asyncio.get_running_loop().create_future()
            remaining = self.expires_s - self._issuer.read_clock()
            await asyncio.wait((self._future,), timeout=max(0, remaining))
        if self._outcome is None:
            # The event loop's clock may wake the waiter slightly early.
            now = max(self._issuer.read_clock(), self.expires_s)
            self._issuer.expire(now)
        return self._outcome
