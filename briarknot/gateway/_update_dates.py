"""Times as of which updates and answers of the store are known to be right."""

import math

from briarknot import platform, schema
from briarknot.gateway import _clock


def date_update(
    client: platform.Client, update: schema.messages.FleetUpdate
) -> float:
    """Returns the time at which the list of an update was read, or an earlier one.

    :param client: client of the store.
    :param update: the update.
    :returns: the time; minus infinity where the clocks can't be compared.
    """
    if update.store_era != client.era or not update.list_store_s:
        return -math.inf
    dated_s = client.convert_store_time(update.list_store_s)
    return min(dated_s, _clock.read_clock())


def date_feed(
    client: platform.Client, page: platform.Page, read_s: float, wait_s: float
) -> float:
    """Returns the time as of which a page of the feed is complete.

    A process that was suspended reads it late, so its arrival says nothing.

    :param client: client of the store.
    :param page: the page.
    :param read_s: time before the feed was requested.
    :param wait_s: longest wait for a change.
    """
    now = _clock.read_clock()
    if page.store_s and page.era == client.era:
        dated_s = client.convert_store_time(page.store_s)
        return max(read_s, min(dated_s, now))
    if page.rows:
        return read_s
    return min(read_s + wait_s, now)
