"""Permits to send requests to workers that have named a limit.

One process issues the permits of a worker: the first in an order that all processes
compute alike, those of the worker's own failure domain before all others. Other
processes ask it for each single request, so that a limit below the number of
processes can be used by whichever of them has a request.

The next ones in the order take its place once they no longer hear it. Until then
they refuse, so that the limit is not used twice.
"""

import math

import attrs

from briarknot import schema, sentinels
from briarknot.serving import (
    _permit_turns,
    _rendezvous,
    _worker_limits,
    _worker_starts,
)

#: Processes that may issue the permits of a worker.
_ISSUERS = 3
#: Age of a limit up to which no other process can have issued permits for it. A
#: process that has just started doesn't know the age.
_NEW_LIMIT_S = 0.5
_START_S = 3.0
#: Time from the start or return of an issuer to its first permit: until then those
#: that have taken its place have heard it.
_HANDOVER_S = 1.2
#: Time without a message after which an issuer takes the place of another one;
#: issuers send each other a message every second.
_MAX_SILENCE_S = 2.5
#: Unanswered requests in a row after which an issuer is passed over, and for how
#: long. One of them may be a lost message.
_MAX_UNANSWERED = 2
_PASS_OVER_S = 3.0


@attrs.frozen(kw_only=True)
class Need:
    """A permit that is needed.

    :param rank: urgency of the request; 0 is the most urgent.
    :param max_wait_s: longest time for which it waits for its turn, in seconds.
    :param is_start: whether its prompt is prefilled first. Such permits are
        counted by themselves; they only keep prompts from being prefilled in vain.
    """

    rank: int
    max_wait_s: float
    is_start: bool = False


@attrs.frozen
class Permit:
    """Permission to send one request.

    :param wait_s: time until its turn, in seconds.
    """

    wait_s: float


@attrs.frozen
class NotPermitted(sentinels.Sentinel):
    """Sentinel for a permit that was not granted.

    :param reason: why.
    :param retry_s: time after which another attempt may be granted, in seconds.
    """

    reason: str
    retry_s: float


@attrs.define(eq=False)
class _Issuer:
    """State of this process as the issuer of a worker's permits.

    :param worker: the worker.
    :param since_s: monotonic time since which it keeps this record.
    :param turns: turns that it has issued.
    """

    worker: schema.serving.Worker
    since_s: float
    turns: _permit_turns.PermitTurns = attrs.field(
        factory=_permit_turns.make_permit_turns
    )


