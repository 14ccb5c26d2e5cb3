"""Limits of requests per second that workers in need have named."""

import attrs

from briarknot import schema
from briarknot.serving import _calls


@attrs.define(eq=False)
class WorkerLimits:
    """Limits in force, by worker."""

    _limits: dict[str, float] = attrs.field(factory=dict)

    def get(self, worker: schema.serving.Worker) -> float | None:
        """Returns the limit of a worker, or None if it has named none.

        :param worker: the worker.
        """
        return self._limits.get(name_start(worker))

    def record_answer(
        self,
        worker: schema.serving.Worker,
        backpressure: _calls.Backpressure | None,
    ) -> bool:
        """Records what a worker stated in an answer.

        :param worker: the worker.
        :param backpressure: its statements; None where they are not known.
        :returns: whether its limit has changed.
        """
        if backpressure is None:
            return False
        before = self.get(worker)
        if backpressure.limit_per_s is None:
            self._limits.pop(name_start(worker), None)
        else:
            self._limits[name_start(worker)] = backpressure.limit_per_s
        return before != backpressure.limit_per_s


def name_start(worker: schema.serving.Worker) -> str:
    """Names a worker and its start; a restart may keep the id.

    :param worker: the worker.
    """
    return f'{worker.id} {worker.born_ms}'


def make_worker_limits() -> WorkerLimits:
    """Makes the limits of a process that knows none."""
    return WorkerLimits()
