"""Guards I5 and I6: a keyed booking runs at most once, as reported."""

import asyncio
import functools
import socket

import attrs
import pytest
import pytest_asyncio

from briarknot import schema
from briarknot.tests import _support, conftest
from briarknot_standins import engine, fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')

_PLAN = attrs.evolve(
    conftest.SMALL_PLAN,
    domains=(attrs.evolve(conftest.SMALL_PLAN.domains[0], entries=3),),
    # Long, since journal writes would use up the answers that are to be lost.
    timing=schema.settings.Timing(document_poll_s=0.2, journal_flush_s=600),
    has_proxy=True,
    service_timeout_s=1,
    platform_timeout_s=0.5,
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def shared():
    """A fleet that all tests of the module use."""
    async with fleet.run_fleet(_PLAN) as running:
        yield running


@pytest_asyncio.fixture(loop_scope='module')
async def running(shared):
    """The fleet, without faults before and after each test."""
    yield shared
    await shared.fault_proxy.clear_faults()
    await shared.set_faults(
        shared.platform, down=False, slow_s=0, lose_answers=0
    )
    for name, process in tuple(shared.services.items()):
        if process.exit_status is not None:
            await shared.restart_endpoint(name)
        await shared.set_faults(
            shared.services[name],
            delay_s=0,
            crash_before_run=False,
            crash_after_run=False,
            silent_after_run=False,
            problem_outcome='',
        )


async def _set_service_faults(running, **faults):
    for process in running.services.values():
        await running.set_faults(process, **faults)


async def _check_answers(running, key, answers):
    """Compares the reported outcomes with the runs at the workers."""
    assert await _support.count_runs(running, 'by_idempotency_key', key) <= 1
    for answer in answers:
        if answer.outcome == 'not run':
            request_id = answer.request_id
            runs = await _support.count_runs(
                running, 'by_request_id', request_id
            )
            assert runs == 0, f'{request_id} was reported as "not run"'


async def _resend(running, key):
    """Resends through both other entry hosts at once."""
    return await asyncio.gather(
        *[
            _support.call(running, entry, key)
            for entry in running.entries[1:3] * 2
        ]
    )


async def _has_reached_worker(running, key):
    runs = await _support.count_runs(running, 'by_idempotency_key', key)
    loads = [
        (await running.read_json(process, '/load'))['running']
        for process in running.services.values()
    ]
    return runs or sum(loads)


async def _has_claim(running):
    rows = await running.client.scan_rows('claims')
    return any(row.value['phase'] == 'claimed' for row in rows)


@pytest.mark.parametrize('stage', ['before', 'during', 'after'])
async def test_entry_killed_around_the_send(running, stage):
    """The claim of a killed host must hold at any stage of its call."""
    key = f'killed-{stage}'
    spare = await running.start_entry('obb-a', 10 + len(running.entries))
    running.entries.remove(spare)
    await _support.wait_until(functools.partial(running.is_ready, spare))
    if stage == 'before':
        link = f'{spare.host}.platform'
        await running.fault_proxy.add_fault('hold', link, direction='backward')
        reached = functools.partial(_has_claim, running)
    else:
        await _set_service_faults(
            running, delay_s=0.4 * (stage == 'during'), silent_after_run=True
        )
        reached = functools.partial(_has_reached_worker, running, key)
    first = asyncio.create_task(_support.call(running, spare, key))
    await _support.wait_until(reached)
    spare.process.kill()
    broken = await first
    answers = await _resend(running, key)
    assert broken.status == 0
    assert {answer.cause for answer in answers} == {'key_in_progress'}
    await asyncio.sleep(0.5)
    await _check_answers(running, key, answers)
    runs = await _support.count_runs(running, 'by_idempotency_key', key)
    assert runs == (stage != 'before')


async def test_lost_answers_of_the_platform(running):
    """A claim whose write got no answer must be read back, not repeated."""
    await running.set_faults(running.platform, lose_answers=2)
    one = await _support.call(running, running.entries[0], 'lost')
    again = await _resend(running, 'lost')
    assert {answer.body for answer in again} == {one.body}
    await _check_answers(running, 'lost', [one, *again])


@pytest.mark.parametrize('fault', ['slow', 'no answer'])
async def test_claim_that_is_applied_late(running, fault):
    """A call reported as "not run" must not run, and must free its key."""
    key = f'late claim, {fault}'
    first = running.entries[0]
    if fault == 'slow':
        await running.set_faults(running.platform, slow_s=0.8)
    else:
        link = f'{first.host}.platform'
        await running.fault_proxy.add_fault('hold', link, direction='backward')
    refused = await _support.call(running, first, key)
    assert (refused.outcome, refused.cause) == (
        'not run',
        'platform_unavailable',
    )
    await _check_answers(running, key, [refused])
    await running.fault_proxy.clear_faults()
    await running.set_faults(running.platform, slow_s=0)

    async def resend():
        answers = await _resend(running, key)
        await _check_answers(running, key, answers)
        return [answer for answer in answers if answer.outcome == 'completed']

    await _support.wait_until(resend)
    await _check_answers(running, key, [refused])


async def test_platform_outage_refuses_only_keyed_calls(running):
    """Only keyed calls that may not be repeated depend on the platform."""
    entry = running.entries[0]
    await running.set_faults(running.platform, down=True)
    refused = await _support.call(running, entry, 'down')
    assert (refused.status, refused.outcome) == (503, 'not run')
    assert int(refused.headers['Retry-After']) > 0
    await _check_answers(running, 'down', [refused])
    others = [
        await _support.call(running, entry, ''),
        await _support.call(running, entry, 'k', path='/stock', method='GET'),
    ]
    assert [answer.status for answer in others] == [200, 200]
    answer = await running.complete('urgent', 'while down', 5, entry=entry)
    assert answer.text == engine.expected_text('while down', 5)


@pytest.mark.parametrize(
    'fault', ['delay_s', 'crash_before_run', 'crash_after_run', 'silence']
)
async def test_service_fails_after_the_send(running, fault):
    """A call that a worker may have run must never be sent again."""
    silent = fault == 'silence'
    value = 1.5 if fault == 'delay_s' else True
    await _set_service_faults(
        running, **({'delay_s': 0.3} if silent else {fault: value})
    )
    first = asyncio.create_task(
        _support.call(running, running.entries[0], fault)
    )
    if silent:
        await _support.wait_until(
            functools.partial(_has_reached_worker, running, fault)
        )
        for name in running.services:
            await running.fault_proxy.add_fault('silence', name)
    answer = await first
    assert (answer.status, answer.outcome) == (502, 'unknown')
    await _clear_crash_faults(running)
    again = await _resend(running, fault)
    assert {one.cause for one in again} == {'key_unknown'}
    await asyncio.sleep(1.0 if fault == 'delay_s' else 0)
    await _check_answers(running, fault, [answer, *again])
    if fault.startswith('crash'):
        survivors = await _support.count_runs(
            running, 'by_idempotency_key', fault
        )
        assert survivors == 0


async def _clear_crash_faults(running):
    for process in running.services.values():
        if process.exit_status is None:
            await running.set_faults(
                process, crash_before_run=False, crash_after_run=False
            )


async def test_outcome_member_of_a_service_is_ignored(running):
    """A member "outcome" in a service's answer must not cause a second run."""
    await _set_service_faults(running, problem_outcome='not run')
    answer = await _support.call(running, running.entries[0], 'own problem')
    again = await _resend(running, 'own problem')
    runs = await _support.count_runs(
        running, 'by_idempotency_key', 'own problem'
    )
    assert runs == 1
    assert {one.status for one in (answer, *again)} == {200}


async def test_no_byte_sent_is_not_run(running):
    """A worker that can't be connected to has not received the call."""
    document = running.document
    with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
        port = listener.getsockname()[1]
        # The kernel drops further connections while this queue is full.
        queued = [socket.socket() for _ in range(4)]
        for one in queued:
            one.setblocking(False)
            one.connect_ex(('127.0.0.1', port))
        ports = (port, running.cluster.choose_port())
        service = document.services[0]
        endpoints = tuple(
            attrs.evolve(worker, url=f'http://127.0.0.1:{number}')
            for worker, number in zip(service.endpoints, ports, strict=True)
        )
        changed = attrs.evolve(service, endpoints=endpoints, timeout_s=5)
        revision = await running.commit(
            attrs.evolve(document, services=(changed,))
        )
        await _support.wait_in_force(running, revision)
        answers = await asyncio.gather(
            *[
                _support.call(running, entry, 'unreachable')
                for entry in running.entries
            ]
        )
        for one in queued:
            one.close()
    await _support.wait_in_force(running, await running.commit(document))
    # While one call holds the claim, the others are reported as "unknown".
    causes = {answer.cause for answer in answers}
    assert 'endpoint_failed' in causes
    assert causes <= {'endpoint_failed', 'key_in_progress'}
    for answer in answers:
        assert (answer.outcome == 'not run') == (
            answer.cause == 'endpoint_failed'
        )
    booked = await _support.call(running, running.entries[0], 'unreachable')
    assert booked.status == 200
    await _check_answers(running, 'unreachable', [*answers, booked])
