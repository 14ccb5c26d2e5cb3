"""Sums of the work of many processes, which relays add up and exchange.

Each process reports its work to the relays of its failure domain. A relay sends
the sum of its domain to relays of the other domains, and the sum of the fleet to
the processes of its own. A process then receives a number of messages that does
not grow with the fleet.
"""

import attrs

from briarknot import schema
from briarknot.serving import _engine_work

#: Older sums of another domain are left out.
_MAX_DOMAIN_AGE_S = 2.0


@attrs.frozen
class _DomainSum:
    """Work of another domain, as one of its relays added it up.

    :param version: start of the relay and sequence number of its message.
    :param received_s: monotonic time at which it was received.
    :param work: work by worker id.
    :param processes: number of processes whose work is part of it.
    """

    version: tuple[int, int]
    received_s: float
    work: _engine_work.Work
    processes: int


@attrs.define(eq=False)
class WorkSums:
    """State of a process as far as it is a relay."""

    _host: str
    _domain: str
    _born_ms: int
    _work: _engine_work.EngineWork
    _domains: dict[tuple[str, str], _DomainSum] = attrs.field(factory=dict)
    _sequence: int = 0

    def apply_report(
        self, message: schema.messages.EngineWork, now: float
    ) -> None:
        """Applies the report of a process of the domain.

        :param message: the report.
        :param now: monotonic time in seconds.
        """
        self._work.apply_peer_work(message, now)

    def apply_domain_work(
        self, message: schema.messages.DomainWork, now: float
    ) -> None:
        """Applies the sum of another domain.

        :param message: the sum; its work is ignored if a later one of the same
            relay is known.
        :param now: monotonic time in seconds.
        """
        key = (message.domain, message.relay)
        version = (message.born_ms, message.sequence)
        known = self._domains.get(key)
        if known is None or known.version < version:
            work = {one.worker: one for one in message.workers}
            self._domains[key] = _DomainSum(
                version, now, work, message.processes
            )

    def make_domain_work(self, now: float) -> schema.messages.DomainWork:
        """Makes the sum of the domain for relays of other domains.

        :param now: monotonic time in seconds.
        """
        self._sequence += 1
        work, included = self._sum_domain(now)
        return schema.messages.DomainWork(
            domain=self._domain,
            relay=self._host,
            born_ms=self._born_ms,
            sequence=self._sequence,
            workers=tuple(work.values()),
            processes=1 + len(included),
        )

    def make_fleet_work(
        self, local_sequence: int, now: float
    ) -> schema.messages.FleetWork:
        """Makes the sum of the fleet for the processes of the domain.

        :param local_sequence: sequence number of the last local report.
        :param now: monotonic time in seconds.
        """
        self._sequence += 1
        work, included = self._sum_domain(now)
        included[self._host] = local_sequence
        domains = self._choose_domain_sums(now)
        total = _engine_work.sum_work(
            (work, *(one.work for one in domains.values()))
        )
        return schema.messages.FleetWork(
            relay=self._host,
            born_ms=self._born_ms,
            sequence=self._sequence,
            workers=tuple(total.values()),
            included=tuple(
                schema.messages.IncludedReport(host=host, sequence=sequence)
                for host, sequence in included.items()
            ),
            processes=len(included)
            + sum(one.processes for one in domains.values()),
        )

    def clear(self) -> None:
        """Forgets what was received, after a suspension of the process."""
        self._domains.clear()

    def _sum_domain(
        self, now: float
    ) -> tuple[_engine_work.Work, dict[str, int]]:
        """Returns the work of the domain, and the reports that it contains."""
        reports = self._work.list_reports(self._domain, now)
        local = {one.worker: one for one in self._work.local}
        work = _engine_work.sum_work(
            (local, *(work for _, work in reports.values()))
        )
        return work, {host: number for host, (number, _) in reports.items()}

    def _choose_domain_sums(self, now: float) -> dict[str, _DomainSum]:
        """Returns the latest recent sum of each other domain."""
        chosen: dict[str, _DomainSum] = {}
        for (domain, _), one in self._domains.items():
            known = chosen.get(domain)
            is_later = known is None or known.received_s <= one.received_s
            if is_later and now - one.received_s < _MAX_DOMAIN_AGE_S:
                chosen[domain] = one
        return chosen


def make_work_sums(
    host: str, domain: str, born_ms: int, work: _engine_work.EngineWork
) -> WorkSums:
    """Makes the state of a relay that has received nothing.

    :param host: host of this process.
    :param domain: its failure domain.
    :param born_ms: start of this process, in Unix milliseconds.
    :param work: work of this process and reports of others.
    """
    return WorkSums(host, domain, born_ms, work)
