"""Work that the processes of the fleet have at each engine."""

import attrs

from briarknot import schema

#: Age after which a peer's message says nothing any more; most prompts are
#: read within it.
_PEER_AGE_S = 1.5

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

    _own: dict[str, _WorkerWork] = attrs.field(factory=dict)
    _peers: dict[str, _PeerWork] = attrs.field(factory=dict)

    @property
    def own(self) -> tuple[_WorkerWork, ...]:
        """Work of this process at each engine that has some."""
        return tuple(self._own.values())

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
        before = self._own.get(worker_id, _WorkerWork(worker=worker_id))
        after = _WorkerWork(
            worker=worker_id,
            tokens=max(0, before.tokens + tokens),
            streams=max(0, before.streams + streams),
            stream_tokens=max(0, before.stream_tokens + stream_tokens),
        )
        if after.tokens or after.streams:
            self._own[worker_id] = after
        else:
            self._own.pop(worker_id, None)

    def apply_peer(
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

    def find(self, worker_id: str, now: float) -> _WorkerWork:
        """Returns the work of all processes at a worker.

        :param worker_id: id of the worker.
        :param now: monotonic time in seconds.
        """
        parts = [
            peer.work[worker_id]
            for peer in self._peers.values()
            if now - peer.seen_s < _PEER_AGE_S and worker_id in peer.work
        ]
        if worker_id in self._own:
            parts.append(self._own[worker_id])
        return _WorkerWork(
            worker=worker_id,
            tokens=sum(one.tokens for one in parts),
            streams=sum(one.streams for one in parts),
            stream_tokens=sum(one.stream_tokens for one in parts),
        )

    def forget(self, worker_id: str) -> None:
        """Drops the work at a worker that is gone."""
        self._own.pop(worker_id, None)


def make_engine_work() -> EngineWork:
    """Makes the work of a process that has sent nothing."""
    return EngineWork()
