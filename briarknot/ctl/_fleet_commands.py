"""Commands on the state of the fleet."""

import asyncio
import time
import typing

import aiohttp
import attrs
import cappa
import orjson

from briarknot import config, document, platform, schema
from briarknot.ctl import (
    _commands,
    _commits,
    _document_commands,
    _report,
)

_POLL_S = 0.5
_CALL_TIMEOUT = aiohttp.ClientTimeout(total=2)
# Time within which an accepted document is in force on all hosts.
_PROPAGATION_S = 4
# A drain changes one field, so after a concurrent commit it is repeated on the
# new document.
_MAX_RETRIES = 5
_Load = schema.endpoints.LoadReport


@_commands.COMMANDS.register('status')
@cappa.command(name='status', help='Shows hosts, leases, orders, engines.')
@attrs.frozen
class Status:
    """Shows the state of the fleet."""

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        client = context.client
        answers = await asyncio.gather(
            config.read_row(client),
            client.list_hosts(),
            client.scan_rows('leases'),
            client.scan_rows('orders'),
        )
        for answer in answers:
            if isinstance(answer, platform.Unavailable):
                return _report.report_unavailable(answer.reason)
        current, hosts, leases, orders = answers
        loads = await self._fetch_loads(context)
        return _report.make_report(
            {
                'revision': current.row.revision,
                'hosts': [attrs.asdict(host) for host in hosts],
                'leases': {row.key: row.value for row in leases},
                'orders': {row.key: row.value for row in orders},
                'engines': {
                    name: schema.to_plain(load) for name, load in loads.items()
                },
            },
            f'Document revision {current.row.revision}.',
            _make_hosts_table(hosts),
            _make_leases_table(leases),
            _make_orders_table(orders),
            _make_engines_table(loads),
        )

    async def _fetch_loads(
        self, context: _commands.Context
    ) -> dict[str, _Load | None]:
        committed = await context.archive.read_document()
        if not isinstance(committed, config.CommittedDocument):
            return {}
        engines = committed.fleet.engines
        loads = await asyncio.gather(
            *(fetch_load(context.session, engine.url) for engine in engines)
        )
        names = [engine.name for engine in engines]
        return dict(zip(names, loads, strict=True))


@_commands.COMMANDS.register('drain')
@cappa.command(name='drain', help='Drains an engine or a service worker.')
@attrs.frozen
class Drain:
    """Commits a document that marks an endpoint as leaving."""

    endpoint: typing.Annotated[
        str, cappa.Arg(help='Name of the engine or of the service worker.')
    ]
    wait: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Wait until the endpoint reports no work.'),
    ] = False
    timeout_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Longest wait in seconds.')
    ] = 600.0

    async def run(self, context: _commands.Context) -> _report.Report:
        """Runs the command."""
        report = await self._commit(context)
        for _ in range(_MAX_RETRIES):
            if report.code is not _report.ExitCode.RACE:
                break
            report = await self._commit(context)
        if self.wait and report.code is _report.ExitCode.DONE:
            return await self._wait(context, report)
        return report

    async def _commit(self, context: _commands.Context) -> _report.Report:
        committed = await context.archive.read_document()
        if not isinstance(committed, config.CommittedDocument):
            return _document_commands.report_unreadable(committed, None)
        if find_url(committed.fleet, self.endpoint) is None:
            return _report.report_missing(
                platform.Missing(), f'endpoint {self.endpoint}'
            )
        after = mark_leaving(committed.fleet, self.endpoint)
        changes = document.compare(committed.fleet, after)
        revision = committed.commit.revision
        if not changes:
            return _report.make_report(
                {'revision': revision, 'changes': []},
                f'{self.endpoint} is already leaving.',
            )
        text = document.edit_text(committed.text, after, committed.fleet)
        note = f'drain {self.endpoint}'
        result = await _commits.commit(context, text, note, revision)
        return _document_commands.report_commit(result, changes)

    async def _wait(
        self, context: _commands.Context, report: _report.Report
    ) -> _report.Report:
        """Waits for a load report without work.

        Ignores reports from before the document was in force on all hosts,
        because hosts may still have sent new requests after them.
        """
        in_force_s = time.monotonic() + _PROPAGATION_S
        end_s = time.monotonic() + self.timeout_s
        committed = await context.archive.read_document()
        url = None
        if isinstance(committed, config.CommittedDocument):
            url = find_url(committed.fleet, self.endpoint)
        last = 'no report'
        while url is not None and time.monotonic() < end_s:
            load = await fetch_load(context.session, url)
            if load is not None:
                as_of_s = time.monotonic() - load.as_of_age_s
                last = f'{load.running} running, {load.queued} queued'
                if as_of_s > in_force_s and not load.running + load.queued:
                    return _add_line(report, f'{self.endpoint} is idle.')
            await asyncio.sleep(_POLL_S)
        return attrs.evolve(
            _add_line(report, f'{self.endpoint} is not idle yet: {last}.'),
            code=_report.ExitCode.TIMEOUT,
        )


