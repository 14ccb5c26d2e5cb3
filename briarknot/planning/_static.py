"""Baseline: the roles that the document declares."""

import attrs

from briarknot.planning import _planners, _snapshot


@attrs.frozen
class Static:
    """Brings each engine to its declared role and leaves it there."""

    def choose_change(
        self, snapshot: _snapshot.Snapshot, _now: float
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        """Proposes the declared role of an engine that has another one."""
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
