"""Applies drain marks, and refreshes them after pauses of the process."""

import asyncio
import time

import attrs
import prometheus_client

from briarknot import (
    config,
    links,
    membership,
    platform,
    routing,
    schema,
    telemetry,
)

_GAPS = prometheus_client.Counter(
    'briarknot_execution_gaps',
    'Gaps in the running of the process, after which marks are read again.',
)
_CHECK_PERIOD_S = 0.1
#: Longer than pauses for garbage collection or by a busy event loop, shorter
#: than the time in which a controller can drain an engine.
_MIN_GAP_S = 1.0
#: A controller that cannot reach the platform loses its lease within this time.
_MAX_LEASE_S = 10.0
_RETRY_DELAY_S = 0.25
_ACTIVE = frozenset(
    (
        schema.records.OrderPhase.DRAINING,
        schema.records.OrderPhase.OPEN,
    )
)


@attrs.define(eq=False)
class DrainMarks:
    """Keeps the drain marks current for each dispatch.

    A process that was paused may have missed marks and documents, and peers
    may suspect it. It takes a new incarnation, and reads the table of orders
    and the document before its next dispatch.
    """

    _client: platform.Client
    _view: routing.View
    _node: schema.settings.Node
    _hub: links.Hub
    _follower: config.Follower
    _members: membership.Members
    _epoch: int = attrs.field(default=0, init=False)
    _gaps: int = attrs.field(default=0, init=False)
    #: False at the start, as the marks have not been read yet.
    _is_current: bool = attrs.field(default=False, init=False)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False)
    _pause_detector: membership.PauseDetector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts to detect gaps."""
        self._pause_detector = membership.make_pause_detector(
            _MIN_GAP_S, self._record_gap
        )

    async def handle_mark(
        self, link: links.Link, message: schema.messages.DrainMark
    ) -> None:
        """Applies a controller's mark and reports the requests in flight.

        The controller sends the mark again until no request is in flight.
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
        """Refreshes the marks after each gap, until cancelled."""
        while True:
            await self.wait_until_current()
            await asyncio.sleep(_CHECK_PERIOD_S)

    async def run_pause_detector(self) -> None:
        """Detects gaps in the execution of the process, until cancelled.

        This is a separate task, as reading the marks takes long while the
        platform is unavailable. It detects pauses during that time, and does
        not take the wait itself for a gap.
        """
        await self._pause_detector.run()

    async def wait_until_current(self) -> None:
        """Waits until the marks are current; call it before each dispatch."""
        self._pause_detector.check()
        if self._is_current:
            return
        async with self._lock:
            while not self._is_current:
                await self._refresh()

    def _record_gap(self, gap_s: float) -> None:
        self._gaps += 1
        self._is_current = False
        _GAPS.inc()
        incarnation = self._members.renew()
        telemetry.log_change(
            'process', 'resumed', gap_s=gap_s, incarnation=incarnation
        )

    async def _refresh(self) -> None:
        gaps = self._gaps
        # At the start the follower itself reads the document, from the peers
        # before the platform.
        if self._follower.revision:
            await self._follower.refresh()
        await self._read_marks()
        self._pause_detector.check()
        # After another gap, what was read before it may be stale.
        self._is_current = self._gaps == gaps

    async def _read_marks(self) -> None:
        """Reads the marks, or waits until missed ones have no effect.

        While the platform is unavailable, a controller loses its lease, and
        gives no order that depends on the missed marks.
        """
        deadline_s = time.monotonic() + _MAX_LEASE_S
        while time.monotonic() < deadline_s:
            rows = await self._client.scan_rows(
                'orders', f'{self._node.domain}.'
            )
            if isinstance(rows, tuple):
                for row in rows:
                    self._apply_row(row)
                return
            await asyncio.sleep(_RETRY_DELAY_S)
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


def make_drain_marks(
    client: platform.Client,
    view: routing.View,
    node: schema.settings.Node,
    hub: links.Hub,
    follower: config.Follower,
    members: membership.Members,
) -> DrainMarks:
    """Makes the handler of drain marks.

    :param client: client of the platform.
    :param view: view of the endpoints in the local failure domain.
    :param node: identity of the process.
    :param hub: peer links of the process.
    :param follower: keeps the document in force.
    :param members: membership of the entry hosts.
    """
    return DrainMarks(client, view, node, hub, follower, members)
