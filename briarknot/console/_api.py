"""Document API with bearer tokens."""

import attrs
import orjson
from aiohttp import web

from briarknot import config, platform, schema
from briarknot.console import _context

#: Start of the paths that take a bearer token in place of a session.
PREFIX = '/api/'

_REVISION_HEADER = 'X-Briarknot-Revision'
_SCHEME = 'Bearer '


@attrs.frozen(eq=False)
class Api:
    """``GET`` and ``PUT /api/document``."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get(f'{PREFIX}document', self._read)
        app.router.add_put(f'{PREFIX}document', self._write)
        app.router.add_get(f'{PREFIX}history', self._list)

    async def _read(self, request: web.Request) -> web.Response:
        """Answers with the text in force and its revision in a header."""
        self._check_token(request)
        published = await self._context.archive.read_document()
        if isinstance(published, platform.Unavailable):
            return _answer(_UNAVAILABLE, reason=published.reason)
        if isinstance(published, platform.Missing):
            return _answer(_NOT_FOUND, error='no document in force')
        revision = (
            published.revision
            if isinstance(published, config.UnreadableDocument)
            else published.commit.revision
        )
        return web.Response(
            text=published.text,
            content_type='application/json',
            headers={_REVISION_HEADER: str(revision)},
        )

    async def _write(self, request: web.Request) -> web.Response:
        """Commits the body if the expected revision is still in force."""
        operator = self._check_token(request)
        revision = request.query.get('expected_revision', '')
        if not revision.isdecimal():
            return _answer(
                _BAD_REQUEST, error='expected_revision: a number is required'
            )
        body = await request.read()
        result = await config.commit_document(
            self._context.client,
            body.decode(errors='replace'),
            operator,
            request.query.get('note', ''),
            int(revision),
        )
        return _answer_commit(result)

    async def _list(self, request: web.Request) -> web.Response:
        """Answers with the latest commits, newest first."""
        self._check_token(request)
        current = await config.read_row(self._context.client)
        if isinstance(current, platform.Unavailable):
            return _answer(_UNAVAILABLE, reason=current.reason)
        return _answer(_OK, commits=schema.to_plain(current.row.history))

    def _check_token(self, request: web.Request) -> str:
        """Returns the operator, or refuses the request."""
        header = request.headers.get('Authorization', '')
        token = header.removeprefix(_SCHEME)
        operator = self._context.sessions.find_operator(token)
        if not operator or token == header:
            raise web.HTTPUnauthorized(headers={'WWW-Authenticate': 'Bearer'})
        return operator


_OK = web.HTTPOk.status_code
_BAD_REQUEST = web.HTTPBadRequest.status_code
_NOT_FOUND = web.HTTPNotFound.status_code
_CONFLICT = web.HTTPConflict.status_code
_UNPROCESSABLE = web.HTTPUnprocessableEntity.status_code
_UNAVAILABLE = web.HTTPServiceUnavailable.status_code


def _answer(status: int, **tree: object) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(tree),
        content_type='application/json',
    )


def _answer_commit(
    result: config.Accepted
    | config.Race
    | config.Invalid
    | config.CommitUnavailable,
) -> web.Response:
    if isinstance(result, config.Accepted):
        return _answer(_OK, revision=result.revision)
    if isinstance(result, config.Race):
        history = result.row.history
        winner = history[0] if history else schema.records.Commit()
        return _answer(_CONFLICT, error='race', winner=schema.to_plain(winner))
    if isinstance(result, config.Invalid):
        findings = [attrs.asdict(finding) for finding in result.findings]
        return _answer(_UNPROCESSABLE, error='findings', findings=findings)
    return _answer(
        _UNAVAILABLE,
        error='platform unavailable',
        reason=result.reason,
        may_have_applied=result.may_have_applied,
    )
