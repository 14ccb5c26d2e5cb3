"""Prompts at engines: queued prefill work and the contents of KV caches."""

import attrs

from briarknot import schema
from briarknot.serving import (
    _calls,
    _engine_caches,
    _engine_work,
    _event_gaps,
    _prefill_time,
    _rendezvous,
    _send_rates,
)

_Stage = schema.serving.Stage
#: Shorter prefills are not used to estimate the speed of a worker, as most of
#: their time is spent on calls and on waiting for a step.
_MIN_PREFILL_S = 0.05
_SLOWDOWN_WEIGHT = 0.1
_MAX_SLOWDOWN = 8.0
_MIN_SLOWDOWN = 0.5


@attrs.frozen(kw_only=True)
class Placement:
    """Choice of the worker that prefills a prompt.

    :param prefill_worker: the worker; a decode worker generates the tokens too.
    :param expected_s: expected time until the prompt is prefilled, in seconds.
    :param uncached: estimated tokens that are not in the worker's cache.
    :param work: work of prefilling them, in tokens without a context.
    :param recomputed_tokens: uncached tokens of shared parts that were computed
        before.
    :param prefill_s: time of prefilling it and the queue before it, in seconds,
        at a worker of the usual speed.
    :param overhead_s: expected time without queueing and prefill, in seconds.
    :param cache_holder: worker from whose cache it fetches the shared parts;
        None for no fetch.
    :param fetched_tokens: estimated tokens that it fetches.
    """

    prefill_worker: schema.serving.Worker
    expected_s: float
    uncached: int
    work: int
    recomputed_tokens: int = 0
    prefill_s: float = 0
    overhead_s: float = 0
    cache_holder: schema.serving.Worker | None = None
    fetched_tokens: int = 0

    @property
    def is_colocated(self) -> bool:
        """Whether the decode worker prefills the prompt itself."""
        return self.prefill_worker.stage == _Stage.DECODE


@attrs.define(eq=False)
class PromptLoad:
    """Load of the engines as far as placements depend on it.

    :param work: work of all processes at the engines.
    :param caches: shared parts of prompts in the engines' caches.
    :param gaps: gaps between the events of streams.
    :param ranks: orders of the engines by hash of a shared part.
    :param sent_work: prefill work that this process sends, in tokens.
    :param sent_streams: generations that this process sends.
    """

    work: _engine_work.EngineWork = attrs.field(
        factory=_engine_work.make_engine_work
    )
    caches: _engine_caches.EngineCaches = attrs.field(
        factory=_engine_caches.make_engine_caches
    )
    gaps: _event_gaps.EventGaps = attrs.field(
        factory=_event_gaps.make_event_gaps
    )
    ranks: _rendezvous.WorkerRanks = attrs.field(
        factory=_rendezvous.WorkerRanks
    )
    sent_work: _send_rates.SendRates = attrs.field(
        factory=_send_rates.SendRates
    )
    sent_streams: _send_rates.SendRates = attrs.field(
        factory=_send_rates.SendRates
    )
    _slowdowns: dict[str, float] = attrs.field(factory=dict)

    def add(
        self, placement: Placement, prompt: _calls.Prompt, now: float
    ) -> None:
        """Adds a prompt that is sent to its prefill worker.

        :param placement: placement of the prompt.
        :param prompt: the prompt.
        :param now: monotonic time in seconds.
        """
        worker = placement.prefill_worker
        self.work.add(worker.id, tokens=placement.work)
        self.sent_work.record(
            worker.service, worker.version, placement.work, now
        )
        self.caches.record_prompt(worker.id, prompt, now, placement.expected_s)

    def remove(
        self,
        placement: Placement,
        prompt: _calls.Prompt,
        now: float,
        seconds: float,
        *,
        is_prefilled: bool,
    ) -> None:
        """Removes a prompt that its prefill worker has finished or failed.

        :param placement: placement of the prompt.
        :param prompt: the prompt.
        :param now: monotonic time in seconds.
        :param seconds: time from sending the prompt to its end.
        :param is_prefilled: whether it was prefilled; otherwise the time is
            ignored.
        """
        worker_id = placement.prefill_worker.id
        self.work.add(worker_id, tokens=-placement.work)
        if not is_prefilled:
            self.caches.drop_pending_prompt(worker_id, prompt, now)
        if not is_prefilled or placement.prefill_s < _MIN_PREFILL_S:
            return
        ratio = (seconds - placement.overhead_s) / placement.prefill_s
        target = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, ratio))
        before = self._slowdowns.get(worker_id, 1.0)
        step = _SLOWDOWN_WEIGHT * (target - before)
        self._slowdowns[worker_id] = before + step

    def count_uncached(
        self, worker: schema.serving.Worker, prompt: _calls.Prompt
    ) -> int:
        """Estimates the tokens of a prompt that are not in a worker's cache.

        :param worker: the worker.
        :param prompt: the prompt.
        """
        cached = self.caches.count_cached(worker.id, prompt)
        return max(1, prompt.tokens - cached)

    def get_queued_work(self, worker: schema.serving.Worker, now: float) -> int:
        """Returns the prefill work of all processes that is queued at a worker.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        return self.work.get_total(worker.id, now).tokens

    def get_queued_s(self, worker: schema.serving.Worker, now: float) -> float:
        """Returns the time of the prefill that is queued at a worker.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        work = self.get_queued_work(worker, now)
        return work / _prefill_time.get_prefill_speed(worker.stage)

    def get_slowdown(self, worker: schema.serving.Worker) -> float:
        """Returns the ratio of measured to expected prefill time."""
        return self._slowdowns.get(worker.id, 1.0)

    def remove_worker(self, worker_id: str) -> None:
        """Removes the data of a worker that is no longer listed."""
        self.work.remove_worker(worker_id)
        self.caches.remove_worker(worker_id)
        self._slowdowns.pop(worker_id, None)


def make_prompt_load() -> PromptLoad:
    """Makes the load of a process that has sent no prompts."""
    return PromptLoad()
