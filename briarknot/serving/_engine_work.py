"""Work that the gateway processes of the fleet have at each engine."""

import collections

import attrs

from briarknot import schema

#: Older messages of a peer are ignored; most prompts are prefilled within this
#: time.
_MAX_PEER_AGE_S = 1.5
#: Older sums of a relay are ignored. A relay sends several in this time.
_MAX_SUM_AGE_S = 1.0
#: Age after which totals are recomputed, so that outdated messages drop out.
_MAX_TOTALS_AGE_S = 0.1
#: Own reports that are remembered, in order to subtract them from sums that
#: include them. A sum with an older one is outdated.
_MAX_REPORTS = 16

WorkerWork = schema.messages.WorkerWork
Work = dict[str, WorkerWork]


@attrs.frozen
class _PeerWork:
    """Work of another process at the engines.

    :param domain: failure domain of the process.
    :param version: start of the process and sequence number of its message.
    :param received_s: monotonic time at which the message was received.
    :param work: work by worker id.
    """

    domain: str
    version: tuple[int, int]
    received_s: float
    work: Work


@attrs.frozen
class _FleetSum:
    """Work of all processes, as a relay added it up.

    :param version: start of the relay and sequence number of its message.
    :param received_s: monotonic time at which it was received.
    :param processes: number of processes whose work is part of it.
    :param work: work by worker id.
    :param included: sequence number of the local report that is part of it; 0
        for none.
    """

    version: tuple[int, int]
    received_s: float
    processes: int
    work: Work
    included: int


@attrs.define(eq=False)
class EngineWork:
    """Prompts and streams at engines, of this and all other processes.

    In a small fleet each process knows the work of all others. In a large one
    relays add it up; the sum of a relay contains the local work as it was in an
    earlier report, in whose place the present local work is counted.
    """

    _local: Work = attrs.field(factory=dict)
    _peers: dict[str, _PeerWork] = attrs.field(factory=dict)
    _sums: dict[str, _FleetSum] = attrs.field(factory=dict)
    _reports: collections.OrderedDict[int, Work] = attrs.field(
        factory=collections.OrderedDict
    )
    _totals: Work = attrs.field(factory=dict)
    _totals_computed_s: float = float('-inf')
    _is_changed: bool = False

    @property
    def local(self) -> tuple[WorkerWork, ...]:
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
        before = self._local.get(worker_id, WorkerWork(worker=worker_id))
        change = WorkerWork(
            worker=worker_id,
            tokens=tokens,
            streams=streams,
            stream_tokens=stream_tokens,
        )
        after = add_work(before, change)
        if after.tokens or after.streams:
            self._local[worker_id] = after
        else:
            self._local.pop(worker_id, None)
        self._is_changed = True

    def record_report(self, sequence: int) -> tuple[WorkerWork, ...]:
        """Remembers the local work as it is reported to other processes.

        :param sequence: sequence number of the report.
        :returns: the local work.
        """
        self._reports[sequence] = dict(self._local)
        while len(self._reports) > _MAX_REPORTS:
            self._reports.popitem(last=False)
        return self.local

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
            self._peers[message.host] = _PeerWork(
                message.domain, version, now, work
            )
            self._is_changed = True

    def apply_fleet_work(
        self, message: schema.messages.FleetWork, host: str, now: float
    ) -> None:
        """Applies the sum of a relay.

        :param message: the sum; ignored if a later one is known, or if it
            contains a local report that is too old to be remembered.
        :param host: host of this process.
        :param now: monotonic time in seconds.
        """
        version = (message.born_ms, message.sequence)
        known = self._sums.get(message.relay)
        included = {one.host: one.sequence for one in message.included}
        sequence = included.get(host, 0)
        is_remembered = not sequence or sequence in self._reports
        is_newer = known is None or known.version < version
        if is_newer and is_remembered:
            self._sums[message.relay] = _FleetSum(
                version,
                now,
                message.processes,
                {one.worker: one for one in message.workers},
                sequence,
            )
            self._is_changed = True

    def list_reports(
        self, domain: str, now: float
    ) -> dict[str, tuple[int, Work]]:
        """Returns the recent work of the other processes of a domain.

        :param domain: the failure domain.
        :param now: monotonic time in seconds.
        :returns: sequence number and work by host.
        """
        return {
            host: (peer.version[1], peer.work)
            for host, peer in self._peers.items()
            if peer.domain == domain and now - peer.received_s < _MAX_PEER_AGE_S
        }

    def get_total(self, worker_id: str, now: float) -> WorkerWork:
        """Returns the total work of all processes at a worker.

        :param worker_id: id of the worker.
        :param now: monotonic time in seconds.
        """
        if (
            self._is_changed
            or now - self._totals_computed_s > _MAX_TOTALS_AGE_S
        ):
            self._update_totals(now)
        return self._totals.get(worker_id, WorkerWork(worker=worker_id))

    def remove_worker(self, worker_id: str) -> None:
        """Removes the work at a worker that is no longer listed."""
        self._local.pop(worker_id, None)
        self._is_changed = True

    def forget_peers(self) -> None:
        """Forgets the work of all other processes, after a suspension."""
        self._peers.clear()
        self._sums.clear()
        self._is_changed = True

    def _update_totals(self, now: float) -> None:
        """Computes the work of all processes at each worker."""
        best = self._choose_sum(now)
        if best is None:
            peers = self._peers.values()
            totals = sum_work(
                peer.work
                for peer in peers
                if now - peer.received_s < _MAX_PEER_AGE_S
            )
        else:
            totals = dict(best.work)
            reported = self._reports.get(best.included, {})
            for worker_id, work in reported.items():
                known = totals.get(worker_id, WorkerWork(worker=worker_id))
                totals[worker_id] = _subtract(known, work)
        self._totals = sum_work((totals, self._local))
        self._totals_computed_s = now
        self._is_changed = False

    def _choose_sum(self, now: float) -> _FleetSum | None:
        """Returns the recent sum that covers most processes, or None.

        A relay that has just started, or that some processes can't reach, knows
        only a part of the work.
        """
        recent = [
            one
            for one in self._sums.values()
            if now - one.received_s < _MAX_SUM_AGE_S
        ]
        return max(
            recent,
            key=lambda one: (one.processes, one.received_s),
            default=None,
        )


def sum_work(parts: collections.abc.Iterable[Work]) -> Work:
    """Adds up work by worker id.

    :param parts: work of several processes.
    """
    totals: Work = {}
    for work in parts:
        for worker_id, one in work.items():
            known = totals.get(worker_id)
            totals[worker_id] = one if known is None else add_work(known, one)
    return totals


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


def _subtract(first: WorkerWork, second: WorkerWork) -> WorkerWork:
    negative = WorkerWork(
        worker=second.worker,
        tokens=-second.tokens,
        streams=-second.streams,
        stream_tokens=-second.stream_tokens,
    )
    return add_work(first, negative)


def make_engine_work() -> EngineWork:
    """Makes an object without work."""
    return EngineWork()
