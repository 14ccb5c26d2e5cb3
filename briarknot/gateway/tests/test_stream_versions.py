"""Tests that a stream has events of workers of one software version only."""

import time

import aiohttp
import attrs
import pytest

from briarknot import schema
from briarknot.gateway import _clock
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generations
from briarknot.gateway.tests import test_store_sync as stores

_BROKEN = _support.make_stream('x', 'y', then=_support.CLOSE, end=False)
_REST = _support.make_stream('z', start=3)
_TAKE_UP = {'Request-Id': 'q2', 'Resumes': 'q1', 'Last-Event-Id': '2'}


def make_decode(script, version):
    """Makes a decode worker of a version."""
    return _support.ScriptedWorker(script, 'decode', version)


def set_order(gateway, *workers):
    """Makes a gateway prefer the first worker, then the second and so on."""
    for busy, worker in enumerate(workers):
        record = _support.get_worker_record(gateway.context, worker)
        record.in_flight = busy


def apply_list(gateway, *workers):
    """Applies a list of workers to a gateway that knows all versions."""
    context = gateway.context
    entries = tuple(worker.entry for worker in workers)
    context.fleet.apply_workers(entries, time.monotonic(), after_outage=False)
    known = context.software_versions
    now = _clock.read_clock()
    if not known.is_loaded:
        known.load((), now, now - 100, now, now)
    known.record_list(entries, now, now)
    known.record_stored(known.list_keys(), now)
    context.versions_changed.notify()


def lose_messages(context, host):
    """Loses what a gateway sends to a host, or to all with an empty one."""
    send = context.send_message

    def send_to_others(message, hosts):
        send(message, tuple(one for one in hosts if host and one != host))

    context.send_message = send_to_others


def cut_off(cut, *others):
    """Loses all messages on streams between a gateway and others."""
    lose_messages(cut.context, '')
    for gateway in others:
        lose_messages(gateway.context, cut.context.settings.host)


async def test_broken_stream_does_not_go_on_at_another_version():
    """A gateway sent the rest of a stream to a worker of any version."""
    broken = make_decode([_BROKEN], 'v1')
    same = make_decode([_REST], 'v1')
    other = make_decode([_REST], 'v2')
    route = generations.make_stream_route()
    async with _support.open_gateway(route, broken, same, other) as gateway:
        set_order(gateway, broken, other, same)
        status, _, body = await gateway.send()
    assert (status, generations.read_data(body)) == (200, ['x', 'y', 'z'])
    assert not other.requests


async def test_stream_does_not_go_on_at_a_worker_that_has_started_again():
    """A stream was joined from two versions: the list showed the earlier one."""
    broken = make_decode([_BROKEN], 'v1')
    restarted = make_decode([_support.make_stream('w', start=3)], 'v1')
    same = make_decode([_REST], 'v1')
    route = generations.make_stream_route(max_attempts=3)
    workers = (broken, restarted, same)
    async with _support.open_gateway(route, *workers) as gateway:
        set_order(gateway, *workers)

        async def has_restarted(worker):
            return worker.id == restarted.entry.id

        gateway.context.has_restarted = has_restarted
        status, _, body = await gateway.send()
    assert (status, generations.read_data(body)) == (200, ['x', 'y', 'z'])
    assert len(restarted.requests) == 1


async def test_broken_stream_ends_where_no_worker_of_its_version_is_left():
    """The rest came from another version, and the answer looked complete."""
    broken = make_decode([_BROKEN], 'v1')
    other = make_decode([_REST], 'v2')
    route = generations.make_stream_route()
    async with _support.open_gateway(route, broken, other) as gateway:
        set_order(gateway, broken, other)
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send()
    assert not other.requests


async def test_stream_of_another_gateway_goes_on_at_its_version():
    """A gateway did not know at which version another one had begun a stream."""
    broken = make_decode([_BROKEN], 'v1')
    same = make_decode([_REST], 'v1')
    other = make_decode([_REST], 'v2')
    route = generations.make_stream_route(max_attempts=1)
    workers = (broken, same, other)
    async with _support.open_gateways(route, *workers, count=2) as gateways:
        set_order(gateways[0], broken, other, same)
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateways[0].send()
        set_order(gateways[1], other, same, broken)
        status, _, body = await gateways[1].send(headers=_TAKE_UP)
    assert (status, generations.read_data(body)) == (200, ['z'])
    assert not other.requests


async def test_stream_that_two_versions_may_have_begun_is_refused():
    """A gateway that had just started joined a stream from two versions."""
    workers = (make_decode([_REST], 'v1'), make_decode([_REST], 'v2'))
    route = generations.make_stream_route()
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, _ = await gateway.send(headers=_TAKE_UP)
    assert status == 503
    assert not any(worker.requests for worker in workers)


async def test_cache_is_not_used_by_workers_of_another_version():
    """A prompt was prefilled at one version and its answer generated at another."""
    prefill = _support.ScriptedWorker([_support.HANDLE], 'prefill', 'v1')
    same = make_decode([_support.make_stream('x')], 'v1')
    other = make_decode([_support.make_stream('x')], 'v2')
    route = generations.make_stream_route()
    async with _support.open_gateway(route, prefill, same, other) as gateway:
        set_order(gateway, other, same)
        status, _, _ = await gateway.send(headers=generations.PROMPT)
    assert status == 200
    assert len(prefill.requests) == len(same.requests)


async def test_prompt_is_not_prefilled_where_no_decode_worker_can_go_on():
    """Prefill workers of a version without decode workers worked in vain."""
    prefill = _support.ScriptedWorker([_support.HANDLE], 'prefill', 'v1')
    other = make_decode([_support.make_stream('x')], 'v2')
    route = generations.make_stream_route()
    async with _support.open_gateway(route, prefill, other) as gateway:
        status, _, _ = await gateway.send(headers=generations.PROMPT)
    assert status == 200
    assert not prefill.requests


