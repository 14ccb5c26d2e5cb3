"""Work that the gateway processes of the fleet have at each engine."""

import attrs

from briarknot import schema

#: Older messages of a peer are ignored; most prompts are prefilled within this
#: time.
_MAX_PEER_AGE_S = 1.5
#: Age after which totals are recomputed, so that outdated messages drop out.
_MAX_TOTALS_AGE_S = 0.1

_WorkerWork = schema.messages.WorkerWork


@attrs.frozen
class _PeerWork:
    """Work of another process at the engines.

    :param version: start of the process and sequence number of its message.
    :param received_s: monotonic time at which the message was received.
    :param work: work by worker id.
    """

    version: tuple[int, int]
    received_s: float
    work: dict[str, _WorkerWork]


@attrs.define(eq=False)
class EngineWork:
    """Prompts and streams at engines, of this and all other processes."""

    _local: dict[str, _WorkerWork] = attrs.field(factory=dict)
    _peers: dict[str, _PeerWork] = attrs.field(factory=dict)
    _totals: dict[str, _WorkerWork] = attrs.field(factory=dict)
    _totals_computed_s: float = float('-inf')
    _is_changed: bool = False

    @property
    def local(self) -> tuple[_WorkerWork, ...]:
        """Work of this process at each engine that has some."""
        return tuple(self._local.values())

    def add(
        self,
        worker_id: str,
        *,
        tokens: int = 0,
        streams: int = 0,
        stream_tokens: int = 0,
    ) -> None:
        """Adds work of this process; negative numbers remove work.

        Figures never fall below zero: the work of a removed worker is dropped
        before its requests end.

        :param worker_id: id of the worker.
        :param tokens: work of prompts that still have to be prefilled, in
            tokens.
        :param streams: generations.
        :param stream_tokens: KV cache of the generations, in tokens.
        """
        before = self._local.get(worker_id, _WorkerWork(worker=worker_id))
        after = _WorkerWork(
            worker=worker_id,
            tokens=max(0, before.tokens + tokens),
            streams=max(0, before.streams + streams),
            stream_tokens=max(0, before.stream_tokens + stream_tokens),
        )
        if after.tokens or after.streams:
            self._local[worker_id] = after
        else:
            self._local.pop(worker_id, None)
        self._is_changed = True

    def apply_peer_work(
        self, message: schema.messages.EngineWork, now: float
    ) -> None:
        """Applies a message with the work of another process.

        :param message: the message; ignored if a later one is known.
        :param now: monotonic time in seconds.
        """
        version = (message.born_ms, message.sequence)
        known = self._peers.get(message.host)
        if known is None or known.version < version:
            work = {one.worker: one for one in message.workers}
            self._peers[message.host] = _PeerWork(version, now, work)
            self._is_changed = True

    def get_total(self, worker_id: str, now: float) -> _WorkerWork:
        """Returns the total work of all processes at a worker.

        :param worker_id: id of the worker.
        :param now: monotonic time in seconds.
        """
        if (
            self._is_changed
            or now - self._totals_computed_s > _MAX_TOTALS_AGE_S
        ):
            self._update_totals(now)
        return self._totals.get(worker_id, _WorkerWork(worker=worker_id))

    def remove_worker(self, worker_id: str) -> None:
        """Removes the work at a worker that is no longer listed."""
        self._local.pop(worker_id, None)
        self._is_changed = True

    def _update_totals(self, now: float) -> None:
        """Adds up the work of all processes at each worker."""
        totals: dict[str, _WorkerWork] = dict(self._local)
        for peer in self._peers.values():
            if now - peer.received_s >= _MAX_PEER_AGE_S:
                continue
            for worker_id, work in peer.work.items():
                known = totals.get(worker_id)
                totals[worker_id] = work if known is None else _add(known, work)
        self._totals = totals
        self._totals_computed_s = now
        self._is_changed = False


def _add(first: _WorkerWork, second: _WorkerWork) -> _WorkerWork:
    return _WorkerWork(
        worker=first.worker,
        tokens=first.tokens + second.tokens,
        streams=first.streams + second.streams,
        stream_tokens=first.stream_tokens + second.stream_tokens,
    )


def make_engine_work() -> EngineWork:
    """Makes an object without work."""
    return EngineWork()
