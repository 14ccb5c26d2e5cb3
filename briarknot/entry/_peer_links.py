"""Links to peers, and capacity summaries for other failure domains."""

import asyncio
import collections.abc
import math
import time

import attrs

from briarknot import admission, membership, platform, schema
from briarknot.entry import _context

#: Links to each other failure domain. Two tolerate the failure of one host;
#: links to all hosts would grow with the fleet.
_LINKS_PER_DOMAIN = 2
_HOSTS_PERIOD_S = 2.0
#: A process that starts during an outage gets the document only after the host
#: list, and must have both within 4 s of the end of the outage.
_HOSTS_RETRY_S = 0.5
#: The list has about 100 bytes per host; at 340 hosts, reading it every 2 s
#: took 17 KB/s per node. A delay does no harm, as new hosts connect on their
#: own.
_HOSTS_PERIOD_PER_HOST_S = 0.2
_SUMMARY_PERIOD_S = 1.0
#: A summary of 12 models has 316 bytes and is sent on each link to another
#: domain, of which there are about 16 in a fleet of 5 domains.
_SUMMARY_PERIOD_PER_LINK_S = 0.25


def choose_links(
    hosts: collections.abc.Iterable[platform.Host], node: schema.settings.Node
) -> tuple[str, ...]:
    """Returns the peer URLs that a process should connect to.

    :param hosts: the platform's host list.
    :param node: identity of the process.
    :returns: all hosts of the local failure domain, and a few of each other
        domain.
    """
    domains: dict[str, list[platform.Host]] = {}
    for host in hosts:
        if host.host != node.host and not host.leaving and host.peer_url:
            domains.setdefault(host.domain, []).append(host)
    urls = [peer.peer_url for peer in domains.pop(node.domain, ())]
    for members in domains.values():
        by_name = {member.host: member for member in members}
        for _ in range(min(_LINKS_PER_DOMAIN, len(by_name))):
            chosen = admission.choose_owner(node.host, tuple(by_name))
            urls.append(by_name.pop(chosen).peer_url)
    return tuple(urls)


@attrs.define(eq=False)
class PeerLinks:
    """Keeps links to peers and sends summaries to other failure domains."""

    _context: _context.Context
    _linked_urls: set[str] = attrs.field(factory=set, init=False)

    async def run_links(self) -> None:
        """Applies the platform's host list periodically, until cancelled.

        Links are kept while the list cannot be read, so that a failure domain
        that cannot reach the platform stays connected.
        """
        context = self._context
        for url in context.node.peers:
            context.hub.connect(url)
        while True:
            hosts = await context.client.list_hosts()
            period_s = _HOSTS_RETRY_S
            if isinstance(hosts, tuple):
                self._apply_hosts(hosts)
                spread_s = len(hosts) * _HOSTS_PERIOD_PER_HOST_S
                period_s = max(_HOSTS_PERIOD_S, spread_s)
            await asyncio.sleep(period_s)

    async def run_summaries(self) -> None:
        """Sends summaries of the local failure domain, until cancelled."""
        context = self._context
        while True:
            summary = self._make_summary(time.monotonic())
            remote_links = [
                link
                for link in context.hub.links
                if link.domain != context.node.domain
            ]
            for link in remote_links:
                link.send(summary)
            spread_s = len(remote_links) * _SUMMARY_PERIOD_PER_LINK_S
            await asyncio.sleep(max(_SUMMARY_PERIOD_S, spread_s))

    def _apply_hosts(self, hosts: tuple[platform.Host, ...]) -> None:
        listed = _convert_hosts(hosts)
        now = time.monotonic()
        context = self._context
        context.members.apply_hosts(listed, now)
        context.detector.apply_hosts(listed, now)
        self._connect(set(choose_links(hosts, context.node)))
        context.hub.peers_listed.set()

    def _connect(self, urls: set[str]) -> None:
        for url in self._linked_urls - urls:
            self._context.hub.disconnect(url)
        for url in urls - self._linked_urls:
            self._context.hub.connect(url)
        self._linked_urls = urls

    def _make_summary(self, now: float) -> schema.messages.DomainSummary:
        context = self._context
        return schema.messages.DomainSummary(
            domain=context.node.domain,
            models=tuple(
                self._summarize(model.name, now)
                for model in context.fleet.models
            ),
        )

    def _summarize(
        self, model: str, now: float
    ) -> schema.messages.ModelCapacity:
        work = self._context.estimator.estimate('', '', model, (), 0, 1)
        usable = [
            engine
            for engine in self._context.view.engines
            if engine.model_name == model and not engine.explain_unfit(now)
        ]
        choice = self._context.router.choose_engine(
            self._context.view, work, now
        )
        delay_s = choice.expected_first_token_s if choice else math.inf
        return schema.messages.ModelCapacity(
            model=model, engines=len(usable), queue_delay_s=delay_s
        )


def _convert_hosts(
    hosts: collections.abc.Iterable[platform.Host],
) -> list[membership.ListedHost]:
    return [
        membership.ListedHost(
            host=host.host,
            domain=host.domain,
            peer_url=host.peer_url,
            state='leaving' if host.leaving else 'live',
        )
        for host in hosts
    ]


def make_peer_links(context: _context.Context) -> PeerLinks:
    """Makes the links of a process to its peers.

    :param context: components of the process.
    """
    return PeerLinks(context)
