"""Guards against orders that are repeated, late, or interrupt requests.

All processes are real; SIGSTOP, SIGKILL, the proxy, and the platform's faults
disturb the holder of the lease.
"""

import asyncio
import signal

import attrs
import pytest

from briarknot import schema
from briarknot_standins import fleet

_DOMAIN = 'obb-a'
_ENGINE = 'obb-a-engine-0'
_ROLE_CHANGE_S = 2
#: Generous, since only the order of events is checked.
_TIMEOUT_S = 60
_POLL_S = 0.1
#: Decoding 400 tokens at 40 tokens/s takes 10 s.
_LONG_TOKENS = 400
_Phase = schema.records.OrderPhase
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(fleet.DomainPlan(name=_DOMAIN, region='obb', entries=2),),
    policies=schema.fleet.Policies(planner='static', planner_interval_s=0.2),
)


@attrs.define
class Rig:
    """One engine, two entry processes, and the controllers of a domain."""

    running: fleet.RunningFleet
    streams: list = attrs.field(factory=list)

    async def change_engine(self, **changes):
        """Changes the engine in the document."""
        document = self.running.document
        engine = attrs.evolve(document.engines[0], **changes)
        await self.running.commit(attrs.evolve(document, engines=(engine,)))

    async def change_role(self, role):
        """Changes the role of the engine in the document."""
        await self.change_engine(role=role)

    async def add_proxy(self):
        """Puts a proxy between the engine and all others."""
        engine = self.running.engines[_ENGINE]
        cluster = self.running.cluster
        port = cluster.choose_port()
        proxy = await cluster.start(
            'briarknot_standins.proxy',
            ['--link', f'engine={port}:127.0.0.1:{engine.port}'],
        )
        await self.change_engine(url=f'http://127.0.0.1:{port}')
        return proxy

    async def restart_engine(self):
        """Starts the engine again on its port, with empty state."""
        old = self.running.engines[_ENGINE]
        model = self.running.plan.model
        self.running.engines[_ENGINE] = await self.running.cluster.start(
            'briarknot_standins.engine',
            [
                *('--port', str(old.port), '--name', _ENGINE),
                *('--model', f'{model.name}@{model.version}'),
                *('--role-change-s', str(_ROLE_CHANGE_S)),
            ],
            port=old.port,
        )

    async def start_controllers(self):
        """Starts two controllers; the first holds the lease."""
        await self.running.start_control(_DOMAIN, 0)
        await self.wait(self.is_held_by, f'{_DOMAIN}-host-0')
        await self.running.start_control(_DOMAIN, 1)
        return tuple(self.running.controls.values())

    async def start_stream(self):
        """Starts a stream that delays a drain by several seconds."""
        stream = self.running.complete('urgent', 'a prompt', _LONG_TOKENS)
        self.streams.append(asyncio.create_task(stream))
        await self.wait(self.has_running_request)

    async def read_lease(self):
        """Reads the lease."""
        row = await self.running.client.read_row('leases', _DOMAIN)
        tree = row.value if row else {}
        return schema.from_plain(schema.records.LeaseRow, tree)

    async def read_order_row(self):
        """Reads the engine's order row."""
        key = f'{_DOMAIN}.{_ENGINE}'
        row = await self.running.client.read_row('orders', key)
        tree = row.value if row else {'phase': _Phase.VOID.value}
        return schema.from_plain(schema.records.OrderRow, tree)

    async def read_engine(self):
        """Reads the state and the orders of the engine, with its audit log."""
        engine = self.running.engines[_ENGINE]
        return await self.running.read_json(engine, '/orders')

    async def is_held_by(self, host):
        """Tells whether a host holds the lease."""
        return (await self.read_lease()).holder.startswith(f'{host}-')

    async def has_running_request(self):
        """Tells whether the engine runs a request."""
        engine = self.running.engines[_ENGINE]
        return (await self.running.read_json(engine, '/load'))['running']

    async def is_order_phase(self, *phases):
        """Tells whether the order row is in one of the phases."""
        return (await self.read_order_row()).phase in phases

    async def has_state(self, phase, model):
        """Tells whether the engine has a phase and a model."""
        state = await self.read_engine()
        return (state['phase'], state['model']) == (phase, model)

    async def has_role(self, role):
        """Tells whether the engine has a role, and the order row is done."""
        state = await self.read_engine()
        is_done = await self.is_order_phase(_Phase.DONE)
        return state['role'] == role and state['phase'] == 'idle' and is_done

    async def has_received(self, epoch):
        """Tells whether an order of an epoch has reached the engine."""
        audit = (await self.read_engine())['audit']
        return epoch in {entry['order']['epoch'] for entry in audit}

    async def has_accepted(self, count):
        """Tells whether the engine has accepted so many orders."""
        return len((await self.read_engine())['log']) >= count

    async def has_unanswered_order(self, control):
        """Tells whether an order of a controller ended without an answer."""
        return 'order: noanswer' in control.read_output()

    async def has_lost_answers(self, count):
        """Tells whether the platform has lost so many answers."""
        stats = await self.running.read_json(self.running.platform, '/stats')
        return stats['answers_lost'] >= count

    async def is_changing(self):
        """Tells whether the engine is carrying out an order."""
        return (await self.read_engine())['phase'] == 'changing'

    async def wait(self, condition, *arguments):
        """Waits until a condition holds."""
        async with asyncio.timeout(_TIMEOUT_S):
            is_met = False
            while not is_met:
                await asyncio.sleep(_POLL_S)
                is_met = await condition(*arguments)

    async def check_orders(self, count=None):
        """Checks the audit log of the engine against the invariants."""
        audit = (await self.read_engine())['audit']
        accepted = [one for one in audit if one['answer'] == 'accepted']
        numbers = [
            (one['order']['epoch'], one['order']['sequence'])
            for one in accepted
        ]
        assert numbers == sorted(set(numbers))
        ended_s = float('-inf')
        for one in accepted:
            assert one['decided_at_s'] > ended_s
            assert not one['cut'] + one['refused']
            # A change of model takes longer, a withdrawal no time.
            is_withdrawal = one['order']['kind'] == 'withdraw'
            change_s = 0 if is_withdrawal else _ROLE_CHANGE_S
            ended_s = one['decided_at_s'] + change_s
        if count is not None:
            assert len(accepted) == count
        for answer in await asyncio.gather(*self.streams):
            assert answer.status == 200
        return numbers


