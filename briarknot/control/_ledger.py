"""The order row of one engine, and the drain mark that follows from it."""

import attrs

from briarknot import authority, schema, telemetry
from briarknot.control import _decisions, _entries, _metrics


@attrs.define(eq=False)
class Ledger:
    """Writes an engine's row and tells entry processes what it means.

    :param engine: name of the engine.
    :param held: the row as it was read or written last.
    :param orders: order rows of the failure domain.
    :param entries: entry processes.
    :param lease: lease of the failure domain.
    """

    _engine: str
    _held: authority.VersionedOrder
    _orders: authority.Orders
    _entries: _entries.Entries
    _lease: authority.Lease

    @property
    def row(self) -> schema.records.OrderRow:
        """The row as it was read or written last."""
        return self._held.row

    @property
    def is_active(self) -> bool:
        """Whether entry processes must not dispatch to the engine."""
        return self.row.phase in _decisions.ACTIVE

    @property
    def is_overtaken(self) -> bool:
        """Whether a later holder of the lease has written the row."""
        return self.row.order.epoch > self._lease.epoch

    async def write(self, row: schema.records.OrderRow) -> bool:
        """Writes the row, and sends the mark that follows from it.

        :param row: the new row.
        :returns: false where the row is a late write of an earlier holder,
            which is held then.
        """
        written = await self._orders.write(self._engine, row, self._held)
        if isinstance(written, authority.RowConflict):
            telemetry.log_change('order', 'overtaken', engine=self._engine)
            self._held = written.current
            self.send_mark()
            return False
        self._held = written
        self.send_mark()
        return True

    async def end(
        self,
        phase: schema.records.OrderPhase,
        state: schema.endpoints.EngineState | None = None,
    ) -> bool:
        """Ends the order and lets entry processes dispatch again.

        :param phase: ``done`` or ``void``.
        :param state: the engine's state, where the order is done.
        :returns: whether the row was written.
        """
        row = attrs.evolve(self.row, phase=phase)
        if state:
            row = attrs.evolve(row, role=state.role, model=state.model)
        is_written = await self.write(row)
        if is_written:
            _metrics.ORDERS.labels(row.order.kind, phase).inc()
            telemetry.log_change('order', phase, engine=self._engine)
        return is_written

    def send_mark(self) -> None:
        """Sends the mark that the row stands for."""
        if self._held.version is not None:
            self._entries.set_mark(
                self._engine,
                self.row.order.sequence,
                active=self.is_active,
                reason=self.row.reason,
            )
