"""Closes connections of clients that are over a time limit."""

import asyncio
import time

import attrs

from briarknot.platform import _client_limits

#: Period of the checks, in seconds.
_CHECK_PERIOD_S = 0.5


@attrs.frozen(eq=False)
class LateClients:
    """Checks the time limits of all connections."""

    _limits: _client_limits.ClientLimits

    async def close_late(self) -> None:
        """Closes connections that are over a time limit.

        After a suspension, received data is read before time limits apply.
        """
        checked_s = time.monotonic()
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            now = time.monotonic()
            is_late = now - checked_s > 2 * _CHECK_PERIOD_S
            checked_s = now
            if is_late or self._limits.is_empty:
                continue
            self._limits.charge_unread(now)
            for client, limit in self._limits.list_late(now):
                self._limits.evict(client, limit)
