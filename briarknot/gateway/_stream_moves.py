"""Moves the stream of a silent or leaving worker once another one accepts it."""

import asyncio
import contextlib
import math
import time
import typing

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import _attempts, _context, _prefill, _requests

#: Sends that moving a stream takes: its prompt is prefilled again, and its rest
#: is generated at another worker.
_SENDS_OF_A_MOVE = 2
#: Time before the end of a leaving worker at which its streams are moved. A reclaim
#: leaves 2 to 2.8 s, of which reading the entry takes up to 1 s; streams of workers
#: that leave later may be complete before.
_LEAVING_S = 3.0
#: Time after which a move away from a leaving worker is tried again.
_RETRY_S = 0.5


@attrs.define(eq=False)
class Run:
    """A generation at a worker that has accepted it.

    :param opened: the attempt at the worker.
    :param exchange: the worker's answer.
    :param source: KV cache of the prompt that it fetched; None for none.
    :param stack: closes the answer and ends the counting of the run.
    """

    opened: _attempts.Attempt
    exchange: platform.Exchange
    source: serving.KvSource | None
    stack: contextlib.ExitStack

    @property
    def worker(self) -> schema.serving.Worker:
        """Its worker."""
        return self.opened.worker


#: Opens the rest of a stream at another worker; None where none accepts it.
OpenRest = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, Run | None]
]


@attrs.define(eq=False)
class Move:
    """Opens the rest of a stream at another worker while its own is silent or leaves.

    A sound worker may be silent for a second or so and go on. Its run is given
    up only when another worker has accepted the rest. Where it goes on before,
    the other one's run is cancelled. A leaving worker goes on, and its events count
    until the rest is sent to the other one.
    """

    _context: _context.Context
    _request: _requests.Request
    _run: Run
    _open_rest: OpenRest
    _task: asyncio.Task[Run | None] | None = None
    _is_leaving: bool = False
    _retry_at_s: float = -math.inf

    @property
    def is_accepted(self) -> bool:
        """Whether another worker has accepted the rest."""
        task = self._task
        if task is None or not task.done() or task.cancelled():
            return False
        return task.exception() is None and task.result() is not None

    @property
    def is_leaving(self) -> bool:
        """Whether the rest is being opened because the worker leaves."""
        return self._is_leaving and self._task is not None

    def start_if_silent(self) -> None:
        """Starts to open the rest where the worker is silent on all streams."""
        now = time.monotonic()
        record = self._run.opened.record
        is_silent = record.is_silent(now)
        if self._is_moving or self.is_accepted or not is_silent:
            return
        if not self._reserve(now):
            return
        record.record_silence(now)
        self._is_leaving = False
        self._log('stream_moving', reason='silent')
        self._task = asyncio.create_task(self._open())

    def start_if_leaving(self) -> None:
        """Starts to open the rest where the worker ends soon, as its entry states."""
        now = time.monotonic()
        ends = self._context.fleet.ends
        remaining_s = ends.get_remaining_s(self._run.worker, now)
        # A rest that is accepted while the client reads slowly is still to be taken.
        is_begun = self._is_moving or self.is_accepted
        if remaining_s > _LEAVING_S or is_begun or now < self._retry_at_s:
            return
        self._retry_at_s = now + _RETRY_S
        if not self._reserve(now):
            return
        self._is_leaving = True
        remaining_s = round(remaining_s, 2)
        self._log('stream_moving', reason='leaving', remaining_s=remaining_s)
        self._task = asyncio.create_task(self._open())

    async def settle(self) -> None:
        """Waits until another worker has accepted the rest, or none does."""
        if self._task is not None:
            await asyncio.wait((self._task,))

    def record_bytes(self) -> None:
        """Records that the worker has sent bytes, and cancels the move."""
        record = self._run.opened.record
        record.record_bytes(time.monotonic())
        if self._task is None or not self._is_moving or self._is_leaving:
            return
        record.record_recovery()
        self._task.cancel()
        self._log('stream_kept', reason='its worker goes on')

    async def finish(self) -> Run | None:
        """Waits for another worker, after the run at the first one has ended.

        :returns: the rest of the stream; None where no worker accepts it.
        """
        if self._task is None:
            return None
        task = self._task
        await asyncio.wait((task,))
        self._task = None
        return None if task.cancelled() else task.result()

    async def close(self) -> None:
        """Cancels the move; a rest that nobody has taken is closed."""
        if self._task is not None:
            self._task.cancel()
            rest = await self.finish()
            if rest is not None:
                rest.stack.close()

    @property
    def _is_moving(self) -> bool:
        """Whether the rest is being opened."""
        return self._task is not None and not self._task.done()

    async def _open(self) -> Run | None:
        rest = await self._open_rest()
        if rest is None:
            self._request.release_sends(self._context.budget)
            self._log('stream_kept', reason='no other worker accepts it')
        else:
            # The reader of the first run waits for bytes; this ends its wait.
            self._run.exchange.close()
        return rest

    def _reserve(self, now: float) -> bool:
        """Reserves the retries of the move, if a worker can take the stream.

        The other streams of a silent worker move at the same time.

        :param now: monotonic time in seconds.
        :returns: whether a worker is expected to take it.
        """
        request = self._request
        if not request.can_resume():
            return False
        others = _prefill.list_unblocked(
            self._context, request, schema.serving.Stage.DECODE, request.tried
        )
        records = [self._context.worker_records.get(one.id) for one in others]
        if all(one.is_blocked(now) for one in records):
            return False
        return request.try_reserve_sends(_SENDS_OF_A_MOVE, self._context.budget)

    def _log(self, event: str, **inputs: object) -> None:
        telemetry.log_event(
            event,
            request=self._request.call.id,
            worker=self._run.worker.id,
            domain=self._run.worker.domain,
            **inputs,
        )


def make_move(
    context: _context.Context,
    request: _requests.Request,
    run: Run,
    open_rest: OpenRest,
) -> Move:
    """Makes a move that has not started.

    :param context: state of the process.
    :param request: the request.
    :param run: its run, which has begun.
    :param open_rest: opens the rest of the stream at another worker.
    """
    return Move(context, request, run, open_rest)
