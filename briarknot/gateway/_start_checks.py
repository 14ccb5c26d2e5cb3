"""Checks that a worker has not started again since it was listed.

A worker may start again under its id with another version of its software. The list
shows that up to two seconds later, and a request names no more than the id.
"""

import asyncio
import time

import attrs

from briarknot import platform, schema, serving, telemetry

#: Longest wait for the entry of a worker. The store answers within some
#: milliseconds, and 0.06 s from another region; a stream must not wait for it while
#: it is slow or away. The worker has begun by then, and a silent one that it
#: replaces must have ended 0.4 s after that.
_READ_TIMEOUT_S = 0.2


@attrs.frozen
class _Read:
    """A read of an entry.

    :param started_s: monotonic time before it.
    :param worker: the entry; None where it can't be read, or there is none.
    """

    started_s: float = float('-inf')
    worker: schema.serving.Worker | None = None


@attrs.define(eq=False)
class _Entry:
    """The latest read of an entry, and the lock of the next one."""

    latest: _Read = _Read()
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


@attrs.define(eq=False)
class StartChecks:
    """Reads entries of workers, one read for all that wait for it."""

    _client: platform.Client
    _entries: dict[str, _Entry] = attrs.field(factory=dict)

    async def has_restarted(self, worker: schema.serving.Worker) -> bool:
        """Returns whether a worker has started again since it was listed.

        :param worker: the worker as it was listed.
        :returns: False also where its entry can't be read in time.
        """
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                current = await self._read(worker.id)
        except TimeoutError:
            telemetry.log_event('worker_start_unknown', worker=worker.id)
            return False
        if current is None:
            return False
        return (
            serving.name_start(current) != serving.name_start(worker)
            or current.version != worker.version
        )

    async def _read(self, worker_id: str) -> schema.serving.Worker | None:
        """Reads an entry, unless that was begun after this call."""
        asked_s = time.monotonic()
        entry = self._entries.setdefault(worker_id, _Entry())
        async with entry.lock:
            if entry.latest.started_s < asked_s:
                started_s = time.monotonic()
                row = await self._client.read_row(
                    platform.WORKERS_TABLE, worker_id
                )
                worker = None
                if isinstance(row, platform.Row):
                    worker = platform.decode_worker(row.key, row.value)
                entry.latest = _Read(started_s, worker or None)
        return entry.latest.worker


def make_start_checks(client: platform.Client) -> StartChecks:
    """Makes the checks of a process.

    :param client: client of the store.
    """
    return StartChecks(client)
