"""Chooses the store readers, and how long a process waits for their updates.

Each failure domain has one store reader. The first one in rank reads for the
whole fleet. When its updates stop, the store readers of the other domains take
over in the order of their rank, and then all other processes, so that an
isolated domain continues to serve.
"""

import asyncio

from briarknot import schema, telemetry
from briarknot.gateway import _context

_KEY = 'readers'
#: Shortest wait of a store reader for an update. It exceeds the sum of the
#: leader's read period and the network latency between regions.
_MIN_UPDATE_TIMEOUT_S = 1.0
#: Additional wait per rank. The update of the preceding reader arrives within
#: a call to the store and the network latency between regions.
_RANK_DELAY_S = 0.1
#: Wait of all other processes. A leaving worker must receive no requests after
#: a configured time of at least three seconds.
_MAX_UPDATE_TIMEOUT_S = 1.9


def get_reader_rank(context: _context.Context) -> int | None:
    """Returns the rank of this process among the store readers.

    :param context: state of the process.
    :returns: 0 for the leader, which reads for all; None for a process that is
        no store reader and reads only where no updates arrive.
    """
    return context.host_groups.get_reader_rank(_KEY)


async def wait_for_update(
    context: _context.Context,
) -> schema.messages.FleetUpdate | None:
    """Waits for an update of another process.

    :param context: state of the process.
    :returns: the update; None where none arrives in time.
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
        telemetry.log_event(
            'fleet_update_late', waited_s=wait_s, reader_rank=rank
        )
        return None
    # Both synchronization tasks wait for this event. It is cleared after both
    # have resumed, so that the next wait is for the next update.
    await asyncio.sleep(0)
    context.fleet_update_received.clear()
    return context.fleet_update
