"""Guards against a second run of a call, whatever fails around its claim."""

import asyncio
import operator

import attrs
import hypothesis
import pytest
from hypothesis import stateful, strategies

from briarknot import claims, platform

_KEYS = strategies.sampled_from(('k1', 'k2'))
_FAULTS = strategies.sampled_from(('lost', 'late', 'refused', 'blind', 'dark'))
_SETTINGS = claims.ClaimSettings(unknown_after_s=0, retry_first_s=0)
_STEPS = 60
_UNKNOWN = platform.Unavailable('fault')


@attrs.define(eq=False)
class FakeTable:
    """Table in memory whose faults are set one call ahead.

    :param faults: faults of the next commits, in order.
    :param is_down: whether all calls fail.
    """

    faults: list[str] = attrs.field(factory=list)
    is_down: bool = False
    rows: dict[str, platform.Row] = attrs.field(factory=dict)
    late: list[tuple[platform.Operation, ...]] = attrs.field(factory=list)
    sizes: list[int] = attrs.field(factory=list)
    is_blind: bool = False
    older: dict[str, platform.Row] = attrs.field(factory=dict)
    is_stale: bool = False

    async def read_row(self, table, key):
        """Reads a row; fails once after ``blind`` or ``dark``."""
        await asyncio.sleep(0)
        if self.is_down or self.is_blind:
            self.is_blind = False
            return _UNKNOWN
        rows = self.older if self.is_stale else self.rows
        return rows.get(key, platform.Missing())

    async def commit(self, *operations):
        """Applies all operations or none, as the next fault says."""
        await asyncio.sleep(0)
        self.sizes.append(len(operations))
        fault = self.faults.pop(0) if self.faults else ''
        if self.is_down or fault == 'refused':
            return platform.Unavailable('down', may_have_applied=False)
        self.is_blind = fault in {'blind', 'dark'}
        if fault in {'late', 'dark'}:
            self.late.append(operations)
            return _UNKNOWN
        result = self.apply(operations)
        return _UNKNOWN if fault else result

    def apply(self, operations):
        """Applies a transaction."""
        conflicts = tuple(
            index
            for index, operation in enumerate(operations)
            if self._read_version(operation.key) != operation.expected_version
        )
        if conflicts:
            return platform.Conflict(conflicts)
        for operation in operations:
            version = (operation.expected_version or 0) + 1
            if version > 1:
                self.older[operation.key] = self.rows[operation.key]
            self.rows[operation.key] = platform.Row(
                operation.key, operation.value, version
            )
        return platform.Committed()

    def _read_version(self, key):
        return self.rows[key].version if key in self.rows else None


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Callers resend; writes, answers, the platform, and holders fail."""

    def __init__(self):
        """Starts with two entry processes and an empty table."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.processes = [self.make_claims(), self.make_claims()]
        self.held = []
        self.runs = {}
        self.not_run = set()
        self.crashed = set()
        self.requests = 0

    def make_claims(self):
        """Makes the claims of one process."""
        return claims.make_claims(self.table, 0, _SETTINGS)

    def wait(self, *coroutines):
        """Runs coroutines together, then the background for some steps."""
        results = self.loop.run_until_complete(self.gather(coroutines))
        return [result for result in results if result is not None]

    async def gather(self, coroutines):
        """Gathers and gives background tasks a bounded number of steps."""
        results = await asyncio.gather(*coroutines)
        for _ in range(_STEPS):
            await asyncio.sleep(0)
        return results

    @stateful.rule(keys=strategies.lists(_KEYS, min_size=1, max_size=4))
    def send(self, keys):
        """Callers send together, to both processes in turn."""
        first = self.requests
        self.requests += len(keys)
        results = self.wait(
            *(
                self.processes[number % 2].acquire(
                    'ana', key, f'r{number}', 'hash'
                )
                for number, key in enumerate(keys, first)
            )
        )
        for number, result in enumerate(results, first):
            key = keys[number - first]
            if result:
                self.held.append((number % 2, key, f'r{number}', result))
            elif isinstance(result, claims.ClaimUnavailable):
                self.not_run.add(f'r{number}')

    @stateful.precondition(operator.attrgetter('held'))
    @stateful.rule(how=strategies.sampled_from(('finish', 'unknown', 'both')))
    def run(self, how):
        """A holder sends its call, and reports what it knows."""
        process, key, request, held = self.held.pop(0)
        self.runs.setdefault(key, []).append(request)
        owner = self.processes[process]
        if how != 'finish':
            self.wait(owner.mark_unknown(held, 'silent'))
        if how != 'unknown':
            self.wait(owner.finish(held, 201, 'text/plain', b'booked'))

    @stateful.precondition(operator.attrgetter('held'))
    @stateful.rule()
    def release(self):
        """A holder tells its caller "not run" before it sends anything."""
        process, _key, request, held = self.held.pop(0)
        self.not_run.add(request)
        self.wait(self.processes[process].release(held))

    @stateful.rule(
        process=strategies.integers(0, 1), sent=strategies.booleans()
    )
    def crash(self, process, sent):
        """A process dies, before or after its calls were sent."""
        self.wait(self.processes[process].close())
        for holder, key, request, _held in self.held:
            if holder == process and sent:
                self.runs.setdefault(key, []).append(request)
        self.held = [claim for claim in self.held if claim[0] != process]
        self.processes[process] = self.make_claims()
        self.crashed.add(process)

    @stateful.rule(fault=_FAULTS)
    def add_fault(self, fault):
        """The next commit is lost before or after it took effect."""
        self.table.faults.append(fault)

    @stateful.rule(is_down=strategies.booleans())
    def set_outage(self, is_down):
        """The platform goes down or comes back."""
        self.table.is_down = is_down
        self.wait()

    @stateful.rule(is_stale=strategies.booleans())
    def set_stale(self, is_stale):
        """Reads show each row before its last write, or the row itself."""
        self.table.is_stale = is_stale

    @stateful.rule()
    def deliver_late(self):
        """Transactions that were held up on their way arrive."""
        for operations in self.table.late:
            self.table.apply(operations)
        self.table.late.clear()

    @stateful.invariant()
    def runs_at_most_once(self):
        """Checks the two promises made to callers."""
        for key, requests in self.runs.items():
            assert len(requests) == 1, f'{key} ran for {requests}'
            assert not self.not_run.intersection(requests)

    def teardown(self):
        """A key that nobody ran or holds must be usable in the end."""
        self.table.faults.clear()
        self.table.is_stale = False
        self.set_outage(False)
        self.deliver_late()
        held = {key for _, key, _, _ in self.held}
        for key in ('k1', 'k2'):
            if not (self.crashed or key in held or key in self.runs):
                self.send([key])
                assert self.held and self.held[-1][1] == key
        self.wait(*(process.close() for process in self.processes))
        self.loop.close()


