"""Processes that report usage, a store, and a platform that takes the reports."""

import asyncio
import contextlib
import json
import math

import attrs

from briarknot import authority, platform, schema, usage
from briarknot.authority import _order_grants
from briarknot.gateway import (
    _clock,
    _context,
    _peers,
    _usage,
    _usage_reports,
    _usage_sending,
    _usage_sync,
)
from briarknot.gateway.tests import test_store_sync as stores

WINDOW_S = 0.5
LATE_S = 2.0
LOST = 'lost'
ENDLESS = 'endless'
_SHORT_TIMES = (
    (_usage_sync, '_PERIOD_S', 0.04),
    (_usage_sync, '_MAX_SILENCE_S', 0.2),
    (_usage_reports, '_PERIOD_S', 0.02),
    (_usage_reports, '_FIRST_DELAY_S', 0.2),
    (_usage_reports, '_NEXT_DELAY_S', 0.15),
    (_usage_reports, '_OTHER_HOLDER_S', 0.9),
    (_usage_reports, '_RETRY_S', 0.1),
    (_usage_sending, '_RESEND_S', 0.05),
    (_order_grants, '_VALID_S', 0.45),
    (_order_grants, '_OTHER_HOLDER_S', 0.5),
)


@attrs.frozen
class Call:
    """A report as it arrived."""

    window: int
    counts: dict
    holder: str
    fence: int


@attrs.define(eq=False)
class DutyServer:
    """Answers reports as a script says, and then with 200."""

    address: str = ''
    calls: list = attrs.field(factory=list)
    replies: list = attrs.field(factory=list)
    has_two_holders: bool = False

    async def answer(self, reader, writer):
        """Answers one report."""
        with contextlib.closing(writer):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            lines = head.split('\r\n')
            assert lines[0] == 'POST /usage HTTP/1.1'
            fields = dict(line.split(': ', 1) for line in lines[1:] if line)
            assert fields['Content-Type'] == 'application/json'
            body = await reader.readexactly(int(fields['Content-Length']))
            tree = json.loads(body)
            self.calls.append(
                Call(
                    tree['windowIndex'],
                    tree['counts'],
                    fields['Duty-Holder'],
                    int(fields['Fencing-Token']),
                )
            )
            reply = self.replies.pop(0) if self.replies else 200
            if reply == ENDLESS:
                writer.write(b'HTTP/1.1 200 OK\r\n')
                while not writer.is_closing():
                    writer.write(b'x: y\r\n')
                    await asyncio.sleep(0.01)
            elif reply != LOST:
                writer.write(
                    f'HTTP/1.1 {reply} x\r\nContent-Length: 0\r\n\r\n'.encode()
                )

    def list_counts(self, window):
        """Lists the counts of all reports of a window."""
        return [one.counts for one in self.calls if one.window == window]

    def check(self):
        """Checks that reports of a window are equal and tokens in order."""
        known = {}
        holders = {}
        fences = [one.fence for one in self.calls]
        assert self.has_two_holders or fences == sorted(fences)
        for one in self.calls:
            assert known.setdefault(one.window, one.counts) == one.counts
            assert holders.setdefault(one.fence, one.holder) == one.holder


@attrs.define(eq=False)
class Node:
    """A process and its tasks."""

    context: object
    client: object
    peers: object
    sync: object
    reports: object
    tasks: list = attrs.field(factory=list)

    @property
    def host(self):
        """Its host."""
        return self.context.settings.host

    def start(self):
        """Starts its tasks."""
        self.tasks = [
            asyncio.ensure_future(task())
            for task in (self.peers.receive, self.sync.run, self.reports.run)
        ]

    def kill(self):
        """Ends its tasks."""
        for task in self.tasks:
            task.cancel()

    def list_failures(self):
        """Lists the exceptions of its tasks."""
        return [
            task.exception()
            for task in self.tasks
            if task.done() and not task.cancelled()
        ]

    def count(self, account, requests=1):
        """Counts requests, and returns the window."""
        window = _usage.read_window(self.context)
        for _ in range(requests):
            self.context.account_usage.counts.count(account, window)
        return window


