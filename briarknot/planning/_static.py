"""Baseline planner that keeps the declared roles."""

import attrs

from briarknot.planning import _planners, _snapshot


@attrs.frozen
class Static:
    """Returns engines to their declared roles regardless of demand."""

    def choose_change(
        self, snapshot: _snapshot.Snapshot, _now: float
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        """Proposes the declared role for an engine with another role."""
        blocked = {
            engine.group for engine in snapshot.engines if not engine.is_settled
        }
        for engine in snapshot.engines:
            differs = engine.role != engine.declared_role
            if differs and engine.group not in blocked:
                return _snapshot.RoleChange(
                    engine=engine.name,
                    role=engine.declared_role,
                    reason=(
                        f'{engine.name} has role {engine.role.value}, the '
                        f'document declares {engine.declared_role.value}'
                    ),
                )
        return _snapshot.NoChange(reason='all roles are as declared')


@_planners.PLANNERS.register('static')
def make_static(_options: _planners.PlannerOptions) -> _planners.Planner:
    """Makes the static planner."""
    return Static()
