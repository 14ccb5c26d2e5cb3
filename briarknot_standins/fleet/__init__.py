"""Starts a complete fleet of stand-ins and programs on loopback.

.. code-block:: python

    async with fleet.run_fleet(fleet.make_sprossenwerk_plan()) as running:
        answer = await running.complete('urgent', 'a short prompt', 16)
"""

from briarknot_standins.fleet._calls import Completion
from briarknot_standins.fleet._plan import (
    DomainPlan,
    EnginePlan,
    FleetPlan,
    make_inac_plan,
    make_sprossenwerk_plan,
)
from briarknot_standins.fleet._running import Entry, RunningFleet, run_fleet

__all__ = (
    'Completion',
    'DomainPlan',
    'EnginePlan',
    'Entry',
    'FleetPlan',
    'RunningFleet',
    'make_inac_plan',
    'make_sprossenwerk_plan',
    'run_fleet',
)