@attrs.define(eq=False)
class SendPermits:
    """Limits, issued permits, and knowledge of the issuers of a process."""

    _host: str
    _limits: _worker_limits.WorkerLimits
    _domains: dict[str, str]
    _started_s: float
    _ranked: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    _issuers: dict[str, _Issuer] = attrs.field(factory=dict)
    _starts: dict[str, _Issuer] = attrs.field(factory=dict)
    _heard_s: dict[str, float] = attrs.field(factory=dict)
    _heard_any_s: float = -math.inf
    _unanswered: dict[str, int] = attrs.field(factory=dict)
    _passed_over_s: dict[str, float] = attrs.field(factory=dict)
    _turns_s: dict[str, dict[tuple[int, bool], float]] = attrs.field(
        factory=dict
    )

    @property
    def limits(self) -> _worker_limits.WorkerLimits:
        """Limits that workers have named."""
        return self._limits

    def set_domains(self, domains: dict[str, str]) -> None:
        """Replaces the known processes.

        :param domains: failure domains of all processes, by host.
        """
        self._domains = domains
        self._ranked.clear()

    def get_limit(
        self, worker: schema.serving.Worker, now: float
    ) -> float | None:
        """Returns the limit of a worker, or None if it has none.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        return self._limits.get(_worker_starts.name_start(worker), now)

    def list_issuers(
        self, worker: schema.serving.Worker, now: float
    ) -> tuple[str, ...]:
        """Lists the processes to ask for a permit, in this order.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        return tuple(
            host
            for host in self.rank_issuers(worker)
            if host == self._host or not self._is_passed_over(host, now)
        )

    def rank_issuers(self, worker: schema.serving.Worker) -> tuple[str, ...]:
        """Returns the issuers of a worker, the first one first.

        Those of its own failure domain come first: a process that reaches the
        worker most likely reaches them too.

        :param worker: the worker.
        """
        ranked = self._ranked.get(worker.id)
        if ranked is None:
            near = [
                host
                for host, domain in self._domains.items()
                if domain == worker.domain
            ]
            far = self._domains.keys() - set(near)
            ranked = _rendezvous.rank_names(worker.id, near)
            if len(ranked) < _ISSUERS:
                ranked += _rendezvous.rank_names(worker.id, far)
            ranked = ranked[:_ISSUERS]
            self._ranked[worker.id] = ranked
        return ranked

    def issue(
        self,
        worker: schema.serving.Worker,
        need: Need,
        now: float,
    ) -> Permit | NotPermitted:
        """Issues a permit, or refuses it, as far as this process may.

        :param worker: the worker.
        :param need: the permit that is needed.
        :param now: monotonic time in seconds.
        """
        limit_per_s = self.get_limit(worker, now)
        if limit_per_s is None:
            return Permit(0)
        permits = _permit_turns.count_permits(limit_per_s)
        issuer = self._get_issuer(worker, need, permits, now)
        if self._is_preceded(worker, issuer, now):
            return NotPermitted('another process issues them', _MAX_SILENCE_S)
        if self._is_isolated(issuer, now):
            permits //= len(self._domains)
        if not permits:
            return NotPermitted('no other process is heard', _MAX_SILENCE_S)
        turn_s = issuer.turns.find(permits, need.rank, now)
        if turn_s - now > need.max_wait_s:
            return NotPermitted(f'limit {limit_per_s:.2f} 1/s', turn_s - now)
        issuer.turns.add(turn_s)
        return Permit(turn_s - now)

    def record_heard(self, host: str, now: float) -> None:
        """Records a message of another process.

        :param host: its host.
        :param now: monotonic time in seconds.
        """
        known_s = self._heard_s.get(host, now)
        if now - self._heard_any_s > _MAX_SILENCE_S:
            self.forget_issued()
        self._heard_s[host] = now
        self._heard_any_s = now
        if now - known_s > _MAX_SILENCE_S:
            self._forget_issued_by(host)
        self._unanswered.pop(host, None)
        self._passed_over_s.pop(host, None)

    def record_unanswered(self, host: str, now: float) -> None:
        """Records that a process did not answer a request for a permit.

        :param host: its host.
        :param now: monotonic time in seconds.
        """
        self._unanswered[host] = self._unanswered.get(host, 0) + 1
        if self._unanswered[host] >= _MAX_UNANSWERED:
            self._passed_over_s[host] = now

    def record_refusal(
        self,
        worker: schema.serving.Worker,
        need: Need,
        retry_s: float,
        now: float,
    ) -> None:
        """Records that no permit was to be had for a worker.

        :param worker: the worker.
        :param need: the permit that was needed.
        :param retry_s: time after which another attempt may be granted.
        :param now: monotonic time in seconds.
        """
        start = _worker_starts.name_start(worker)
        turns_s = self._turns_s.setdefault(start, {})
        turns_s[need.rank, need.is_start] = now + retry_s

    def get_wait_s(
        self,
        worker: schema.serving.Worker,
        rank: int,
        now: float,
        *,
        is_start: bool = False,
    ) -> float:
        """Returns the time until a permit for a worker may be granted.

        :param worker: the worker.
        :param rank: urgency of the request.
        :param now: monotonic time in seconds.
        :param is_start: whether its prompt is prefilled first.
        :returns: the time in seconds; 0 for a worker without a limit.
        """
        if self.get_limit(worker, now) is None:
            return 0
        turns_s = self._turns_s.get(_worker_starts.name_start(worker), {})
        return max(0, turns_s.get((rank, is_start), now) - now)

    def remove_worker(self, worker: schema.serving.Worker) -> None:
        """Drops the state of a worker that is no longer listed.

        :param worker: the worker.
        """
        start = _worker_starts.name_start(worker)
        self._issuers.pop(start, None)
        self._starts.pop(start, None)
        self._turns_s.pop(start, None)
        self._ranked.pop(worker.id, None)

    def forget_issued(self) -> None:
        """Forgets the issued permits, as others may have been issued too."""
        self._issuers.clear()
        self._starts.clear()

    def _is_isolated(self, issuer: _Issuer, now: float) -> bool:
        """Returns whether this process has stopped to hear all others.

        It then uses an equal share of the limits, as another process may issue
        the permits of all others.

        :param issuer: state as an issuer.
        :param now: monotonic time in seconds.
        """
        heard_s = max(self._heard_any_s, issuer.since_s)
        return len(self._domains) > 1 and now - heard_s > _MAX_SILENCE_S

    def _forget_issued_by(self, host: str) -> None:
        """Forgets permits in whose place another process may have issued some.

        :param host: host of a process that was not heard for a while.
        """
        for issuers in (self._issuers, self._starts):
            for start, issuer in tuple(issuers.items()):
                if host in self.rank_issuers(issuer.worker):
                    del issuers[start]

    def _get_issuer(
        self,
        worker: schema.serving.Worker,
        need: Need,
        permits: int,
        now: float,
    ) -> _Issuer:
        issuers = self._starts if need.is_start else self._issuers
        start = _worker_starts.name_start(worker)
        issuer = issuers.get(start)
        if issuer is None:
            is_inherited = (
                self._limits.get_age_s(start, now) > _NEW_LIMIT_S
                or now - self._started_s < _START_S
            )
            issuer = _Issuer(worker, now)
            if is_inherited:
                # Others may have issued all permits of the last window, and may
                # do so until they hear this process.
                issuer.turns.assume_used(permits, now + _HANDOVER_S)
            issuers[start] = issuer
        return issuer

    def _is_preceded(
        self, worker: schema.serving.Worker, issuer: _Issuer, now: float
    ) -> bool:
        """Returns whether another process issues the permits of a worker."""
        ranked = self.rank_issuers(worker)
        if self._host not in ranked:
            return True
        before = ranked[: ranked.index(self._host)]
        return any(
            now - max(issuer.since_s, self._heard_s.get(host, issuer.since_s))
            < _MAX_SILENCE_S
            for host in before
        )

    def _is_passed_over(self, host: str, now: float) -> bool:
        passed_s = self._passed_over_s.get(host)
        return passed_s is not None and now - passed_s < _PASS_OVER_S


def make_send_permits(host: str, domain: str, now: float) -> SendPermits:
    """Makes the permits of a process that knows no limit and no other process.

    :param host: host of the process.
    :param domain: its failure domain.
    :param now: monotonic time in seconds.

    >>> permits = make_send_permits('g1', 'a', now=0)
    >>> worker = schema.serving.Worker(id='w')
    >>> permits.issue(worker, Need(rank=0, max_wait_s=0), now=0)
    Permit(wait_s=0)
    """
    return SendPermits(
        host, _worker_limits.make_worker_limits(), {host: domain}, now
    )
