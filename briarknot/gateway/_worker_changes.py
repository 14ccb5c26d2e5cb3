"""Applies lists of workers, and records and logs what they change."""

import collections
import time

import attrs
import prometheus_client

from briarknot import platform, schema, telemetry
from briarknot.gateway import _clock, _context

#: Time for which each update repeats a change of a worker, because datagrams
#: may be lost.
_CHANGE_REPEAT_S = 2.5
#: Time until the end that is sent of a worker that should have ended; zero would say
#: that it states no end.
_LEAST_LEAVES_S = 0.001
_WORKERS = prometheus_client.Gauge(
    'briarknot_gateway_workers',
    'Listed workers that are not leaving by failure domain and kind.',
    ('domain', 'kind'),
)
_Worker = schema.serving.Worker


@attrs.frozen
class _Change:
    """Change of a worker that is sent to other processes.

    :param seen_s: monotonic time at which it was seen.
    :param worker: the worker; None where it was removed.
    """

    seen_s: float
    worker: _Worker | None


@attrs.define(eq=False)
class WorkerChanges:
    """Recent changes of the list of workers."""

    _context: _context.Context
    _malformed: set[str] = attrs.field(factory=set)
    _changes: dict[str, _Change] = attrs.field(factory=dict)
    _counted: set[tuple[str, str]] = attrs.field(factory=set)

    def apply_rows(
        self,
        rows: tuple[platform.Row, ...],
        started_s: float,
        *,
        after_outage: bool,
    ) -> None:
        """Applies the entries of all workers.

        :param rows: rows of the store.
        :param started_s: monotonic time at which the read began, in seconds.
        :param after_outage: whether this is the first read after an outage of
            the store, so that entries of live workers may have expired.
        """
        workers = []
        for row in rows:
            worker = platform.decode_worker(row.key, row.value)
            if not isinstance(worker, platform.Malformed):
                workers.append(worker)
            elif row.key not in self._malformed:
                self._malformed.add(row.key)
                telemetry.log_event(
                    'worker_entry_malformed',
                    worker=row.key,
                    reason=worker.reason,
                )
        fleet = self._context.fleet
        before = {one.id: one for one in fleet.workers}
        removed = fleet.apply_workers(
            tuple(workers),
            started_s,
            after_outage=after_outage,
        )
        self._record(before, removed)

    def apply_update(self, update: schema.messages.FleetUpdate) -> None:
        """Applies the changes that another process has read.

        :param update: the update.
        """
        fleet = self._context.fleet
        before = {one.id: one for one in fleet.workers}
        removed = fleet.apply_changes(
            update.changed, update.gone, time.monotonic()
        )
        self._record(before, removed)

    def list_recent(
        self, now: float
    ) -> tuple[tuple[_Worker, ...], tuple[str, ...]]:
        """Lists the workers that changed lately, and the ids of removed ones.

        :param now: monotonic time in seconds.
        """
        self._changes = {
            worker_id: change
            for worker_id, change in self._changes.items()
            if now - change.seen_s < _CHANGE_REPEAT_S
        }
        changed = tuple(
            _age(change.worker, now - change.seen_s)
            for change in self._changes.values()
            if change.worker is not None
        )
        gone = tuple(
            worker_id
            for worker_id, change in self._changes.items()
            if change.worker is None
        )
        return changed, gone

    def _record(
        self, before: dict[str, _Worker], removed: tuple[str, ...]
    ) -> None:
        """Records and logs changed workers, and drops their outdated state.

        :param before: workers before the change.
        :param removed: ids of workers that were removed.
        """
        context = self._context
        context.notify_if_ready()
        now = time.monotonic()
        for worker_id in removed:
            context.worker_records.remove(worker_id)
            context.permits.remove_worker(before[worker_id])
            context.prompt_load.remove_worker(worker_id)
            self._changes[worker_id] = _Change(now, None)
            telemetry.log_event('worker_removed', worker=worker_id)
        changed = []
        for worker in context.fleet.workers:
            old = before.get(worker.id)
            if old is not None and _is_restarted(old, worker):
                context.origins.forget_restarted(worker.id, _clock.read_clock())
                if old.version != worker.version:
                    context.software_versions.forget_sole(worker.service)
            if old is not None and old.born_ms != worker.born_ms:
                # A restarted worker has lost its prompts and its KV cache.
                context.prompt_load.remove_worker(worker.id)
            if old is None or _is_changed(old, worker):
                changed.append(worker)
                self._changes[worker.id] = _Change(now, worker)
                _log_changed(worker)
        _log_leaving(changed)
        if changed or removed:
            self._count_workers()

    def _count_workers(self) -> None:
        counts = collections.Counter(
            (one.domain, 'spot' if one.is_spot else 'standard')
            for one in self._context.fleet.workers
            if not one.draining
        )
        self._counted |= counts.keys()
        for domain, kind in self._counted:
            _WORKERS.labels(domain, kind).set(counts[domain, kind])


def _age(worker: _Worker, seconds: float) -> _Worker:
    """Returns a worker as it is some time after its entry was read."""
    if not worker.leaves_s:
        return worker
    leaves_s = max(_LEAST_LEAVES_S, worker.leaves_s - seconds)
    return attrs.evolve(worker, leaves_s=leaves_s)


def _log_changed(worker: _Worker) -> None:
    telemetry.log_event(
        'worker_changed',
        worker=worker.id,
        service=worker.service,
        domain=worker.domain,
        stage=worker.stage.value,
        version=worker.version,
        draining=worker.draining,
    )


def _log_leaving(changed: list[_Worker]) -> None:
    """Logs the workers that leave early, together for each domain and kind."""
    leaving = collections.defaultdict(list)
    for worker in changed:
        if worker.leaves_s:
            leaving[worker.service, worker.domain, worker.is_spot].append(
                worker
            )
    for (service, domain, is_spot), workers in leaving.items():
        telemetry.log_event(
            'workers_leaving',
            service=service,
            domain=domain,
            spot=is_spot,
            workers=len(workers),
            leaves_s=min(one.leaves_s for one in workers),
        )


def _is_restarted(old: _Worker, new: _Worker) -> bool:
    return (old.born_ms, old.version) != (new.born_ms, new.version)


def _is_changed(old: _Worker, new: _Worker) -> bool:
    return (
        old.draining,
        old.stage,
        old.address,
        old.born_ms,
        old.version,
        old.is_spot,
        bool(old.leaves_s),
    ) != (
        new.draining,
        new.stage,
        new.address,
        new.born_ms,
        new.version,
        new.is_spot,
        bool(new.leaves_s),
    )


def make_worker_changes(context: _context.Context) -> WorkerChanges:
    """Makes the changes of a process that knows no workers.

    :param context: state of the process.
    """
    return WorkerChanges(context)
