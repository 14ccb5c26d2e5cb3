"""Background tasks that run for the lifetime of their process."""

import asyncio
import collections.abc
import logging

import prometheus_client

_FAILURES = prometheus_client.Counter(
    'briarknot_duty_failures',
    'Duties of a process that failed and were started again.',
    ('duty',),
)
_RESTART_DELAY_S = 1.0

TaskFactory = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def run_background_task(
    name: str,
    make_task: TaskFactory,
    restart_delay_s: float = _RESTART_DELAY_S,
) -> None:
    """Runs a background task and restarts it when it fails.

    A single malformed row or message must not end the process and all of its
    streams; every process that reads the same row would end as well.

    :param name: name of the task, from a small set, as it is a metric label.
    :param make_task: makes the coroutine of the task.
    :param restart_delay_s: delay before a restart, in seconds.
    """
    while True:
        try:
            await make_task()
        except Exception:
            _FAILURES.labels(name).inc()
            # Nothing is imported here: no file descriptor may be free.
            logging.getLogger(__name__).exception(
                'Background task %s failed', name
            )
        else:
            return
        await asyncio.sleep(restart_delay_s)
