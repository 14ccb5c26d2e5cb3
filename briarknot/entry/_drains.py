"""Drain marks, and the check for gaps in the process's own running."""

import asyncio
import time

import attrs
import prometheus_client

from briarknot import links, platform, routing, schema, telemetry

_GAPS = prometheus_client.Counter(
    'briarknot_execution_gaps',
    'Gaps in the running of the process, after which marks are read again.',
)
_TICK_S = 0.1
#: Longer than pauses by garbage collection or a busy event loop, shorter than
#: the time in which a controller can drain an engine.
_GAP_S = 1.0
#: Without the platform no controller holds its lease for longer.
_LONGEST_LEASE_S = 10.0
_RETRY_S = 0.25
_ACTIVE = frozenset(
    {
        schema.records.OrderPhase.DRAINING,
        schema.records.OrderPhase.OPEN,
    }
)


@attrs.define(eq=False)
class Drains:
    """Applies drain marks before anything is dispatched.

    A process that was paused may have missed marks. It reads them again from
    the table of orders before it dispatches.
    """

    _client: platform.Client
    _view: routing.View
    _node: schema.settings.Node
    _hub: links.Hub
    _epoch: int = attrs.field(default=0, init=False)
    #: The marks have never been read, which counts as a gap.
    _last_tick_s: float = attrs.field(default=float('-inf'), init=False)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False)

    async def handle_mark(
        self, link: links.Link, message: schema.messages.DrainMark
    ) -> None:
        """Applies a controller's mark and answers what is still in flight.

        The controller repeats the mark until nothing is in flight.
        """
        if message.epoch < self._epoch:
            telemetry.log_change(
                'drain', 'stale mark', engine=message.engine, host=link.host
            )
            return
        self._epoch = message.epoch
        self._view.apply_drain(
            message.engine, message.drain_number, message.active
        )
        link.send(
            schema.messages.DrainAck(
                engine=message.engine,
                drain_number=message.drain_number,
                host=self._node.host,
                incarnation=self._hub.hello.incarnation,
                in_flight=self._view.in_flight(message.engine),
            )
        )

    async def run(self) -> None:
        """Notes at short intervals that the process runs, until cancelled."""
        while True:
            await self.wait_current()
            await asyncio.sleep(_TICK_S)

    async def wait_current(self) -> None:
        """Waits until the marks are known; call it before each dispatch."""
        if time.monotonic() - self._last_tick_s <= _GAP_S:
            self._last_tick_s = time.monotonic()
            return
        async with self._lock:
            if time.monotonic() - self._last_tick_s > _GAP_S:
                _GAPS.inc()
                await self._read_marks()
                self._last_tick_s = time.monotonic()

    async def _read_marks(self) -> None:
        """Reads the marks, or waits until none can lead to an order.

        Without the platform a controller loses its lease, and no order
        follows the marks that were missed.
        """
        deadline_s = time.monotonic() + _LONGEST_LEASE_S
        while time.monotonic() < deadline_s:
            rows = await self._client.scan_rows(
                'orders', f'{self._node.domain}.'
            )
            if isinstance(rows, tuple):
                for row in rows:
                    self._apply_row(row)
                return
            await asyncio.sleep(_RETRY_S)
        telemetry.log_change(
            'drain', 'marks not read', domain=self._node.domain
        )

    def _apply_row(self, row: platform.Row) -> None:
        record = schema.from_plain(schema.records.OrderRow, row.value)
        engine_name = row.key.removeprefix(f'{self._node.domain}.')
        self._epoch = max(self._epoch, record.order.epoch)
        self._view.apply_drain(
            engine_name, record.order.sequence, record.phase in _ACTIVE
        )


def make_drains(
    client: platform.Client,
    view: routing.View,
    node: schema.settings.Node,
    hub: links.Hub,
) -> Drains:
    """Makes the handler of drain marks.

    :param client: client of the platform.
    :param view: endpoint view of the own failure domain.
    :param node: identity of the process.
    :param hub: peer links of the process.
    """
    return Drains(client, view, node, hub)
