"""Priority queue, slots of continuous batching, and chunked prefill."""

import asyncio
import heapq
import typing

import attrs

from briarknot_standins.engine import _cache, _costs, _text
from briarknot_standins.engine._runs import RunEnd


@attrs.frozen(kw_only=True)
class KvSource:
    """Where an engine imports KV cache from."""

    url: str = ''
    kv_handle: str = ''


@attrs.frozen(kw_only=True)
class WorkRequest:
    """Body of ``POST /v1/completions`` and ``POST /v1/prefill``."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int = 0
    priority: int = 0
    resume_from: int = 0
    kv_from: KvSource = attrs.field(factory=KvSource)


@attrs.define(eq=False)
class Job:
    """A request inside the engine.

    :param work: the request.
    :param prompt_info: values derived from the prompt.
    :param kv_blocks: KV cache blocks that it occupies while it runs.
    :param abort: closes the request's connection.
    """

    work: WorkRequest
    prompt_info: _text.PromptInfo
    kv_blocks: int
    abort: typing.Callable[[], object]
    #: Tokens that prefill has yet to process.
    prefill_tokens: int = attrs.field(init=False)
    #: Prompt tokens that need no prefill; known once prefill has started.
    cached_tokens: int = 0
    #: Whether cached tokens have been subtracted from ``prefill_tokens``.
    prefill_planned: bool = False
    #: Done when the job has a slot (True) or was stopped without one (False).
    granted: asyncio.Future = attrs.field(factory=asyncio.Future)
    #: Done when its prefill is complete or it was stopped.
    prefilled: asyncio.Future = attrs.field(factory=asyncio.Future)
    end: RunEnd = RunEnd.RUNNING

    @prefill_tokens.default
    def _count_prefill(self) -> int:
        return self.prompt_info.tokens + self.work.resume_from

    @property
    def running(self) -> bool:
        """Whether the job has not been stopped."""
        return self.end is RunEnd.RUNNING

    def stop(self, end: RunEnd) -> None:
        """Stops the job; its connection's task ends at its next step."""
        if self.running:
            self.end = end
            resolve(self.granted, False)
            resolve(self.prefilled, None)


def resolve(future: asyncio.Future, outcome: typing.Any) -> None:
    """Sets a future's result unless it is done."""
    if not future.done():
        future.set_result(outcome)


@attrs.define(eq=False)
class Scheduler:
    """Grants slots by priority and runs prefill as one task.

    Lower priority numbers are scheduled first, and equal ones in order of
    arrival. A request with a lower number preempts a prefill between two of
    its chunks.

    :param max_streams: number of slots.
    :param kv_blocks: blocks of KV cache that running jobs share.
    :param costs: durations of prefill.
    :param cache: prefix cache.
    """

    _max_streams: int
    _kv_blocks: int
    _costs: _costs.Costs
    _cache: _cache.PrefixCache
    _changed: asyncio.Condition = attrs.field(
        factory=asyncio.Condition, init=False
    )
    _arrivals: int = attrs.field(default=0, init=False)
    _waiting: list = attrs.field(factory=list, init=False)
    _prefilling: list = attrs.field(factory=list, init=False)
    _active: set = attrs.field(factory=set, init=False)
    _in_prefill: bool = attrs.field(default=False, init=False)

    @property
    def in_prefill(self) -> bool:
        """Whether a prefill runs now."""
        return self._in_prefill

    @property
    def running(self) -> int:
        """Number of jobs that hold a slot."""
        return len(self._active)

    @property
    def waiting(self) -> tuple[Job, ...]:
        """Jobs without a slot."""
        return tuple(job for _, _, job in self._waiting if job.running)

    @property
    def decoding(self) -> int:
        """Number of jobs whose prefill is complete."""
        return sum(job.prefilled.done() for job in self._active)

    @property
    def queued_prefill_tokens(self) -> int:
        """Tokens that wait for prefill."""
        jobs = {*self.waiting, *self._active}
        return sum(job.prefill_tokens for job in jobs)

    @property
    def kv_blocks_free(self) -> int:
        """Blocks of KV cache that no running job holds."""
        return self._kv_blocks - sum(job.kv_blocks for job in self._active)

    @property
    def jobs(self) -> tuple[Job, ...]:
        """All jobs, with or without a slot."""
        return (*self._active, *self.waiting)

    async def submit(self, job: Job) -> None:
        """Adds a job to the queue."""
        async with self._changed:
            self._arrivals += 1
            key = (job.work.priority, self._arrivals, job)
            heapq.heappush(self._waiting, key)
            self._changed.notify_all()

    async def release(self, job: Job) -> None:
        """Frees a job's slot and KV cache blocks."""
        async with self._changed:
            self._active.discard(job)
            self._changed.notify_all()

    async def run(self) -> None:
        """Grants slots and runs prefill until it is cancelled."""
        while True:
            async with self._changed:
                await self._changed.wait_for(self._grant_slots)
                key = heapq.heappop(self._prefilling)
            await self._run_prefill_chunk(key)

    async def _run_prefill_chunk(self, key: tuple[int, int, Job]) -> None:
        job = key[2]
        if not job.prefill_planned:
            self._plan_prefill(job)
        chunk_tokens = min(_text.BLOCK_TOKENS, job.prefill_tokens)
        self._in_prefill = True
        await self._costs.sleep_prefill(chunk_tokens)
        self._in_prefill = False
        job.prefill_tokens -= chunk_tokens
        if job.prefill_tokens and job in self._active:
            heapq.heappush(self._prefilling, key)
        elif job.running:
            self._cache.store(job.prompt_info.blocks)
            resolve(job.prefilled, None)

    def _plan_prefill(self, job: Job) -> None:
        blocks = self._cache.count_prefix(job.prompt_info.blocks)
        job.cached_tokens = blocks * _text.BLOCK_TOKENS
        if job.work.kv_from.url:
            job.cached_tokens = job.prompt_info.tokens
        job.prefill_tokens -= job.cached_tokens
        job.prefill_planned = True

    def _grant_slots(self) -> bool:
        while self._waiting and self._try_grant():
            heapq.heappop(self._waiting)
        while self._prefilling and self._prefilling[0][2] not in self._active:
            heapq.heappop(self._prefilling)
        return bool(self._prefilling)

    def _try_grant(self) -> bool:
        key = self._waiting[0]
        job = key[2]
        if not job.running:
            return True
        if len(self._active) >= self._max_streams:
            return False
        if job.kv_blocks > self.kv_blocks_free:
            return False
        self._active.add(job)
        heapq.heappush(self._prefilling, key)
        resolve(job.granted, True)
        return True
