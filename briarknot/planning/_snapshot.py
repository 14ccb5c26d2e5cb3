"""Inputs and outputs of planners."""

import attrs

from briarknot import schema, sentinels


@attrs.frozen(kw_only=True)
class EngineState:
    """State of an engine according to its reports.

    :param name: name of the engine.
    :param group: group in which at most one engine changes its role at a time.
    :param model: name of the model.
    :param role: current role, as reported.
    :param declared_role: role in the document.
    :param phase: whether an order is being carried out.
    :param report: latest load report; None before the first.
    :param report_age_s: age of the figures in the report.
    :param is_pending: whether a drain or an order for the engine is open.
    """

    name: str
    group: str = 'default'
    model: str = ''
    role: schema.fleet.Role = schema.fleet.Role.MIXED
    declared_role: schema.fleet.Role = schema.fleet.Role.MIXED
    phase: schema.endpoints.EnginePhase = schema.endpoints.EnginePhase.IDLE
    report: schema.endpoints.LoadReport | None = None
    report_age_s: float = 0
    is_pending: bool = False

    @property
    def load(self) -> int:
        """Running and queued requests of the engine."""
        return self.report.running + self.report.queued if self.report else 0

    @property
    def is_settled(self) -> bool:
        """Whether no change of the engine is in progress."""
        idle = schema.endpoints.EnginePhase.IDLE
        return self.phase == idle and not self.is_pending


@attrs.frozen
class Demand:
    """Demand for prefill and decode.

    :param prefill: engine seconds of prefill per second.
    :param decode: engine seconds of decode per second.
    """

    prefill: float = 0
    decode: float = 0


@attrs.frozen(kw_only=True)
class PoolDemand:
    """Demand for one model in one group, over two windows.

    :param group: name of the group.
    :param model: name of the model.
    :param short: demand over the window of seconds.
    :param long: demand over the window of minutes.
    """

    group: str = 'default'
    model: str = ''
    short: Demand = Demand()
    long: Demand = Demand()


@attrs.frozen(kw_only=True)
class Snapshot:
    """Engines and demand of one failure domain.

    :param engines: all engines that can take requests.
    :param demands: demand by group and model.
    """

    engines: tuple[EngineState, ...] = ()
    demands: tuple[PoolDemand, ...] = ()


@attrs.frozen(kw_only=True)
class RoleChange:
    """A proposal to change an engine's role.

    :param engine: name of the engine.
    :param role: new role of the engine.
    :param reason: explanation with figures, stored in the row of the order.
    """

    engine: str
    role: schema.fleet.Role
    reason: str


@attrs.frozen(kw_only=True)
class NoChange(sentinels.Sentinel):
    """Sentinel for the decision to leave all roles unchanged.

    :param reason: explanation with figures.
    """

    reason: str
