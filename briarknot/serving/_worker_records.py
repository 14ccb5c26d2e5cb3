"""What a process knows of each worker's load and health."""

import attrs

from briarknot.serving import _calls

#: Weight of the newest result in the failure rate.
_RESULT_WEIGHT = 0.15
#: First time for which a worker without a connection gets no requests; it
#: doubles with each further failure, as crashed workers need seconds.
_FIRST_BLOCK_S = 0.5
_LONGEST_BLOCK_S = 4.0
#: Time for which a worker gets no requests after another one answered at its
#: address; its entry lapses after three heartbeats of about a second.
_REPLACED_S = 8.0
#: Weight of the newest answer in the mean time to an answer.
_TIME_WEIGHT = 0.2
#: Time without a byte of any stream after which a worker counts as away. Steps
#: take some milliseconds, and the users allow pauses of 0.3 s to 0.4 s.
_SILENCE_S = 1.2
#: Age after which a reported load says nothing any more; engines report some
#: hundred milliseconds late and a batch turns over within a second.
_LOAD_AGE_S = 1.0


@attrs.define(eq=False)
class WorkerRecord:
    """Load and health of one worker, as this process sees them.

    :param in_flight: own requests that have no whole answer yet.
    :param answer_s: mean time to an answer in seconds; 0 before the first.
    :param failure_rate: recent share of attempts that failed.
    """

    in_flight: int = 0
    answer_s: float = 0
    failure_rate: float = 0
    _blocked_until_s: float = float('-inf')
    _block_s: float = 0
    _load: _calls.Load | None = None
    _load_s: float = float('-inf')
    _seen_s: float = float('-inf')

    def get_load(self, now: float) -> _calls.Load | None:
        """Returns the reported load unless it is too old.

        :param now: monotonic time in seconds.
        """
        if now - self._load_s > _LOAD_AGE_S:
            return None
        return self._load

    def is_blocked(self, now: float) -> bool:
        """Whether the worker gets no requests for now.

        After a block one request tries the worker, and further ones wait for
        its result, so that a worker that is still away delays only that one.

        :param now: monotonic time in seconds.
        """
        if now < self._blocked_until_s:
            return True
        return bool(self._block_s and self.in_flight)

    def is_silent(self, now: float) -> bool:
        """Whether a worker with requests has sent nothing for a while."""
        return bool(self.in_flight) and now - self._seen_s > _SILENCE_S

    def record_bytes(self, now: float) -> None:
        """Notes that the worker has sent something."""
        self._seen_s = now

    def record_load(self, load: _calls.Load | None, now: float) -> None:
        """Takes the load that came with an answer."""
        if load is not None:
            self._load = load
            self._load_s = now

    def record_answer(self, seconds: float, *, is_error: bool) -> None:
        """Takes an answer of the worker.

        :param seconds: time from sending to the answer.
        :param is_error: whether it is the worker's own failure.
        """
        self._add_result(1.0 if is_error else 0)
        self._block_s = 0
        self.answer_s += _TIME_WEIGHT * (seconds - self.answer_s)

    def record_failure(self, kind: _calls.FailureKind, now: float) -> None:
        """Takes an attempt that had no answer.

        :param kind: how it ended.
        :param now: monotonic time in seconds.
        """
        if kind == _calls.FailureKind.REJECTED:
            return
        self._add_result(1.0)
        if kind == _calls.FailureKind.WRONG_WORKER:
            self._blocked_until_s = now + _REPLACED_S
        elif kind in {
            _calls.FailureKind.NOT_SENT,
            _calls.FailureKind.UNREACHABLE,
        }:
            self._block_s = min(
                max(self._block_s * 2, _FIRST_BLOCK_S), _LONGEST_BLOCK_S
            )
            self._blocked_until_s = now + self._block_s

    def _add_result(self, failed: float) -> None:
        self.failure_rate += _RESULT_WEIGHT * (failed - self.failure_rate)


@attrs.define(eq=False)
class WorkerRecords:
    """Records of all workers by id."""

    _records: dict[str, WorkerRecord] = attrs.field(factory=dict)

    def get(self, worker_id: str) -> WorkerRecord:
        """Returns the record of a worker, a new one at first.

        :param worker_id: id of the worker.
        """
        return self._records.setdefault(worker_id, WorkerRecord())

    def remove(self, worker_id: str) -> None:
        """Drops the record of a worker that is gone."""
        self._records.pop(worker_id, None)


def make_worker_records() -> WorkerRecords:
    """Makes an empty set of records."""
    return WorkerRecords()
