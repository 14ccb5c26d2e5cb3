"""Quarantine of prompt parts and requests that make workers crash.

A worker may crash whenever it begins an answer on a certain part of a prompt, or
on a certain request. The requests that were starting at a worker when it crashed
are evidence against their parts; an answer that goes on is evidence for them.
Processes exchange this evidence as records, which they merge by worker and time,
so that the order and the loss of messages don't matter.
"""

import collections
import collections.abc
import itertools
import math

import attrs

from briarknot import schema, sentinels

#: Crashes of different workers from which a key is quarantined.
_CRASH_LIMIT = 2
#: Crashes of a key, without an answer, from which it explains them all.
_ESTABLISHED_CRASHES = 3
#: A crash does not count against a key that had an answer this long before it
#: or at any time after it: parts that many requests share are starting at every
#: worker at any time.
_SOUND_S = 1.0
#: Time without requests after the second crash. It doubles with each further
#: one, so that a quarantine lasts at most about as long again as its cause.
_FIRST_BLOCK_S = 10.0
#: Time after which the trial of a quarantined key is repeated if it has no
#: result: a prefill and the start of an answer.
_TRIAL_S = 3.0
#: The same for a suspected key, whose prompt has been prefilled.
_SUSPECT_TRIAL_S = 1.0
#: Retry-After of a request that waited for the trial of another one.
_TRIAL_RETRY_S = 0.5
#: Time for which a quarantined key, and one at a single crash, is remembered.
_MEMORY_S = 600.0
_SUSPECT_MEMORY_S = 60.0
#: Time for which the answer that cleared a key is sent to other processes.
_CLEARED_MEMORY_S = 30.0
#: Time after its crash in which a worker may still be listed: its entry expires
#: after three heartbeat periods of about a second.
_LISTED_S = 4.0
_MAX_RECORDS = 1000
_MAX_SUCCESSES = 20000
_MAX_CRASHES = 16
_NEVER = -math.inf
_MS_PER_S = 1000
#: Age of what has never happened.
_NO_AGE_MS = -1

CrashRecord = schema.records.CrashRecord


@attrs.frozen
class Clear:
    """No key of a request is suspected."""


@attrs.frozen
class Suspected:
    """A key was starting at one crash; one request at a time may try it.

    :param keys: suspected keys of the request.
    :param in_trial: whether another request tries one of them.
    """

    keys: tuple[str, ...]
    in_trial: bool


@attrs.frozen
class OnTrial:
    """The quarantine of a key is over if this request succeeds.

    :param keys: quarantined keys of the request.
    """

    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Quarantined(sentinels.Sentinel):
    """Sentinel for a request that must not be sent to a worker.

    :param reason: sentence with the figures, for the log.
    :param key: the key that is quarantined.
    :param retry_after_s: time until one request may try it, in seconds.
    """

    reason: str
    key: str
    retry_after_s: float


@attrs.define(eq=False)
class _Record:
    """Evidence on one key.

    :param crashes: time of each worker's crash, by worker.
    :param success_s: time of the latest answer that went on.
    :param trial_s: start of the latest trial.
    :param is_first: whether it is the first part of prompts.
    """

    crashes: dict[str, float] = attrs.field(factory=dict)
    success_s: float = _NEVER
    trial_s: float = _NEVER
    is_first: bool = False

    @property
    def counted(self) -> frozenset[str]:
        """Workers whose crashes count against the key."""
        return frozenset(
            worker
            for worker, crashed_s in self.crashes.items()
            if crashed_s > self.success_s + _SOUND_S
        )

    @property
    def last_crash_s(self) -> float:
        """Time of the latest crash."""
        return max(self.crashes.values(), default=_NEVER)

    @property
    def block_s(self) -> float:
        """Time without requests after the latest crash."""
        return _FIRST_BLOCK_S * 2 ** max(0, len(self.counted) - _CRASH_LIMIT)

    def is_on_trial(self, now: float, trial_s: float) -> bool:
        """Returns whether a trial has started and has no result yet.

        :param now: monotonic time in seconds.
        :param trial_s: longest time of a trial in seconds.
        """
        latest_s = max(self.last_crash_s, self.success_s, now - trial_s)
        return self.trial_s > latest_s

    def is_expired(self, now: float) -> bool:
        """Returns whether the evidence is too old to matter."""
        if self.counted:
            kept_s = _SUSPECT_MEMORY_S
            if len(self.counted) >= _CRASH_LIMIT:
                kept_s = max(_MEMORY_S, 2 * self.block_s)
            return now - self.last_crash_s > kept_s
        return now - max(self.last_crash_s, self.success_s) > _CLEARED_MEMORY_S


