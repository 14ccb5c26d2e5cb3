"""Quarantine of prompt parts and requests that make workers crash.

A worker may crash whenever it begins an answer on a certain part of a prompt, or
on a certain request. The requests that were starting at a worker when it crashed
are evidence against their parts; a successful answer is evidence for them.
Processes exchange this evidence as records, which they merge by worker and time,
so that the order and the loss of messages don't matter.
"""

import collections
import collections.abc
import itertools

import attrs

from briarknot import schema
from briarknot.serving import _crash_records, _quarantine_results

_CRASH_LIMIT = _crash_records.CRASH_LIMIT
_NEVER = _crash_records.NEVER
#: Crashes of a key, without an answer, from which it explains them all.
_ESTABLISHED_CRASHES = 3
#: Time after which the trial of a quarantined key is repeated if it has no
#: result: a prefill and the start of an answer.
_TRIAL_S = 3.0
#: The same for a suspected key, whose prompt has been prefilled.
_SUSPECT_TRIAL_S = 1.0
#: Retry-After of a request that waited for the trial of another one.
_TRIAL_RETRY_S = 0.5
#: Time after its crash in which a worker may still be listed: its entry expires
#: after three heartbeat periods of about a second.
_LISTED_S = 4.0
_MAX_RECORDS = 1000
_MAX_SUCCESSES = 20000
_MAX_CRASHES = 16

CrashRecord = schema.records.CrashRecord


