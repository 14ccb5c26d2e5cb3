"""Faults that a soak injects; each reverts its own effect."""

import asyncio
import random
import signal
import typing

import aiohttp

from briarknot import registry
from briarknot_standins import control
from briarknot_standins.soak import _fleet

#: Longest duration of a fault: longer than the gateway's own timeouts, shorter
#: than a soak.
_MAX_FAULT_S = 3.0
_MIN_FAULT_S = 0.3
#: Time after SIGTERM at which a process is killed, as the platform does.
_STOP_GRACE_S = 8.0
_LINK_DELAY_S = 0.15
#: Share of releases that drain the worker first; the others follow a crash.
_PLANNED_SHARE = 0.5
#: Share of releases that keep the id of the worker.
_KEPT_ID_SHARE = 0.3

Fault = typing.Callable[
    [_fleet.Fleet, random.Random],
    typing.Coroutine[typing.Any, typing.Any, None],
]

FAULTS: registry.Registry[Fault] = registry.Registry('soak_fault')


def _choose_duration_s(source: random.Random) -> float:
    return source.uniform(_MIN_FAULT_S, _MAX_FAULT_S)


async def _inject_link_fault(
    fleet: _fleet.Fleet, source: random.Random, kind: str, **options: object
) -> None:
    link = source.choice(['store', *(one.name for one in fleet.workers)])
    url = fleet.proxy.process.url
    await control.set_faults(url, kind=kind, link=link, **options)
    await asyncio.sleep(_choose_duration_s(source))
    await control.remove_faults(url, link)


@FAULTS.register('delay')
async def delay_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Delays the bytes of a link."""
    await _inject_link_fault(fleet, source, 'delay', seconds=_LINK_DELAY_S)


@FAULTS.register('cut')
async def cut_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Resets the connections of a link, and refuses new ones."""
    await _inject_link_fault(fleet, source, 'cut')


@FAULTS.register('one_way')
async def freeze_one_way(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Forwards the bytes of a link in one direction only."""
    direction = source.choice(['forward', 'backward'])
    await _inject_link_fault(fleet, source, 'freeze', direction=direction)


@FAULTS.register('silence')
async def silence_link(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Permanently silences the open connections of a link."""
    await _inject_link_fault(fleet, source, 'silence')


@FAULTS.register('kill')
async def kill_process(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Kills a process and restarts it."""
    member = source.choice(fleet.members)
    member.process.kill()
    await member.process.wait()
    await asyncio.sleep(_choose_duration_s(source) / 2)
    await fleet.restart(member)


@FAULTS.register('kill_all')
async def kill_gateways(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Kills all gateways at once and restarts them."""
    killed = [member.process for member in fleet.gateways]
    for process in killed:
        process.kill()
    for process in killed:
        await process.wait()
    await asyncio.sleep(_choose_duration_s(source) / 2)
    await asyncio.gather(*(fleet.restart(one) for one in fleet.gateways))


@FAULTS.register('pause')
async def pause_process(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Pauses a process."""
    process = source.choice(fleet.members).process
    process.pause()
    await asyncio.sleep(_choose_duration_s(source))
    process.resume()


@FAULTS.register('stop')
async def stop_gateway(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Stops a gateway as the platform does, and restarts it."""
    member = source.choice(fleet.gateways)
    member.process.terminate()
    try:
        async with asyncio.timeout(_STOP_GRACE_S):
            await member.process.wait()
    except TimeoutError:
        member.process.kill()
        await member.process.wait()
    await fleet.restart(member)


@FAULTS.register('reload')
async def reload_gateways(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Makes all gateways reload their settings."""
    for member in fleet.gateways:
        member.process.send_signal(signal.SIGHUP)


@FAULTS.register('manifest')
async def change_manifest(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Writes new versions of the manifest in quick succession."""
    for _ in range(source.randint(1, 4)):
        await fleet.write_manifest()
        await asyncio.sleep(_MIN_FAULT_S)


@FAULTS.register('store')
async def break_store(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Makes the store fail for all its clients."""
    url = fleet.store.process.url
    name = source.choice(['down', 'busy'])
    await control.set_faults(url, **{name: True})
    await asyncio.sleep(_choose_duration_s(source))
    await control.set_faults(url, **{name: False})


@FAULTS.register('drain')
async def drain_worker(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Drains a worker, terminates it, and restarts it."""
    member = source.choice(fleet.workers)
    if await _drain_and_terminate(fleet, member):
        await fleet.restart(member)


@FAULTS.register('release')
async def release_worker(fleet: _fleet.Fleet, source: random.Random) -> None:
    """Restarts a decode worker as the other software version."""
    member = source.choice(fleet.decode_workers)
    is_planned = source.random() < _PLANNED_SHARE
    keeps_id = source.random() < _KEPT_ID_SHARE
    # Another fault may restart the worker first.
    member.change_version()
    if is_planned:
        if not await _drain_and_terminate(fleet, member):
            return
    else:
        member.process.kill()
        await member.process.wait()
    await fleet.restart(member, keeps_id=keeps_id)


async def _drain_and_terminate(
    fleet: _fleet.Fleet, member: _fleet.Member
) -> bool:
    """Ends a worker as planned; returns whether it could be drained."""
    try:
        async with fleet.session.post(f'{member.process.url}/drain') as answer:
            await answer.read()
    except aiohttp.ClientError as error:
        # Another fault ended the worker first, and restarts it.
        print(f'drain request to {member.name} failed: {error!r}')
        return False
    await asyncio.sleep(_MAX_FAULT_S)
    member.process.terminate()
    await member.process.wait()
    return True
