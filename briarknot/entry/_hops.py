"""Chooses hops to other entry processes by the capacity of their domains."""

import collections.abc
import random
import time

import attrs

from briarknot import admission, links, schema

#: Older summaries no longer show the free capacity and are ignored. They arrive
#: every 4 s in a fleet of 5 domains, and a domain that is unreachable has no
#: open link.
_MAX_SUMMARY_AGE_S = 15.0
#: Round trip between regions; each direction takes some tens of milliseconds.
HOP_LATENCY_S = 0.1
FORWARD_PATH = '/peer/forward'


@attrs.frozen
class _ReceivedSummary:
    """A summary with the monotonic time of its arrival."""

    summary: schema.messages.DomainSummary
    time_s: float


@attrs.frozen(kw_only=True)
class Hop:
    """An entry process that a request can be forwarded to.

    :param host: name of its host.
    :param domain: its failure domain.
    :param peer_url: its peer URL.
    :param queue_delay_s: expected queue delay in its domain, in seconds.
    """

    host: str
    domain: str
    peer_url: str
    queue_delay_s: float


@attrs.define(eq=False)
class HopSelector:
    """Chooses hops by the summaries of other failure domains."""

    _hub: links.Hub
    _domain: str
    _regions: dict[str, str] = attrs.field(factory=dict, init=False)
    _summaries: dict[str, _ReceivedSummary] = attrs.field(
        factory=dict, init=False
    )

    def apply_document(self, fleet: schema.fleet.Fleet) -> None:
        """Applies the regions of the failure domains."""
        self._regions = {domain.name: domain.region for domain in fleet.domains}

    async def handle_summary(
        self, link: links.Link, message: schema.messages.DomainSummary
    ) -> None:
        """Records a summary of another failure domain."""
        self._summaries[message.domain] = _ReceivedSummary(
            message, time.monotonic()
        )

    def choose_hop(
        self, model: str, exclude: collections.abc.Container[str]
    ) -> Hop | None:
        """Chooses an entry process of the domain with the shortest wait.

        :param model: name of the model.
        :param exclude: hosts that were tried.
        :returns: the hop; None if no domain has an engine for the model.
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
        self, local_host: str, exclude: collections.abc.Container[str]
    ) -> Hop | None:
        """Returns the process that runs the suspects of the local domain.

        All entry processes that can reach each other choose the same one, so
        that suspects run one at a time in the failure domain.

        :param local_host: name of the host of this process.
        :param exclude: hosts that were tried.
        :returns: the hop; None if this process runs the request itself, as
            the owner or because the owner was tried.
        """
        linked = {
            link.host: link
            for link in self._hub.links
            if link.program == 'entry' and link.domain == self._domain
        }
        owner = admission.choose_owner('suspects', (local_host, *linked))
        if owner == local_host or owner in exclude:
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
        :returns: the hop; None if no such process is linked.
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
        """Estimates the wait of a hop, with the latency between regions.

        Traffic between regions is slow and charged by volume.
        """
        local_region = self._regions.get(self._domain)
        if self._regions.get(hop.domain) == local_region:
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
    """Makes the hop selector of a process.

    :param hub: peer links of the process.
    :param domain: local failure domain.
    """
    return HopSelector(hub, domain)
