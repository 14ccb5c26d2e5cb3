"""Token counts of an attempt, and its reservations in the endpoint view."""

import time
import typing

import attrs

from briarknot import routing
from briarknot.entry import _stream


@attrs.define(eq=False)
class Meter:
    """Counts the tokens of one attempt and delivers its deltas."""

    _record_first_token: typing.Callable[[], None]
    _deliver: _stream.Deliver
    _started_s: float = attrs.field(factory=time.monotonic, init=False)
    _first_token_s: float | None = attrs.field(default=None, init=False)
    _tokens: int = attrs.field(default=0, init=False)

    @property
    def started_s(self) -> float:
        """Monotonic time of the start, in seconds."""
        return self._started_s

    @property
    def first_token_s(self) -> float | None:
        """Time to the first token, in seconds; None before it."""
        return self._first_token_s

    @property
    def tokens(self) -> int:
        """Tokens so far."""
        return self._tokens

    async def deliver(self, deltas: list[_stream.Delta]) -> None:
        """Counts deltas and delivers them."""
        if self._first_token_s is None:
            self._first_token_s = time.monotonic() - self._started_s
            self._record_first_token()
        self._tokens += len(deltas)
        await self._deliver(deltas)


@attrs.define(eq=False)
class Reservation:
    """Attempts counted in the endpoint view for one dispatch."""

    _view: routing.View
    _attempts: list[routing.Attempt]

    def close(self, meter: Meter, *, ok: bool) -> None:
        """Ends the attempts in the endpoint view."""
        now = time.monotonic()
        for attempt in self._attempts:
            is_prefill = attempt.part is routing.Part.PREFILL
            self._view.end_attempt(
                attempt,
                now,
                ok=ok,
                first_token_s=None if is_prefill else meter.first_token_s,
                tokens=0 if is_prefill else meter.tokens,
            )
