"""Role planning: assigns engines to prefill, decode, or both."""

from briarknot.planning import (  # noqa: F401 - fill PLANNERS
    _static,
    _two_window,
)
from briarknot.planning._demand import DemandTracker, make_demand_tracker
from briarknot.planning._planners import (
    PLANNERS,
    Planner,
    PlannerOptions,
    make_planner,
)
from briarknot.planning._snapshot import (
    Demand,
    EngineState,
    NoChange,
    PoolDemand,
    RoleChange,
    Snapshot,
)

__all__ = (
    'PLANNERS',
    'Demand',
    'DemandTracker',
    'EngineState',
    'NoChange',
    'Planner',
    'PlannerOptions',
    'PoolDemand',
    'RoleChange',
    'Snapshot',
    'make_demand_tracker',
    'make_planner',
)