@attrs.define(eq=False)
class CrashQuarantine:
    """Evidence of this process and of others, by key.

    A key names a part of prompts or a request. Callers pass the keys of a
    request in order, the first part of its prompt first.

    Established crashes are those that one key explains; they are computed after
    each change. The workers that have crashed recently are listed after each
    change, and at the time at which the first of them drops out.
    """

    _records: collections.OrderedDict[str, _crash_records.Record] = attrs.field(
        factory=collections.OrderedDict
    )
    _successes: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _changed: dict[str, None] = attrs.field(factory=dict)
    _established: tuple[frozenset[str], ...] | None = None
    _crashed_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _recently_crashed: frozenset[str] = frozenset()
    _crashed_until_s: float = _NEVER

    def check(
        self, keys: tuple[str, ...], now: float
    ) -> _quarantine_results.Result:
        """Returns whether a request may be sent to a worker.

        :param keys: keys of the request.
        :param now: monotonic time in seconds.
        """
        if not self._records:
            return _quarantine_results.Clear()
        suspected = []
        on_trial = []
        for key in keys:
            record = self._get(key, now)
            crashes = len(self._count(record)) if record else 0
            if crashes >= _CRASH_LIMIT and not self._is_explained(record):
                on_trial.append(key)
                end_s = record.last_crash_s + record.block_s
                if now < end_s or record.is_on_trial(now, _TRIAL_S):
                    return _make_refusal(key, record, end_s - now)
            elif 0 < crashes < _CRASH_LIMIT and not record.is_first:
                # Requests with the same first part would queue for trials.
                suspected.append(key)
        if on_trial:
            return _quarantine_results.OnTrial(tuple(on_trial))
        if suspected:
            return _quarantine_results.Suspected(
                tuple(suspected),
                any(
                    self._records[one].is_on_trial(now, _SUSPECT_TRIAL_S)
                    for one in suspected
                ),
            )
        return _quarantine_results.Clear()

    def list_crashed(self, now: float) -> frozenset[str]:
        """Lists the workers that have crashed a moment ago, with their starts.

        :param now: monotonic time in seconds.
        """
        if now >= self._crashed_until_s:
            recent = {
                worker: crashed_s
                for worker, crashed_s in self._crashed_s.items()
                if now - crashed_s < _LISTED_S
            }
            first_s = min(recent.values(), default=float('inf'))
            self._recently_crashed = frozenset(recent)
            self._crashed_until_s = first_s + _LISTED_S
        return self._recently_crashed

    def start_trial(self, keys: tuple[str, ...], now: float) -> None:
        """Records that a request tries suspected or quarantined keys.

        :param keys: the keys.
        :param now: monotonic time in seconds.
        """
        for key in keys:
            record = self._get(key, now)
            if record is not None:
                record.trial_s = now
                self._changed[key] = None

    def has_crashed_since(self, key: str, time_s: float) -> bool:
        """Returns whether a worker has crashed on a key since a time.

        :param key: the key.
        :param time_s: monotonic time in seconds.
        """
        record = self._records.get(key)
        return record is not None and record.last_crash_s > time_s

    def end_trial(self, keys: tuple[str, ...]) -> None:
        """Records that a trial ended without a result.

        :param keys: the keys.
        """
        for key in keys:
            if key in self._records:
                self._records[key].trial_s = _NEVER

    def record_crash(
        self, worker: str, keys: tuple[str, ...], now: float
    ) -> None:
        """Records that a request was starting at a worker that crashed.

        A key that is quarantined already explains the crash; the other keys of
        the request are not blamed for it.

        :param worker: the worker and its start.
        :param keys: keys of the request.
        :param now: monotonic time in seconds.
        """
        self._record_down(worker, now)
        records = {key: self._get(key, now) for key in keys}
        quarantined = tuple(
            key
            for key, record in records.items()
            if record
            and len(self._count(record)) >= _CRASH_LIMIT
            and not self._is_explained(record)
        )
        for key in quarantined or keys:
            record = records[key] or self._add(key)
            record.is_first = len(keys) > 1 and key == keys[0]
            if len(record.crashes) < _MAX_CRASHES:
                record.crashes.setdefault(worker, now)
            self._changed[key] = None
        self._established = None

    def record_success(self, keys: tuple[str, ...], now: float) -> None:
        """Records that a request was answered.

        :param keys: keys of the request.
        :param now: monotonic time in seconds.
        """
        for key in keys:
            self._successes[key] = now
            self._successes.move_to_end(key)
            record = self._records.get(key)
            if record is not None:
                if record.counted:
                    self._changed[key] = None
                record.success_s = now
                self._established = None
        while len(self._successes) > _MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def take_changed(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns the records that changed here since the last call.

        :param now: monotonic time in seconds.
        """
        keys = tuple(self._changed)
        self._changed.clear()
        return tuple(
            self._records[key].export(key, now)
            for key in keys
            if self._get(key, now)
        )

    def list_records(self, now: float) -> tuple[CrashRecord, ...]:
        """Lists all records, for other processes.

        :param now: monotonic time in seconds.
        """
        return tuple(
            self._records[key].export(key, now)
            for key in tuple(self._records)
            if self._get(key, now)
        )

    def list_quarantined(self, now: float) -> tuple[CrashRecord, ...]:
        """Lists the records of quarantined keys, to be stored.

        :param now: monotonic time in seconds.
        """
        return tuple(
            one
            for one in self.list_records(now)
            if len(self._count(self._records[one.key])) >= _CRASH_LIMIT
        )

    def merge(
        self, records: collections.abc.Iterable[CrashRecord], now: float
    ) -> tuple[CrashRecord, ...]:
        """Merges the records of another process, or stored ones.

        :param records: the records.
        :param now: monotonic time in seconds.
        :returns: records that the other process does not know to be cleared.
        """
        outdated = []
        for one in records:
            record = self._get(one.key, now) or self._add(one.key)
            success_s = _crash_records.compute_time(one.success_age_ms, now)
            is_cleared_here = (
                record.success_s > success_s and not record.counted
            )
            record.merge(one, now)
            for crash in one.crashes:
                self._record_down(crash.worker, record.crashes[crash.worker])
            if is_cleared_here and one.crashes:
                outdated.append(record.export(one.key, now))
        self._established = None
        return tuple(outdated)

    def _record_down(self, worker: str, crashed_s: float) -> None:
        self._crashed_s.setdefault(worker, crashed_s)
        self._crashed_until_s = _NEVER
        if len(self._crashed_s) > _MAX_RECORDS:
            self._crashed_s.popitem(last=False)

    def _get(self, key: str, now: float) -> _crash_records.Record | None:
        record = self._records.get(key)
        if record is not None and record.is_expired(now):
            del self._records[key]
            return None
        return record

    def _add(self, key: str) -> _crash_records.Record:
        record = _crash_records.Record(
            success_s=self._successes.get(key, _NEVER)
        )
        self._records[key] = record
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
        return record

    def _count(self, record: _crash_records.Record) -> frozenset[str]:
        """Returns the workers whose crashes count against a key.

        Other requests are starting at a worker that crashes in the trial of a
        quarantined key; that crash says nothing about them.

        :param record: evidence on the key.
        """
        if self._established is None:
            self._established = tuple(
                one.counted
                for one in self._records.values()
                if len(one.counted) >= _ESTABLISHED_CRASHES
                and not self._is_explained(one)
            )
        counted = record.counted
        for crashes in self._established:
            if len(crashes) > len(record.counted):
                counted -= crashes
        return counted

    def _is_explained(self, record: _crash_records.Record) -> bool:
        """Returns whether other keys explain the crashes of a key better.

        One or two of them were starting at all of these crashes, and their last
        answers are longer ago. The first part of prompts is shared by most
        requests; it is blamed only where no others were starting as well.

        :param record: evidence on the key.
        """
        counted = record.counted
        others = []
        for other in self._records.values():
            is_first = record.is_first and not other.is_first
            is_less_sound = other.success_s < record.success_s or (
                is_first and other.success_s == record.success_s
            )
            if is_less_sound and len(other.counted) >= _CRASH_LIMIT:
                others.append(other.counted)
        pairs = itertools.combinations_with_replacement(others, 2)
        return any(counted <= (one | two) for one, two in pairs)


def _make_refusal(
    key: str, record: _crash_records.Record, remaining_s: float
) -> _quarantine_results.Quarantined:
    workers = ', '.join(sorted(record.counted))
    return _quarantine_results.Quarantined(
        key=key,
        reason=f'{key} was starting at the crashes of {workers}',
        retry_after_s=max(remaining_s, _TRIAL_RETRY_S),
    )


def make_crash_quarantine() -> CrashQuarantine:
    """Makes a quarantine without evidence.

    >>> quarantine = make_crash_quarantine()
    >>> for worker in ('w1', 'w2'):
    ...     quarantine.record_crash(worker, ('a', 'b'), now=0)
    >>> quarantine.record_success(('a',), now=1)
    >>> quarantine.check(('a', 'c'), now=2)
    Clear()
    >>> bool(quarantine.check(('a', 'b'), now=2))
    False
    """
    return CrashQuarantine()