def _add_line(report: _report.Report, line: str) -> _report.Report:
    return attrs.evolve(
        report,
        tree={**report.tree, 'state': line},
        parts=(*report.parts, line),
    )


def mark_leaving(fleet: schema.fleet.Fleet, name: str) -> schema.fleet.Fleet:
    """Returns a copy of a document with an endpoint marked as leaving.

    :param fleet: document.
    :param name: name of an engine or of a worker of a service.
    """
    services = tuple(
        attrs.evolve(
            service, endpoints=_mark_endpoints(service.endpoints, name)
        )
        for service in fleet.services
    )
    return attrs.evolve(
        fleet, engines=_mark_endpoints(fleet.engines, name), services=services
    )


def _mark_endpoints(
    endpoints: tuple[typing.Any, ...], name: str
) -> tuple[typing.Any, ...]:
    return tuple(
        attrs.evolve(one, leaving=True) if one.name == name else one
        for one in endpoints
    )


def find_url(fleet: schema.fleet.Fleet, name: str) -> str | None:
    """Returns the base URL of an endpoint, or None if it is not declared."""
    workers = (one for service in fleet.services for one in service.endpoints)
    for endpoint in (*fleet.engines, *workers):
        if endpoint.name == name:
            return endpoint.url
    return None


async def fetch_load(session: aiohttp.ClientSession, url: str) -> _Load | None:
    """Fetches the load report of an endpoint.

    :param session: HTTP session.
    :param url: base URL of the endpoint.
    :returns: the report, or None without a valid answer.
    """
    try:
        async with session.get(
            f'{url.rstrip("/")}/load', timeout=_CALL_TIMEOUT
        ) as response:
            return schema.from_plain(_Load, orjson.loads(await response.read()))
    except (aiohttp.ClientError, TimeoutError):
        return None
    except (TypeError, ValueError):
        return None


def _make_hosts_table(hosts: tuple[platform.Host, ...]) -> typing.Any:
    rows = (
        (
            host.host,
            host.domain,
            'leaving' if host.leaving else 'live',
            host.peer_url,
        )
        for host in hosts
    )
    return _report.make_table('host', 'domain', 'state', 'peer URL', rows=rows)


def _make_leases_table(rows: tuple[platform.Row, ...]) -> typing.Any:
    leases = (
        (row.key, schema.from_plain(schema.records.LeaseRow, row.value))
        for row in rows
    )
    return _report.make_table(
        'domain',
        'lease holder',
        'epoch',
        'renewal',
        rows=(
            (key, lease.holder, lease.epoch, lease.renewal)
            for key, lease in leases
        ),
    )


def _make_orders_table(rows: tuple[platform.Row, ...]) -> typing.Any:
    orders = (
        (row.key, schema.from_plain(schema.records.OrderRow, row.value))
        for row in rows
    )
    return _report.make_table(
        'engine',
        'order',
        'phase',
        'reason',
        rows=(
            (key, f'{row.order.kind} {row.order.value}', row.phase, row.reason)
            for key, row in orders
        ),
    )


def _make_engines_table(loads: dict[str, _Load | None]) -> typing.Any:
    return _report.make_table(
        'engine',
        'role',
        'model',
        'work',
        'age s',
        rows=(_make_engine_cells(name, load) for name, load in loads.items()),
    )


def _make_engine_cells(name: str, load: _Load | None) -> tuple[object, ...]:
    if load is None:
        return (name, 'no report')
    work = f'{load.phase}, {load.running} running, {load.queued} queued'
    return (name, load.role, load.model, work, f'{load.as_of_age_s:.1f}')
