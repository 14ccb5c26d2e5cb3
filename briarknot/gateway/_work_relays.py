"""Chooses the relays that add up the work of a large fleet.

A relay is any process that receives reports: the processes of a domain report to
the first two in a common order, and pass over one that does not send its sums.
So the place of a relay that is killed, suspended, cut off or slow is taken
without an election.
"""

import attrs

from briarknot.gateway import _context

_KEY = 'relays'
#: Relays to which a process reports, so that the loss of one costs nothing.
RELAYS = 2
#: Time without a sum after which a relay that gets reports is passed over.
_MAX_SILENCE_S = 1.0
#: Time after which a relay that was passed over is tried again.
_RETRY_S = 5.0
#: Time without a message after which a relay of another domain counts as
#: inactive.
_MAX_DOMAIN_SILENCE_S = 1.5


@attrs.define(eq=False)
class WorkRelays:
    """Relays as far as this process has heard from them."""

    _context: _context.Context
    _unanswered_s: dict[str, float] = attrs.field(factory=dict)
    _passed_over_s: dict[str, float] = attrs.field(factory=dict)
    _domain_s: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    def choose(self, now: float) -> tuple[str, ...]:
        """Returns the hosts to which this process reports its work.

        :param now: monotonic time in seconds.
        """
        local = self._context.settings.host
        usable = [
            host
            for host in self._context.host_groups.rank_near(_KEY)
            if host == local or not self._is_passed_over(host, now)
        ]
        return tuple(usable[:RELAYS])

    def record_report(self, relay: str, now: float) -> None:
        """Records that a report was sent to a relay.

        :param relay: its host.
        :param now: monotonic time in seconds.
        """
        since_s = self._unanswered_s.setdefault(relay, now)
        if now - since_s > _MAX_SILENCE_S:
            self._passed_over_s[relay] = now
            del self._unanswered_s[relay]

    def record_sum(self, relay: str) -> None:
        """Records that a relay of the domain has sent a sum.

        :param relay: its host.
        """
        self._unanswered_s.pop(relay, None)
        self._passed_over_s.pop(relay, None)

    def record_domain_work(self, relay: str, domain: str, now: float) -> None:
        """Records that a relay of another domain has sent a sum.

        :param relay: its host.
        :param domain: its domain.
        :param now: monotonic time in seconds.
        """
        self._domain_s[relay] = (domain, now)

    def choose_for_domain(self, domain: str, sequence: int, now: float) -> str:
        """Returns the relay of another domain that gets the next sum.

        :param domain: the domain.
        :param sequence: number of the sum; its relays take turns.
        :param now: monotonic time in seconds.
        """
        active = sorted(
            relay
            for relay, (known_domain, seen_s) in self._domain_s.items()
            if known_domain == domain and now - seen_s < _MAX_DOMAIN_SILENCE_S
        )
        ranked = self._context.host_groups.rank_far(_KEY, domain)
        turns = active or ranked[: RELAYS + 1]
        return turns[sequence % len(turns)]

    def _is_passed_over(self, host: str, now: float) -> bool:
        passed_s = self._passed_over_s.get(host)
        return passed_s is not None and now - passed_s < _RETRY_S


def make_work_relays(context: _context.Context) -> WorkRelays:
    """Makes the relays of a process that has heard from none.

    :param context: state of the process.
    """
    return WorkRelays(context)
