"""Work that the processes of the fleet have at each engine."""

import attrs

from briarknot import schema

#: Age after which a peer's message says nothing any more; most prompts are
#: read within it.
_PEER_AGE_S = 1.5
#: Age after which sums are made anew, so that peers that fell silent drop out.
_SUM_AGE_S = 0.1

_WorkerWork = schema.messages.WorkerWork


@attrs.frozen
class _PeerWork:
    """What another process has at the engines.

    :param order: start of the process and number of its message.
    :param seen_s: monotonic time at which the message came.
    :param work: work by worker id.
    """

    order: tuple[int, int]
    seen_s: float
    work: dict[str, _WorkerWork]


@attrs.define(eq=False)
class EngineWork:
    """Prompts and streams at engines, of this process and of the others."""

    _local: dict[str, _WorkerWork] = attrs.field(factory=dict)
    _peers: dict[str, _PeerWork] = attrs.field(factory=dict)
    _sums: dict[str, _WorkerWork] = attrs.field(factory=dict)
    _summed_s: float = float('-inf')
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
        """Adds work of this process, or removes it where it is negative.

        A worker that is gone is forgotten with the work that it had, so that
        no figure may fall below zero.

        :param worker_id: id of the worker.
        :param tokens: prompt tokens that are still to be read.
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
        """Takes what another process has at the engines.

        :param message: the message; an older one than known is dropped.
        :param now: monotonic time in seconds.
        """
        order = (message.born_ms, message.sequence)
        known = self._peers.get(message.host)
        if known is None or known.order < order:
            work = {one.worker: one for one in message.workers}
            self._peers[message.host] = _PeerWork(order, now, work)
            self._is_changed = True

    def get_total(self, worker_id: str, now: float) -> _WorkerWork:
        """Returns the work of all processes at a worker.

        :param worker_id: id of the worker.
        :param now: monotonic time in seconds.
        """
        if self._is_changed or now - self._summed_s > _SUM_AGE_S:
            self._sum(now)
        return self._sums.get(worker_id, _WorkerWork(worker=worker_id))

    def remove_worker(self, worker_id: str) -> None:
        """Drops the work at a worker that is gone."""
        self._local.pop(worker_id, None)
        self._is_changed = True

    def _sum(self, now: float) -> None:
        """Adds up the work of all processes at each worker."""
        sums: dict[str, _WorkerWork] = dict(self._local)
        for peer in self._peers.values():
            if now - peer.seen_s >= _PEER_AGE_S:
                continue
            for worker_id, work in peer.work.items():
                known = sums.get(worker_id)
                sums[worker_id] = work if known is None else _add(known, work)
        self._sums = sums
        self._summed_s = now
        self._is_changed = False


def _add(first: _WorkerWork, second: _WorkerWork) -> _WorkerWork:
    return _WorkerWork(
        worker=first.worker,
        tokens=first.tokens + second.tokens,
        streams=first.streams + second.streams,
        stream_tokens=first.stream_tokens + second.stream_tokens,
    )


def make_engine_work() -> EngineWork:
    """Makes the work of a process that has sent nothing."""
    return EngineWork()
