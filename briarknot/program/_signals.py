"""Notification of tasks that wait for a change of shared state."""

import asyncio

import attrs


@attrs.define(eq=False)
class Signal:
    """Wakes all tasks that wait at the moment of a notification."""

    _event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def notify(self) -> None:
        """Wakes all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Waits for the next notification.

        :param timeout_s: longest wait in seconds; None for no limit.
        :returns: whether there was one.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
