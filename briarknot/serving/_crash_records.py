"""Evidence on one key: crashes of workers, and successful answers."""

import math

import attrs

from briarknot import schema

#: Crashes of different workers from which a key is quarantined.
CRASH_LIMIT = 2
#: A crash does not count against a key that had an answer this long before it
#: or at any time after it: parts that many requests share are starting at every
#: worker at any time.
_SOUND_S = 1.0
#: Time without requests after the second crash. It doubles with each further
#: one, so that a quarantine lasts at most about as long again as its cause.
_FIRST_BLOCK_S = 10.0
#: Time for which a quarantined key, and one at a single crash, is remembered.
_MEMORY_S = 600.0
_SUSPECT_MEMORY_S = 60.0
#: Time for which the answer that cleared a key is sent to other processes.
_CLEARED_MEMORY_S = 30.0
NEVER = -math.inf
_MS_PER_S = 1000
#: Age of what has never happened.
_NO_AGE_MS = -1

CrashRecord = schema.records.CrashRecord


@attrs.define(eq=False)
class Record:
    """Evidence on one key.

    :param crashes: time of each worker's crash, by worker.
    :param success_s: time of the latest successful answer.
    :param trial_s: start of the latest trial.
    :param is_first: whether it is the first part of prompts.
    """

    crashes: dict[str, float] = attrs.field(factory=dict)
    success_s: float = NEVER
    trial_s: float = NEVER
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
        return max(self.crashes.values(), default=NEVER)

    @property
    def block_s(self) -> float:
        """Time without requests after the latest crash."""
        return _FIRST_BLOCK_S * 2 ** max(0, len(self.counted) - CRASH_LIMIT)

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
            if len(self.counted) >= CRASH_LIMIT:
                kept_s = max(_MEMORY_S, 2 * self.block_s)
            return now - self.last_crash_s > kept_s
        return now - max(self.last_crash_s, self.success_s) > _CLEARED_MEMORY_S

    def merge(self, other: CrashRecord, now: float) -> None:
        """Merges the evidence of another process.

        The earliest time of a crash and the latest time of an answer count, so
        that a message that was delayed does not renew a quarantine.

        :param other: the evidence.
        :param now: monotonic time in seconds.
        """
        self.is_first = self.is_first or other.is_first
        self.trial_s = max(self.trial_s, compute_time(other.trial_age_ms, now))
        for crash in other.crashes:
            known_s = self.crashes.get(crash.worker, math.inf)
            crashed_s = compute_time(crash.age_ms, now)
            self.crashes[crash.worker] = min(known_s, crashed_s)
        self.success_s = max(
            self.success_s, compute_time(other.success_age_ms, now)
        )

    def export(self, key: str, now: float) -> CrashRecord:
        """Returns the evidence as it is sent to other processes.

        :param key: what it is on.
        :param now: monotonic time in seconds.
        """
        return CrashRecord(
            key=key,
            crashes=tuple(
                schema.records.WorkerCrash(
                    worker=worker, age_ms=_compute_age(crashed_s, now)
                )
                for worker, crashed_s in self.crashes.items()
            ),
            success_age_ms=_compute_age(self.success_s, now),
            trial_age_ms=_compute_age(self.trial_s, now),
            is_first=self.is_first,
        )


def compute_time(age_ms: int, now: float) -> float:
    """Returns the time of an event from its age.

    :param age_ms: age in milliseconds; negative where it never happened.
    :param now: monotonic time in seconds.
    """
    return NEVER if age_ms < 0 else now - age_ms / _MS_PER_S


def _compute_age(time_s: float, now: float) -> int:
    if time_s == NEVER:
        return _NO_AGE_MS
    return max(0, round((now - time_s) * _MS_PER_S))