@pytest.fixture
async def make_rig():
    """Yields a factory of rigs whose processes end with the test."""
    contexts = []

    async def make(*, checks_fencing=True):
        arguments = ['--role-change-s', str(_ROLE_CHANGE_S)]
        if not checks_fencing:
            arguments.append('--no-check-fencing')
        plan = attrs.evolve(
            _PLAN,
            checks_fencing=checks_fencing,
            engine_arguments=tuple(arguments),
        )
        contexts.append(fleet.run_fleet(plan))
        return Rig(await contexts[-1].__aenter__())

    yield make
    for context in contexts:
        await context.__aexit__(None, None, None)


async def test_change_waits_for_running_streams(make_rig):
    """A planned change must not interrupt a request."""
    rig = await make_rig()
    await rig.start_controllers()
    await rig.start_stream()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.has_role, 'decode')
    assert await rig.check_orders(count=1) == [(1, 1)]


@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_holder_paused_past_its_lease_ends(make_rig, checks_fencing):
    """A holder that resumes after its successor started must send nothing."""
    rig = await make_rig(checks_fencing=checks_fencing)
    first, second = await rig.start_controllers()
    await rig.start_stream()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.is_order_phase, _Phase.DRAINING)
    first.pause()
    await rig.wait(rig.has_role, 'decode')
    first.resume()
    async with asyncio.timeout(_TIMEOUT_S):
        assert await first.wait() == -signal.SIGALRM
    assert second.exit_status is None
    assert await rig.check_orders(count=1) == [(2, 2)]


@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_holder_killed_in_a_role_change(make_rig, checks_fencing):
    """A successor must complete the open order, and not send it again."""
    rig = await make_rig(checks_fencing=checks_fencing)
    first, _ = await rig.start_controllers()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.is_changing)
    first.kill()
    await rig.wait(rig.has_role, 'decode')
    await rig.change_role(schema.fleet.Role.MIXED)
    await rig.wait(rig.has_role, 'mixed')
    assert await rig.check_orders(count=2) == [(1, 1), (2, 2)]


async def test_delayed_order_is_refused_after_a_later_one(make_rig):
    """An order that arrives late must not undo the order of a successor."""
    rig = await make_rig()
    proxy = await rig.add_proxy()
    first, _ = await rig.start_controllers()
    hold = {
        'kind': 'hold',
        'link': 'engine',
        'direction': 'forward',
        'marker': '"epoch": 1,',
    }
    await rig.running.set_faults(proxy, **hold)
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.has_unanswered_order, first)
    first.kill()
    # Otherwise the successor would have no reason to send an order.
    await rig.change_role(schema.fleet.Role.MIXED)
    await rig.wait(rig.is_order_phase, _Phase.DONE, _Phase.VOID)
    await rig.running.session.delete(f'{proxy.url}/faults')
    await rig.wait(rig.has_received, 1)
    await rig.wait(rig.has_role, 'mixed')
    assert {epoch for epoch, _ in await rig.check_orders()} == {2}


