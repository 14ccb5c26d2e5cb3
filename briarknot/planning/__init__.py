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
from briarknot.planning._stages import (
    STAGE_PLANNERS,
    NoStageChange,
    StageChange,
    StagedEngine,
    StagePlanner,
    StageSnapshot,
)

__all__ = (
    'PLANNERS',
    'STAGE_PLANNERS',
    'Demand',
    'DemandTracker',
    'EngineState',
    'NoChange',
    'NoStageChange',
    'Planner',
    'PlannerOptions',
    'PoolDemand',
    'RoleChange',
    'Snapshot',
    'StageChange',
    'StagePlanner',
    'StageSnapshot',
    'StagedEngine',
    'make_demand_tracker',
    'make_planner',
)
