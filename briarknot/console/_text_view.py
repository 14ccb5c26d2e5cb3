"""Page that edits the whole document as text."""

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
        app.router.add_post('/document', self._submit)

    async def _show(self, request: web.Request) -> web.Response:
        committed = await self._context.archive.read_document()
        if isinstance(committed, platform.Unavailable):
            return self._context.render_unavailable(request, committed.reason)
        text = ''
        revision = 0
        if isinstance(committed, config.CommittedDocument):
            text = committed.text
            revision = committed.commit.revision
        if isinstance(committed, config.UnreadableDocument):
            text = committed.text
            revision = committed.revision
        notice = _commits.Notice(revision=revision)
        return self._render(request, text, notice)

    async def _submit(self, request: web.Request) -> web.Response:
        form = await request.post()
        # Browsers send line ends as CR LF.
        text = str(form.get('text', '')).replace('\r\n', '\n')
        revision = _commits.parse_revision(form)
        action = form.get('action')
        notice = _commits.Notice(revision=revision)
        if action == 'edit':
            return self._render(request, text, notice)
        result = await config.read_fleet(text, _SOURCE)
        if result.value is None:
            notice = attrs.evolve(notice, status=_UNPROCESSABLE)
            return self._render(request, text, notice, result.findings)
        if action == 'commit':
            notice = await _commits.commit(
                self._context, request, text, revision
            )
            return self._render(request, text, notice)
        return await self._preview(request, result.value, notice)

    async def _preview(
        self,
        request: web.Request,
        fleet: schema.fleet.Fleet,
        notice: _commits.Notice,
    ) -> web.Response:
        committed = await self._context.archive.read_document()
        if isinstance(committed, platform.Unavailable):
            return self._context.render_unavailable(request, committed.reason)
        before = schema.fleet.Fleet()
        revision = 0
        if isinstance(committed, config.CommittedDocument):
            before = committed.fleet
            revision = committed.commit.revision
        changes = await asyncio.to_thread(document.compare, before, fleet)
        return self._context.render(
            request,
            'preview',
            path=request.path_qs,
            entries=await list_entries(request),
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


async def list_entries(request: web.Request) -> list[tuple[str, str]]:
    """Returns a form's entries that a preview has to send again.

    Leaves out the buttons and the fields that the preview sets itself.

    :param request: request with a form.
    """
    form = await request.post()
    excluded = {'action', 'csrf_token', 'note', 'expected_revision'}
    return [
        (name, str(entry))
        for name, entry in form.items()
        if name not in excluded
    ]
