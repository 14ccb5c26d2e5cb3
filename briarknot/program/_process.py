"""Admin port and stop signal of a process."""

import asyncio
import signal
import socket

import attrs
import prometheus_client
from aiohttp import web

from briarknot import schema, telemetry

#: Connections that are accepted before surplus ones are closed.
_ACCEPTED_AT_ONCE = 32
_BACKLOG = 1024
_OK = 200
_UNAVAILABLE = 503
#: Time from the close of the ports to that of their connections, in seconds: a
#: request that was on its way is read and answered by then.
_LAST_REQUESTS_S = 0.2


@attrs.define(eq=False)
class Process:
    """Readiness, metrics, and the stop signal of a process.

    :param name: name of the program.
    :param node: identity and addresses.
    """

    _name: str
    _node: schema.settings.Node
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _not_ready_reason: str = attrs.field(default='starting', init=False)
    _runners: list[web.AppRunner] = attrs.field(factory=list, init=False)

    @property
    def node(self) -> schema.settings.Node:
        """Identity and addresses."""
        return self._node

    @property
    def stopping(self) -> asyncio.Event:
        """Set once the process has received a stop signal."""
        return self._stopping

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send work."""
        return not self._not_ready_reason

    def set_ready(self, reason: str = '') -> None:
        """Sets readiness.

        :param reason: why the process is not ready; empty where it is.
        """
        if reason != self._not_ready_reason:
            telemetry.log_change('readiness', reason or 'ready')
        self._not_ready_reason = reason

    async def start(self) -> None:
        """Opens the admin port and handles SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        app = web.Application()
        app.router.add_get('/healthz', self._answer_health)
        app.router.add_get('/readyz', self._answer_ready)
        app.router.add_get('/metrics', self._answer_metrics)
        await self.listen(app, self._node.admin_port)

    async def listen(self, app: web.Application, port: int) -> web.AppRunner:
        """Serves an application on a port until :meth:`close`.

        :param app: the application.
        :param port: port on the node's listen address.
        """
        # The handler must end when its caller disconnects, so that the
        # endpoint's stream is cancelled too.
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.listen_with(runner, port)
        return runner

    async def listen_with(self, runner: web.AppRunner, port: int) -> None:
        """Serves the application of a runner on a port until :meth:`close`.

        :param runner: the runner.
        :param port: port on the node's listen address.
        """
        await runner.setup()
        host = self._node.listen
        is_v6 = ':' in host
        listener = socket.create_server(
            (host, port),
            family=socket.AF_INET6 if is_v6 else socket.AF_INET,
        )
        site = web.SockSite(runner, listener, backlog=_ACCEPTED_AT_ONCE)
        await site.start()
        # Sets only the queue of the kernel.
        listener.listen(_BACKLOG)
        self._runners.append(runner)

    async def close(self) -> None:
        """Closes all ports, the admin port last.

        Requests whose connections were accepted before are answered.
        """
        for listening in reversed(self._runners):
            for site in tuple(listening.sites):
                await site.stop()
        await asyncio.sleep(_LAST_REQUESTS_S)
        for runner in reversed(self._runners):
            await runner.cleanup()
        self._runners.clear()

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text=f'{self._name} {self._node.host}\n')

    async def _answer_ready(self, request: web.Request) -> web.Response:
        return web.Response(
            status=_OK if self.is_ready else _UNAVAILABLE,
            text=f'{self._not_ready_reason or "ready"}\n',
        )

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=prometheus_client.generate_latest(),
            headers={'Content-Type': prometheus_client.CONTENT_TYPE_LATEST},
        )


def make_process(name: str, node: schema.settings.Node) -> Process:
    """Makes the process of a program.

    :param name: name of the program.
    :param node: identity and addresses.
    """
    return Process(name, node)
