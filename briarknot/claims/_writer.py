"""Group commit of conditional writes to the claims table."""

import asyncio

import attrs
import prometheus_client

from briarknot import platform, schema

TABLE = 'claims'

_GROUPS = prometheus_client.Counter(
    'briarknot_claim_groups',
    'Transactions of claim writes, by result.',
    ('result',),
)
_WRITES = prometheus_client.Counter(
    'briarknot_claim_writes', 'Claim writes, by result.', ('result',)
)

Result = platform.Committed | platform.Conflict | platform.Unavailable


@attrs.frozen(eq=False)
class _Write:
    """A write that is waiting to be committed.

    :param operation: the conditional write.
    :param done: future of its result.
    """

    operation: platform.Operation
    done: asyncio.Future[Result]


@attrs.define(eq=False)
class Writer:
    """Writes claims in groups, one transaction at a time.

    :param client: platform client.
    :param group_s: time that a write waits for others, in seconds.
    :param group_size: largest number of writes in one transaction.
    :param max_waiting: largest number of waiting writes.
    """

    _client: platform.Client
    _group_s: float
    _group_size: int
    _max_waiting: int
    _waiting: list[_Write] = attrs.field(factory=list, init=False)
    _work: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _task: asyncio.Task[None] | None = attrs.field(default=None, init=False)

    async def write(
        self,
        key: str,
        row: schema.records.ClaimRow,
        expected_version: int | None,
    ) -> Result:
        """Writes a row in a transaction with other waiting writes.

        :param key: key of the row.
        :param row: the new row.
        :param expected_version: version that must be stored; None inserts.
        """
        if len(self._waiting) >= self._max_waiting:
            _WRITES.labels('queue_full').inc()
            return platform.Unavailable(
                f'{len(self._waiting)} claim writes wait',
                may_have_applied=False,
            )
        if self._task is None:
            self._task = asyncio.create_task(self._run(), name='claim writer')
        operation = platform.make_operation(TABLE, key, row, expected_version)
        write = _Write(operation, asyncio.get_running_loop().create_future())
        self._waiting.append(write)
        self._work.set()
        return await write.done

    async def close(self) -> None:
        """Stops the writer; waiting writes are answered as unavailable."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        stopped = platform.Unavailable('the claim writer was stopped')
        _answer(self._waiting, stopped)
        self._waiting.clear()

    async def _run(self) -> None:
        while True:
            await self._work.wait()
            await asyncio.sleep(self._group_s)
            group = self._take_group()
            try:
                await self._write_group(group)
            finally:
                # Reached also when the task is cancelled during the commit.
                _answer(group, platform.Unavailable('the write was broken off'))

    def _take_group(self) -> list[_Write]:
        """Takes the oldest writes, at most one for each key."""
        group: dict[str, _Write] = {}
        rest = []
        for write in self._waiting:
            key = write.operation.key
            if write.done.cancelled():
                continue
            if key in group or len(group) >= self._group_size:
                rest.append(write)
            else:
                group[key] = write
        self._waiting = rest
        if not rest:
            self._work.clear()
        return list(group.values())

    async def _write_group(self, group: list[_Write]) -> None:
        while group:
            result = await self._client.commit(
                *(write.operation for write in group)
            )
            _GROUPS.labels(type(result).__name__.lower()).inc()
            if not isinstance(result, platform.Conflict):
                _answer(group, result)
                return
            if not result.indexes:
                _answer(group, platform.Unavailable('a conflict without index'))
                return
            # The platform rejects the whole transaction. The writes without
            # a conflict are committed again without the others.
            refused = set(result.indexes)
            _answer([group[index] for index in refused], result)
            group = [
                write
                for index, write in enumerate(group)
                if index not in refused
            ]


def _answer(group: list[_Write], result: Result) -> None:
    for write in group:
        if not write.done.done():
            _WRITES.labels(type(result).__name__.lower()).inc()
            write.done.set_result(result)
