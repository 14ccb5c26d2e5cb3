"""Variants of a fleet that are compared on the same arrivals."""

import typing

import attrs

from briarknot import registry, schema
from briarknot_standins import fleet

Variant = typing.Callable[[fleet.FleetPlan], fleet.FleetPlan]

#: Functions that change the plan of a fleet.
VARIANTS: registry.Registry[Variant] = registry.Registry('variant')


def _set_policies(plan: fleet.FleetPlan, **changes: str) -> fleet.FleetPlan:
    return attrs.evolve(plan, policies=attrs.evolve(plan.policies, **changes))


@VARIANTS.register('product')
def use_default(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    """Keeps the default policies."""
    return plan


@VARIANTS.register('fifo')
def use_fifo(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    """Admits requests in order of arrival."""
    return _set_policies(plan, admission='fifo')


@VARIANTS.register('round_robin')
def use_round_robin(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    """Routes requests round robin."""
    return _set_policies(plan, router='round_robin')


@VARIANTS.register('least_loaded')
def use_least_loaded(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    """Routes to the engine with the fewest attempts of the entry process."""
    return _set_policies(plan, router='least_loaded')


@VARIANTS.register('static_planner')
def use_static_planner(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    """Keeps the roles that the document declares."""
    return _set_policies(plan, planner='static')


def _register_static(prefill: int, decode: int, mixed: int) -> None:
    """Registers a fixed assignment of the roles of one failure domain."""

    @VARIANTS.register(f'static_{prefill}p{decode}d{mixed}m')
    def use_static(plan: fleet.FleetPlan) -> fleet.FleetPlan:
        role = schema.fleet.Role
        counts = (
            (role.PREFILL, prefill),
            (role.DECODE, decode),
            (role.MIXED, mixed),
        )
        engines = tuple(
            fleet.EnginePlan(role=kind, count=count)
            for kind, count in counts
            if count
        )
        domain = attrs.evolve(plan.domains[0], engines=engines, controls=0)
        return _set_policies(
            attrs.evolve(plan, domains=(domain,)), planner='static'
        )


_register_static(0, 0, 4)
_register_static(1, 1, 2)
_register_static(2, 2, 0)
_register_static(3, 1, 0)
_register_static(1, 3, 0)