TestClaims = ClaimMachine.TestCase
TestClaims.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30
)


async def test_conflict_does_not_fail_its_group():
    """One repeated key must not refuse the calls written with it."""
    table = FakeTable()
    service = claims.make_claims(table, 0)
    await service.acquire('ana', 'k0', 'r0', 'hash')
    results = await asyncio.gather(
        *(
            service.acquire('ana', f'k{number}', f'q{number}', 'hash')
            for number in range(5)
        )
    )
    assert [bool(result) for result in results] == [
        False,
        True,
        True,
        True,
        True,
    ]
    assert results[0] == claims.InProgress('r0')
    assert table.sizes == [1, 5, 4]
    await service.close()


async def test_resend_gets_the_stored_answer_or_a_refusal():
    """A resend must see the first answer, another body a refusal."""
    now = [1.5]
    service = claims.make_claims(FakeTable(), 0, clock=lambda: now[0])
    held = await service.acquire('ana', 'k', 'r0', 'hash')
    other = await service.acquire('ana', 'k', 'r1', 'another')
    assert other == claims.Reused('r0')
    now[0] += claims.ClaimSettings().unknown_after_s + 1
    late = await service.acquire('ana', 'k', 'r2', 'hash')
    assert late == claims.UnknownRun('r0')
    assert await service.finish(held, 201, 'text/plain', b'booked')
    stored = await service.acquire('ana', 'k', 'r3', 'hash')
    assert isinstance(stored, claims.Stored)
    assert claims.decode_answer(stored.row) == b'booked'
    await service.close()


@pytest.mark.parametrize('fault', ['blind', 'dark'])
@pytest.mark.parametrize('is_released', [False, True])
async def test_key_of_a_lost_claim_is_free_again(fault, is_released):
    """A lost or late write must not block a key that did not run."""
    table = FakeTable()
    service = claims.make_claims(table, 0, _SETTINGS)
    if is_released:
        await service.release(await service.acquire('ana', 'k', 'r0', 'hash'))
        table.faults.append('')
    table.faults.append(fault)
    lost = await service.acquire('ana', 'k', 'r1', 'hash')
    assert isinstance(lost, claims.ClaimUnavailable)
    await service.close(grace_s=10)
    for operations in table.late:
        assert not table.apply(operations)
    again = claims.make_claims(table, 0, _SETTINGS)
    assert await again.acquire('ana', 'k', 'r2', 'hash')
    await again.close()


async def test_stale_read_does_not_lose_the_answer():
    """A read from before the claim must not pass for another's claim."""
    table = FakeTable()
    service = claims.make_claims(table, 0, _SETTINGS)
    await service.release(await service.acquire('ana', 'k', 'r0', 'hash'))
    held = await service.acquire('ana', 'k', 'r1', 'hash')
    table.is_stale = True
    stored = await service.finish(held, 201, 'text/plain', b'booked')
    assert isinstance(stored, claims.Deferred)
    table.is_stale = False
    await service.close(grace_s=10)
    again = claims.make_claims(table, 0, _SETTINGS)
    result = await again.acquire('ana', 'k', 'r2', 'hash')
    assert isinstance(result, claims.Stored)
    await again.close()


async def test_cancelled_caller_leaves_the_key_free():
    """A caller that hangs up early must not block its own resend."""
    service = claims.make_claims(FakeTable(), 0)
    first = asyncio.create_task(service.acquire('ana', 'k', 'r0', 'hash'))
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    await service.close(grace_s=10)
    again = claims.make_claims(service._client, 0)
    assert await again.acquire('ana', 'k', 'r1', 'hash')
    await again.close()