async def test_successor_waits_for_a_delayed_order(make_rig):
    """An engine without fencing must not get a second order after a late one.

    The order arrives after the lease has expired, and before the successor
    reads the engine's state.
    """
    rig = await make_rig(checks_fencing=False)
    proxy = await rig.add_proxy()
    first, _ = await rig.start_controllers()
    hold = {
        'kind': 'hold',
        'link': 'engine',
        'direction': 'forward',
        'marker': '"epoch": 1,',
        'seconds': _PLAN.lease_s + 1,
    }
    await rig.running.set_faults(proxy, **hold)
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.has_unanswered_order, first)
    first.kill()
    await rig.wait(rig.has_role, 'decode')
    assert await rig.check_orders(count=1) == [(1, 1)]


async def test_outage_longer_than_the_lease(make_rig):
    """Without the platform there must be no lease holder and no order."""
    rig = await make_rig()
    controls = await rig.start_controllers()
    await rig.start_stream()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.is_order_phase, _Phase.DRAINING)
    platform = rig.running.platform
    await rig.running.set_faults(platform, down=True)
    await asyncio.gather(*rig.streams)
    await asyncio.sleep(_PLAN.lease_s)
    await rig.check_orders(count=0)
    for control in controls:
        assert control.exit_status is None
        metrics = await rig.running.session.get(f'{control.url}/metrics')
        assert 'briarknot_lease_epoch 0.0' in await metrics.text()
    await rig.running.set_faults(platform, down=False)
    await rig.wait(rig.has_role, 'decode')
    numbers = await rig.check_orders(count=1)
    assert numbers[0][0] >= 2


async def test_lost_answers_of_lease_writes(make_rig):
    """A lease write whose answer is lost must take effect exactly once."""
    rig = await make_rig()
    platform = rig.running.platform
    await rig.running.set_faults(platform, lose_answers=2)
    await rig.start_controllers()
    # Setting the faults again discards the losses that are still due.
    await rig.wait(rig.has_lost_answers, 2)
    await rig.running.set_faults(platform, lose_answers=3)
    await rig.wait(rig.has_lost_answers, 5)
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.has_role, 'decode')
    assert await rig.check_orders(count=1) == [(1, 1)]
    assert (await rig.read_lease()).epoch == 1


async def test_stopped_holder_releases_lease_and_drain_mark(make_rig):
    """A planned stop must leave no held lease and no drain mark behind."""
    rig = await make_rig()
    first, _ = await rig.start_controllers()
    await rig.start_stream()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.is_order_phase, _Phase.DRAINING)
    first.terminate()
    assert await first.wait() == 0
    assert not await rig.is_order_phase(_Phase.DRAINING)
    assert not await rig.is_held_by(f'{_DOMAIN}-host-0')
    await rig.wait(rig.has_role, 'decode')
    assert await rig.check_orders(count=1) == [(2, 2)]


async def test_document_changes_reach_the_engine(make_rig):
    """A new version or a withdrawal in the document must reach the engine."""
    rig = await make_rig()
    await rig.start_controllers()
    model = attrs.evolve(rig.running.document.models[0], version='2')
    await rig.running.commit(
        attrs.evolve(rig.running.document, models=(model,))
    )
    await rig.wait(rig.has_state, 'idle', f'{model.name}@2')
    await rig.change_engine(leaving=True)
    await rig.wait(rig.has_state, 'withdrawn', f'{model.name}@2')
    await rig.change_engine(leaving=False)
    await rig.wait(rig.has_role, 'mixed')
    assert len(await rig.check_orders()) == 3


async def test_unordered_state_is_repaired(make_rig):
    """An order that no controller sent must raise an alarm and be undone."""
    rig = await make_rig()
    first, _ = await rig.start_controllers()
    await rig.change_role(schema.fleet.Role.DECODE)
    await rig.wait(rig.has_role, 'decode')
    foreign = {'epoch': 1, 'sequence': 9, 'kind': 'role', 'value': 'prefill'}
    engine = rig.running.engines[_ENGINE]
    await rig.running.session.post(f'{engine.url}/orders', json=foreign)
    await rig.wait(rig.has_accepted, 3)
    await rig.wait(rig.has_role, 'decode')
    assert (await rig.check_orders())[1:] == [(1, 9), (1, 10)]
    metrics = await rig.running.session.get(f'{first.url}/metrics')
    alarm = f'unordered_states_total{{engine="{_ENGINE}"}} 1.0'
    assert alarm in await metrics.text()


async def test_engine_that_crashes_in_a_change_is_repaired(make_rig):
    """An engine that restarts in its old role must get the order again."""
    rig = await make_rig()
    await rig.start_controllers()
    engine = rig.running.engines[_ENGINE]
    await rig.running.set_faults(engine, crash_in_change=True)
    await rig.change_role(schema.fleet.Role.DECODE)
    await engine.wait()
    assert await rig.is_order_phase(_Phase.OPEN)
    await rig.restart_engine()
    await rig.wait(rig.has_role, 'decode')
    assert await rig.check_orders(count=1) == [(1, 2)]
