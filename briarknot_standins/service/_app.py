"""HTTP interface of the service stand-in.

Each connection has one task, which runs the handlers of its requests.
"""

import asyncio
import os
import typing

import attrs
from aiohttp import web

from briarknot_standins import serving
from briarknot_standins.service import _config, _runs

_CRASH_STATUS = 70
_MAX_BODY_BYTES = 64 * 1024 * 1024


def exit_process() -> None:
    """Ends the process at once, without cleanup, as a crash does."""
    os._exit(_CRASH_STATUS)


@attrs.define(eq=False)
class Service:
    """One worker with its faults and counters.

    :param config: configuration.
    :param crash: ends the process; unit tests replace it.
    """

    config: _config.ServiceConfig
    crash: typing.Callable[[], None] = exit_process
    connections: serving.Connections = attrs.field(
        factory=serving.Connections, init=False
    )
    runs: _runs.RunLog = attrs.field(factory=_runs.RunLog, init=False)
    faults: _config.Faults = attrs.field(factory=_config.Faults, init=False)
    _in_progress: int = attrs.field(default=0, init=False)
    _slots: asyncio.Semaphore = attrs.field(init=False)

    @_slots.default
    def _make_slots(self) -> asyncio.Semaphore:
        return asyncio.Semaphore(self.config.max_running)

    def apply_faults(self, faults: _config.Faults) -> None:
        """Puts faults in force."""
        if faults.silence_open:
            self.connections.silence()
        self.faults = attrs.evolve(faults, silence_open=False)

    def get_load(self) -> dict[str, typing.Any]:
        """Returns the load report."""
        running = min(self._in_progress, self.config.max_running)
        return {
            'as_of_age_s': 0,
            'running': running,
            'queued': self._in_progress - running,
            'max_running': self.config.max_running,
        }

    async def run(self, call: _runs.Call) -> int:
        """Runs a call.

        :returns: the HTTP status of the response.
        """
        faults = self.faults
        self._in_progress += 1
        try:
            async with self._slots:
                return await self._run_with_slot(call, faults)
        finally:
            self._in_progress -= 1

    async def _run_with_slot(
        self, call: _runs.Call, faults: _config.Faults
    ) -> int:
        await asyncio.sleep(faults.delay_s)
        marked = faults.crash_marker.encode() in call.body
        if faults.crash_before_run and marked:
            self.crash()
        if faults.error_status and not faults.error_after_run:
            return faults.error_status
        self.runs.add(call)
        await asyncio.sleep(self.config.run_s)
        if faults.crash_after_run and marked:
            self.crash()
        return faults.error_status or web.HTTPOk.status_code


_SERVICE = web.AppKey('service', Service)

routes = web.RouteTableDef()


def make_app(
    config: _config.ServiceConfig,
    crash: typing.Callable[[], None] = exit_process,
) -> web.Application:
    """Makes the application of one worker.

    :param config: configuration; its port is not used here.
    :param crash: called where a fault crashes the process.
    """
    service = Service(config, crash)
    app = web.Application(
        middlewares=[service.connections.make_middleware()],
        client_max_size=_MAX_BODY_BYTES,
    )
    app[_SERVICE] = service
    app.add_routes(routes)
    return app


@routes.get('/load')
async def read_load(request: web.Request) -> web.Response:
    """Returns the load report."""
    return serving.respond(request.app[_SERVICE].get_load())


@routes.get('/runs')
async def read_runs(request: web.Request) -> web.Response:
    """Returns the number of runs in total and by key."""
    service = request.app[_SERVICE]
    return serving.respond(
        {
            'service': service.config.name,
            'total': service.runs.total,
            'by_request_id': dict(service.runs.by_request_id),
            'by_idempotency_key': dict(service.runs.by_idempotency_key),
            'by_answer': dict(service.runs.by_answer),
        }
    )


@routes.post('/faults')
async def set_faults(request: web.Request) -> web.Response:
    """Changes the faults that the body names and returns all faults."""
    service = request.app[_SERVICE]
    service.apply_faults(await serving.apply_changes(request, service.faults))
    return serving.respond(service.faults)


@routes.route('*', '/{path:.*}')
async def run_call(request: web.Request) -> web.Response:
    """Runs any other call and returns the fields that identify it."""
    service = request.app[_SERVICE]
    call = _runs.Call(
        method=request.method,
        path=request.path_qs,
        body=await request.read(),
        request_id=request.headers.get('X-Request-Id', ''),
        idempotency_key=request.headers.get('Idempotency-Key', ''),
    )
    # A call that was received runs even if its caller disconnects.
    status = await asyncio.shield(service.run(call))
    if service.faults.silent_after_run:
        await asyncio.Event().wait()
    response = serving.respond(_make_answer(service, call), status)
    if service.faults.problem_outcome:
        response.content_type = 'application/problem+json'
    return response


def _make_answer(service: Service, call: _runs.Call) -> dict[str, typing.Any]:
    return {
        'service': service.config.name,
        'method': call.method,
        'path': call.path,
        'request_id': call.request_id,
        'idempotency_key': call.idempotency_key,
        'run': service.runs.by_request_id[call.request_id],
        'answer': _runs.expected_answer(call.method, call.path, call.body),
        'outcome': service.faults.problem_outcome or 'ok',
    }
