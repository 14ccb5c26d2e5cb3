"""Polls engines for load reports and cache events, in a task for each."""

import asyncio
import time
import typing

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import admission, config, links, schema
from briarknot.entry import _context

Value = typing.TypeVar('Value')

_POLLS = prometheus_client.Counter(
    'briarknot_engine_polls', 'Polls of engines by result.', ('result',)
)
_OK = 200
#: Periods without a report after which a process polls an engine that another
#: process owns.
_OWNER_GRACE_PERIODS = 3
#: Encoded size of a load message.
_REPORT_BYTES = 125
#: Half of the 4 KB/s that a node may use for control traffic in each
#: direction.
_REPORT_BYTES_PER_S = 2000
#: Shorter than the validity of a report, longer than a slow engine's answer.
_POLL_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class EnginePoller:
    """Updates the endpoint view with load reports and cache events.

    One entry process of the domain polls an engine and broadcasts the results
    to the others, so that the polls of an engine do not grow with the hosts.
    """

    _context: _context.Context
    _session: aiohttp.ClientSession
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(
        factory=dict, init=False
    )
    _received_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def apply_document(self, in_force: config.InForce) -> None:
        """Starts a task for each new engine and ends those of removed ones."""
        engines = {
            engine.name: engine
            for engine in in_force.fleet.engines
            if engine.domain == self._context.node.domain
        }
        for name in set(self._tasks) - set(engines):
            self._tasks.pop(name).cancel()
        for name in set(engines) - set(self._tasks):
            self._tasks[name] = asyncio.create_task(
                self._run_engine(name), name=f'poll {name}'
            )

    async def handle_load(
        self, link: links.Link, message: schema.messages.EngineLoad
    ) -> None:
        """Applies a load report that another process polled."""
        now = time.monotonic()
        self._received_s[message.engine] = now
        self._context.view.apply_report(message.engine, message.report, now)
        self._context.apply_capacity()

    async def handle_cache(
        self, link: links.Link, message: schema.messages.EngineCache
    ) -> None:
        """Applies cache events that another process polled."""
        self._context.view.apply_cache_events(message.engine, message.events)

    async def close(self) -> None:
        """Ends all tasks."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _run_engine(self, name: str) -> None:
        """Polls an engine while this process owns it or gets no reports."""
        next_event = 0
        while True:
            period_s = self._compute_period()
            if self._must_poll(name, period_s):
                await self._poll_load(name)
                next_event = await self._poll_cache(name, next_event)
            await asyncio.sleep(period_s)

    def _compute_period(self) -> float:
        """Returns the period that keeps load reports within their bandwidth.

        Each node receives the reports of all engines of its domain.
        """
        report_bytes = len(self._tasks) * _REPORT_BYTES
        timing = self._context.settings.timing
        return max(timing.load_poll_s, report_bytes / _REPORT_BYTES_PER_S)

    def _must_poll(self, name: str, period_s: float) -> bool:
        if admission.choose_owner(name, self._list_members()) == (
            self._context.node.host
        ):
            return True
        silence_s = time.monotonic() - self._received_s.get(name, 0)
        return silence_s > _OWNER_GRACE_PERIODS * period_s

    def _list_members(self) -> tuple[str, ...]:
        live = self._context.members.live(self._context.node.domain)
        return tuple(member.host for member in live)

    async def _poll_load(self, name: str) -> None:
        report = await self._get(name, '/load', schema.endpoints.LoadReport)
        if report is None:
            return
        context = self._context
        context.view.apply_report(name, report, time.monotonic())
        context.apply_capacity()
        context.hub.broadcast(
            schema.messages.EngineLoad(engine=name, report=report),
            domain=context.node.domain,
        )

    async def _poll_cache(self, name: str, after: int) -> int:
        batch = await self._get(
            name, f'/cache/events?after={after}', schema.endpoints.CacheEvents
        )
        if batch is None:
            return after
        if batch.events:
            context = self._context
            context.view.apply_cache_events(name, batch.events)
            context.hub.broadcast(
                schema.messages.EngineCache(engine=name, events=batch.events),
                domain=context.node.domain,
            )
        return batch.next

    async def _get(
        self, name: str, path: str, kind: type[Value]
    ) -> Value | None:
        """Requests and decodes an answer; None if there is no valid one.

        An invalid answer must not end the polling of the engine.
        """
        body = await self._read_body(name, path)
        if body is None:
            _POLLS.labels('failed').inc()
            return None
        try:
            answer = schema.from_plain(kind, orjson.loads(body))
        except (TypeError, ValueError):
            _POLLS.labels('invalid').inc()
            return None
        _POLLS.labels('ok').inc()
        return answer

    async def _read_body(self, name: str, path: str) -> bytes | None:
        engine_view = self._context.view.find_engine(name)
        if engine_view is None:
            return None
        try:
            async with self._session.get(
                f'{engine_view.engine.url}{path}',
                timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
            ) as response:
                body = await response.read()
                return body if response.status == _OK else None
        # TimeoutError is a subclass of OSError.
        except (aiohttp.ClientError, OSError):
            self._context.view.mark_failed(name, time.monotonic())
            return None


def make_engine_poller(
    context: _context.Context, session: aiohttp.ClientSession
) -> EnginePoller:
    """Makes the engine poller of a process.

    :param context: components of the process.
    :param session: client session for endpoints.
    """
    return EnginePoller(context, session)
