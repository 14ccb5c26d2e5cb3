"""Load and health of each worker, as this process observes them."""

import math

import attrs

from briarknot.serving import _calls

#: Weight of the latest result in the moving average of failures.
_FAILURE_RATE_WEIGHT = 0.15
#: Time for which an unreachable worker gets no requests after the first
#: failure. It doubles with each further one, as crashed workers take seconds to
#: restart.
_FIRST_BLOCK_S = 0.5
_MAX_BLOCK_S = 4.0
#: Time for which a worker gets no requests after another one answered at its
#: address. Its entry in the store expires after three heartbeat periods of
#: about a second.
_REPLACED_BLOCK_S = 8.0
#: Weight of the latest answer in the moving average of answer times.
_ANSWER_TIME_WEIGHT = 0.2
#: A worker counts as unreachable after this time without a byte of any stream.
#: Decode steps take some milliseconds, and users allow pauses of 0.3 to 0.4 s.
_SILENCE_TIMEOUT_S = 1.2
#: Older load reports are ignored: engines report some hundred milliseconds
#: late, and a batch turns over within a second.
_MAX_LOAD_AGE_S = 1.0
#: Time after which the reported work time has lost most of its weight. Other
#: work on a worker's host comes and goes within some hundred milliseconds.
_RATIO_DECAY_S = 0.3


@attrs.define(eq=False)
class WorkerRecord:
    """Load and health of one worker, as this process observes them.

    :param in_flight: requests of this process without a complete answer.
    :param answer_s: moving average of the time to an answer, in seconds; 0
        before the first answer.
    :param failure_rate: moving average of the share of failed attempts.
    """

    in_flight: int = 0
    answer_s: float = 0
    failure_rate: float = 0
    _blocked_until_s: float = float('-inf')
    _block_s: float = 0
    _paused_until_s: float = float('-inf')
    _load: _calls.Load | None = None
    _load_reported_s: float = float('-inf')
    _last_bytes_s: float = float('-inf')

    def get_load(self, now: float) -> _calls.Load | None:
        """Returns the latest reported load, or None if it is outdated.

        :param now: monotonic time in seconds.
        """
        if now - self._load_reported_s > _MAX_LOAD_AGE_S:
            return None
        return self._load

    def get_work_time_ratio(self, now: float, work_s: float = 0) -> float:
        """Returns the expected ratio of the time of work to the usual time.

        The reported ratio changes many times a second, so that its weight
        falls with its age and with the length of the work.

        :param now: monotonic time in seconds.
        :param work_s: usual time of the work, in seconds.
        """
        if self._load is None or self._load.work_time_ratio == 1:
            return 1
        age = (now - self._load_reported_s) / _RATIO_DECAY_S
        weight = math.exp(-age)
        length = work_s / _RATIO_DECAY_S
        if length:
            weight *= -math.expm1(-length) / length
        return 1 + weight * (self._load.work_time_ratio - 1)

    def get_pause_s(self, now: float) -> float:
        """Returns for how long the worker wants no requests of this process.

        :param now: monotonic time in seconds.
        :returns: the time in seconds; 0 if it accepts requests.
        """
        if self._paused_until_s <= now:
            return 0
        return self._paused_until_s - now

    def record_pause(self, pause_s: float, now: float) -> None:
        """Records that the worker wants no requests for a time.

        :param pause_s: the time in seconds.
        :param now: monotonic time in seconds.
        """
        self._paused_until_s = max(self._paused_until_s, now + pause_s)

    def is_blocked(self, now: float) -> bool:
        """Returns whether the worker must not get requests now.

        After a block a single request probes the worker, and the worker stays
        blocked for others until it ends, so that a worker that is still
        unreachable delays only one request.

        :param now: monotonic time in seconds.
        """
        if now < self._blocked_until_s:
            return True
        return bool(self._block_s and self.in_flight)

    def is_silent(self, now: float) -> bool:
        """Returns whether a worker with requests has stopped sending bytes."""
        return (
            bool(self.in_flight)
            and now - self._last_bytes_s > _SILENCE_TIMEOUT_S
        )

    def record_bytes(self, now: float) -> None:
        """Records that the worker has sent bytes."""
        self._last_bytes_s = now

    def record_silence(self, now: float) -> None:
        """Records that the worker is silent, so that it gets no requests.

        It may be sound, so that this is no failure, and counts once for all of
        its streams.

        :param now: monotonic time in seconds.
        """
        if now >= self._blocked_until_s:
            self._block(now)

    def record_recovery(self) -> None:
        """Records that the worker goes on after a silence."""
        if self._block_s:
            self._block_s = 0
            self._blocked_until_s = float('-inf')

    def record_load(self, load: _calls.Load | None, now: float) -> None:
        """Records the load that was reported with an answer."""
        if load is not None:
            self._load = load
            self._load_reported_s = now

    def record_answer(self, seconds: float, *, is_error: bool) -> None:
        """Records an answer of the worker.

        :param seconds: time from sending the request to the answer.
        :param is_error: whether the answer reports a failure of the worker.
        """
        self._add_result(1.0 if is_error else 0)
        self._block_s = 0
        self.answer_s += _ANSWER_TIME_WEIGHT * (seconds - self.answer_s)

    def record_failure(self, kind: _calls.FailureKind, now: float) -> None:
        """Records an attempt without an answer.

        :param kind: how the attempt failed.
        :param now: monotonic time in seconds.
        """
        if kind in {
            _calls.FailureKind.REJECTED,
            _calls.FailureKind.UNCONFIRMED,
        }:
            return
        self._add_result(1.0)
        if kind == _calls.FailureKind.WRONG_WORKER:
            self._blocked_until_s = now + _REPLACED_BLOCK_S
        elif kind in {
            _calls.FailureKind.NOT_SENT,
            _calls.FailureKind.UNREACHABLE,
        }:
            self._block(now)

    def _block(self, now: float) -> None:
        self._block_s = min(
            max(self._block_s * 2, _FIRST_BLOCK_S), _MAX_BLOCK_S
        )
        self._blocked_until_s = now + self._block_s

    def _add_result(self, failed: float) -> None:
        self.failure_rate += _FAILURE_RATE_WEIGHT * (failed - self.failure_rate)


@attrs.define(eq=False)
class WorkerRecords:
    """Records of all workers by id."""

    _records: dict[str, WorkerRecord] = attrs.field(factory=dict)

    def get(self, worker_id: str) -> WorkerRecord:
        """Returns the record of a worker, which is created on first use.

        :param worker_id: id of the worker.
        """
        record = self._records.get(worker_id)
        if record is None:
            record = WorkerRecord()
            self._records[worker_id] = record
        return record

    def remove(self, worker_id: str) -> None:
        """Removes the record of a worker that is no longer listed."""
        self._records.pop(worker_id, None)


def make_worker_records() -> WorkerRecords:
    """Makes a collection without records."""
    return WorkerRecords()
