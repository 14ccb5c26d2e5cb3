"""Sums of the work of many processes, which relays add up and exchange.

Each process reports its work to the relays of its failure domain. A relay sends
the sum of its domain to relays of the other domains, and the sum of the fleet to
the processes of its own. A process then receives a number of messages that does
not grow with the fleet.
"""

import attrs

from briarknot import schema
from briarknot.serving import _engine_work, _work_parts

#: Older sums of another domain are left out.
_MAX_DOMAIN_AGE_S = 2.0


@attrs.frozen
class _DomainSum:
    """Work of another domain, as one of its relays added it up.

    :param version: start of the relay and sequence number of its message.
    :param received_s: monotonic time at which it was received.
    :param work: the work.
    :param processes: number of processes whose work is part of it.
    :param previous: an earlier sum, used if this one is malformed.
    """

    version: tuple[int, int]
    received_s: float
    work: _work_parts.ReceivedWork
    processes: int
    previous: '_DomainSum | None' = None


@attrs.define(eq=False)
class WorkSums:
    """State of a process as far as it is a relay."""

    _host: str
    _domain: str
    _born_ms: int
    _work: _engine_work.EngineWork
    _domains: dict[tuple[str, str], _DomainSum] = attrs.field(factory=dict)
    _sequence: int = 0
    _domain_sum: _work_parts.RunningSum = attrs.field(
        factory=_work_parts.RunningSum
    )
    _fleet_sum: _work_parts.RunningSum = attrs.field(
        factory=_work_parts.RunningSum
    )

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
            self._domains[key] = _DomainSum(
                version,
                now,
                _work_parts.ReceivedWork(message.workers),
                message.processes,
                _work_parts.choose_previous(known),
            )

    def make_domain_work(self, now: float) -> schema.messages.DomainWork:
        """Makes the sum of the domain for relays of other domains.

        :param now: monotonic time in seconds.
        """
        self._sequence += 1
        parts, included = self._list_domain_parts(now)
        self._domain_sum.update(parts)
        return schema.messages.DomainWork(
            domain=self._domain,
            relay=self._host,
            born_ms=self._born_ms,
            sequence=self._sequence,
            workers=self._domain_sum.list_values(),
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
        parts, included = self._list_domain_parts(now)
        included[self._host] = local_sequence
        processes = len(included)
        for domain, one in self._choose_domain_sums(now).items():
            parts[domain, ''] = one.work.read()
            processes += one.processes
        self._fleet_sum.update(parts)
        return schema.messages.FleetWork(
            relay=self._host,
            born_ms=self._born_ms,
            sequence=self._sequence,
            workers=self._fleet_sum.list_values(),
            included=tuple(
                schema.messages.IncludedReport(host=host, sequence=sequence)
                for host, sequence in included.items()
            ),
            processes=processes,
        )

    def clear(self) -> None:
        """Forgets what was received, after a suspension of the process."""
        self._domains.clear()

    def _list_domain_parts(
        self, now: float
    ) -> tuple[dict[tuple[str, str], _work_parts.Work], dict[str, int]]:
        """Returns the work of the domain's processes, and their reports."""
        reports = self._work.list_reports(self._domain, now)
        parts = {
            (self._domain, host): work for host, (_, work) in reports.items()
        }
        parts[self._domain, self._host] = self._work.local_work
        return parts, {host: number for host, (number, _) in reports.items()}

    def _choose_domain_sums(self, now: float) -> dict[str, _DomainSum]:
        """Returns the latest recent sum of each other domain."""
        chosen: dict[str, _DomainSum] = {}
        relays: dict[str, str] = {}
        for (domain, relay), one in self._domains.items():
            known = chosen.get(domain)
            is_later = known is None or known.received_s <= one.received_s
            if is_later and now - one.received_s < _MAX_DOMAIN_AGE_S:
                chosen[domain] = one
                relays[domain] = relay
        for domain, one in chosen.items():
            work = one.work.read()
            if isinstance(work, schema.DecodeError):
                self._work.record_malformed(work)
                key = (domain, relays[domain])
                _work_parts.restore_previous(self._domains, key)
                return self._choose_domain_sums(now)
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
