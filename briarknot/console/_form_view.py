"""Pages that list and edit the members of the document and the policies."""

import asyncio
import typing

import attrs
import orjson
from aiohttp import web

from briarknot import config, document, platform, schema
from briarknot.console import _commits, _context, _forms, _text_view

_Fleet = schema.fleet.Fleet
_POLICIES = 'policies'
_REMOVE = 'remove'
# A page that lists 16,000 accounts would take several megabytes.
_MAX_LISTED_MEMBERS = 500
_UNPROCESSABLE = web.HTTPUnprocessableEntity.status_code


@attrs.frozen(kw_only=True)
class _Target:
    """Part of the document that a form edits.

    :param section: name of the list, or ``policies``.
    :param name: name of the member; empty for a new one.
    """

    section: str
    name: str

    @property
    def kind(self) -> type:
        """Generated class of the member."""
        kind = schema.get_field_types(_Fleet)[self.section]
        return kind if self.section == _POLICIES else typing.get_args(kind)[0]

    def find_index(self, fleet: schema.fleet.Fleet) -> int | None:
        """Returns the member's index in its list, or None."""
        if self.section == _POLICIES:
            return None
        members = getattr(fleet, self.section)
        for index, member in enumerate(members):
            if self.name and member.name == self.name:
                return index
        return None

    def make_path(self, fleet: schema.fleet.Fleet) -> str:
        """Returns the path of the member in the edited document."""
        if self.section == _POLICIES:
            return self.section
        index = self.find_index(fleet)
        if index is None:
            index = len(getattr(fleet, self.section))
        return f'{self.section}[{index}]'

    def to_plain(self, fleet: schema.fleet.Fleet) -> dict[str, typing.Any]:
        """Returns the member's plain values; empty for a new one."""
        if self.section == _POLICIES:
            return schema.to_plain(fleet.policies)
        index = self.find_index(fleet)
        if index is None:
            return {}
        return schema.to_plain(getattr(fleet, self.section)[index])

    async def apply_change(
        self, fleet: schema.fleet.Fleet, tree: dict[str, typing.Any] | None
    ) -> document.ReadResult[schema.fleet.Fleet]:
        """Validates the document with the member changed.

        :param fleet: document in force.
        :param tree: the member's new plain values; None removes it.
        """
        plain = schema.to_plain(fleet)
        index = self.find_index(fleet)
        if self.section == _POLICIES:
            plain[self.section] = tree
        elif tree is None:
            plain[self.section].pop(index)
        elif index is None:
            plain[self.section].append(tree)
        else:
            plain[self.section][index] = tree
        # The reader takes quadratic time in the length of a line, so the text
        # is indented.
        text = orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode()
        return await config.read_fleet(text, self.section)


