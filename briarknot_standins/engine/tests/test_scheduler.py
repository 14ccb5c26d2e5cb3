"""Checks the order of jobs and the limits on slots and KV cache blocks."""

import asyncio

import attrs
import hypothesis
from hypothesis import strategies

from briarknot_standins.engine import (
    _cache,
    _config,
    _costs,
    _runs,
    _scheduler,
    _text,
)

_MAX_STREAMS = 2
_KV_BLOCKS = 6
_NO_COST = _config.EngineConfig(time_compression=1e9)


@attrs.frozen
class Plan:
    """Parameters of one job."""

    priority: int
    kv_blocks: int
    leaves_early: bool


_PLANS = strategies.lists(
    strategies.builds(
        Plan,
        strategies.integers(-2, 2),
        strategies.integers(1, _KV_BLOCKS),
        strategies.booleans(),
    ),
    max_size=12,
)


def make_job(plan, number):
    """Makes a job with a unique prompt."""
    work = _scheduler.WorkRequest(
        request_id=str(number),
        model='standin',
        prompt=f'prompt {number}',
        priority=plan.priority,
    )
    prompt_info = _text.analyze_prompt(work.prompt)
    return _scheduler.Job(work, prompt_info, plan.kv_blocks, lambda: None)


async def use_slot(scheduler, job, started):
    """Runs a job as a connection's task does."""
    if await job.granted:
        started.append(job)
        assert scheduler.running <= _MAX_STREAMS
        assert scheduler.kv_blocks_free >= 0
        await job.prefilled
    job.stop(_runs.RunEnd.COMPLETED)
    await scheduler.release(job)


async def run_plans(plans):
    """Queues all jobs, starts the scheduler, and returns the jobs in order."""
    scheduler = _scheduler.Scheduler(
        _MAX_STREAMS,
        _KV_BLOCKS,
        _costs.Costs(_NO_COST),
        _cache.PrefixCache(4, 0, 1),
    )
    jobs = [make_job(plan, number) for number, plan in enumerate(plans)]
    for job, plan in zip(jobs, plans, strict=True):
        await scheduler.submit(job)
        if plan.leaves_early:
            job.stop(_runs.RunEnd.DISCONNECTED)
    started = []
    async with asyncio.TaskGroup() as group:
        for waiting in jobs:
            group.create_task(use_slot(scheduler, waiting, started))
        # All jobs are queued before the first slot is granted.
        await asyncio.sleep(0)
        task = asyncio.create_task(scheduler.run())
    task.cancel()
    assert (scheduler.running, scheduler.waiting) == (0, ())
    return jobs, started


@hypothesis.given(_PLANS)
def test_jobs_start_by_priority_within_the_bounds(plans):
    """Guards against jobs that are lost or start out of order.

    Either would falsify measurements.
    """
    jobs, started = asyncio.run(run_plans(plans))
    kept = [
        job
        for job, plan in zip(jobs, plans, strict=True)
        if not plan.leaves_early
    ]
    assert started == sorted(kept, key=lambda job: job.work.priority)
