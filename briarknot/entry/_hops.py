"""Free capacity of other failure domains, and hops to them."""

import collections.abc
import random
import time

import attrs

from briarknot import admission, links, schema

#: Summaries older than this say nothing of the free capacity any more. They
#: come every 4 s at 5 domains; a domain that is lost has no open link.
_MAX_SUMMARY_AGE_S = 15.0
#: One way between regions takes some tens of milliseconds, there and back.
HOP_LATENCY_S = 0.1
FORWARD_PATH = '/peer/forward'


@attrs.frozen
class _ReceivedSummary:
    """A summary with the time at which it came."""

    summary: schema.messages.DomainSummary
    time_s: float


@attrs.frozen(kw_only=True)
class Hop:
    """A way to another failure domain.

    :param host: entry host there.
    :param domain: the failure domain.
    :param peer_url: its peer URL.
    :param queue_delay_s: expected wait there.
    """

    host: str
    domain: str
    peer_url: str
    queue_delay_s: float


@attrs.define(eq=False)
class HopSelector:
    """Knows which failure domain can take work for a model."""

    _hub: links.Hub
    _domain: str
    _regions: dict[str, str] = attrs.field(factory=dict, init=False)
    _summaries: dict[str, _ReceivedSummary] = attrs.field(
        factory=dict, init=False
    )

    def apply_document(self, fleet: schema.fleet.Fleet) -> None:
        """Takes the regions of the failure domains."""
        self._regions = {one.name: one.region for one in fleet.domains}

    async def handle_summary(
        self, link: links.Link, message: schema.messages.DomainSummary
    ) -> None:
        """Takes a summary of another failure domain."""
        self._summaries[message.domain] = _ReceivedSummary(
            message, time.monotonic()
        )

    def choose_hop(
        self, model: str, exclude: collections.abc.Container[str]
    ) -> Hop | None:
        """Chooses an entry process of the domain with the least wait.

        :param model: name of the model.
        :param exclude: hosts that were tried.
        """
        hops = [
            Hop(
                host=link.host,
                domain=link.domain,
                peer_url=link.peer.peer_url,
                queue_delay_s=delay,
            )
            for link in self._hub.links
            if link.program == 'entry'
            and link.domain != self._domain
            and link.host not in exclude
            and (delay := self._get_delay(link.domain, model)) is not None
        ]
        if not hops:
            return None
        least = min(self._estimate_wait(hop) for hop in hops)
        return random.choice(
            [hop for hop in hops if self._estimate_wait(hop) == least]
        )

    def choose_suspect_owner(
        self, own_host: str, exclude: collections.abc.Container[str]
    ) -> Hop | None:
        """Returns the way to the process that runs the domain's suspects.

        All entry processes that can reach each other choose the same one, so
        that suspects run one at a time in the failure domain.

        :param own_host: name of the own host.
        :param exclude: hosts that were tried; with the owner among them, the
            request runs here.
        :returns: the hop; None where the own process is the owner.
        """
        linked = {
            link.host: link
            for link in self._hub.links
            if link.program == 'entry' and link.domain == self._domain
        }
        owner = admission.choose_owner('suspects', (own_host, *linked))
        if owner == own_host or owner in exclude:
            return None
        return Hop(
            host=owner,
            domain=self._domain,
            peer_url=linked[owner].peer.peer_url,
            queue_delay_s=0,
        )

    def choose_service_hop(
        self, domains: collections.abc.Container[str]
    ) -> Hop | None:
        """Chooses an entry process of a domain where a service runs.

        :param domains: failure domains that have a worker of the service.
        """
        hops = [
            Hop(
                host=link.host,
                domain=link.domain,
                peer_url=link.peer.peer_url,
                queue_delay_s=0,
            )
            for link in self._hub.links
            if link.program == 'entry' and link.domain in domains
        ]
        return random.choice(hops) if hops else None

    def _estimate_wait(self, hop: Hop) -> float:
        """Returns the wait behind a hop; other regions are slow and paid."""
        own_region = self._regions.get(self._domain)
        if self._regions.get(hop.domain) == own_region:
            return hop.queue_delay_s
        return hop.queue_delay_s + HOP_LATENCY_S

    def _get_delay(self, domain: str, model: str) -> float | None:
        received = self._summaries.get(domain)
        if received is None:
            return None
        if time.monotonic() - received.time_s > _MAX_SUMMARY_AGE_S:
            return None
        for capacity in received.summary.models:
            if capacity.model == model and capacity.engines:
                return capacity.queue_delay_s
        return None


def make_hop_selector(hub: links.Hub, domain: str) -> HopSelector:
    """Makes the view of other failure domains.

    :param hub: peer links of the process.
    :param domain: own failure domain.
    """
    return HopSelector(hub, domain)
