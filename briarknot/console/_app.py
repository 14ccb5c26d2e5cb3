"""Web application of the console: routes, sign-in, and security headers."""

import importlib.resources
import typing

import attrs
import prometheus_client
from aiohttp import web

from briarknot import platform, schema, telemetry
from briarknot.console import (
    _api,
    _bodies,
    _context,
    _form_view,
    _sessions,
    _status_view,
    _text_view,
)

_PUBLIC_PATHS = frozenset(('/sign-in', '/style.css'))
_HEADERS = (
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'",
    ),
    ('X-Content-Type-Options', 'nosniff'),
    ('Referrer-Policy', 'no-referrer'),
    ('Cache-Control', 'no-store'),
)
_SIGN_INS = prometheus_client.Counter(
    'briarknot_console_sign_ins', 'Sign-ins by result.', ('result',)
)

_Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]


@attrs.frozen(eq=False)
class _SignIn:
    """Sign-in, sign-out, and the session check of each request."""

    _context: _context.Context
    _bodies: _bodies.Bodies
    _stylesheet: bytes

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get('/sign-in', self._show)
        app.router.add_post('/sign-in', self._sign_in)
        app.router.add_post('/sign-out', self._sign_out)
        app.router.add_get('/style.css', self._get_stylesheet)

    async def check(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Requires a sign-in except on public paths, and CSRF tokens in forms.

        :param request: request; those to the API pass, because the API checks
            bearer tokens itself.
        :param handler: handler of the request.
        :raises aiohttp.web.HTTPSeeOther: to the sign-in page, without an
            operator.
        :raises aiohttp.web.HTTPForbidden: where the CSRF token is wrong.
        """
        if request.path.startswith(_api.PREFIX):
            return await self._check_call(request, handler)
        sessions = self._context.sessions
        cookie = request.cookies.get(_context.COOKIE, '')
        session = sessions.decode_cookie(cookie) or sessions.make_session()
        _context.set_session(request, session)
        if not session.operator and request.path not in _PUBLIC_PATHS:
            raise web.HTTPSeeOther('/sign-in')
        is_known = bool(session.operator)
        async with self._bodies.receive(request, is_known=is_known):
            if request.method == 'POST':
                await self._check_form(request, session)
            return await handler(request)

    async def _check_call(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Receives the body of a call of the API from a known operator."""
        if not _api.find_operator(request, self._context.sessions):
            return await handler(request)
        async with self._bodies.receive(request, is_known=True):
            return await handler(request)

    async def _check_form(
        self, request: web.Request, session: _sessions.Session
    ) -> None:
        form = await request.post()
        token = str(form.get('csrf_token', ''))
        if not self._context.sessions.check_csrf_token(session, token):
            raise web.HTTPForbidden(text='The form is no longer valid.')

    async def _show(self, request: web.Request) -> web.Response:
        return self._render(request, '')

    def _render(
        self, request: web.Request, problem: str, status: int = 200
    ) -> web.Response:
        response = self._context.render(
            request, 'sign_in', status, problem=problem
        )
        self._set_cookie(request, response, _context.get_session(request))
        return response

    async def _sign_in(self, request: web.Request) -> web.Response:
        form = await request.post()
        sessions = self._context.sessions
        operator = sessions.find_operator(str(form.get('token', '')))
        _SIGN_INS.labels('accepted' if operator else 'refused').inc()
        if not operator:
            status = web.HTTPForbidden.status_code
            return self._render(request, 'Unknown token.', status)
        telemetry.log_change('operator', 'signed in', operator=operator)
        response = _redirect('/')
        self._set_cookie(request, response, sessions.make_session(operator))
        return response

    async def _sign_out(self, request: web.Request) -> web.Response:
        response = _redirect('/sign-in')
        response.del_cookie(_context.COOKIE)
        return response

    async def _get_stylesheet(self, request: web.Request) -> web.Response:
        return web.Response(body=self._stylesheet, content_type='text/css')

    def _set_cookie(
        self,
        request: web.Request,
        response: web.Response,
        session: _sessions.Session,
    ) -> None:
        response.set_cookie(
            _context.COOKIE,
            self._context.sessions.encode_cookie(session),
            httponly=True,
            samesite='Strict',
            secure=request.secure,
            max_age=_sessions.SESSION_LIFETIME_S,
        )


def _redirect(path: str) -> web.Response:
    return web.Response(
        status=web.HTTPSeeOther.status_code, headers={'Location': path}
    )


async def _add_headers(
    request: web.Request, response: web.StreamResponse
) -> None:
    response.headers.update(_HEADERS)


def make_app(
    settings: schema.settings.ConsoleSettings, client: platform.Client
) -> web.Application:
    """Makes the application.

    :param settings: settings of the console.
    :param client: client of the platform.
    """
    context = _context.make_context(settings, client)
    package = importlib.resources.files(__package__)
    style = (package / 'templates' / 'style.css').read_bytes()
    sign_in = _SignIn(context, _bodies.make_bodies(settings), style)

    @web.middleware
    async def check(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        return await sign_in.check(request, handler)

    app = web.Application(
        middlewares=(check,), client_max_size=_bodies.MAX_BODY_BYTES
    )
    app.on_response_prepare.append(_add_headers)
    views = (
        sign_in,
        _api.Api(context),
        _status_view.StatusView(context),
        _text_view.TextView(context),
        _form_view.FormView(context),
    )
    for view in views:
        view.add_routes(app)
    return app
