"""The whole document as text."""

import asyncio

import attrs
from aiohttp import web

from briarknot import config, document, platform, schema
from briarknot.console import _commits, _context

_SOURCE = 'document'
_UNPROCESSABLE = web.HTTPUnprocessableEntity.status_code


@attrs.frozen(eq=False)
class TextView:
    """``/document``: edit, preview, and commit the text."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get('/document', self._show)
        app.router.add_post('/document', self._take)

    async def _show(self, request: web.Request) -> web.Response:
        published = await self._context.archive.read_document()
        if isinstance(published, platform.Unavailable):
            return self._context.render_unavailable(request, published.reason)
        text = ''
        revision = 0
        if isinstance(published, config.CommittedDocument):
            text = published.text
            revision = published.commit.revision
        if isinstance(published, config.UnreadableDocument):
            text = published.text
            revision = published.revision
        notice = _commits.Notice(revision=revision)
        return self._render(request, text, notice)

    async def _take(self, request: web.Request) -> web.Response:
        form = await request.post()
        # Browsers send line ends as CR LF.
        text = str(form.get('text', '')).replace('\r\n', '\n')
        revision = _commits.read_revision(form)
        action = form.get('action')
        notice = _commits.Notice(revision=revision)
        if action == 'edit':
            return self._render(request, text, notice)
        reading = await config.read_fleet(text, _SOURCE)
        if reading.value is None:
            notice = attrs.evolve(notice, status=_UNPROCESSABLE)
            return self._render(request, text, notice, reading.findings)
        if action == 'commit':
            notice = await _commits.commit(
                self._context, request, text, revision
            )
            return self._render(request, text, notice)
        return await self._preview(request, reading.value, notice)

    async def _preview(
        self,
        request: web.Request,
        fleet: schema.fleet.Fleet,
        notice: _commits.Notice,
    ) -> web.Response:
        published = await self._context.archive.read_document()
        if isinstance(published, platform.Unavailable):
            return self._context.render_unavailable(request, published.reason)
        before = schema.fleet.Fleet()
        revision = 0
        if isinstance(published, config.CommittedDocument):
            before = published.fleet
            revision = published.commit.revision
        changes = await asyncio.to_thread(document.compare, before, fleet)
        return self._context.render(
            request,
            'preview',
            path=request.path_qs,
            entries=await read_entries(request),
            changes=changes,
            notice=notice,
            in_force=revision,
        )

    def _render(
        self,
        request: web.Request,
        text: str,
        notice: _commits.Notice,
        findings: tuple[document.Finding, ...] = (),
    ) -> web.Response:
        lines = text.splitlines() or ['']
        shown = [
            (finding, lines[min(finding.place.line, len(lines)) - 1])
            for finding in findings
        ]
        return self._context.render(
            request,
            'text',
            notice.status,
            text=text,
            notice=notice,
            findings=shown,
        )


async def read_entries(request: web.Request) -> list[tuple[str, str]]:
    """Returns a form's entries, without those of its buttons and token.

    :param request: request with a form.
    """
    form = await request.post()
    left_out = {'action', 'csrf_token', 'note', 'expected_revision'}
    return [
        (name, str(entry))
        for name, entry in form.items()
        if name not in left_out
    ]
