"""Order row of one engine, and the drain mark derived from it."""

import attrs

from briarknot import authority, schema, telemetry
from briarknot.control import _decisions, _entries, _metrics


@attrs.define(eq=False)
class OrderRecord:
    """Writes an engine's order row and sends its drain mark.

    :param engine: name of the engine.
    :param stored: the row as it was read or written last.
    :param orders: order rows of the failure domain.
    :param entries: entry processes, which receive the drain mark.
    :param lease: lease of the failure domain.
    """

    _engine: str
    _stored: authority.VersionedOrder
    _orders: authority.Orders
    _entries: _entries.Entries
    _lease: authority.Lease

    @property
    def row(self) -> schema.records.OrderRow:
        """The row as it was read or written last."""
        return self._stored.row

    @property
    def is_active(self) -> bool:
        """Whether entry processes must not dispatch to the engine."""
        return self.row.phase in _decisions.ACTIVE

    @property
    def is_superseded(self) -> bool:
        """Whether a later holder of the lease has written the row."""
        return self.row.order.epoch > self._lease.epoch

    async def write(self, row: schema.records.OrderRow) -> bool:
        """Writes the row, and sends the drain mark derived from it.

        :param row: the new row.
        :returns: false where another row was stored: a delayed write of an
            earlier holder, which becomes the row of this object.
        """
        written = await self._orders.write(self._engine, row, self._stored)
        if isinstance(written, authority.RowConflict):
            telemetry.log_change('order', 'overtaken', engine=self._engine)
            self._stored = written.current
            self.send_mark()
            return False
        self._stored = written
        self.send_mark()
        return True

    async def end(
        self,
        phase: schema.records.OrderPhase,
        state: schema.endpoints.EngineState | None = None,
    ) -> bool:
        """Ends the order; entry processes may then dispatch again.

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
        """Sends the drain mark derived from the row."""
        if self._stored.version is not None:
            self._entries.set_mark(
                self._engine,
                self.row.order.sequence,
                active=self.is_active,
                reason=self.row.reason,
            )
