"""Objects that the views of the console share."""

import datetime
import importlib.resources
import typing

import attrs
import jinja2
from aiohttp import web

from briarknot import config, document, platform, schema
from briarknot.console import _forms, _sessions

COOKIE = 'briarknot_session'

_SESSION = 'session'


@attrs.frozen(eq=False)
class Context:
    """Client, sessions, and templates.

    :param client: client of the platform.
    :param archive: committed documents.
    :param sessions: sessions of the operators.
    """

    client: platform.Client
    archive: config.Archive
    sessions: _sessions.Sessions
    _templates: jinja2.Environment

    def render(
        self,
        request: web.Request,
        name: str,
        status: int = 200,
        **variables: typing.Any,
    ) -> web.Response:
        """Renders a page.

        :param request: request with a session.
        :param name: name of the template, without suffix.
        :param status: HTTP status.
        :param variables: variables of the template.
        """
        session = get_session(request)
        text = self._templates.get_template(f'{name}.jinja').render(
            csrf_token=self.sessions.make_csrf_token(session),
            operator=session.operator,
            **variables,
        )
        return web.Response(text=text, status=status, content_type='text/html')

    def render_unavailable(
        self, request: web.Request, reason: str
    ) -> web.Response:
        """Renders a 503 page for a platform that did not answer."""
        return self.render(
            request,
            'problem',
            web.HTTPServiceUnavailable.status_code,
            title='The platform did not answer',
            detail=reason,
        )


@attrs.frozen
class RaceNotice:
    """Details of a commit that was refused for a newer revision.

    :param commits: commits since the operator's revision, newest first.
    :param changes: differences since the operator's revision; None where
        that revision is no longer in the history.
    """

    commits: tuple[schema.records.Commit, ...]
    changes: tuple[document.Change, ...] | None


def get_session(request: web.Request) -> _sessions.Session:
    """Returns the session that the middleware set."""
    return request[_SESSION]


def set_session(request: web.Request, session: _sessions.Session) -> None:
    """Sets the session of a request.

    :param request: request.
    :param session: its session.
    """
    request[_SESSION] = session


def make_context(
    settings: schema.settings.ConsoleSettings, client: platform.Client
) -> Context:
    """Makes the context.

    :param settings: settings of the console.
    :param client: client of the platform.
    """
    folder = importlib.resources.files(__package__) / 'templates'
    templates = jinja2.Environment(
        loader=jinja2.FileSystemLoader(str(folder)),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    templates.filters['time'] = _format_time
    templates.globals['sections'] = _forms.list_sections()
    archive = config.make_archive(client)
    sessions = _sessions.make_sessions(settings)
    return Context(client, archive, sessions, templates)


def _format_time(time_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return f'{moment:%Y-%m-%d %H:%M:%S} UTC'