@attrs.define(eq=False)
class CrashQuarantine:
    """Evidence of this process and of others, by key.

    A key names a part of prompts or a request. Callers pass the keys of a
    request in order, the first part of its prompt first.
    """

    _records: collections.OrderedDict[str, _Record] = attrs.field(
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

    def check(
        self, keys: tuple[str, ...], now: float
    ) -> Clear | Suspected | OnTrial | Quarantined:
        """Returns whether a request may be sent to a worker.

        :param keys: keys of the request.
        :param now: monotonic time in seconds.
        """
        if not self._records:
            return Clear()
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
            return OnTrial(tuple(on_trial))
        if suspected:
            return Suspected(
                tuple(suspected),
                any(
                    self._records[one].is_on_trial(now, _SUSPECT_TRIAL_S)
                    for one in suspected
                ),
            )
        return Clear()

    def is_down(self, worker: str, now: float) -> bool:
        """Returns whether a worker has crashed a moment ago.

        :param worker: the worker and its start.
        :param now: monotonic time in seconds.
        """
        return now - self._crashed_s.get(worker, _NEVER) < _LISTED_S

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
            self._export(key, now) for key in keys if self._get(key, now)
        )

    def list_records(self, now: float) -> tuple[CrashRecord, ...]:
        """Lists all records, for other processes.

        :param now: monotonic time in seconds.
        """
        return tuple(
            self._export(key, now)
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

        The earliest time of a crash and the latest time of an answer count, so
        that a message that was delayed does not renew a quarantine.

        :param records: the records.
        :param now: monotonic time in seconds.
        :returns: records that the other process does not know to be cleared.
        """
        outdated = []
        for one in records:
            record = self._get(one.key, now) or self._add(one.key)
            record.is_first = record.is_first or one.is_first
            record.trial_s = max(
                record.trial_s, _compute_time(one.trial_age_ms, now)
            )
            for crash in one.crashes:
                crashed_s = now - crash.age_ms / _MS_PER_S
                known_s = record.crashes.get(crash.worker, math.inf)
                record.crashes[crash.worker] = min(known_s, crashed_s)
                self._record_down(crash.worker, crashed_s)
            success_s = _compute_time(one.success_age_ms, now)
            is_cleared_here = (
                record.success_s > success_s and not record.counted
            )
            if is_cleared_here and one.crashes:
                outdated.append(self._export(one.key, now))
            record.success_s = max(record.success_s, success_s)
        self._established = None
        return tuple(outdated)

    def _record_down(self, worker: str, crashed_s: float) -> None:
        self._crashed_s.setdefault(worker, crashed_s)
        if len(self._crashed_s) > _MAX_RECORDS:
            self._crashed_s.popitem(last=False)

    def _get(self, key: str, now: float) -> _Record | None:
        record = self._records.get(key)
        if record is not None and record.is_expired(now):
            del self._records[key]
            return None
        return record

    def _add(self, key: str) -> _Record:
        record = _Record(success_s=self._successes.get(key, _NEVER))
        self._records[key] = record
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
        return record

    def _count(self, record: _Record) -> frozenset[str]:
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

    def _is_explained(self, record: _Record) -> bool:
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

    def _export(self, key: str, now: float) -> CrashRecord:
        record = self._records[key]
        return CrashRecord(
            key=key,
            crashes=tuple(
                schema.records.WorkerCrash(
                    worker=worker, age_ms=_compute_age(crashed_s, now)
                )
                for worker, crashed_s in record.crashes.items()
            ),
            success_age_ms=_compute_age(record.success_s, now),
            trial_age_ms=_compute_age(record.trial_s, now),
            is_first=record.is_first,
        )


def _compute_age(time_s: float, now: float) -> int:
    if time_s == _NEVER:
        return _NO_AGE_MS
    return max(0, round((now - time_s) * _MS_PER_S))


def _compute_time(age_ms: int, now: float) -> float:
    return _NEVER if age_ms < 0 else now - age_ms / _MS_PER_S


def _make_refusal(key: str, record: _Record, remaining_s: float) -> Quarantined:
    workers = ', '.join(sorted(record.counted))
    return Quarantined(
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
