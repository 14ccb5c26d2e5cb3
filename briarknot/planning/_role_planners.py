"""The registry of role planners with all that are part of the system."""

from briarknot.planning import (  # noqa: F401 - fill PLANNERS
    _static,
    _two_window,
)
from briarknot.planning._planners import (
    PLANNERS,
    Planner,
    PlannerOptions,
    make_planner,
)

__all__ = ('PLANNERS', 'Planner', 'PlannerOptions', 'make_planner')
