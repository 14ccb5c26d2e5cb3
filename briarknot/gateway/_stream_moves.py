"""Moves the stream of a silent worker once another one has accepted it."""

import asyncio
import contextlib
import time
import typing

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import _attempts, _context, _prefill, _requests

#: Sends that moving a stream takes: its prompt is prefilled again, and its rest
#: is generated at another worker.
_SENDS_OF_A_MOVE = 2


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
    """Opens the rest of a stream at another worker while its own is silent.

    A sound worker may be silent for a second or so and go on. Its run is given
    up only when another worker has accepted the rest. Where it goes on before,
    the other one's run is cancelled.
    """

    _context: _context.Context
    _request: _requests.Request
    _run: Run
    _open_rest: OpenRest
    _task: asyncio.Task[Run | None] | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether another worker has accepted the rest."""
        task = self._task
        if task is None or not task.done() or task.cancelled():
            return False
        return task.exception() is None and task.result() is not None

    def start_if_silent(self) -> None:
        """Starts to open the rest where the worker is silent on all streams."""
        now = time.monotonic()
        record = self._run.opened.record
        is_moving = self._task is not None and not self._task.done()
        if is_moving or not record.is_silent(now) or not self._reserve(now):
            return
        record.record_silence(now)
        self._log('stream_moving')
        self._task = asyncio.create_task(self._open())

    def record_bytes(self) -> None:
        """Records that the worker has sent bytes, and cancels the move."""
        record = self._run.opened.record
        record.record_bytes(time.monotonic())
        if self._task is None or self._task.done():
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
