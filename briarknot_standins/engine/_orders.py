"""Orders of an engine: fencing, changes, and their audit log."""

import asyncio
import time
import typing

import attrs

from briarknot.schema import endpoints, fleet
from briarknot_standins.engine import _weights
from briarknot_standins.engine._config import EngineConfig, Faults

_MAX_LOG_ORDERS = 64


@attrs.frozen
class AuditEntry:
    """Audit record of an order that was received.

    Tests check invariants of fencing on these records.

    :param order: the order.
    :param received_at_s: monotonic time of receipt.
    :param decided_at_s: monotonic time of the decision.
    :param answer: ``accepted``, ``repeated``, ``stale_epoch`` or ``busy``.
    :param cut: running requests that the order aborted.
    :param refused: queued requests that the order refused.
    """

    order: endpoints.Order
    received_at_s: float
    decided_at_s: float
    answer: str
    cut: int = 0
    refused: int = 0


@attrs.define(eq=False)
class Orders:
    """Role, model and phase of an engine, and the orders that change them.

    :param config: configuration of the engine.
    :param stop_work: stops all jobs; returns the numbers of requests that it
        aborted and refused.
    :param clear_caches: drops the prefix cache and the KV cache exports, which
        do not survive a change.
    :param crash: ends the process.
    """

    _config: EngineConfig
    _stop_work: typing.Callable[[], tuple[int, int]]
    _clear_caches: typing.Callable[[], None]
    _crash: typing.Callable[[], None]
    _state: endpoints.EngineState = attrs.field(init=False)
    _audit: list[AuditEntry] = attrs.field(factory=list, init=False)
    _accepted: list[endpoints.Order] = attrs.field(factory=list, init=False)
    _change: asyncio.Task | None = attrs.field(default=None, init=False)

    @_state.default
    def _make_state(self) -> endpoints.EngineState:
        return endpoints.EngineState(
            role=self._config.role, model=self._config.model
        )

    @property
    def state(self) -> endpoints.EngineState:
        """State that the engine reports."""
        return self._state

    @property
    def audit(self) -> tuple[AuditEntry, ...]:
        """All orders that were received, oldest first."""
        return tuple(self._audit)

    async def receive(self, order: endpoints.Order, faults: Faults) -> str:
        """Accepts or refuses an order.

        :returns: the answer, as :class:`AuditEntry` describes it.
        """
        received_at_s = time.monotonic()
        await asyncio.sleep(faults.order_delay_s)
        answer = self._decide(order, check_fencing=faults.check_fencing)
        cut, refused = 0, 0
        if answer == 'accepted':
            cut, refused = self._accept(order, faults)
        self._audit.append(
            AuditEntry(
                order, received_at_s, time.monotonic(), answer, cut, refused
            )
        )
        return answer

    async def close(self) -> None:
        """Cancels a change that is in progress."""
        if self._change is not None:
            self._change.cancel()
            await asyncio.wait([self._change])

    def _decide(self, order: endpoints.Order, *, check_fencing: bool) -> str:
        if self._accepted and order == self._accepted[-1]:
            return 'repeated'
        if check_fencing and self._is_stale(order):
            return 'stale_epoch'
        if self._state.phase is endpoints.EnginePhase.CHANGING:
            return 'busy'
        return 'accepted'

    def _is_stale(self, order: endpoints.Order) -> bool:
        current = (self._state.epoch, self._state.sequence)
        return (order.epoch, order.sequence) <= current

    def _accept(
        self, order: endpoints.Order, faults: Faults
    ) -> tuple[int, int]:
        self._accepted.append(order)
        self._state = attrs.evolve(
            self._state,
            epoch=order.epoch,
            sequence=order.sequence,
            phase=endpoints.EnginePhase.CHANGING,
            log=tuple(self._accepted[-_MAX_LOG_ORDERS:]),
        )
        stopped = self._stop_work()
        self._change = asyncio.create_task(self._apply(order, faults))
        return stopped

    async def _apply(self, order: endpoints.Order, faults: Faults) -> None:
        half_s = self._get_duration_s(order) / 2
        await asyncio.sleep(half_s)
        if faults.crash_in_change:
            self._crash()
        await asyncio.sleep(half_s)
        weights_url = self._config.weights_url
        if order.kind is endpoints.OrderKind.MODEL and weights_url:
            await _weights.fetch(weights_url, order.value)
        self._clear_caches()
        phase = endpoints.EnginePhase.IDLE
        if order.kind is endpoints.OrderKind.WITHDRAW:
            phase = endpoints.EnginePhase.WITHDRAWN
        self._state = attrs.evolve(
            self._state, phase=phase, **self._get_changed_fields(order)
        )

    def _get_duration_s(self, order: endpoints.Order) -> float:
        durations = {
            endpoints.OrderKind.ROLE: self._config.role_change_s,
            endpoints.OrderKind.MODEL: self._config.model_change_s,
        }
        return durations.get(order.kind, 0) / self._config.time_compression

    def _get_changed_fields(
        self, order: endpoints.Order
    ) -> dict[str, typing.Any]:
        if order.kind is endpoints.OrderKind.ROLE:
            return {'role': fleet.Role(order.value)}
        if order.kind is endpoints.OrderKind.MODEL:
            return {'model': order.value}
        return {}
