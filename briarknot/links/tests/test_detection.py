"""Guards against a detector that does not receive the links' messages."""

import asyncio

from aiohttp import test_utils, web

from briarknot import links, membership, schema

_TIMES = membership.DetectorTimes(heartbeat_s=0.05, suspect_after_s=0.4)


async def _wait_live(view, expected):
    for _ in range(1000):
        if {member.host for member in view.live()} == expected:
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f'{view.live()} is not {expected}')


def _make_node(host, incarnation):
    hub = links.make_hub(
        schema.messages.Hello(
            host=host, domain='x', program='entry', incarnation=incarnation
        ),
        'secret',
    )
    view = membership.make_members(host, 'x', incarnation)
    run = links.run_detector(
        hub, view, membership.make_detector(view, _TIMES), _TIMES.heartbeat_s
    )
    return hub, view, run


async def test_crash_and_restart_over_links():
    """A detector without messages sees no peers or keeps a crashed one live."""
    hub, view, run = _make_node('a', 1)
    app = web.Application()
    hub.add_routes(app)
    async with test_utils.TestServer(app) as server, asyncio.TaskGroup() as tg:
        detection = tg.create_task(run)
        for incarnation in (1, 2):
            peer_hub, peer_view, peer_run = _make_node('b', incarnation)
            peer_detection = tg.create_task(peer_run)
            peer_hub.connect(str(server.make_url('')))
            await _wait_live(view, {'a', 'b'})
            await _wait_live(peer_view, {'a', 'b'})
            peer_detection.cancel()
            await peer_hub.close()
            await _wait_live(view, {'a'})
        detection.cancel()
