"""Chooses the processes that repeat, receive or store what a process knows."""

from briarknot import serving
from briarknot.gateway import _context

#: Processes of the local domain that get it in each period.
_NEAR_RECEIVERS = 2


def choose_receivers(context: _context.Context, key: str) -> tuple[str, ...]:
    """Chooses a few processes at random.

    Each process sends to some of its domain. One process of each domain also
    sends to one of each other domain, as traffic between domains is billed by
    volume.

    :param context: state of the process.
    :param key: key of the order that decides which process that is.
    :returns: their hosts.
    """
    settings = context.settings
    domains: dict[str, list[str]] = {settings.domain: []}
    for host, peer in context.peer_hosts.items():
        domains.setdefault(peer.domain, []).append(host)
    near = domains.pop(settings.domain)
    chosen = _sample(context, near, _NEAR_RECEIVERS)
    if serving.rank_names(key, (settings.host, *near))[0] == settings.host:
        for hosts in domains.values():
            chosen.extend(_sample(context, hosts, 1))
    return tuple(chosen)


def get_rank(context: _context.Context, key: str) -> int:
    """Returns the rank of this process in an order of all by hash.

    :param context: state of the process.
    :param key: key of the order.
    """
    hosts = (context.settings.host, *context.peer_hosts)
    return serving.rank_names(key, hosts).index(hosts[0])


def _sample(
    context: _context.Context, hosts: list[str], count: int
) -> list[str]:
    return context.random_source.sample(hosts, min(count, len(hosts)))
