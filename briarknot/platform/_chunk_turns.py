"""Turns of reading bodies in small chunks, so that other requests go on."""

import asyncio
import time

import attrs

#: Longest pause after a turn, in seconds; the clock also runs while the process
#: gets no processor time.
_MAX_PAUSE_S = 0.05


@attrs.define(eq=False)
class ChunkTurns:
    """Lets one body in small chunks be parsed at a time, and others in between.

    Parsing 4 MB in one-byte chunks takes seconds. Where several such bodies wait,
    they get at most half of the time.
    """

    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _waiting: int = 0
    _granted_s: float = 0

    async def take(self) -> None:
        """Waits for the turn to parse the next part of a body."""
        self._waiting += 1
        try:
            async with self._lock:
                cost_s = time.monotonic() - self._granted_s
                is_contended = self._waiting > 1
                await asyncio.sleep(
                    min(cost_s, _MAX_PAUSE_S) if is_contended else 0
                )
                self._granted_s = time.monotonic()
        finally:
            self._waiting -= 1
