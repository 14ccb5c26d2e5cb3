"""Scaling: how many paid workers of each kind are ordered where."""

from briarknot import lazy

#: A gateway loads the policies only where a service has scaling limits.
_MODULES = {
    '_all_policies': ('SCALING_POLICIES', 'ScalingPolicy'),
    '_snapshot': (
        'UNAVAILABLE_S',
        'Demand',
        'Group',
        'ScalingLimits',
        'Snapshot',
        'WorkerOrder',
    ),
}
__all__ = lazy.list_names(_MODULES)
__getattr__ = lazy.make_getattr(__name__, _MODULES)
