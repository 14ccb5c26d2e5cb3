"""Steps of a request: slot, prefill, KV cache import, and decode."""

import asyncio
import contextlib
import typing

import orjson
from aiohttp import web

from briarknot_standins.engine import _engine, _runs, _scheduler, _text

_BEFORE_PREFILL = -1


@contextlib.asynccontextmanager
async def hold_slot(
    engine: _engine.Engine, job: _scheduler.Job
) -> typing.AsyncIterator[None]:
    """Queues a job, and frees its slot when the context ends."""
    await engine.scheduler.submit(job)
    try:
        yield
    finally:
        job.stop(_runs.RunEnd.DISCONNECTED)
        await engine.scheduler.release(job)


@contextlib.contextmanager
def record_end(job: _scheduler.Job, run: _runs.Run) -> typing.Iterator[None]:
    """Records in a run how its job ended."""
    try:
        yield
    except (asyncio.CancelledError, ConnectionError):
        job.stop(_runs.RunEnd.DISCONNECTED)
        raise
    finally:
        run.end = job.end


async def run_prefill(engine: _engine.Engine, job: _scheduler.Job) -> None:
    """Waits until the prefill of a job with a slot is complete."""
    engine.check_crash(job.work.prompt, _BEFORE_PREFILL)
    await job.prefilled


async def run_stream(
    request: web.Request,
    engine: _engine.Engine,
    job: _scheduler.Job,
    run: _runs.Run,
) -> web.StreamResponse:
    """Streams the answer of a job that has a slot.

    :param request: request to answer.
    :param engine: the engine.
    :param job: job of the request.
    :param run: record of its run.
    """
    response = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
    await response.prepare(request)
    await run_prefill(engine, job)
    if job.work.kv_from.url:
        await engine.costs.sleep_import(job.kv_blocks)
    tokens = await _decode(request, response, engine, job, run)
    if job.end is _runs.RunEnd.BROKEN:
        return _break_stream(request, response, engine)
    if job.end is not _runs.RunEnd.CUT:
        await _finish(response, job, tokens)
    return response


def _break_stream(
    request: web.Request,
    response: web.StreamResponse,
    engine: _engine.Engine,
) -> web.StreamResponse:
    # aiohttp completes the response when the handler returns it.
    if not engine.faults.break_cleanly and request.transport is not None:
        request.transport.abort()
    return response


async def _decode(
    request: web.Request,
    response: web.StreamResponse,
    engine: _engine.Engine,
    job: _scheduler.Job,
    run: _runs.Run,
) -> int:
    work = job.work
    end = _text.count_answer_tokens(work.prompt, work.max_tokens)
    clock = asyncio.get_running_loop().time
    due_s = clock()
    token = work.resume_from
    step = engine.config.chunks_per_write
    while token < end:
        limit = engine.faults.get_break(work.resume_from, token, end)
        if token == limit:
            job.stop(_runs.RunEnd.BROKEN)
            break
        until = min(limit, token + step)
        interval_s = engine.costs.get_interval_s(
            in_prefill=engine.scheduler.in_prefill
        )
        due_s += interval_s * (until - token)
        await asyncio.sleep(max(0, due_s - clock()))
        await engine.connections.wait_if_silent(request)
        if not job.running:
            break
        chunks = [
            _make_unit_chunk(engine, job, run, index)
            for index in range(token, until)
        ]
        await response.write(b''.join(chunks))
        token = until
    return token


async def _finish(
    response: web.StreamResponse, job: _scheduler.Job, tokens: int
) -> None:
    reason = 'length' if tokens >= job.work.max_tokens else 'stop'
    if job.end is _runs.RunEnd.CANCELLED:
        reason = 'cancelled'
    last = {
        'request_id': job.work.request_id,
        'offset': tokens,
        'text': '',
        'finish_reason': reason,
        'usage': {
            'prompt_tokens': job.prompt_info.tokens,
            'cached_tokens': job.cached_tokens,
            'completion_tokens': tokens,
        },
    }
    await response.write(_make_event(last) + b'data: [DONE]\n\n')
    await response.write_eof()
    job.stop(_runs.RunEnd.COMPLETED)


def _make_unit_chunk(
    engine: _engine.Engine,
    job: _scheduler.Job,
    run: _runs.Run,
    index: int,
) -> bytes:
    engine.check_crash(job.work.prompt, index)
    unit = _text.make_unit(job.prompt_info.seed, index)
    run.add_unit(unit)
    return engine.stray_chunks.inject(
        _make_event(
            {'request_id': job.work.request_id, 'offset': index, 'text': unit}
        )
    )


def _make_event(tree: dict[str, typing.Any]) -> bytes:
    return b'data: ' + orjson.dumps(tree) + b'\n\n'
