"""Limits of requests per second that workers in need have named.

Each answer of a worker states whether it has a limit. Processes exchange what
they have read as records, of which the latest statement holds, so that the order
and the loss of messages don't matter.
"""

import typing

import attrs

from briarknot import schema
from briarknot.serving import _backpressure

#: An answer to a request that was sent this long after the latest statement of a
#: limit shows its end: messages between processes take up to this long, and the
#: start of an answer may be delayed.
_MAX_LATENCY_S = 0.1
#: Time without an answer after which a limit is forgotten; the next answer names
#: it again.
_MEMORY_S = 60.0
#: Time for which the end of a limit is remembered, against records of it that
#: are still on their way.
_CLEARED_MEMORY_S = 30.0
#: Relative change of a limit that other processes are informed of at once. The
#: others get smaller ones with the repeated records.
_MIN_CHANGE = 0.1
#: Larger limits count as none: all gateways together send fewer requests than that
#: at the size that the product is designed for. Issuers keep a time for each permit
#: of a window, which would exhaust their memory.
_MAX_LIMIT_PER_S = 10_000
_MS_PER_S = 1000

LimitRecord = schema.messages.LimitRecord


@attrs.frozen
class _Statement:
    """Latest statement of a worker.

    :param per_s: its limit in requests per second; None for none.
    :param stated_s: latest monotonic time at which it is known to have held.
    :param since_s: monotonic time since which it has had a limit, or none.
    """

    per_s: float | None
    stated_s: float
    since_s: float


@attrs.define(eq=False)
class WorkerLimits:
    """Limits of workers, as this process and others have read them."""

    _statements: dict[str, _Statement] = attrs.field(factory=dict)
    _changed: dict[str, None] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no worker has stated anything that is remembered."""
        return not self._statements

    @property
    def has_changed(self) -> bool:
        """Whether a limit has changed here since the last ``take_changed``."""
        return bool(self._changed)

    def get(self, start: str, now: float) -> float | None:
        """Returns the limit of a worker, or None if it has none.

        :param start: the worker and its start.
        :param now: monotonic time in seconds.
        """
        known = self._get(start, now)
        return known.per_s if known else None

    def get_age_s(self, start: str, now: float) -> float:
        """Returns for how long a worker has had a limit; 0 if it has none.

        :param start: the worker and its start.
        :param now: monotonic time in seconds.
        """
        known = self._get(start, now)
        if known is None or known.per_s is None:
            return 0
        return now - known.since_s

    def record_answer(
        self,
        start: str,
        backpressure: _backpressure.Backpressure | None,
        sent_s: float,
        now: float,
    ) -> bool:
        """Records what a worker stated in an answer.

        :param start: the worker and its start.
        :param backpressure: its statements; None where they are not known.
        :param sent_s: monotonic time at which the request was sent.
        :param now: monotonic time at which the answer arrived.
        :returns: whether its limit has changed.
        """
        if backpressure is None:
            return False
        known = self._get(start, now)
        before = known.per_s if known else None
        per_s = _drop_excessive(backpressure.limit_per_s)
        if per_s is not None:
            since_s = now if before is None else known.since_s
            self._statements[start] = _Statement(per_s, now, since_s)
        elif before is not None and sent_s > known.stated_s + _MAX_LATENCY_S:
            self._statements[start] = _Statement(None, sent_s, sent_s)
        else:
            # There was no limit, or the worker may have answered before it
            # named the limit.
            return False
        is_changed = _is_changed(before, per_s)
        if is_changed:
            self._changed[start] = None
        return is_changed

    def merge(
        self, records: typing.Iterable[LimitRecord], now: float
    ) -> tuple[str, ...]:
        """Merges the records of another process.

        :param records: the records.
        :param now: monotonic time in seconds.
        :returns: workers whose limit has changed.
        """
        changed = []
        for one in records:
            known = self._get(one.worker, now)
            stated_s = now - one.age_ms / _MS_PER_S
            if known is not None and known.stated_s >= stated_s:
                continue
            before = known.per_s if known else None
            per_s = _drop_excessive(one.per_s if one.is_limited else None)
            since_s = now - one.since_ms / _MS_PER_S
            if before is not None and per_s is not None:
                since_s = min(since_s, known.since_s)
            self._statements[one.worker] = _Statement(per_s, stated_s, since_s)
            if _is_changed(before, per_s):
                changed.append(one.worker)
        return tuple(changed)

    def take_changed(self, now: float) -> tuple[LimitRecord, ...]:
        """Returns the records that changed here since the last call.

        :param now: monotonic time in seconds.
        """
        starts = tuple(self._changed)
        self._changed.clear()
        return tuple(
            self._export(start, now)
            for start in starts
            if self._get(start, now)
        )

    def list_records(self, now: float) -> tuple[LimitRecord, ...]:
        """Lists all records, for other processes.

        :param now: monotonic time in seconds.
        """
        return tuple(
            self._export(start, now)
            for start in tuple(self._statements)
            if self._get(start, now)
        )

    def find_record(self, start: str, now: float) -> LimitRecord | None:
        """Returns the record of a worker, or None if it has no limit.

        :param start: the worker and its start.
        :param now: monotonic time in seconds.
        """
        if self.get(start, now) is None:
            return None
        return self._export(start, now)

    def _export(self, start: str, now: float) -> LimitRecord:
        known = self._statements[start]
        return LimitRecord(
            worker=start,
            is_limited=known.per_s is not None,
            per_s=known.per_s or 0,
            age_ms=max(0, int((now - known.stated_s) * _MS_PER_S)),
            since_ms=max(0, int((now - known.since_s) * _MS_PER_S)),
        )

    def _get(self, start: str, now: float) -> _Statement | None:
        known = self._statements.get(start)
        if known is None:
            return None
        memory_s = _CLEARED_MEMORY_S if known.per_s is None else _MEMORY_S
        if now - known.stated_s > memory_s:
            del self._statements[start]
            return None
        return known


def _drop_excessive(per_s: float | None) -> float | None:
    """Returns a limit; None for one that no worker reaches."""
    return None if per_s is None or per_s > _MAX_LIMIT_PER_S else per_s


def _is_changed(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > _MIN_CHANGE * before


def make_worker_limits() -> WorkerLimits:
    """Makes the limits of a process that knows none.

    >>> limits = make_worker_limits()
    >>> named = _backpressure.Backpressure(limit_per_s=2.5)
    >>> limits.record_answer('w 0', named, sent_s=1, now=2)
    True
    >>> limits.get('w 0', now=3)
    2.5
    """
    return WorkerLimits()
