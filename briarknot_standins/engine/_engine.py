"""State of one engine, and the admission of requests."""

import asyncio
import collections
import math
import os
import time
import typing
import uuid

import attrs
import xxhash

from briarknot.schema import endpoints, fleet
from briarknot_standins import serving
from briarknot_standins.engine import (
    _cache,
    _config,
    _costs,
    _orders,
    _runs,
    _scheduler,
    _stray_chunks,
    _text,
)

# The sample period must be shorter than the shortest report lag of the tests.
_SAMPLE_PERIOD_S = 0.02
_MAX_SAMPLES = 3000
_MAX_EXPORTS = 1000
_CRASH_STATUS = 70
# Distinguishes this process from its predecessor after a restart.
_INSTANCE = uuid.uuid4().hex


@attrs.frozen(kw_only=True)
class KvExport:
    """KV cache of a prompt that a decode engine may import.

    :param kv_handle: handle of the export.
    :param prompt_hash: hash of the prompt.
    :param prompt_tokens: length of the prompt.
    :param cached_tokens: prompt tokens that the prefix cache held.
    :param kv_blocks: size in blocks.
    """

    kv_handle: str
    prompt_hash: str
    prompt_tokens: int
    cached_tokens: int
    kv_blocks: int


@attrs.frozen
class _Sample:
    taken_at_s: float
    report: endpoints.LoadReport


def hash_prompt(prompt: str) -> str:
    """Returns the hash that identifies the prompt of a KV cache export."""
    return xxhash.xxh64_hexdigest(prompt.encode())


def count_kv_blocks(tokens: int) -> int:
    """Returns the number of KV cache blocks that hold a number of tokens."""
    return max(1, math.ceil(tokens / _text.BLOCK_TOKENS))


def exit_process() -> None:
    """Ends the process at once, without cleanup, as a crash does."""
    os._exit(_CRASH_STATUS)


