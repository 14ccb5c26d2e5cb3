"""Document API with bearer tokens."""

import attrs
import orjson
from aiohttp import web

from briarknot import config, platform, schema
from briarknot.console import _context, _sessions

#: Prefix of the paths that require a bearer token instead of a session.
PREFIX = '/api/'

_REVISION_HEADER = 'X-Briarknot-Revision'
_SCHEME = 'Bearer '


@attrs.frozen(eq=False)
class Api:
    """``GET`` and ``PUT /api/document``, and ``GET /api/history``."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get(f'{PREFIX}document', self._get_document)
        app.router.add_put(f'{PREFIX}document', self._put_document)
        app.router.add_get(f'{PREFIX}history', self._list_commits)

    async def _get_document(self, request: web.Request) -> web.Response:
        """Returns the text in force, with its revision in a header."""
        self._check_token(request)
        committed = await self._context.archive.read_document()
        if isinstance(committed, platform.Unavailable):
            return _make_response(_UNAVAILABLE, reason=committed.reason)
        if isinstance(committed, platform.Missing):
            return _make_response(_NOT_FOUND, error='no document in force')
        revision = (
            committed.revision
            if isinstance(committed, config.UnreadableDocument)
            else committed.commit.revision
        )
        return web.Response(
            text=committed.text,
            content_type='application/json',
            headers={_REVISION_HEADER: str(revision)},
        )

    async def _put_document(self, request: web.Request) -> web.Response:
        """Commits the body if the expected revision is still in force."""
        operator = self._check_token(request)
        revision = request.query.get('expected_revision', '')
        if not revision.isdecimal():
            return _make_response(
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
        return _make_commit_response(result)

    async def _list_commits(self, request: web.Request) -> web.Response:
        """Returns the latest commits, newest first."""
        self._check_token(request)
        current = await config.read_row(self._context.client)
        if isinstance(current, platform.Unavailable):
            return _make_response(_UNAVAILABLE, reason=current.reason)
        return _make_response(_OK, commits=schema.to_plain(current.row.history))

    def _check_token(self, request: web.Request) -> str:
        """Returns the operator of the bearer token.

        :raises aiohttp.web.HTTPUnauthorized: where the token is not known.
        """
        operator = find_operator(request, self._context.sessions)
        if not operator:
            raise web.HTTPUnauthorized(headers={'WWW-Authenticate': 'Bearer'})
        return operator


def find_operator(request: web.Request, sessions: _sessions.Sessions) -> str:
    """Returns the operator of the bearer token; empty where it isn't known.

    :param request: the request.
    :param sessions: sessions of the operators.
    """
    header = request.headers.get('Authorization', '')
    token = header.removeprefix(_SCHEME)
    return '' if token == header else sessions.find_operator(token)


_OK = web.HTTPOk.status_code
_BAD_REQUEST = web.HTTPBadRequest.status_code
_NOT_FOUND = web.HTTPNotFound.status_code
_CONFLICT = web.HTTPConflict.status_code
_UNPROCESSABLE = web.HTTPUnprocessableEntity.status_code
_UNAVAILABLE = web.HTTPServiceUnavailable.status_code


def _make_response(status: int, **tree: object) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(tree),
        content_type='application/json',
    )


def _make_commit_response(
    result: config.Accepted
    | config.Race
    | config.Invalid
    | config.CommitUnavailable,
) -> web.Response:
    if isinstance(result, config.Accepted):
        return _make_response(_OK, revision=result.revision)
    if isinstance(result, config.Race):
        history = result.row.history
        winner = history[0] if history else schema.records.Commit()
        return _make_response(
            _CONFLICT, error='race', winner=schema.to_plain(winner)
        )
    if isinstance(result, config.Invalid):
        findings = [attrs.asdict(finding) for finding in result.findings]
        return _make_response(
            _UNPROCESSABLE, error='findings', findings=findings
        )
    return _make_response(
        _UNAVAILABLE,
        error='platform unavailable',
        reason=result.reason,
        may_have_applied=result.may_have_applied,
    )
