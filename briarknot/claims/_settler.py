"""Background writing of results that the platform did not take at once."""

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
_RETRY_GROWTH = 2
_RETRY_LONGEST_S = 2
# A conflict means that the row changed after it was read, which only a lost
# write of the same claim or a new claim on a released row can do.
_MOST_CONFLICTS = 4


@attrs.frozen(eq=False)
class _Settlement:
    """A result that waits.

    :param key: key of the row.
    :param target: the row to be written.
    :param deadline: monotonic time at which it is given up.
    """

    key: str
    target: schema.records.ClaimRow
    deadline: float


@attrs.define(eq=False)
class Settler:
    """Writes results of claims, at once or later.

    :param client: platform client.
    :param writer: writer of the claims table.
    :param retry_first_s: first wait after a failure, in seconds.
    :param retry_for_s: time after which a result is given up, in seconds.
    :param most_waiting: most results that wait.
    """

    _client: platform.Client
    _writer: _writer.Writer
    _retry_first_s: float
    _retry_for_s: float
    _most_waiting: int
    _waiting: collections.deque[_Settlement] = attrs.field(
        factory=collections.deque, init=False
    )
    _task: asyncio.Task[None] | None = attrs.field(default=None, init=False)

    async def settle(
        self, key: str, target: schema.records.ClaimRow
    ) -> _values.Finished | _values.Deferred | _values.Lost:
        """Writes a result now, or leaves it to the background.

        :param key: key of the row.
        :param target: the own row with its new phase.
        """
        result: platform.Unavailable | _values.Finished | _values.Lost
        result = platform.Unavailable('the caller left')
        is_queued = False
        try:
            result = await self._write(key, target)
        finally:
            # A cancelled caller must not lose the result.
            if isinstance(result, platform.Unavailable):
                is_queued = self.defer(key, target)
        if not isinstance(result, platform.Unavailable):
            _RESULTS.labels(target.phase, type(result).__name__.lower()).inc()
            return result
        if is_queued:
            return _values.Deferred(result.reason)
        return _values.Lost(f'{len(self._waiting)} results wait')

    def defer(self, key: str, target: schema.records.ClaimRow) -> bool:
        """Leaves a result to the background.

        :param key: key of the row.
        :param target: the own row with its new phase.
        :returns: whether there was room; a result without room is counted.
        """
        if len(self._waiting) >= self._most_waiting:
            _RESULTS.labels(target.phase, 'no_room').inc()
            return False
        deadline = time.monotonic() + self._retry_for_s
        self._waiting.append(_Settlement(key, target, deadline))
        _WAITING.set(len(self._waiting))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name='claim settler')
        return True

    async def close(self, grace_s: float) -> None:
        """Waits for the background writes, then stops them.

        :param grace_s: longest wait, in seconds.
        """
        if self._task:
            await asyncio.wait((self._task,), timeout=grace_s)
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for settlement in self._waiting:
            _RESULTS.labels(settlement.target.phase, 'stopped').inc()
        self._waiting.clear()

    async def _run(self) -> None:
        wait_s = self._retry_first_s
        while self._waiting:
            settlement = self._waiting[0]
            result = await self._write(settlement.key, settlement.target)
            if not isinstance(result, platform.Unavailable):
                wait_s = self._retry_first_s
                self._remove(settlement, 'late')
            elif time.monotonic() > settlement.deadline:
                self._remove(settlement, 'given_up')
            else:
                await asyncio.sleep(wait_s)
                wait_s = min(wait_s * _RETRY_GROWTH, _RETRY_LONGEST_S)

    def _remove(self, settlement: _Settlement, result: str) -> None:
        self._waiting.remove(settlement)
        _WAITING.set(len(self._waiting))
        _RESULTS.labels(settlement.target.phase, result).inc()
        telemetry.log_change(
            'claim_result', result, request=settlement.target.request_id
        )

    async def _write(
        self, key: str, target: schema.records.ClaimRow
    ) -> _values.Finished | _values.Lost | platform.Unavailable:
        for _ in range(_MOST_CONFLICTS):
            found = await self._client.read_row(_writer.TABLE, key)
            if isinstance(found, platform.Unavailable):
                return found
            decision = _decisions.read_settlement(found, target)
            if not isinstance(decision, _decisions.Take):
                return _read_end(decision)
            result = await self._writer.write(
                key, target, decision.expected_version
            )
            if isinstance(result, platform.Committed):
                return _values.Finished()
            if isinstance(result, platform.Unavailable):
                return result
        return platform.Unavailable(f'{_MOST_CONFLICTS} conflicts')


def _read_end(
    decision: _decisions.Settled | _decisions.Stale | _decisions.Foreign,
) -> _values.Finished | _values.Lost | platform.Unavailable:
    """Returns the result where nothing is to be written."""
    if isinstance(decision, _decisions.Settled):
        return _values.Finished()
    if isinstance(decision, _decisions.Stale):
        return platform.Unavailable('the row was read stale')
    return _values.Lost(f'the row is {decision.row.phase}')
