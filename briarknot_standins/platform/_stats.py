"""Counters and rate limits of the platform stand-in."""

import time

import attrs


@attrs.define(eq=False)
class RateLimit:
    """Token bucket that holds the tokens of one second, and at least one.

    :param rate: requests per second; 0 means no limit.
    """

    _rate: float
    _tokens: float = attrs.field(init=False)
    _filled_at_s: float = attrs.field(factory=time.monotonic, init=False)

    @_tokens.default
    def _make_tokens(self) -> float:
        return self._capacity

    @property
    def _capacity(self) -> float:
        return max(1, self._rate)

    def try_acquire(self) -> bool:
        """Takes a token and returns whether the request is within the limit."""
        if not self._rate:
            return True
        now_s = time.monotonic()
        filled = self._tokens + (now_s - self._filled_at_s) * self._rate
        self._tokens = min(self._capacity, filled)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.define
class Stats:
    """Counters since the start.

    :param reads: reads of tables, objects and hosts that were answered.
    :param writes: transactions, objects and hosts that were written.
    :param operations: puts and removals of written transactions.
    :param conflicts: transactions refused because of a version conflict.
    :param reads_refused: reads above the rate limit.
    :param writes_refused: writes above the rate limit.
    :param answers_lost: writes whose answer was lost.
    :param objects: objects that are stored.
    :param object_bytes: bytes of the objects that are stored.
    :param bytes_in: bytes of request bodies.
    :param bytes_out: bytes of response bodies.
    """

    reads: int = 0
    writes: int = 0
    operations: int = 0
    conflicts: int = 0
    reads_refused: int = 0
    writes_refused: int = 0
    answers_lost: int = 0
    objects: int = 0
    object_bytes: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
