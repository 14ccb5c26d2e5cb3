"""Read-only pages: state of the fleet, and history of the document."""

import asyncio

import attrs
from aiohttp import web

from briarknot import config, document, platform, schema
from briarknot.console import _context


@attrs.frozen(eq=False)
class StatusView:
    """``/`` and ``/history``."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get('/', self._show_status)
        app.router.add_get('/history', self._show_history)
        app.router.add_get(r'/history/{revision:\d+}', self._show_revision)

    async def _show_status(self, request: web.Request) -> web.Response:
        client = self._context.client
        answers = await asyncio.gather(
            config.read_row(client),
            client.list_hosts(),
            client.scan_rows('leases'),
            client.scan_rows('orders'),
        )
        for answer in answers:
            if isinstance(answer, platform.Unavailable):
                return self._context.render_unavailable(request, answer.reason)
        current, hosts, leases, orders = answers
        return self._context.render(
            request,
            'status',
            row=current.row,
            hosts=hosts,
            leases={
                row.key: schema.from_plain(schema.records.LeaseRow, row.value)
                for row in leases
            },
            orders={
                row.key: schema.from_plain(schema.records.OrderRow, row.value)
                for row in orders
            },
        )

    async def _show_history(self, request: web.Request) -> web.Response:
        current = await config.read_row(self._context.client)
        if isinstance(current, platform.Unavailable):
            return self._context.render_unavailable(request, current.reason)
        return self._context.render(request, 'history', row=current.row)

    async def _show_revision(self, request: web.Request) -> web.Response:
        revision = int(request.match_info['revision'])
        archive = self._context.archive
        committed = await archive.read_document(revision)
        before = await archive.read_document(revision - 1)
        if isinstance(committed, platform.Unavailable):
            return self._context.render_unavailable(request, committed.reason)
        if not isinstance(committed, config.CommittedDocument):
            raise web.HTTPNotFound(text=f'Revision {revision} was not found.')
        changes = None
        if isinstance(before, config.CommittedDocument):
            changes = await asyncio.to_thread(
                document.compare, before.fleet, committed.fleet
            )
        return self._context.render(
            request, 'revision', committed=committed, changes=changes
        )
