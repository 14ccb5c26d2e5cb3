"""Relays the events of one or more runs as one stream."""

import asyncio
import math
import time
import typing

import attrs

from briarknot import platform, serving
from briarknot.gateway import _read_timer, _stream_moves

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
#: Period of checking whether a worker has stopped sending.
_SILENCE_CHECK_S = 0.3
#: Time from the first event of a run until it no longer counts as starting.
#: Its worker may send an event and end; the connection breaks soon after.
_START_S = 0.25
#: Time for which a silent stream is kept after its client should have left. A
#: client waits from when an event has reached it, which takes the way to another
#: region, and longer where a packet is lost.
_CLIENT_LEAVES_S = 0.5
#: Time for which a client leaves events unread after which its worker is not blamed
#: for a broken stream; workers cut off what stays unread for some seconds.
_UNREAD_S = 1.0
#: Time for which a leaving worker may run a stream whose rest is being sent to
#: another worker: a stream may run at two workers for 0.4 s, of which its end takes
#: the way to another region.
_MAX_OVERLAP_S = 0.3
#: Longest event; an event holds a few tokens.
_MAX_EVENT_BYTES = 1 << 20
#: Part of an event from which on the memory for it is counted.
_SMALL_EVENT_BYTES = 32 << 10


#: Called before the first event of a stream.
OnBegin = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, serving.Failed | None]
]


def _ignore() -> None:
    """Does nothing, where nobody follows the events of a run."""


