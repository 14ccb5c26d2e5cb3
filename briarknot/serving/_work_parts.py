"""Work at engines as messages carry it, and sums of it."""

import collections.abc
import typing

import attrs

from briarknot import schema

WorkerWork = schema.messages.WorkerWork
_NOTHING = WorkerWork()
#: Work by worker id. It is not changed once others have it.
Work = dict[str, WorkerWork]


@attrs.define(eq=False)
class ReceivedWork:
    """Work of a message, which is decoded when it is needed first."""

    _workers: collections.abc.Sequence[WorkerWork]
    _work: Work | schema.DecodeError | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the work has been read and is not malformed."""
        return isinstance(self._work, dict)

    def read(self) -> Work | schema.DecodeError:
        """Returns the work, or what is wrong with the message."""
        if self._work is None:
            workers = schema.read_list(self._workers)
            if isinstance(workers, schema.DecodeError):
                self._work = workers
            else:
                self._work = {one.worker: one for one in workers}
            self._workers = ()
        return self._work


Entry = typing.TypeVar('Entry')


def choose_previous(known: Entry | None) -> Entry | None:
    """Chooses what is used again if the next message turns out malformed.

    :param known: entry of the last message, with its own ``previous`` one.
    :returns: the later of the two, but rather one whose work has been read.
    """
    if known is None or known.previous is None or known.work.is_valid:
        return known and attrs.evolve(known, previous=None)
    return known.previous


def restore_previous(
    entries: dict[collections.abc.Hashable, Entry],
    key: collections.abc.Hashable,
) -> None:
    """Replaces the entry of a malformed message by the one before it.

    :param entries: entries of the latest messages.
    :param key: key of the entry.
    """
    previous = entries.pop(key).previous
    if previous is not None:
        entries[key] = previous


@attrs.define
class _Total:
    """Sum of the work at one worker.

    :param parts: number of parts that have work there.
    """

    tokens: int = 0
    streams: int = 0
    stream_tokens: int = 0
    parts: int = 0


@attrs.define(eq=False)
class RunningSum:
    """Sum of parts, updated by the parts that have changed."""

    _parts: dict[collections.abc.Hashable, Work] = attrs.field(factory=dict)
    _totals: dict[str, _Total] = attrs.field(factory=dict)
    _values: Work = attrs.field(factory=dict)

    def update(self, parts: dict[collections.abc.Hashable, Work]) -> bool:
        """Replaces the parts.

        :param parts: work by the part's key; a part that is the same object as
            before has not changed.
        :returns: whether any part has changed.
        """
        changed = [
            key
            for key, work in parts.items()
            if self._parts.get(key) is not work
        ]
        gone = self._parts.keys() - parts.keys()
        for key in gone:
            self._replace(self._parts.pop(key), {})
        for key in changed:
            self._replace(self._parts.get(key, {}), parts[key])
            self._parts[key] = parts[key]
        return bool(changed or gone)

    def get(self, worker_id: str) -> WorkerWork | None:
        """Returns the sum at a worker; None if no part has work there.

        :param worker_id: id of the worker.
        """
        value = self._values.get(worker_id)
        total = self._totals.get(worker_id)
        if value is None and total is not None:
            value = WorkerWork(
                worker=worker_id,
                tokens=total.tokens,
                streams=total.streams,
                stream_tokens=total.stream_tokens,
            )
            self._values[worker_id] = value
        return value

    def list_values(self) -> tuple[WorkerWork, ...]:
        """Returns the sum at each worker with work."""
        return tuple([self.get(worker_id) for worker_id in self._totals])

    def _replace(self, before: Work, after: Work) -> None:
        """Replaces a part, most of which is often the same as before."""
        for worker_id in before.keys() - after.keys():
            total = self._change(worker_id, before[worker_id], _NOTHING)
            total.parts -= 1
            if not total.parts:
                del self._totals[worker_id]
        for worker_id, one in after.items():
            known = before.get(worker_id)
            if known is None:
                self._change(worker_id, _NOTHING, one).parts += 1
            elif known != one:
                self._change(worker_id, known, one)

    def _change(
        self, worker_id: str, before: WorkerWork, after: WorkerWork
    ) -> _Total:
        total = self._totals.get(worker_id)
        if total is None:
            total = _Total()
            self._totals[worker_id] = total
        total.tokens += after.tokens - before.tokens
        total.streams += after.streams - before.streams
        total.stream_tokens += after.stream_tokens - before.stream_tokens
        self._values.pop(worker_id, None)
        return total


def add_work(first: WorkerWork, second: WorkerWork) -> WorkerWork:
    """Adds the work at one worker; figures never fall below zero.

    :param first: work.
    :param second: other work.
    """
    return WorkerWork(
        worker=first.worker,
        tokens=max(0, first.tokens + second.tokens),
        streams=max(0, first.streams + second.streams),
        stream_tokens=max(0, first.stream_tokens + second.stream_tokens),
    )


def subtract_work(first: WorkerWork, second: WorkerWork) -> WorkerWork:
    """Subtracts work at one worker; figures never fall below zero.

    :param first: work.
    :param second: work that is part of it, or was earlier.
    """
    return WorkerWork(
        worker=second.worker,
        tokens=max(0, first.tokens - second.tokens),
        streams=max(0, first.streams - second.streams),
        stream_tokens=max(0, first.stream_tokens - second.stream_tokens),
    )
