"""Faults that a soak injects; each undoes itself."""

import asyncio
import random
import signal
import typing

import aiohttp

from briarknot import registry
from briarknot_standins import control
from briarknot_standins.soak import _fleet

#: Longest time that a fault lasts, in seconds: longer than the bounds of the
#: gateway's own timers, shorter than a soak.
_LONGEST_S = 3.0
_SHORTEST_S = 0.3
#: Time after which a process that was told to stop is killed, as the platform
#: does it.
_GRACE_S = 8.0
_DELAY_S = 0.15

Fault = typing.Callable[
    [_fleet.Fleet, random.Random],
    typing.Coroutine[typing.Any, typing.Any, None],
]

FAULTS: registry.Registry[Fault] = registry.Registry('soak_fault')


def _choose_seconds(source: random.Random) -> float:
    return source.uniform(_SHORTEST_S, _LONGEST_S)


async def _break_link(
    fleet: _fleet.Fleet, source: random.Random, kind: str, **options: object
) -> None:
    link = source.choice(['store', *(one.name for one in fleet.workers)])
    url = fleet.proxy.process.url
    await control.set_faults(url, kind=kind, link=link, **options)
    await asyncio.sleep(_choose_seconds(source))
    await control.remove_faults(url, link)


@FAULTS.register('delay')
async def delay_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Delays the bytes of a link."""
    await _break_link(fleet, source, 'delay', seconds=_DELAY_S)


@FAULTS.register('cut')
async def cut_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Resets the connections of a link, and refuses new ones."""
    await _break_link(fleet, source, 'cut')


@FAULTS.register('one_way')
async def freeze_one_way(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Lets the bytes of a link pass in one direction only."""
    direction = source.choice(['forward', 'backward'])
    await _break_link(fleet, source, 'freeze', direction=direction)


@FAULTS.register('silence')
async def silence_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Silences the open connections of a link for good."""
    await _break_link(fleet, source, 'silence')


@FAULTS.register('kill')
async def kill_process(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Kills a process, and starts it again."""
    member = source.choice(fleet.members)
    member.process.kill()
    await member.process.wait()
    await asyncio.sleep(_choose_seconds(source) / 2)
    await fleet.restart(member)


@FAULTS.register('pause')
async def pause_process(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Pauses a process."""
    process = source.choice(fleet.members).process
    process.pause()
    await asyncio.sleep(_choose_seconds(source))
    process.resume()


@FAULTS.register('stop')
async def stop_gateway(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Stops a gateway as the platform does it, and starts it again."""
    member = source.choice(fleet.gateways)
    member.process.terminate()
    try:
        async with asyncio.timeout(_GRACE_S):
            await member.process.wait()
    except TimeoutError:
        member.process.kill()
        await member.process.wait()
    await fleet.restart(member)


@FAULTS.register('reload')
async def reload_gateways(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Tells all gateways that their settings have changed."""
    for member in fleet.gateways:
        member.process.send_signal(signal.SIGHUP)


@FAULTS.register('manifest')
async def change_manifest(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Writes new versions of the manifest in quick succession."""
    for _ in range(source.randint(1, 4)):
        await fleet.write_manifest()
        await asyncio.sleep(_SHORTEST_S)


@FAULTS.register('store')
async def break_store(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Makes the store fail for all that use it."""
    url = fleet.store.process.url
    name = source.choice(['down', 'busy'])
    await control.set_faults(url, **{name: True})
    await asyncio.sleep(_choose_seconds(source))
    await control.set_faults(url, **{name: False})


@FAULTS.register('drain')
async def drain_worker(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Empties a worker, ends it after a while, and starts another."""
    member = source.choice(fleet.workers)
    try:
        async with fleet.session.post(f'{member.process.url}/drain') as answer:
            await answer.read()
    except aiohttp.ClientError as error:
        # Another fault ended the worker first, and starts it again.
        print(f'{member.name} is not drained: {error!r}')
        return
    await asyncio.sleep(_LONGEST_S)
    member.process.terminate()
    await member.process.wait()
    await fleet.restart(member)
