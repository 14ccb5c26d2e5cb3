"""Writes results of claims, with retries in the background."""

import asyncio
import collections
import time

import attrs
import prometheus_client

from briarknot import platform, schema, telemetry
from briarknot.claims import _decisions, _values, _writer

_WAITING = prometheus_client.Gauge(
    'briarknot_claim_results_waiting',
    'Results of claimed calls that wait for the platform.',
)
_RESULTS = prometheus_client.Counter(
    'briarknot_claim_results',
    'Results of claimed calls, by phase and how they were written.',
    ('phase', 'result'),
)
_RETRY_BACKOFF_FACTOR = 2
_MAX_RETRY_S = 2
# The row changes after it was read only by a delayed write of the same claim or
# by a new claim on a released row, so that more conflicts are unexpected.
_MAX_CONFLICTS = 4


@attrs.frozen(eq=False)
class _PendingResult:
    """A result that is waiting to be written.

    :param key: key of the row.
    :param target: the row to be written.
    :param deadline_s: monotonic time in seconds at which it is discarded.
    """

    key: str
    target: schema.records.ClaimRow
    deadline_s: float


@attrs.define(eq=False)
class ResultWriter:
    """Writes results of claims, immediately or in the background.

    :param client: platform client.
    :param writer: writer of the claims table.
    :param retry_first_s: first wait after a failure, in seconds.
    :param retry_for_s: time after which a result is discarded, in seconds.
    :param max_waiting: largest number of waiting results.
    """

    _client: platform.Client
    _writer: _writer.Writer
    _retry_first_s: float
    _retry_for_s: float
    _max_waiting: int
    _waiting: collections.deque[_PendingResult] = attrs.field(
        factory=collections.deque, init=False
    )
    _task: asyncio.Task[None] | None = attrs.field(default=None, init=False)

    async def settle(
        self, key: str, target: schema.records.ClaimRow
    ) -> _values.Finished | _values.Deferred | _values.Lost:
        """Writes a result, or defers it where the platform is unavailable.

        :param key: key of the row.
        :param target: the claim's row with its new phase.
        """
        result: platform.Unavailable | _values.Finished | _values.Lost
        result = platform.Unavailable('the caller left')
        is_queued = False
        try:
            result = await self._write(key, target)
        finally:
            # The result must not be lost when the caller is cancelled.
            if isinstance(result, platform.Unavailable):
                is_queued = self.defer(key, target)
        if not isinstance(result, platform.Unavailable):
            _RESULTS.labels(target.phase, type(result).__name__.lower()).inc()
            return result
        if is_queued:
            return _values.Deferred(result.reason)
        return _values.Lost(f'{len(self._waiting)} results wait')

    def defer(self, key: str, target: schema.records.ClaimRow) -> bool:
        """Queues a result for a write in the background.

        :param key: key of the row.
        :param target: the claim's row with its new phase.
        :returns: false where the queue is full; the result is then counted
            and discarded.
        """
        if len(self._waiting) >= self._max_waiting:
            _RESULTS.labels(target.phase, 'no_room').inc()
            return False
        deadline_s = time.monotonic() + self._retry_for_s
        self._waiting.append(_PendingResult(key, target, deadline_s))
        _WAITING.set(len(self._waiting))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name='claim results')
        return True

    async def close(self, grace_s: float) -> None:
        """Waits for the queued results to be written, then stops.

        :param grace_s: longest wait, in seconds.
        """
        if self._task:
            await asyncio.wait((self._task,), timeout=grace_s)
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for pending in self._waiting:
            _RESULTS.labels(pending.target.phase, 'stopped').inc()
        self._waiting.clear()

    async def _run(self) -> None:
        wait_s = self._retry_first_s
        while self._waiting:
            pending = self._waiting[0]
            result = await self._write(pending.key, pending.target)
            if not isinstance(result, platform.Unavailable):
                wait_s = self._retry_first_s
                self._remove(pending, 'late')
            elif time.monotonic() > pending.deadline_s:
                self._remove(pending, 'given_up')
            else:
                await asyncio.sleep(wait_s)
                wait_s = min(wait_s * _RETRY_BACKOFF_FACTOR, _MAX_RETRY_S)

    def _remove(self, pending: _PendingResult, result: str) -> None:
        self._waiting.remove(pending)
        _WAITING.set(len(self._waiting))
        _RESULTS.labels(pending.target.phase, result).inc()
        telemetry.log_change(
            'claim_result', result, request=pending.target.request_id
        )

    async def _write(
        self, key: str, target: schema.records.ClaimRow
    ) -> _values.Finished | _values.Lost | platform.Unavailable:
        for _ in range(_MAX_CONFLICTS):
            found = await self._client.read_row(_writer.TABLE, key)
            if isinstance(found, platform.Unavailable):
                return found
            decision = _decisions.evaluate_result(found, target)
            if not isinstance(decision, _decisions.Writable):
                return _make_result(decision)
            result = await self._writer.write(
                key, target, decision.expected_version
            )
            if isinstance(result, platform.Committed):
                return _values.Finished()
            if isinstance(result, platform.Unavailable):
                return result
        return platform.Unavailable(f'{_MAX_CONFLICTS} conflicts')


def _make_result(
    decision: _decisions.UpToDate | _decisions.Stale | _decisions.NotWritable,
) -> _values.Finished | _values.Lost | platform.Unavailable:
    """Returns the result for a row that is not to be written."""
    if isinstance(decision, _decisions.UpToDate):
        return _values.Finished()
    if isinstance(decision, _decisions.Stale):
        return platform.Unavailable('the row was read stale')
    return _values.Lost(f'the row is {decision.row.phase}')