@attrs.define(eq=False)
class Engine:
    """An engine with its prefix cache, scheduler, orders and run log.

    :param config: configuration.
    :param crash: ends the process; unit tests replace it.
    """

    config: _config.EngineConfig
    crash: typing.Callable[[], None] = exit_process
    connections: serving.Connections = attrs.field(
        factory=serving.Connections, init=False
    )
    cache: _cache.PrefixCache = attrs.field(init=False)
    costs: _costs.Costs = attrs.field(init=False)
    stray_chunks: _stray_chunks.StrayChunks = attrs.field(init=False)
    runs: _runs.RunLog = attrs.field(init=False)
    scheduler: _scheduler.Scheduler = attrs.field(init=False)
    orders: _orders.Orders = attrs.field(init=False)
    faults: _config.Faults = attrs.field(init=False)
    _exports: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SAMPLES), init=False
    )

    @cache.default
    def _make_cache(self) -> _cache.PrefixCache:
        config = self.config
        delay_s = config.cache_event_delay_s
        return _cache.PrefixCache(
            config.cache_blocks,
            delay_s,
            config.seed,
            event_loss=config.cache_event_loss,
        )

    @costs.default
    def _make_costs(self) -> _costs.Costs:
        return _costs.Costs(self.config)

    @stray_chunks.default
    def _make_stray_chunks(self) -> _stray_chunks.StrayChunks:
        return _stray_chunks.StrayChunks(self.config.seed)

    @runs.default
    def _make_runs(self) -> _runs.RunLog:
        return _runs.RunLog(self.config.runs_kept)

    @scheduler.default
    def _make_scheduler(self) -> _scheduler.Scheduler:
        config = self.config
        return _scheduler.Scheduler(
            config.max_streams, config.kv_blocks, self.costs, self.cache
        )

    @orders.default
    def _make_orders(self) -> _orders.Orders:
        return _orders.Orders(
            self.config, self._stop_work, self._clear_caches, self.crash
        )

    @faults.default
    def _make_faults(self) -> _config.Faults:
        return _config.Faults(
            check_fencing=self.config.check_fencing,
            cache_event_loss=self.config.cache_event_loss,
            report_lag_s=self.config.report_lag_s,
        )

    def apply_faults(self, faults: _config.Faults) -> None:
        """Puts faults in force."""
        if faults.silence_open:
            self.connections.silence()
        self.cache.event_loss = faults.cache_event_loss
        self.stray_chunks.share = faults.stray_share
        self.costs.slow_factor = faults.slow_factor
        self.faults = attrs.evolve(faults, silence_open=False)

    def get_refusal_reason(
        self, work: _scheduler.WorkRequest, kind: str
    ) -> str:
        """Returns why the engine refuses a request, or an empty string.

        :param work: the request.
        :param kind: ``completion`` or ``prefill``.
        """
        state = self.orders.state
        if state.phase is not endpoints.EnginePhase.IDLE:
            return state.phase.value
        if work.model not in {state.model, state.model.split('@')[0]}:
            return 'model'
        if not _accepts(state.role, kind, with_kv=bool(work.kv_from.url)):
            return 'role'
        return ''

    def make_job(
        self,
        work: _scheduler.WorkRequest,
        abort: typing.Callable[[], object],
    ) -> _scheduler.Job | None:
        """Makes the job of a request.

        :param work: the request.
        :param abort: closes the request's connection.
        :returns: the job, or None where the engine's KV cache is too small
            for it.
        """
        prompt_info = _text.analyze_prompt(work.prompt)
        kv_blocks = count_kv_blocks(prompt_info.tokens + work.max_tokens)
        if kv_blocks > self.config.kv_blocks:
            return None
        return _scheduler.Job(work, prompt_info, kv_blocks, abort)

    def check_crash(self, prompt: str, token: int) -> None:
        """Ends the process where the faults require it at this token.

        :param prompt: prompt of the stream.
        :param token: token that is about to be sent; -1 before prefill.
        """
        faults = self.faults
        marked = faults.crash_marker and faults.crash_marker in prompt
        armed = marked or not faults.crash_marker
        if armed and token == faults.crash_at_token and (marked or token >= 0):
            self.crash()

    def add_export(self, job: _scheduler.Job) -> KvExport:
        """Keeps the KV cache of a prefill for import by a decode engine."""
        export = KvExport(
            kv_handle=f'{self.config.name}-{os.urandom(6).hex()}',
            prompt_hash=hash_prompt(job.work.prompt),
            prompt_tokens=job.prompt_info.tokens,
            cached_tokens=job.cached_tokens,
            kv_blocks=job.kv_blocks,
        )
        self._exports[export.kv_handle] = export
        if len(self._exports) > _MAX_EXPORTS:
            self._exports.popitem(last=False)
        return export

    def find_export(self, handle: str) -> KvExport | None:
        """Returns an export of KV cache, or None where it was dropped."""
        return self._exports.get(handle)

    def cancel(self, request_id: str) -> int:
        """Cancels a request's jobs and returns their number."""
        found = [
            job
            for job in self.scheduler.jobs
            if job.work.request_id == request_id
        ]
        for job in found:
            job.stop(_runs.RunEnd.CANCELLED)
        return len(found)

    def get_load(self) -> endpoints.LoadReport:
        """Returns the load report as it was ``report_lag_s`` ago."""
        now_s = time.monotonic()
        self._samples.append(_Sample(now_s, self._make_report()))
        latest_s = now_s - self.faults.report_lag_s
        chosen = self._samples[0]
        for sample in reversed(self._samples):
            if sample.taken_at_s <= latest_s:
                chosen = sample
                break
        return attrs.evolve(
            chosen.report, as_of_age_s=now_s - chosen.taken_at_s
        )

    async def run_samples(self) -> None:
        """Samples the load until it is cancelled."""
        while True:
            self._samples.append(_Sample(time.monotonic(), self._make_report()))
            await asyncio.sleep(_SAMPLE_PERIOD_S)

    def _clear_caches(self) -> None:
        self.cache.clear()
        self._exports.clear()

    def _stop_work(self) -> tuple[int, int]:
        waiting = self.scheduler.waiting
        running = [job for job in self.scheduler.jobs if job not in waiting]
        for job in running:
            job.stop(_runs.RunEnd.CUT)
            job.abort()
        for refused in waiting:
            refused.stop(_runs.RunEnd.REFUSED)
        return len(running), len(waiting)

    def _make_report(self) -> endpoints.LoadReport:
        state = self.orders.state
        scheduler = self.scheduler
        return endpoints.LoadReport(
            role=state.role,
            model=state.model,
            phase=state.phase,
            running=scheduler.running,
            queued=len(scheduler.waiting),
            queued_prefill_tokens=scheduler.queued_prefill_tokens,
            active_decode_streams=scheduler.decoding,
            kv_blocks_free=scheduler.kv_blocks_free,
            kv_blocks_total=self.config.kv_blocks,
            prefill_tokens_per_s=self.costs.prefill_speed,
            decode_tokens_per_s=self.costs.decode_speed,
            epoch=state.epoch,
            sequence=state.sequence,
            instance=_INSTANCE,
        )


def _accepts(role: fleet.Role, kind: str, *, with_kv: bool) -> bool:
    if role is fleet.Role.PREFILL:
        return kind == 'prefill'
    if role is fleet.Role.DECODE:
        return kind == 'completion' and with_kv
    return True
