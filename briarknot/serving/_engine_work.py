"""Work that the gateway processes of the fleet have at each engine."""

import collections
import collections.abc

import attrs

from briarknot import schema
from briarknot.serving import _work_parts

#: Older messages of a peer are ignored; most prompts are prefilled within this
#: time.
_MAX_PEER_AGE_S = 1.5
#: Older sums of a relay are ignored. A relay sends several in this time.
_MAX_SUM_AGE_S = 1.0
#: Age after which the sum is chosen again, so that outdated messages drop out.
_MAX_TOTALS_AGE_S = 0.1
#: Own reports that are remembered, in order to subtract them from sums that
#: include them. A sum with an older one is outdated.
_MAX_REPORTS = 16

WorkerWork = _work_parts.WorkerWork
Work = _work_parts.Work
_NO_REPORT: Work = {}


@attrs.frozen
class _PeerWork:
    """Work of another process at the engines.

    :param domain: failure domain of the process.
    :param version: start of the process and sequence number of its message.
    :param received_s: monotonic time at which the message was received.
    :param work: the work.
    :param previous: an earlier message, used if this one is malformed.
    """

    domain: str
    version: tuple[int, int]
    received_s: float
    work: _work_parts.ReceivedWork
    previous: '_PeerWork | None' = None


@attrs.define(eq=False)
class _IncludedReports:
    """Reports that are part of a sum, decoded when the sum is used first."""

    _reports: collections.abc.Sequence[schema.messages.IncludedReport]
    _host: str
    _sequence: int | None = None

    def get_local(self) -> int:
        """Returns the number of the local report, 0 if it is not part.

        :returns: -1 where the list is malformed.
        """
        if self._sequence is None:
            reports = schema.read_list(self._reports)
            self._sequence = -1
            if not isinstance(reports, schema.DecodeError):
                numbers = {one.host: one.sequence for one in reports}
                self._sequence = numbers.get(self._host, 0)
            self._reports = ()
        return self._sequence


@attrs.frozen(eq=False)
class _FleetSum:
    """Work of all processes, as a relay added it up.

    :param version: start of the relay and sequence number of its message.
    :param received_s: monotonic time at which it was received.
    :param processes: number of processes whose work is part of it.
    :param work: the work.
    :param included: reports that are part of it.
    :param previous: an earlier sum, used if this one is malformed.
    """

    version: tuple[int, int]
    received_s: float
    processes: int
    work: _work_parts.ReceivedWork
    included: _IncludedReports
    previous: '_FleetSum | None' = None


