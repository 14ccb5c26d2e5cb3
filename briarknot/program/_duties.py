"""Tasks that must go on for as long as their process runs."""

import asyncio
import collections.abc

import prometheus_client
from absl import logging

_FAILURES = prometheus_client.Counter(
    'briarknot_duty_failures',
    'Duties of a process that failed and were started again.',
    ('duty',),
)
_RESTART_S = 1.0

Duty = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def keep_running(
    name: str, duty: Duty, restart_s: float = _RESTART_S
) -> None:
    """Runs a duty, and starts it again where it fails.

    One row or message that does not fit must not end a process and with it
    all of its streams, nor those of all processes that read the same row.

    :param name: name of the duty, from a small set, as it is a metric label.
    :param duty: makes the coroutine of the duty.
    :param restart_s: time before it is started again, in seconds.
    """
    while True:
        try:
            await duty()
        except Exception:
            _FAILURES.labels(name).inc()
            logging.exception('Duty %s failed', name)
        else:
            return
        await asyncio.sleep(restart_s)
