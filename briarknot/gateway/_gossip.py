"""Chooses the processes that repeat, receive or store what a process knows."""

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
    groups = context.host_groups
    chosen = _sample(context, groups.near, _NEAR_RECEIVERS)
    if groups.rank_near(key)[0] == context.settings.host:
        for hosts in groups.far.values():
            chosen.extend(_sample(context, hosts, 1))
    return tuple(chosen)


def get_rank(context: _context.Context, key: str) -> int:
    """Returns the rank of this process in an order of all by hash.

    :param context: state of the process.
    :param key: key of the order.
    """
    return context.host_groups.rank_all(key).index(context.settings.host)


def _sample(
    context: _context.Context, hosts: tuple[str, ...], count: int
) -> list[str]:
    return context.random_source.sample(hosts, min(count, len(hosts)))