async def test_rest_of_a_stream_is_not_prefilled_where_its_worker_is_lost():
    """Its prompt was prefilled again although no decode worker could go on."""
    prefill = _support.ScriptedWorker(
        [_support.HANDLE, _support.HANDLE], 'prefill', 'v1'
    )
    broken = make_decode([_BROKEN], 'v1')
    other = make_decode([], 'v2')
    route = generations.make_stream_route()
    async with _support.open_gateway(route, prefill, broken, other) as gateway:
        set_order(gateway, broken, other)
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=generations.PROMPT)
    assert len(prefill.requests) <= 1
    assert not other.requests


async def test_stream_that_began_with_one_version_goes_on_beside_another():
    """It was refused for the rest of its life once another version was listed."""
    broken = make_decode([_BROKEN], 'v1')
    same = make_decode([_REST], 'v1')
    other = make_decode([_REST], 'v2')
    route = generations.make_stream_route(max_attempts=1)
    workers = (broken, same, other)
    async with _support.open_gateways(route, *workers, count=2) as gateways:
        for gateway in gateways:
            apply_list(gateway, broken, same)
        set_order(gateways[0], broken, same)
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateways[0].send()
        for gateway in gateways:
            apply_list(gateway, *workers)
        origins = gateways[1].context.origins
        await stores.wait_until(
            lambda: origins.find('q1', _clock.read_clock()) is not None
        )
        # The gateway that began the stream is lost.
        gateways[0].context.origins.forget_restarted(
            broken.entry.id, _clock.read_clock()
        )
        set_order(gateways[1], other, same, broken)
        status, _, body = await gateways[1].send(headers=_TAKE_UP)
    assert (status, generations.read_data(body)) == (200, ['z'])
    assert not other.requests


async def test_stream_of_a_frozen_gateway_goes_on_beside_a_newer_version():
    """All its streams were refused: it could not send their origins any more."""
    broken = make_decode([_BROKEN], 'v1')
    same = make_decode([_REST], 'v1')
    other = make_decode([_REST], 'v2')
    route = generations.make_stream_route(max_attempts=1)
    workers = (broken, same, other)
    async with _support.open_gateways(route, *workers, count=3) as gateways:
        for gateway in gateways:
            apply_list(gateway, broken, same)
        set_order(gateways[0], broken, same)
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateways[0].send()
        cut_off(*gateways)
        for gateway in gateways[1:]:
            apply_list(gateway, *workers)
        set_order(gateways[1], other, same, broken)
        status, _, body = await gateways[1].send(headers=_TAKE_UP)
    assert (status, generations.read_data(body)) == (200, ['z'])
    assert not other.requests


async def test_stream_of_a_newer_version_begins_once_others_know_it():
    """Others took it for one of the version before, and joined the two."""
    old = make_decode([_support.make_stream('x')], 'v1')
    new = make_decode([_support.make_stream('y')], 'v2')
    route = generations.make_stream_route(max_attempts=1)
    async with _support.open_gateways(route, old, new, count=3) as gateways:
        for gateway in gateways:
            apply_list(gateway, old)
            apply_list(gateway, old, new)
            known = gateway.context.software_versions
            known.record_stored(known.list_keys(), _clock.read_clock() - 9)
        set_order(gateways[0], new, old)
        status, _, _ = await gateways[0].send()
        now = _clock.read_clock()
        keepers = [one.context.origins.find('q1', now) for one in gateways]
    assert status == 200
    assert [one.version for one in keepers if one] == ['v2', 'v2', 'v2']


async def test_cut_off_gateway_begins_streams_of_the_version_before():
    """It began streams that nobody else knew, which were joined elsewhere."""
    old = make_decode([_support.make_stream('x')], 'v1')
    new = make_decode([_support.make_stream('y')], 'v2')
    route = generations.make_stream_route(max_attempts=1)
    async with _support.open_gateways(route, old, new, count=3) as gateways:
        gateway = gateways[0]
        apply_list(gateway, old)
        apply_list(gateway, old, new)
        known = gateway.context.software_versions
        known.record_stored(known.list_keys(), _clock.read_clock() - 9)
        cut_off(*gateways)
        set_order(gateway, new, old)
        first, _, _ = await gateway.send()
        status, _, body = await gateway.send(headers={'Request-Id': 'q2'})
        record = _support.get_worker_record(gateway.context, new)
    assert first == 502
    assert (status, generations.read_data(body)) == (200, ['x'])
    # The worker has done nothing wrong.
    assert record.failure_rate == 0


async def test_other_service_of_a_route_does_not_take_up_a_stream():
    """A stream went on at the service that was drawn for its rest."""
    begun = make_decode([_REST], 'v1')
    drawn = attrs.evolve(make_decode([], 'v1'), service='t')
    destinations = (
        schema.serving.Destination(service='t', weight=1.0),
        schema.serving.Destination(service='s', weight=1e-9),
    )
    route = generations.make_stream_route(destinations=destinations)
    async with _support.open_gateways(route, begun, drawn, count=2) as gateways:
        now = _clock.read_clock()
        origins = gateways[0].context.origins
        origins.record('q1', begun.entry, now)
        # The other gateway has to ask for it.
        origins.take_unsent(now)
        for gateway in gateways:
            apply_list(gateway, begun, drawn)
        # A second version of the service that began it.
        for gateway in gateways:
            apply_list(gateway, begun, drawn, make_decode([], 'v2'))
        status, _, body = await gateways[1].send(headers=_TAKE_UP)
    assert (status, generations.read_data(body)) == (200, ['z'])
    assert not drawn.requests
