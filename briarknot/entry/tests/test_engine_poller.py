"""Guards against an engine whose polling ends for good."""

import asyncio

import aiohttp
import attrs
from aiohttp import web

from briarknot import config, routing, schema
from briarknot.entry import _engine_poller
from briarknot_standins import serving

_LIMIT_S = 20


@attrs.define
class _Context:
    """The components of an entry process that the poller uses."""

    view: routing.View
    counted: asyncio.Event = attrs.field(factory=asyncio.Event)
    node: schema.settings.Node = schema.settings.Node(host='h', domain='d')
    settings: schema.settings.EntrySettings = schema.settings.EntrySettings(
        timing=schema.settings.Timing(load_poll_s=0.02)
    )

    @property
    def members(self):
        return self

    @property
    def hub(self):
        return self

    def live(self, domain):
        return (self.node,)

    def broadcast(self, message, domain):
        """Discards messages."""

    def apply_capacity(self):
        """Sets the event at a report of three requests."""
        if self.view.engines[0].count_streams(0) == 3:
            self.counted.set()


async def test_invalid_answer_does_not_end_the_polling():
    """After one malformed report, no later one would be read."""
    bodies = iter([b'{"running": "x"}', b'[', b'{"running": 3}'])
    app = web.Application()

    async def answer(request):
        return web.Response(body=next(bodies, b'{"running": 3}'))

    app.router.add_get('/load', answer)
    async with serving.serve(app) as url, aiohttp.ClientSession() as session:
        engine = schema.fleet.Engine(name='e', domain='d', url=url, model='m')
        fleet = schema.fleet.Fleet(engines=(engine,))
        context = _Context(routing.make_view(fleet, 'd'))
        engine_poller = _engine_poller.make_engine_poller(context, session)
        engine_poller.apply_document(config.InForce(fleet=fleet))
        await asyncio.wait_for(context.counted.wait(), _LIMIT_S)
        await engine_poller.close()
