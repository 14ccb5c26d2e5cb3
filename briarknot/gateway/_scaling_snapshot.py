"""Builds what scaling policies decide by from the state of a process."""

import collections
import math
import time

import attrs

from briarknot import scaling, schema
from briarknot.gateway import _context, _scaling_rows

_Stage = schema.serving.Stage
_Service = schema.serving.Service


@attrs.frozen
class PlannedOrder:
    """An order of a policy that has not been stored.

    :param desired: desired number of workers.
    :param reason: figures behind it.
    :param planned_s: monotonic time at which it was planned.
    """

    desired: int
    reason: str
    planned_s: float


@attrs.define(eq=False)
class OrderState:
    """What is known of the orders for a service.

    :param ordered: latest desired numbers that were sent or are stored.
    :param stored: desired numbers in the row of the service.
    :param planned: orders that have not been stored.
    :param accepted: latest desired numbers that the platform has accepted.
    :param unconfirmed: groups for whose latest number there was no answer.
    :param unavailable_until_s: monotonic times before which groups get no further
        workers.
    :param rejected_until_s: monotonic times before which groups get no orders.
    """

    ordered: _scaling_rows.Numbers = attrs.field(factory=dict)
    stored: _scaling_rows.Numbers = attrs.field(factory=dict)
    planned: dict[_scaling_rows.Group, PlannedOrder] = attrs.field(factory=dict)
    accepted: _scaling_rows.Numbers = attrs.field(factory=dict)
    unconfirmed: set[_scaling_rows.Group] = attrs.field(factory=set)
    unavailable_until_s: dict[_scaling_rows.Group, float] = attrs.field(
        factory=dict
    )
    rejected_until_s: dict[_scaling_rows.Group, float] = attrs.field(
        factory=dict
    )

    def drop_outdated(
        self,
        snapshot: 'scaling.Snapshot',
        orders: tuple['scaling.WorkerOrder', ...],
    ) -> None:
        """Drops waiting releases when more workers are needed than before.

        :param snapshot: the workers as they are now.
        :param orders: orders that are planned now.
        """
        expected = {
            (one.domain, one.is_spot): (
                one.serving if one.ordered is None else one.ordered
            )
            for one in snapshot.groups
        }
        if any(
            one.desired > expected.get((one.domain, one.is_spot), 0)
            for one in orders
        ):
            self.planned = {
                group: one
                for group, one in self.planned.items()
                if one.desired >= expected.get(group, 0)
            }

    def revert(self, group: _scaling_rows.Group) -> None:
        """Restores the number before an order that the platform has not taken.

        :param group: the group.
        """
        self.unconfirmed.discard(group)
        self.ordered.pop(group, None)
        if group in self.accepted:
            self.ordered[group] = self.accepted[group]


def list_services(context: _context.Context) -> tuple[_Service, ...]:
    """Lists the services whose workers are ordered.

    :param context: state of the process.
    """
    manifest = context.fleet.manifest
    services = manifest.services if manifest else ()
    return tuple(one for one in services if one.has_scaling)


def make_snapshot(
    context: _context.Context, service: _Service, state: OrderState
) -> 'scaling.Snapshot':
    """Makes the input of a policy.

    :param context: state of the process.
    :param service: the service.
    :param state: what is known of its orders.
    """
    limits = service.scaling
    return scaling.Snapshot(
        limits=scaling.ScalingLimits(
            least=limits.least,
            most=limits.most,
            boot_s=limits.boot_s,
            spot_price=limits.spot_price,
            prices={one.domain: one.price for one in limits.prices},
        ),
        groups=_make_groups(context, service.name, state),
        demand=_make_demand(context, service),
        target_s=_find_target_s(context, service.name),
    )


def count_serving(
    context: _context.Context, service: str
) -> collections.Counter[_scaling_rows.Group]:
    """Counts the workers of a service that are listed and not leaving.

    :param context: state of the process.
    :param service: name of the service.
    """
    return collections.Counter(
        (worker.domain, worker.is_spot)
        for stage in _Stage
        for worker in context.fleet.list_usable(service, stage)
    )


def _make_groups(
    context: _context.Context, service: str, state: OrderState
) -> tuple['scaling.Group', ...]:
    serving = count_serving(context, service)
    listed = collections.Counter(
        (worker.domain, worker.is_spot)
        for worker in context.fleet.workers
        if worker.service == service
    )
    keys = set(listed).union(state.ordered, state.unavailable_until_s)
    return tuple(
        scaling.Group(
            domain=domain,
            is_spot=is_spot,
            serving=serving[domain, is_spot],
            ordered=state.ordered.get((domain, is_spot)),
            is_leaving=listed[domain, is_spot] > serving[domain, is_spot],
            unavailable_until_s=state.unavailable_until_s.get(
                (domain, is_spot), -math.inf
            ),
            is_accepted=(domain, is_spot) not in state.unconfirmed,
        )
        for domain, is_spot in sorted(keys)
    )


def _make_demand(
    context: _context.Context, service: _Service
) -> 'scaling.Demand':
    now = time.monotonic()
    load = context.prompt_load
    prefills = context.fleet.list_usable(service.name, _Stage.PREFILL)
    decodes = context.fleet.list_usable(service.name, _Stage.DECODE)
    queued_s = [load.get_queued_s(one, now) for one in prefills]
    works = [load.work.get_total(one.id, now) for one in decodes]
    streams = sum(one.streams for one in works)
    tokens = sum(one.stream_tokens for one in works)
    # Plain services and engines without limits state no capacity.
    slots = max(1, len(decodes) * service.engine.slots)
    kv_tokens = max(1, len(decodes) * service.engine.kv_tokens)
    is_bounded = bool(service.engine.slots and service.engine.kv_tokens)
    busy_share = max(streams / slots, tokens / kv_tokens) if is_bounded else 0
    return scaling.Demand(
        prefill_workers=len(prefills),
        busy_prefill=sum(1 for one in queued_s if one),
        queued_s=sum(queued_s) / max(1, len(prefills)),
        decode_workers=len(decodes),
        busy_decode_share=busy_share,
        versions=len({one.version for one in (*prefills, *decodes)}) or 1,
    )


def _find_target_s(context: _context.Context, service: str) -> float:
    """Returns the shortest latency target among the routes to a service."""
    manifest = context.fleet.manifest
    routes = manifest.routes if manifest else ()
    return min(
        (
            route.target_s
            for route in routes
            if any(one.service == service for one in route.destinations)
        ),
        default=0,
    )
