"""Role planning: assigns engines to prefill, decode, or both."""

from briarknot import lazy

#: A gateway plans stages only, and starts without the other modules.
_MODULES = {
    '_demand': ('DemandTracker', 'make_demand_tracker'),
    '_role_planners': (
        'PLANNERS',
        'Planner',
        'PlannerOptions',
        'make_planner',
    ),
    '_snapshot': (
        'Demand',
        'EngineState',
        'NoChange',
        'PoolDemand',
        'RoleChange',
        'Snapshot',
    ),
    '_stage_snapshot': (
        'NoStageChange',
        'StageChange',
        'StageSnapshot',
        'StagedEngine',
    ),
    '_stages': (
        'STAGE_PLANNERS',
        'StagePlanner',
        'count_least_decode_workers',
    ),
}
__all__ = lazy.list_names(_MODULES)
__getattr__ = lazy.make_getattr(__name__, _MODULES)
