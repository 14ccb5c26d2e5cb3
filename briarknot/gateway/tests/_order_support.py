"""Processes that order workers, a store, and a platform that takes the orders."""

import asyncio
import contextlib
import json
import time

import attrs

from briarknot import platform, scaling, schema
from briarknot.authority import _order_grants
from briarknot.gateway import (
    _context,
    _store_readers,
    _worker_order_sending,
    _worker_orders,
)
from briarknot.gateway.tests import _usage_support
from briarknot.gateway.tests import test_store_sync as stores
from briarknot.platform import _duties

LATE_S = 0.4
_SERVICE = schema.serving.Service(
    name='s',
    has_scaling=True,
    scaling=schema.serving.ScalingLimits(
        least=1,
        most=9,
        boot_s=4,
        spot_price=0.2,
        prices=tuple(
            schema.serving.DomainPrice(domain=domain, price=1)
            for domain in 'ab'
        ),
    ),
)
_SHORT_TIMES = (
    (_worker_orders, '_PERIOD_S', 0.02),
    (_worker_orders, '_IDLE_PERIOD_S', 0.05),
    (_worker_orders, '_SETTLE_S', 0.06),
    (_worker_orders, '_OTHER_HOLDER_S', 0.9),
    (_worker_orders, '_RETRY_S', 0.1),
    (_worker_order_sending, '_RESEND_S', 0.05),
    (_worker_order_sending, '_LATE_ARRIVAL_S', 0.1),
    (_duties, '_TIMEOUT_S', 0.2),
    (_order_grants, '_VALID_S', 0.45),
    (_order_grants, '_OTHER_HOLDER_S', 0.5),
)


@attrs.frozen
class Call:
    """An order as it arrived."""

    body: dict
    holder: str
    fence: int
    arrived_s: float = attrs.field(factory=time.monotonic)

    @property
    def desired(self):
        """The desired number of workers."""
        return self.body['desired']


@attrs.define(eq=False)
class DutyServer:
    """Answers orders as a script says, and then with 200."""

    calls: list = attrs.field(factory=list)
    replies: list = attrs.field(factory=list)

    async def answer(self, reader, writer):
        """Answers one order."""
        with contextlib.closing(writer):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            lines = head.split('\r\n')
            assert lines[0] == 'POST /scale HTTP/1.1'
            fields = dict(line.split(': ', 1) for line in lines[1:] if line)
            assert fields['Content-Type'] == 'application/json'
            body = await reader.readexactly(int(fields['Content-Length']))
            fence = int(fields['Fencing-Token'])
            self.calls.append(
                Call(json.loads(body), fields['Duty-Holder'], fence)
            )
            reply = self.replies.pop(0) if self.replies else 200
            if reply == LATE_S:
                await asyncio.sleep(LATE_S)
                reply = 200
            if reply == _usage_support.ENDLESS:
                writer.write(b'HTTP/1.1 200 OK\r\n')
                while not writer.is_closing():
                    writer.write(b'x: y\r\n')
                    await asyncio.sleep(0.01)
            elif reply != _usage_support.LOST:
                writer.write(
                    f'HTTP/1.1 {reply} x\r\nContent-Length: 0\r\n\r\n'.encode()
                )

    def check(self):
        """Checks that tokens never fall, and that each has one holder."""
        fences = [one.fence for one in self.calls]
        assert fences == sorted(fences)
        holders = {}
        for one in self.calls:
            assert holders.setdefault(one.fence, one.holder) == one.holder


@attrs.define(eq=False)
class Node:
    """A process that orders workers."""

    context: object
    client: object
    orders: object
    task: object = None

    @property
    def host(self):
        """Its host."""
        return self.context.settings.host

    @property
    def is_first(self):
        """Whether it is the first of the store readers."""
        return _store_readers.get_reader_rank(self.context) == 0

    def kill(self):
        """Ends its tasks at once."""
        self.task.cancel()
        for call in self.orders._sending._tasks.values():
            call.cancel()


@attrs.define(eq=False)
class Fleet:
    """Some processes, what they plan, the store and the platform.

    :param wanted: desired numbers by group.
    :param groups: groups of the latest snapshot.
    """

    store: object
    server: DutyServer
    nodes: list = attrs.field(factory=list)
    wanted: dict = attrs.field(factory=dict)
    groups: dict = attrs.field(factory=dict)

    @property
    def first(self):
        """The first of the store readers."""
        return next(one for one in self.nodes if one.is_first)

    def get(self, name):
        """Returns what makes a policy, as the registry does."""
        return lambda: self

    def plan(self, snapshot, now):
        """Plans the wanted numbers."""
        self.groups = {
            (one.domain, one.is_spot): one for one in snapshot.groups
        }
        return [
            _make_order(group, desired)
            for group, desired in self.wanted.items()
            if group not in self.groups
            or self._is_wanted(self.groups[group], desired, now)
        ]

    async def wait_for_calls(self, count=1):
        """Waits for further orders, and returns their numbers."""
        known = len(self.server.calls)
        await stores.wait_until(
            lambda: len(self.server.calls) >= known + count, 8
        )
        return [one.desired for one in self.server.calls[known:]]

    def _is_wanted(self, group, desired, now):
        return group.ordered != desired and group.unavailable_until_s < now

    async def read_row(self):
        """Returns the stored orders."""
        return await self.store.read_row('scaling', 's')


def _make_order(group, desired):
    domain, is_spot = group
    return scaling.WorkerOrder(
        domain=domain, is_spot=is_spot, desired=desired, reason='wanted'
    )


def make_node(store, address, host, **changes):
    """Makes a process with three workers."""
    settings = attrs.evolve(
        stores.make_settings(host, host),
        duty_address=address,
        duties=('autoscale',),
    )
    context = _context.make_context(
        attrs.evolve(settings, **changes), calls=None
    )
    context.fleet.apply_manifest(
        schema.serving.Manifest(version=1, services=(_SERVICE,))
    )
    workers = tuple(
        schema.serving.Worker(id=f'w{number}', service='s', domain='a')
        for number in range(3)
    )
    context.fleet.apply_workers(workers, 0, after_outage=False)
    client = platform.make_client(store.session, store.url, 1)
    return Node(
        context, client, _worker_orders.make_worker_orders(context, client)
    )


@contextlib.asynccontextmanager
async def open_fleet(
    monkeypatch, *hosts, are_known=True, has_script=True, **changes
):
    """Runs processes, each in a failure domain of its own.

    :param are_known: whether they know each other.
    :param has_script: whether the test plans in place of the policy.
    """
    for module, name, seconds in _SHORT_TIMES:
        monkeypatch.setattr(module, name, seconds)
    server = DutyServer()
    listener = await asyncio.start_server(server.answer, '127.0.0.1', 0)
    address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    async with stores.open_store() as store:
        fleet = Fleet(store, server)
        if has_script:
            monkeypatch.setattr(scaling, 'SCALING_POLICIES', fleet)
        fleet.nodes = [
            make_node(store, address, host, **changes) for host in hosts
        ]
        if are_known:
            _usage_support.introduce(fleet.nodes)
        for node in fleet.nodes:
            node.task = asyncio.ensure_future(node.orders.run())
        try:
            yield fleet
        finally:
            await _end(fleet.nodes)
            listener.close()
    server.check()


async def _end(nodes):
    """Ends processes, none of whose tasks may have failed."""
    failures = []
    for ended in nodes:
        if ended.task.done() and not ended.task.cancelled():
            failures.append(ended.task.exception())
        ended.kill()
        await ended.orders.close()
    assert not failures, failures
