"""Guards against two processes that hold authority at the same time."""

import asyncio
import multiprocessing
import os
import signal
import time

import aiohttp
import attrs
import pytest

from briarknot import authority, platform, schema
from briarknot_standins import engine as engine_standin
from briarknot_standins import platform as platform_standin
from briarknot_standins import serving

_SETTINGS = schema.settings.ControlSettings(
    lease_s=0.6, renew_s=0.1, margin_s=0.2, order_timeout_s=0.3
)
_LIMIT_S = 20


@attrs.define
class FakeTimer:
    """Records the deadline and never ends the process."""

    deadline_s: float = 0

    def arm(self, deadline_s):
        """Records the deadline."""
        self.deadline_s = deadline_s

    def disarm(self):
        """Removes the deadline."""
        self.deadline_s = 0


@attrs.define
class Rig:
    """A platform in this process, and its client."""

    client: platform.Client
    session: aiohttp.ClientSession
    url: str

    def make_lease(self, holder):
        """Makes a lease with a fake timer."""
        return authority.make_lease(
            self.client, 'obb-a', holder, _SETTINGS, FakeTimer()
        )

    async def set_faults(self, **faults):
        """Sets faults of the platform."""
        async with self.session.post(f'{self.url}/faults', json=faults):
            """The body of the answer is not needed."""


@pytest.fixture
async def rig():
    """Serves a platform for one test."""
    app = platform_standin.make_app(platform_standin.PlatformConfig())
    async with serving.serve(app) as url, aiohttp.ClientSession() as session:
        yield Rig(platform.make_client(session, url, 0.2), session, url)


async def test_successor_waits_for_the_whole_lease(rig):
    """A successor that starts early would act beside a live holder."""
    first, second = rig.make_lease('a'), rig.make_lease('b')
    await first.acquire()
    renewing = asyncio.create_task(first.renew_until_lost())
    waiting = asyncio.create_task(second.acquire())
    await asyncio.sleep(2 * _SETTINGS.lease_s)
    assert not waiting.done()
    renewing.cancel()
    deadline_s = first._timer.deadline_s
    await asyncio.wait_for(waiting, _LIMIT_S)
    assert time.monotonic() >= deadline_s + _SETTINGS.margin_s
    assert second.epoch == first.epoch + 1
    assert second.quiet_remaining_s > _SETTINGS.order_timeout_s


@pytest.mark.parametrize('lost', [1, 3])
async def test_lost_answers_do_not_cost_the_lease(rig, lost):
    """A write that took effect must count even if its answer is lost."""
    lease = rig.make_lease('a')
    await rig.set_faults(lose_answers=lost)
    await asyncio.wait_for(lease.acquire(), _LIMIT_S)
    row = await rig.client.read_row('leases', 'obb-a')
    assert row.value['epoch'] == lease.epoch
    await rig.set_faults(lose_answers=lost)
    renewing = asyncio.create_task(lease.renew_until_lost())
    await asyncio.sleep(2 * _SETTINGS.lease_s)
    assert not renewing.done()
    renewing.cancel()


async def test_time_counts_from_the_write_that_took_effect(rig):
    """A retry must not extend the lease if the first write took effect."""
    lease = rig.make_lease('a')
    await lease.acquire()
    deadline_s = lease._timer.deadline_s
    await rig.set_faults(lose_answers=1)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(platform.Client, 'read_row', _read_unavailable)
        assert await lease._write(lease._row) is False
    assert lease._timer.deadline_s == deadline_s
    first_s = time.monotonic()
    await asyncio.sleep(_SETTINGS.renew_s)
    await lease._write(lease._row)
    assert deadline_s < lease._timer.deadline_s
    assert lease._timer.deadline_s <= (
        first_s + _SETTINGS.lease_s - _SETTINGS.margin_s
    )


async def _read_unavailable(client, table, key):
    return platform.Unavailable('fault')


async def test_holder_steps_down_before_its_deadline(rig):
    """A holder that can't renew must stop before a successor may start."""
    lease = rig.make_lease('a')
    await lease.acquire()
    await rig.set_faults(down=True)
    reason = await asyncio.wait_for(lease.renew_until_lost(), _LIMIT_S)
    assert 'no renewal' in reason
    assert lease.remaining_s > 0
    epoch = lease.epoch
    lease.step_down()
    assert lease.remaining_s < 0
    assert not lease._timer.deadline_s
    await rig.set_faults(down=False)
    await lease.acquire()
    assert lease.epoch == epoch + 1


async def test_released_lease_is_free_at_once(rig):
    """After a planned stop, a successor must not wait for the expiry."""
    first, second = rig.make_lease('a'), rig.make_lease('b')
    await first.acquire()
    await first.release()
    before_s = time.monotonic()
    await second.acquire()
    assert time.monotonic() - before_s < _SETTINGS.lease_s


def _stop_and_act(pipe):
    """Arms the timer, is paused past the deadline, and then acts."""
    authority.ProcessTimer().arm(time.monotonic() + 0.3)
    pipe.send(os.getpid())
    signal.raise_signal(signal.SIGSTOP)
    pipe.send('acted')


def test_paused_process_dies_before_it_acts():
    """A holder that resumes after its lease must not send an order."""
    context = multiprocessing.get_context('spawn')
    parent, child = context.Pipe()
    process = context.Process(target=_stop_and_act, args=(child,))
    process.start()
    child.close()
    pid = parent.recv()
    os.waitid(os.P_PID, pid, os.WSTOPPED)
    # Longer than the 0.3 s of the timer, which expires during the pause.
    time.sleep(0.5)
    os.kill(pid, signal.SIGCONT)
    with pytest.raises(EOFError):
        parent.recv()
    process.join(_LIMIT_S)
    assert process.exitcode == -signal.SIGALRM


@pytest.mark.parametrize('lost', [0, 1, 2])
async def test_order_row_changes_by_compare_and_set(rig, lost):
    """A lost answer must neither apply a write twice nor hide it."""
    orders = authority.make_orders(rig.client, 'obb-a')
    first = await orders.read('e1')
    row = schema.records.OrderRow(phase=schema.records.OrderPhase.DRAINING)
    await rig.set_faults(lose_answers=lost)
    written = await orders.write('e1', row, first)
    assert (written.row, written.version) == (row, 1)
    other = attrs.evolve(row, reason='other')
    assert not await orders.write('e1', other, first)
    assert await orders.scan() == {'e1': written}


@pytest.mark.parametrize('name', authority.TRANSPORTS.names)
async def test_transport_sends_only_with_authority(rig, name):
    """An order must not be sent after the authority has ended."""
    app = engine_standin.make_app(engine_standin.EngineConfig(role_change_s=0))
    transport = authority.TRANSPORTS.get(name)(_LIMIT_S)
    order = schema.endpoints.Order(epoch=1, sequence=1, value='decode')
    async with serving.serve(app) as url:
        assert not await transport.send_order(url, order, bool)
        state = await authority.fetch_engine_state(rig.session, url, _LIMIT_S)
        assert not state.log
        assert await transport.send_order(url, order, asyncio.Event)
        state = await authority.fetch_engine_state(rig.session, url, _LIMIT_S)
        assert state.log == (order,)
