"""Decides which process reads the store for the others, and how long they wait.

The first reader of all domains reads for the whole fleet. The readers of the
other domains step in one after the other when its news stop, and all other
processes after them, so that a domain that is cut off serves on by itself.
"""

import asyncio

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context

_KEY = 'readers'
#: Wait of the second reader for news; a period of reading and the way between
#: regions are shorter.
_MIN_UPDATE_TIMEOUT_S = 1.0
#: Time between the waits of one reader and the next one; its news arrive
#: within a call to the store and a way between regions.
_RANK_DELAY_S = 0.1
#: Wait of all other processes. A worker that leaves must get no requests after
#: three seconds at the least.
_MAX_UPDATE_TIMEOUT_S = 1.9


def get_reader_rank(context: _context.Context) -> int | None:
    """Returns the place of this process among the readers.

    :param context: state of the process.
    :returns: 0 for the process that reads for all; None for one that reads
        only where no news come.
    """
    settings = context.settings
    domains = {settings.domain: [settings.host]}
    for host, peer in context.peer_hosts.items():
        domains.setdefault(peer.domain, []).append(host)
    readers = [serving.rank_names(_KEY, hosts)[0] for hosts in domains.values()]
    if settings.host not in readers:
        return None
    return serving.rank_names(_KEY, readers).index(settings.host)


async def wait_for_update(
    context: _context.Context,
) -> schema.messages.FleetUpdate | None:
    """Waits for what another process reads.

    :param context: state of the process.
    :returns: the news; None where none come in time.
    """
    rank = get_reader_rank(context)
    wait_s = _MAX_UPDATE_TIMEOUT_S
    if rank is not None:
        wait_s = min(
            _MAX_UPDATE_TIMEOUT_S, _MIN_UPDATE_TIMEOUT_S + _RANK_DELAY_S * rank
        )
    try:
        async with asyncio.timeout(wait_s):
            await context.fleet_update_received.wait()
    except TimeoutError:
        telemetry.log_event('news_late', waited_s=wait_s, reader_rank=rank)
        return None
    # Both followers wait for the same event; the next one is awaited anew.
    await asyncio.sleep(0)
    context.fleet_update_received.clear()
    return context.fleet_update
