"""Guards the choice of the clients that are refused or closed for a limit."""

import asyncio

import pytest

from briarknot import schema
from briarknot.platform import _client_limits, _client_states

_Limit = _client_states.Limit
_MB = 1_000_000


@pytest.fixture
def evicted():
    """Collects the address and limit of each client that is evicted."""
    return []


@pytest.fixture
def limits():
    """Limits with 18 MB for what is received, and 9 connections."""
    return _client_limits.make_client_limits(
        96,
        20,
        lambda: schema.serving.ClientLimits(
            header_bytes=16384, header_timeout_s=3, idle_timeout_s=15
        ),
    )


@pytest.fixture
def connect(limits, evicted):
    """Opens a connection that receives a part of a body."""

    def open_client(address, now, received=0, length=0):
        client = limits.open(
            address, now, lambda limit: evicted.append((address, limit))
        )
        if received:
            limits.start_request(client, length, now)
            limits.record_body(client, received, now)
        return client

    return open_client


def test_whoever_makes_no_progress_goes_first(connect, evicted):
    """A full process must not refuse those that still send."""
    connect('slow', 0, 3 * _MB)
    connect('large', 5, 9 * _MB)
    connect('new', 5.1, 7 * _MB)
    assert evicted == [('slow', _Limit.MEMORY)]


def test_the_largest_goes_before_the_almost_complete(connect, evicted):
    """A body that has almost arrived must not be sent again from its start."""
    connect('almost', 0, 10 * _MB, 10_500_000)
    connect('large', 0, 7 * _MB)
    connect('small', 0, 2 * _MB)
    assert evicted == [('large', _Limit.MEMORY)]


def test_small_requests_are_kept(connect, evicted):
    """Ordinary requests must not be refused for the memory of others."""
    connect('runs', 0, 17 * _MB).start_phase(_client_states.Phase.RUN, 0)
    connect('small', 0, 1000)
    assert not evicted
    connect('large', 0, 2 * _MB)
    assert evicted == [('large', _Limit.MEMORY)]


def test_idle_connections_within_the_limit_are_kept(connect, limits, evicted):
    """A client that reuses a connection in time must not find it closed."""
    for number in range(9):
        connect(f'c{number}', 0)
    connect('new', 12.1)
    assert evicted == [('new', _Limit.DESCRIPTORS)]
    assert not limits.list_late(15)
    assert len(limits.list_late(31)) == 9


def test_refused_requests_go_before_new_connections(connect, evicted):
    """Clients that still sent a refused body kept others from connecting."""
    for number in range(9):
        client = connect(f'c{number}', 0)
    client.evicted_by = _Limit.MEMORY
    client.is_dropped = True
    connect('new', 0.1)
    assert evicted == [('c8', _Limit.DESCRIPTORS)]


def test_unread_streams_are_counted(connect, limits, evicted):
    """Streams whose clients don't read held memory that nothing counted."""
    for number in range(8):
        client = connect(f'c{number}', 0)
        client.start_phase(_client_states.Phase.RESPONSE, 0)
        client.is_unread = number != 0
    connect('runs', 0, 16 * _MB).start_phase(_client_states.Phase.RUN, 0)
    limits.charge_unread(0.5)
    assert not evicted
    limits.charge_unread(2)
    assert ('c0', _Limit.MEMORY) not in evicted
    assert 0 < len(evicted) < 7


def test_released_memory_is_counted_back(connect, limits):
    """Bytes that were counted and never released would refuse everybody."""
    client = connect('c', 0, 5 * _MB)
    limits.record_tiny_chunks(client, 0)
    limits.end_request(client, 1)
    limits.record_head(client, 1000, 2)
    limits.evict(client, _Limit.HEADER_TIME)
    limits.start_request(client, 0, 2)
    limits.close(client)
    assert limits.held_bytes == 0
    assert limits.is_empty


async def test_responses_do_not_wait_for_each_other(connect, limits):
    """Responses that each had a part of their room waited until their deadlines."""
    clients = [connect(f'c{number}', 0) for number in range(4)]
    for one in clients:
        await limits.reserve_response(one, 2 * _MB)

    async def finish(client):
        await limits.reserve_response(client, 5 * _MB)
        limits.end_request(client, 1)

    async with asyncio.timeout(20):
        await asyncio.gather(*map(finish, clients))


async def test_client_that_leaves_while_it_waits_holds_nothing(connect, limits):
    """Room that was reserved for a closed connection was never released."""
    first, second = connect('first', 0), connect('second', 0)
    await limits.reserve_response(first, 16 * _MB)
    third = asyncio.create_task(limits.reserve_response(second, 16 * _MB))
    await asyncio.sleep(0)
    limits.close(second)
    limits.close(first)
    async with asyncio.timeout(20):
        await third
    assert not limits.held_bytes


def test_slow_reader_that_goes_on_is_kept(connect, limits):
    """A response whose client read slowly but steadily was closed."""
    client = connect('slow', 0)
    unsent = iter(range(1000, 0, -10))
    client.count_unsent = lambda: next(unsent)
    client.start_phase(_client_states.Phase.RESPONSE, 0)
    client.is_unread = True
    for now in range(60):
        limits.charge_unread(now)
        assert not limits.list_late(now)
