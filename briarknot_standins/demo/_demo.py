"""The demo: a fleet under work while an engine is withdrawn."""

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
_HALF = 0.5
_MOST = 0.95
_JOURNAL_WAIT_S = 15
_POLL_S = 0.25

_console = rich.console.Console(width=100)


async def run() -> int:
    """Runs the demo.

    :returns: exit code; 1 where a promise was not kept.
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
    return _judge(results, withdrawn, service_runs)


async def _withdraw(running: fleet.RunningFleet) -> str:
    """Withdraws an engine while it works, as an operator would."""
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
    """Sends one booking three times, each through another entry host."""
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
    for heading in ('work', 'rank', 'sent', 'whole', 'first token', 'total'):
        table.add_column(heading)
    for kind in _work.KINDS:
        own = [result for result in results if result.kind is kind]
        whole = [result for result in own if result.is_right]
        table.add_row(
            kind.name,
            kind.rank,
            str(len(own)),
            str(len(whole)),
            _format_times([one.answer.first_token_s for one in whole]),
            _format_times([one.answer.total_s for one in whole]),
        )
    table.caption = 'times: half of the requests / 95 in 100'
    return table


def _format_times(times: list[float]) -> str:
    if not times:
        return '-'
    half = _work.read_share(times, _HALF)
    most = _work.read_share(times, _MOST)
    return f'{half:.2f} s / {most:.2f} s'


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
        made = _read_runs(runs)
        table.add_row(
            name,
            str(len(made)),
            str(sum(run['tokens'] for run in made)),
            state.phase.value,
        )
    return table


def _read_runs(tree: dict) -> collections.abc.Collection[dict]:
    return tree['runs'].values()


async def _explain(
    running: fleet.RunningFleet, results: list[_work.Result]
) -> None:
    """Prints the story of the request that took longest."""
    slowest = max(results, key=lambda result: result.answer.total_s)
    request_id = slowest.answer.request_id
    _console.print(f'Why did {request_id} take so long?')
    try:
        async with asyncio.timeout(_JOURNAL_WAIT_S):
            record = await _read_record(running, request_id)
    except TimeoutError:
        _console.print('The journal has no record of it yet.')
        return
    _console.print(journal.explain(record))


async def _read_record(
    running: fleet.RunningFleet, request_id: str
) -> schema.records.RequestRecord:
    record = None
    while not isinstance(record, schema.records.RequestRecord):
        await asyncio.sleep(_POLL_S)
        record = await journal.read_record(running.client, request_id)
    return record


def _judge(
    results: list[_work.Result], withdrawn: str, service_runs: int
) -> int:
    wrong = [result for result in results if not result.is_right]
    for result in wrong:
        _console.print(f'not whole: {result.answer}')
    _console.print(
        f'{len(results) - len(wrong)} of {len(results)} requests got their '
        f'whole answer while {withdrawn} was withdrawn.'
    )
    return 1 if wrong or service_runs != 1 else 0