@attrs.define(eq=False)
class Relay:
    """Forwards whole events, so that another run can resume after them.

    A stream with long gaps is not cut before clients abandon it; one that sends
    bytes without completing an event is.

    :param responder: answers the client.
    :param resume_after: last event that the client has.
    :param first_event_s: monotonic time of the first event.
    :param longest_gap_s: longest pause between events in seconds.
    :param unread_s: time that the latest events waited for the client to read.
    :param on_begin: awaited before the first event is forwarded; a failure that it
        returns ends the run.
    :param on_sound: called when a run goes on after its start.
    """

    responder: platform.Responder
    resume_after: str = ''
    first_event_s: float = 0
    longest_gap_s: float = 0
    unread_s: float = 0
    on_begin: OnBegin | None = None
    on_sound: typing.Callable[[], None] = _ignore
    _max_silence_s: float = 0
    _latest_s: float = 0
    _progress_s: float = 0
    _is_open: bool = False
    _run_started_s: float = 0
    _is_sound: bool = False
    _is_held: bool = False
    _exchange: platform.Exchange | None = None
    _move: _stream_moves.Move | None = None
    _overlap_timer: asyncio.TimerHandle | None = None

    @property
    def is_starting(self) -> bool:
        """Whether the latest run sent no event until a moment before its end.

        A run that makes its worker end does so as its answer begins.
        """
        return time.monotonic() - self._run_started_s < _START_S

    @property
    def was_unread(self) -> bool:
        """Whether the client left the latest events unread for too long."""
        return self.unread_s > _UNREAD_S

    @property
    def has_started(self) -> bool:
        """Whether the client has got a part of the answer."""
        return self._is_open

    def hold(self) -> str:
        """Stops forwarding events of a leaving worker, as the rest is being sent.

        Another worker sends what follows the latest event; both would send the
        next ones.

        :returns: the latest event that the client has.
        """
        self._is_held = True
        self._stop_overlap_timer()
        if self._exchange and self._move and self._move.is_leaving:
            self._overlap_timer = asyncio.get_running_loop().call_later(
                _MAX_OVERLAP_S, self._exchange.close
            )
        return self.resume_after

    def release(self) -> None:
        """Forwards events again, as the rest was not accepted."""
        self._is_held = False
        self._stop_overlap_timer()

    async def run(
        self,
        exchange: platform.Exchange,
        move: _stream_moves.Move,
    ) -> serving.Failed | None:
        """Forwards the events of a run.

        :param exchange: answer of the run.
        :param move: moves the stream where the worker is silent.
        :returns: why the stream is incomplete; None where it is complete, or
            where the client disconnected.
        """
        self._progress_s = time.monotonic()
        self._run_started_s = math.inf
        self._is_sound = False
        self._is_held = False
        self._exchange = exchange
        self._move = move
        timer = _read_timer.make_read_timer(_SILENCE_CHECK_S)
        try:
            return await self._forward_all(exchange, move, timer)
        finally:
            timer.close()
            self._end_run()

    def _end_run(self) -> None:
        self._exchange = None
        self._move = None
        self._stop_overlap_timer()

    def _stop_overlap_timer(self) -> None:
        if self._overlap_timer is not None:
            self._overlap_timer.cancel()
            self._overlap_timer = None

    async def _forward_all(
        self,
        exchange: platform.Exchange,
        move: _stream_moves.Move,
        timer: _read_timer.ReadTimer,
    ) -> serving.Failed | None:
        partial_event = b''
        failure = None
        is_end = False
        while not is_end:
            chunk = await self._read(exchange, move, timer)
            if isinstance(chunk, serving.Failed):
                failure = chunk
                break
            is_end = not chunk
            events, partial_event = _split_events(partial_event + chunk)
            if len(partial_event) > _MAX_EVENT_BYTES:
                failure = serving.Failed(
                    kind=serving.FailureKind.FOREIGN,
                    reason=f'event longer than {_MAX_EVENT_BYTES} bytes',
                )
                break
            if len(partial_event) > _SMALL_EVENT_BYTES:
                await exchange.reserve(len(partial_event))
            if is_end and partial_event.strip():
                failure = serving.Failed(
                    kind=serving.FailureKind.BROKEN,
                    reason='the stream ends inside an event',
                )
                break
            if is_end:
                events += partial_event
            if events and self.on_begin and not self.first_event_s:
                failure = await self._begin(self.on_begin, move)
            if failure is not None:
                break
            if not await self._forward(exchange, events, is_end=is_end):
                break
        return failure

    async def _begin(
        self, on_begin: OnBegin, move: _stream_moves.Move
    ) -> serving.Failed | None:
        """Waits until the first event may be forwarded.

        :param on_begin: awaited first.
        :param move: moves the stream of a leaving worker.
        :returns: a failure also where another worker was asked for the stream from
            its first event on meanwhile: one may have a version that others know,
            and the other another one.
        """
        was_held = self._is_held
        failure = await on_begin()
        is_moved = move.is_accepted or (self._is_held and not was_held)
        if failure is None and is_moved:
            failure = serving.Failed(
                kind=serving.FailureKind.UNCONFIRMED,
                reason='the stream was moved before its first event',
            )
        return failure

    async def _read(
        self,
        exchange: platform.Exchange,
        move: _stream_moves.Move,
        timer: _read_timer.ReadTimer,
    ) -> bytes | serving.Failed:
        while not self._is_stalled(time.monotonic()):
            move.start_if_leaving()
            try:
                chunk = await timer.wait_for(exchange.read_some())
            except TimeoutError:
                move.start_if_silent()
                continue
            if move.is_leaving and self._is_held:
                await move.settle()
            if move.is_accepted:
                cause = 'leaving' if move.is_leaving else 'silent'
                return serving.Failed(
                    kind=serving.FailureKind.UNREACHABLE,
                    reason=f'{cause}, and another worker has accepted the rest',
                )
            if not isinstance(chunk, serving.Failed):
                move.record_bytes()
                self._is_held = self._is_held and move.is_leaving
            return chunk
        return serving.Failed(
            kind=serving.FailureKind.TIMED_OUT,
            reason=f'no event within {self._max_silence_s:.1f} s',
        )

    def _is_stalled(self, now: float) -> bool:
        """Returns whether clients have abandoned the stream by now.

        Bytes that complete no event don't count. A stream that ended before
        its client left would be a loss that the client did not choose.

        :param now: monotonic time in seconds.
        """
        if not self._max_silence_s:
            return False
        end_s = self._progress_s + self._max_silence_s + _CLIENT_LEAVES_S
        return now > end_s

    async def _forward(
        self, exchange: platform.Exchange, events: bytes, *, is_end: bool
    ) -> bool:
        # Another worker may be asked for the rest while the client is waited for.
        self.resume_after = _get_last_id(events) or self.resume_after
        if not self._is_open and (events or is_end):
            self._is_open = True
            if not await self.responder.start_stream(exchange.answer):
                return False
        if not events:
            return True
        self._record_events(events)
        is_connected = await self.responder.send_events(events)
        now = time.monotonic()
        self.unread_s = now - self._latest_s
        if self.was_unread:
            # The worker was not read meanwhile.
            self._progress_s = now
        return is_connected

    def _record_events(self, events: bytes) -> None:
        now = time.monotonic()
        self._run_started_s = min(now, self._run_started_s)
        if not (self._is_sound or self.is_starting):
            self._is_sound = True
            self.on_sound()
        if self.first_event_s:
            self.longest_gap_s = max(self.longest_gap_s, now - self._latest_s)
        else:
            self.first_event_s = now
        self._latest_s = now
        self._progress_s = now


def _split_events(data: bytes) -> tuple[bytes, bytes]:
    """Splits bytes into whole events and the start of the next one."""
    end = data.rfind(_EVENT_END)
    if end < 0:
        return b'', data
    end += len(_EVENT_END)
    return data[:end], data[end:]


def _get_last_id(events: bytes) -> str:
    for line in reversed(events.split(b'\n')):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('ascii', 'replace')
    return ''


def make_relay(
    responder: platform.Responder,
    resume_after: str,
    max_silence_s: float = 0,
    on_sound: typing.Callable[[], None] = _ignore,
) -> Relay:
    """Makes a relay that has forwarded nothing.

    :param responder: answers the client.
    :param resume_after: last event that the client already has.
    :param max_silence_s: time without an event after which clients abandon the
        stream, in seconds; 0 where they don't.
    :param on_sound: called when a run goes on after its start.
    """
    return Relay(
        responder,
        resume_after,
        on_sound=on_sound,
        max_silence_s=max_silence_s,
    )
