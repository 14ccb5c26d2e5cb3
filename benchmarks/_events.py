"""Events that change a fleet during a scenario."""

import typing

import attrs

from briarknot import registry
from briarknot_standins import fleet

Event = typing.Callable[[fleet.RunningFleet], typing.Awaitable[None]]

#: Coroutine functions that change a running fleet.
EVENTS: registry.Registry[Event] = registry.Registry('event')


@EVENTS.register('crash_engine')
async def crash_engine(running: fleet.RunningFleet) -> None:
    """Kills the first engine."""
    next(iter(running.engines.values())).kill()


@EVENTS.register('withdraw_engine')
async def withdraw_engine(running: fleet.RunningFleet) -> None:
    """Marks the last engine as leaving, as an operator does."""
    *others, last = running.document.engines
    leaving = attrs.evolve(last, leaving=True)
    await running.commit(
        attrs.evolve(running.document, engines=(*others, leaving))
    )


@EVENTS.register('kill_entry')
async def kill_entry(running: fleet.RunningFleet) -> None:
    """Kills the first entry process; the load balancer drops it at once."""
    running.entries.pop(0).process.kill()
