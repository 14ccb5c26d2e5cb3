"""Prompts at engines: what waits there, and what their caches hold."""

import attrs

from briarknot import schema
from briarknot.serving import _calls, _engine_caches, _engine_work

_Stage = schema.serving.Stage
#: Shortest reading whose time tells the speed of a worker, in seconds; that of
#: shorter ones is mostly that of calls and of waiting for a step.
_SHORTEST_S = 0.05
_SLOWDOWN_WEIGHT = 0.1
_LARGEST_SLOWDOWN = 8.0
_SMALLEST_SLOWDOWN = 0.5


@attrs.frozen(kw_only=True)
class Placement:
    """Where a prompt is read.

    :param prefill_worker: the worker; a decode worker generates the tokens too.
    :param expected_s: expected time until the prompt is read, in seconds.
    :param uncached: tokens that the worker probably has to read.
    :param work: the work of reading them, in tokens without a context.
    :param recomputed_tokens: those of them that the prompt shares with others.
    :param prefill_s: time of reading it and what waits before it, in seconds,
        at a worker of the usual speed.
    :param overhead_s: expected time beside reading, in seconds.
    """

    prefill_worker: schema.serving.Worker
    expected_s: float
    uncached: int
    work: int
    recomputed_tokens: int = 0
    prefill_s: float = 0
    overhead_s: float = 0

    @property
    def is_colocated(self) -> bool:
        """Whether the reader generates the tokens too."""
        return self.prefill_worker.stage == _Stage.DECODE


@attrs.define(eq=False)
class PromptLoad:
    """Prompts that this process has at engines.

    :param work: work of all processes at the engines.
    :param caches: shared parts in the engines' caches.
    """

    work: _engine_work.EngineWork = attrs.field(
        factory=_engine_work.make_engine_work
    )
    caches: _engine_caches.EngineCaches = attrs.field(
        factory=_engine_caches.make_engine_caches
    )
    _slowdowns: dict[str, float] = attrs.field(factory=dict)

    def add(self, placement: Placement, prompt: _calls.Prompt) -> None:
        """Counts a prompt that is sent to its prefill worker."""
        self.work.add(placement.prefill_worker.id, tokens=placement.work)
        self.caches.record_prompt(placement.prefill_worker.id, prompt)

    def remove(
        self, placement: Placement, seconds: float, *, is_prefilled: bool
    ) -> None:
        """Ends the count of a prompt.

        :param placement: where it was read.
        :param seconds: time that it took.
        :param is_prefilled: whether it was read, so that the time tells something.
        """
        worker_id = placement.prefill_worker.id
        self.work.add(worker_id, tokens=-placement.work)
        if not is_prefilled or placement.prefill_s < _SHORTEST_S:
            return
        seen = (seconds - placement.overhead_s) / placement.prefill_s
        target = min(_LARGEST_SLOWDOWN, max(_SMALLEST_SLOWDOWN, seen))
        before = self._slowdowns.get(worker_id, 1.0)
        step = _SLOWDOWN_WEIGHT * (target - before)
        self._slowdowns[worker_id] = before + step

    def count_uncached(
        self, worker: schema.serving.Worker, prompt: _calls.Prompt
    ) -> int:
        """Estimates the tokens that a worker has to read.

        :param worker: the worker.
        :param prompt: the prompt.
        """
        cached = self.caches.count_cached(worker.id, prompt)
        return max(1, prompt.tokens - cached)

    def get_queued_work(self, worker: schema.serving.Worker, now: float) -> int:
        """Estimates the work of all processes that waits at a worker.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        return self.work.get_total(worker.id, now).tokens

    def get_slowdown(self, worker: schema.serving.Worker) -> float:
        """Returns by how much a worker is slower than expected."""
        return self._slowdowns.get(worker.id, 1.0)

    def remove_worker(self, worker_id: str) -> None:
        """Drops what is known of a worker that is gone."""
        self.work.remove_worker(worker_id)
        self.caches.remove_worker(worker_id)
        self._slowdowns.pop(worker_id, None)


def make_prompt_load() -> PromptLoad:
    """Makes the load of a process that has sent nothing."""
    return PromptLoad()
