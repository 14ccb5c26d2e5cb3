"""Limits each of many waits of a task with one timer."""

import asyncio
import typing

import attrs


@attrs.define(eq=False)
class ReadTimer:
    """Ends a wait of its task that lasts longer than a period.

    ``asyncio.timeout`` sets and cancels a timer for each wait, a tenth of the cost
    of an event. This timer stays set, and checks at its end how long the present
    wait has lasted. A wait is ended like there, by cancelling the task.
    """

    _period_s: float
    _task: asyncio.Task[typing.Any]
    _loop: asyncio.AbstractEventLoop
    _handle: asyncio.TimerHandle | None = None
    _since_s: float = 0
    _is_waiting: bool = False
    _has_expired: bool = False

    async def wait_for(
        self, wait: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> typing.Any:
        """Waits for a result.

        :param wait: what the timer's task waits for.
        :raises TimeoutError: after the period.
        """
        cancels = self._task.cancelling()
        self._since_s = self._loop.time()
        self._has_expired = False
        self._is_waiting = True
        if self._handle is None:
            self._set(self._since_s + self._period_s)
        try:
            return await wait
        except asyncio.CancelledError as error:
            if self._has_expired and self._task.cancelling() <= cancels + 1:
                raise TimeoutError from error
            raise
        finally:
            self._is_waiting = False
            if self._has_expired:
                # Also where the wait has handled the cancellation itself.
                self._task.uncancel()

    def close(self) -> None:
        """Cancels the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _set(self, when_s: float) -> None:
        self._handle = self._loop.call_at(when_s, self._check)

    def _check(self) -> None:
        end_s = self._since_s + self._period_s
        if not self._is_waiting:
            # The next wait sets it again.
            self._handle = None
        elif end_s > self._loop.time():
            self._set(end_s)
        else:
            self._handle = None
            self._has_expired = True
            self._task.cancel()


def make_read_timer(period_s: float) -> ReadTimer:
    """Makes a timer for the waits of the current task.

    :param period_s: longest wait in seconds.
    """
    return ReadTimer(
        period_s, asyncio.current_task(), asyncio.get_running_loop()
    )
