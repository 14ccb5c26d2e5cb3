"""The demo: a fleet under load while an engine is withdrawn."""

import asyncio
import collections.abc

import attrs
import rich.console
import rich.table

from briarknot import journal, schema
from briarknot_standins import fleet
from briarknot_standins.demo import _work

_WITHDRAW_AFTER_S = 4.0
_BOOKING_KEY = 'booking-4711'
_MEDIAN = 0.5
_P95 = 0.95
_JOURNAL_WAIT_S = 15
_POLL_S = 0.25

_console = rich.console.Console(width=100)


async def run() -> int:
    """Runs the demo.

    :returns: exit code; 1 where a guarantee was violated.
    """
    plan = fleet.make_sprossenwerk_plan()
    _console.print(f'Starting the fleet {plan.name} on the loopback interface.')
    async with fleet.run_fleet(plan) as running:
        _console.print(
            f'{len(running.engines)} engines, {len(running.services)} workers, '
            f'{len(running.entries)} entry hosts, '
            f'{len(running.controls)} controllers are running.'
        )
        results, withdrawn, bookings = await asyncio.gather(
            _work.send_work(running), _withdraw(running), _book(running)
        )
        _console.print(_make_rank_table(results))
        _console.print(await _make_engine_table(running))
        service_runs = await _count_service_runs(running)
        _console.print(
            f'The booking was sent {len(bookings)} times with one key and ran '
            f'{service_runs} time(s); all answers equal: '
            f'{len(set(bookings)) == 1}.'
        )
        await _explain(running, results)
    return _report_outcome(results, withdrawn, service_runs)


async def _withdraw(running: fleet.RunningFleet) -> str:
    """Withdraws an engine that runs requests, as an operator would."""
    await asyncio.sleep(_WITHDRAW_AFTER_S)
    name = next(iter(running.engines))
    engines = tuple(
        attrs.evolve(engine, leaving=engine.leaving or engine.name == name)
        for engine in running.document.engines
    )
    revision = await running.commit(
        attrs.evolve(running.document, engines=engines)
    )
    _console.print(f'Revision {revision}: engine {name} is leaving.')
    return name


async def _book(running: fleet.RunningFleet) -> list[bytes]:
    """Sends the same booking through three entry hosts."""
    answers = []
    for entry in running.entries[:3]:
        _, _, body = await running.call_service(
            '/bookings', key=_BOOKING_KEY, body=b'{"site": 7}', entry=entry
        )
        answers.append(body)
    return answers


async def _count_service_runs(running: fleet.RunningFleet) -> int:
    runs = [
        await running.read_json(worker, '/runs')
        for worker in running.services.values()
    ]
    return sum(listed['total'] for listed in runs)


def _make_rank_table(results: list[_work.Result]) -> rich.table.Table:
    table = rich.table.Table(title='Service by rank')
    for heading in ('work', 'rank', 'sent', 'complete', 'first token', 'total'):
        table.add_column(heading)
    for kind in _work.KINDS:
        sent = [result for result in results if result.kind is kind]
        correct = [result for result in sent if result.is_correct]
        table.add_row(
            kind.name,
            kind.rank,
            str(len(sent)),
            str(len(correct)),
            _format_times([one.answer.first_token_s for one in correct]),
            _format_times([one.answer.total_s for one in correct]),
        )
    table.caption = 'times: median / 95th percentile'
    return table


def _format_times(times: list[float]) -> str:
    if not times:
        return '-'
    median = _work.compute_quantile(times, _MEDIAN)
    p95 = _work.compute_quantile(times, _P95)
    return f'{median:.2f} s / {p95:.2f} s'


async def _make_engine_table(
    running: fleet.RunningFleet,
) -> rich.table.Table:
    table = rich.table.Table(title='Runs by engine')
    for heading in ('engine', 'requests', 'tokens', 'phase'):
        table.add_column(heading)
    for name, process in running.engines.items():
        runs = await running.read_json(process, '/runs')
        state = schema.from_plain(
            schema.endpoints.EngineState,
            await running.read_json(process, '/orders'),
        )
        run_list = _get_runs(runs)
        table.add_row(
            name,
            str(len(run_list)),
            str(sum(run['tokens'] for run in run_list)),
            state.phase.value,
        )
    return table


def _get_runs(tree: dict) -> collections.abc.Collection[dict]:
    return tree['runs'].values()


async def _explain(
    running: fleet.RunningFleet, results: list[_work.Result]
) -> None:
    """Prints the journal's explanation of the slowest request."""
    slowest = max(results, key=lambda result: result.answer.total_s)
    request_id = slowest.answer.request_id
    _console.print(f'Why did {request_id} take so long?')
    try:
        async with asyncio.timeout(_JOURNAL_WAIT_S):
            record = await _wait_for_record(running, request_id)
    except TimeoutError:
        _console.print('The journal does not have its record yet.')
        return
    _console.print(journal.explain(record))


async def _wait_for_record(
    running: fleet.RunningFleet, request_id: str
) -> schema.records.RequestRecord:
    record = None
    while not isinstance(record, schema.records.RequestRecord):
        await asyncio.sleep(_POLL_S)
        record = await journal.read_record(running.client, request_id)
    return record


def _report_outcome(
    results: list[_work.Result], withdrawn: str, service_runs: int
) -> int:
    wrong = [result for result in results if not result.is_correct]
    for result in wrong:
        _console.print(f'incomplete or wrong answer: {result.answer}')
    _console.print(
        f'{len(results) - len(wrong)} of {len(results)} requests got a '
        f'complete answer while {withdrawn} was withdrawn.'
    )
    return 1 if wrong or service_runs != 1 else 0