@attrs.define(eq=False)
class EngineWork:
    """Prompts and streams at engines, of this and all other processes.

    In a small fleet each process knows the work of all others. In a large one
    relays add it up; the sum of a relay contains the local work as it was in an
    earlier report, in whose place the present local work is counted.
    """

    _local: Work = attrs.field(factory=dict)
    _versions: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    #: In the order of their receipt.
    _peers: collections.OrderedDict[str, _PeerWork] = attrs.field(
        factory=collections.OrderedDict
    )
    _sums: dict[str, _FleetSum] = attrs.field(factory=dict)
    _reports: collections.OrderedDict[int, Work] = attrs.field(
        factory=collections.OrderedDict
    )
    _peer_sum: _work_parts.RunningSum = attrs.field(
        factory=_work_parts.RunningSum
    )
    _base: _FleetSum | None = None
    _base_report: Work = attrs.field(factory=dict)
    _totals: Work = attrs.field(factory=dict)
    _chosen_s: float = float('-inf')
    _is_changed: bool = False
    _snapshot: Work | None = None
    _malformed: list[schema.DecodeError] = attrs.field(factory=list)

    @property
    def local(self) -> tuple[WorkerWork, ...]:
        """Work of this process at each engine that has some."""
        return tuple(self._local.values())

    @property
    def local_work(self) -> Work:
        """Work of this process by worker; another object after each change."""
        if self._snapshot is None:
            self._snapshot = dict(self._local)
        return self._snapshot

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
        after = _work_parts.add_work(before, change)
        if after.tokens or after.streams:
            self._local[worker_id] = after
        else:
            self._local.pop(worker_id, None)
        self._record_change(worker_id)

    def record_report(self, sequence: int) -> tuple[WorkerWork, ...]:
        """Remembers the local work as it is reported to other processes.

        :param sequence: sequence number of the report.
        :returns: the local work.
        """
        self._reports[sequence] = self.local_work
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
        known_version = self._versions.get(message.host)
        if known_version is None or known_version < version:
            work = _work_parts.ReceivedWork(message.workers)
            if message.parts:
                # Unread work keeps the whole message in memory.
                work.read()
            known = self._peers.pop(message.host, None)
            self._versions[message.host] = version
            self._peers[message.host] = _PeerWork(
                message.domain,
                version,
                now,
                work,
                _work_parts.choose_previous(known),
            )
            self._is_changed = True
        self._drop_outdated(now)

    def apply_fleet_work(
        self, message: schema.messages.FleetWork, host: str, now: float
    ) -> None:
        """Applies the sum of a relay.

        :param message: the sum; ignored if a later one is known.
        :param host: host of this process.
        :param now: monotonic time in seconds.
        """
        version = (message.born_ms, message.sequence)
        known = self._sums.get(message.relay)
        if known is None or known.version < version:
            self._sums[message.relay] = _FleetSum(
                version,
                now,
                message.processes,
                _work_parts.ReceivedWork(message.workers),
                _IncludedReports(message.included, host),
                _work_parts.choose_previous(known),
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
            host: (self._peers[host].version[1], work)
            for host, work in self._read_peers(now).items()
            if self._peers[host].domain == domain
        }

    def get_total(self, worker_id: str, now: float) -> WorkerWork:
        """Returns the total work of all processes at a worker.

        :param worker_id: id of the worker.
        :param now: monotonic time in seconds.
        """
        if self._is_changed or now - self._chosen_s > _MAX_TOTALS_AGE_S:
            self._choose_base(now)
        total = self._totals.get(worker_id)
        if total is None:
            total = self._compute_total(worker_id)
            self._totals[worker_id] = total
        return total

    def record_malformed(self, error: schema.DecodeError) -> None:
        """Records that work in a message could not be decoded.

        :param error: what is wrong with it.
        """
        self._malformed.append(error)

    def take_malformed(self) -> list[schema.DecodeError]:
        """Returns the errors that were recorded since the last call."""
        taken = self._malformed
        self._malformed = []
        return taken

    def remove_worker(self, worker_id: str) -> None:
        """Removes the work at a worker that is no longer listed."""
        self._local.pop(worker_id, None)
        self._record_change(worker_id)

    def forget_peers(self) -> None:
        """Forgets the work of all other processes, after a suspension."""
        self._versions.clear()
        self._peers.clear()
        self._sums.clear()
        self._is_changed = True

    def _record_change(self, worker_id: str) -> None:
        self._snapshot = None
        self._totals.pop(worker_id, None)
        self._is_changed = True

    def _choose_base(self, now: float) -> None:
        """Chooses the work of others that totals are computed from."""
        best = self._choose_sum(now)
        if best is None:
            report = _NO_REPORT
            is_new = self._peer_sum.update(self._read_peers(now))
        else:
            report = self._reports.get(best.included.get_local(), _NO_REPORT)
            is_new = report is not self._base_report
        if is_new or best is not self._base:
            self._totals.clear()
        self._base = best
        self._base_report = report
        self._chosen_s = now
        self._is_changed = False

    def _compute_total(self, worker_id: str) -> WorkerWork:
        nothing = WorkerWork(worker=worker_id)
        if self._base is None:
            others = self._peer_sum.get(worker_id)
        else:
            others = self._base.work.read().get(worker_id)
            reported = self._base_report.get(worker_id)
            if reported is not None:
                others = _work_parts.subtract_work(others or nothing, reported)
        local = self._local.get(worker_id)
        if others is None or local is None:
            return others or local or nothing
        return _work_parts.add_work(others, local)

    def _read_peers(self, now: float) -> dict[str, Work]:
        """Returns the recent work of each other process."""
        self._drop_outdated(now)
        works = {}
        for host in tuple(self._peers):
            work = self._read_peer(host, now)
            if work is not None:
                works[host] = work
        return works

    def _read_peer(self, host: str, now: float) -> Work | None:
        peer = self._peers.get(host)
        if peer is None or now - peer.received_s >= _MAX_PEER_AGE_S:
            return None
        work = peer.work.read()
        if isinstance(work, schema.DecodeError):
            self.record_malformed(work)
            _work_parts.restore_previous(self._peers, host)
            return self._read_peer(host, now)
        return work

    def _drop_outdated(self, now: float) -> None:
        """Drops outdated messages, but remembers their versions."""
        while self._peers:
            host, peer = next(iter(self._peers.items()))
            if now - peer.received_s < _MAX_PEER_AGE_S:
                break
            del self._peers[host]

    def _choose_sum(self, now: float) -> _FleetSum | None:
        """Returns the recent sum that covers most processes, or None.

        A relay that has just started, or that some processes can't reach, knows
        only a part of the work. A sum with a local report that is too old to be
        remembered is passed over.
        """
        recent = sorted(
            (
                (one.processes, one.received_s, relay)
                for relay, one in self._sums.items()
                if now - one.received_s < _MAX_SUM_AGE_S
            ),
            reverse=True,
        )
        for _, _, relay in recent:
            latest = self._sums[relay]
            work = latest.work.read()
            sequence = latest.included.get_local()
            if isinstance(work, schema.DecodeError):
                self.record_malformed(work)
            elif not sequence or sequence in self._reports:
                return latest
            _work_parts.restore_previous(self._sums, relay)
            return self._choose_sum(now)
        return None


def make_engine_work() -> EngineWork:
    """Makes an object without work."""
    return EngineWork()