@attrs.frozen(eq=False)
class FormView:
    """``/fleet/SECTION`` and ``/fleet/SECTION/member?name=NAME``."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get('/fleet/{section}', self._list)
        app.router.add_get('/fleet/{section}/member', self._show)
        app.router.add_post('/fleet/{section}/member', self._submit)

    async def _read_committed(
        self, request: web.Request
    ) -> config.CommittedDocument | web.Response:
        committed = await self._context.archive.read_document()
        if isinstance(committed, config.CommittedDocument):
            return committed
        if isinstance(committed, platform.Unavailable):
            return self._context.render_unavailable(request, committed.reason)
        # Without a valid document, operators edit the text.
        raise web.HTTPSeeOther('/document')

    async def _list(self, request: web.Request) -> web.Response:
        section = _get_section(request)
        committed = await self._read_committed(request)
        if isinstance(committed, web.Response):
            return committed
        if section == _POLICIES:
            raise web.HTTPSeeOther(f'/fleet/{_POLICIES}/member')
        name_filter = request.query.get('filter', '')
        members = [
            member
            for member in getattr(committed.fleet, section)
            if name_filter in member.name
        ]
        return self._context.render(
            request,
            'list',
            section=section,
            committed=committed,
            name_filter=name_filter,
            total=len(members),
            members=list(map(schema.to_plain, members[:_MAX_LISTED_MEMBERS])),
        )

    async def _show(self, request: web.Request) -> web.Response:
        target = _get_target(request)
        committed = await self._read_committed(request)
        if isinstance(committed, web.Response):
            return committed
        fleet = committed.fleet
        if target.name and target.find_index(fleet) is None:
            raise web.HTTPNotFound(text=f'{target.name} was not found.')
        tree = target.to_plain(fleet)
        if request.query.get('leaving'):
            tree['leaving'] = True
        form = _forms.make_form(target.kind, tree, fleet)
        notice = _commits.Notice(revision=committed.commit.revision)
        return self._render(request, target, form, notice)

    async def _submit(self, request: web.Request) -> web.Response:
        target = _get_target(request)
        committed = await self._read_committed(request)
        if isinstance(committed, web.Response):
            return committed
        entries = await request.post()
        tree = _forms.parse_entries(target.kind, entries)
        revision = _commits.parse_revision(entries)
        notice = _commits.Notice(revision=revision)
        action = entries.get('action', '')
        is_removal = _REMOVE in {action, entries.get('removal')}
        if is_removal and target.find_index(committed.fleet) is None:
            raise web.HTTPNotFound(text=f'{target.name} was not found.')
        result = await target.apply_change(
            committed.fleet, None if is_removal else tree
        )
        if action == 'edit' or result.value is None:
            findings = () if action == 'edit' else result.findings
            if findings:
                notice = attrs.evolve(notice, status=_UNPROCESSABLE)
            form = _make_form(target, tree, committed, findings)
            return self._render(request, target, form, notice)
        if action != 'commit':
            return await self._preview(request, committed, result.value, notice)
        notice = await self._commit(request, committed, result.value, notice)
        form = _make_form(target, tree, committed, ())
        return self._render(request, target, form, notice)

    async def _commit(
        self,
        request: web.Request,
        committed: config.CommittedDocument,
        fleet: schema.fleet.Fleet,
        notice: _commits.Notice,
    ) -> _commits.Notice:
        if committed.commit.revision != notice.revision:
            current = await config.read_row(self._context.client)
            if isinstance(current, platform.Unavailable):
                return _commits.make_outage_notice(
                    current.reason, notice.revision
                )
            return await _commits.make_race_notice(
                self._context, current.row, notice.revision
            )
        text = await asyncio.to_thread(
            document.edit_text, committed.text, fleet, committed.fleet
        )
        return await _commits.commit(
            self._context, request, text, notice.revision
        )

    async def _preview(
        self,
        request: web.Request,
        committed: config.CommittedDocument,
        fleet: schema.fleet.Fleet,
        notice: _commits.Notice,
    ) -> web.Response:
        form = await request.post()
        entries = await _text_view.list_entries(request)
        if form.get('action') == _REMOVE:
            entries.append(('removal', _REMOVE))
        changes = await asyncio.to_thread(
            document.compare, committed.fleet, fleet
        )
        return self._context.render(
            request,
            'preview',
            path=request.path_qs,
            entries=entries,
            changes=changes,
            notice=notice,
            in_force=committed.commit.revision,
        )

    def _render(
        self,
        request: web.Request,
        target: _Target,
        form: _forms.Form,
        notice: _commits.Notice,
    ) -> web.Response:
        return self._context.render(
            request,
            'member',
            notice.status,
            target=target,
            form=form,
            notice=notice,
            path=request.path_qs,
        )


def _make_form(
    target: _Target,
    tree: dict[str, typing.Any],
    committed: config.CommittedDocument,
    findings: tuple[document.Finding, ...],
) -> _forms.Form:
    fleet = committed.fleet
    return _forms.make_form(
        target.kind, tree, fleet, findings, target.make_path(fleet)
    )


def _get_section(request: web.Request) -> str:
    section = request.match_info['section']
    if section not in {*_forms.list_sections(), _POLICIES}:
        raise web.HTTPNotFound(text=f'The document has no section {section}.')
    return section


def _get_target(request: web.Request) -> _Target:
    return _Target(
        section=_get_section(request), name=request.query.get('name', '')
    )