@attrs.define(eq=False)
class Fleet:
    """Some processes, the store and the platform."""

    store: object
    server: DutyServer
    nodes: dict

    def get_holder(self):
        """Returns the process that sent the latest report."""
        return self.nodes[self.server.calls[-1].holder]

    def get_others(self):
        """Returns the processes that did not."""
        holder = self.get_holder()
        return [one for one in self.nodes.values() if one is not holder]

    async def wait_for_reports(self, count=1):
        """Waits for further reports."""
        expected = len(self.server.calls) + count
        await stores.wait_until(lambda: len(self.server.calls) >= expected, 8)

    async def wait_for_window(self, window, seconds=8):
        """Waits for the report of a window and returns its counts."""
        await stores.wait_until(
            lambda: self.server.list_counts(window), seconds
        )
        return self.server.list_counts(window)[0]

    async def begin_window(self):
        """Waits until the same window has just begun at all processes.

        Their clocks differ by up to 0.1 s where a test process waits for a
        processor between its reads of two clocks.
        """
        before = max(self._read_windows())
        await stores.wait_until(lambda: self._has_begun(before + 1))

    def _has_begun(self, window):
        present = set(self._read_windows())
        return len(present) == 1 and min(present) >= window

    def _read_windows(self):
        return [_usage.read_window(one.context) for one in self.nodes.values()]


def make_manifest(*, has_accounts=True):
    """Makes a manifest with or without accounts."""
    return schema.serving.Manifest(version=1, has_accounts=has_accounts)


async def make_node(store, address, host, domain='a', **changes):
    """Makes a process that has not started."""
    settings = attrs.evolve(
        stores.make_settings(host, domain),
        duty_address=address,
        duties=('autoscale', 'usage_report'),
        usage_window_s=WINDOW_S,
        usage_late_s=LATE_S,
    )
    context = _context.make_context(
        attrs.evolve(settings, **changes), calls=None
    )
    context.fleet.apply_manifest(make_manifest())
    client = platform.make_client(store.session, store.url, 1)
    await client.read_row('other', 'row')
    peers = _peers.make_peers(context)
    return Node(
        context,
        client,
        peers,
        _usage_sync.make_usage_sync(context, client, peers),
        _usage_reports.make_usage_reports(context, client),
    )


def introduce(nodes):
    """Makes processes know each other."""
    for node in nodes:
        node.context.set_peer_hosts(
            {
                one.host: _context.PeerHost(
                    ('127.0.0.1', one.context.settings.peer_port),
                    one.context.settings.domain,
                )
                for one in nodes
            }
        )


@contextlib.asynccontextmanager
async def open_fleet(monkeypatch, hosts, *, prepare=None, **changes):
    """Runs processes; the first letter of a host is its failure domain.

    :param prepare: called with the processes before they start.
    """
    for module, name, seconds in _SHORT_TIMES:
        monkeypatch.setattr(module, name, seconds)
    server = DutyServer()
    listener = await asyncio.start_server(server.answer, '127.0.0.1', 0)
    server.address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    async with stores.open_store() as store:
        nodes = [
            await make_node(store, server.address, host, host[0], **changes)
            for host in hosts
        ]
        introduce(nodes)
        if prepare is not None:
            prepare(nodes)
        for node in nodes:
            node.start()
        try:
            yield Fleet(store, server, {one.host: one for one in nodes})
        finally:
            await _end(nodes)
            listener.close()
    server.check()


async def _end(nodes):
    """Ends processes, none of whose tasks may have failed."""
    failures = []
    for ended in nodes:
        failures.extend(ended.list_failures())
        ended.kill()
        await ended.reports.close()
    assert not failures


def make_grant(host, fence):
    """Makes a grant that stays valid."""
    return authority.OrderGrant(host, fence, math.inf)


def stop_at(monkeypatch, node, kind, name):
    """Makes a process stop at a step of its reports.

    :returns: an event that is set when it gets there.
    """
    reached = asyncio.Event()
    function = getattr(kind, name)

    async def wait(stopped, *values):
        if stopped not in {node.reports, node.reports._sending}:
            return await function(stopped, *values)
        reached.set()
        return await asyncio.sleep(60)

    monkeypatch.setattr(kind, name, wait)
    return reached


def set_wrong_clock(node, seconds):
    """Makes a process start with a wrong wall clock."""
    now = _clock.read_clock()
    clock = usage.TrueClock()
    clock.observe(now + seconds, now)
    node.context.account_usage.clock = clock
