"""Runs a scenario once: an open-loop client against a new fleet."""

import asyncio
import time

import aiohttp
import attrs

from benchmarks import _events, _scenarios, _variants, _work
from briarknot import schema
from briarknot_standins import fleet

#: Time to establish links, reports and the lease before the first arrival.
_SETTLE_S = 1.5
#: Time after the last arrival at which unfinished requests are cancelled.
_COMPLETION_TIMEOUT_S = 9.0
#: Delay of sending above which the machine was too busy for valid figures.
_MAX_SEND_DELAY_S = 0.05


@attrs.frozen(kw_only=True)
class Sample:
    """A request and its result.

    :param arrival: the request.
    :param status: HTTP status; 0 where the connection broke.
    :param cause: cause of the refusal or failure; empty if it completed.
    :param outcome: ``completed``, ``not run`` or ``unknown``.
    :param first_token_s: time to the first token.
    :param total_s: time to the end.
    """

    arrival: _work.Arrival
    status: int = 0
    cause: str = ''
    outcome: str = 'completed'
    first_token_s: float = 0
    total_s: float = 0

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer arrived."""
        return self.outcome == 'completed'

    @property
    def interval_s(self) -> float:
        """Mean time between units."""
        units = self.arrival.flow.kind.output_units
        return (self.total_s - self.first_token_s) / max(1, units - 1)

    def is_in_target(self, rank: schema.fleet.Rank) -> bool:
        """Returns whether the request completed within the rank's targets."""
        return (
            self.is_complete
            and self.first_token_s <= rank.first_token_s
            and self.interval_s <= rank.token_interval_s
        )


@attrs.frozen(kw_only=True)
class Run:
    """One run of a scenario with one variant.

    :param name: name of the scenario.
    :param variant: name of the variant.
    :param seed: seed of the arrivals.
    :param scenario: the scenario.
    :param plan: fleet plan with the variant applied.
    :param samples: all requests.
    :param role_changes: role changes that engines carried out.
    :param retries: engine runs beyond the first one of each request.
    :param client_cpu: share of a core that the client used.
    :param late_send_s: 99th percentile of the delay of sending.
    :param wall_s: wall time including start and stop of the processes.
    """

    name: str
    variant: str
    seed: int
    scenario: _scenarios.Scenario
    plan: fleet.FleetPlan
    samples: tuple[Sample, ...]
    role_changes: int
    retries: int
    client_cpu: float
    late_send_s: float
    wall_s: float

    @property
    def is_disturbed(self) -> bool:
        """Whether the machine was too busy for valid figures."""
        return self.late_send_s > _MAX_SEND_DELAY_S


@attrs.define(eq=False)
class _Client:
    """Open-loop client: sends on time even while requests are open."""

    _running: fleet.RunningFleet
    _started_s: float = attrs.field(factory=time.monotonic)
    _sent_count: int = 0
    _delays_s: list[float] = attrs.field(factory=list)

    @property
    def late_send_s(self) -> float:
        """99th percentile of the delay of sending."""
        return sorted(self._delays_s)[int(len(self._delays_s) * 0.99)]

    async def send_all(
        self, arrivals: list[_work.Arrival], prompts: list[str]
    ) -> tuple[Sample, ...]:
        """Sends all requests and waits for their results."""
        tasks = []
        for arrival, prompt in zip(arrivals, prompts, strict=True):
            await self.wait_until(arrival.at_s)
            tasks.append(asyncio.create_task(self._send(arrival, prompt)))
        await asyncio.wait(tasks, timeout=_COMPLETION_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        return tuple(await asyncio.gather(*tasks))

    async def wait_until(self, at_s: float) -> None:
        """Waits until a time from the start."""
        wait_s = self._started_s + at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def run_event(self, event: _scenarios.Event) -> None:
        """Runs an event at its time."""
        await self.wait_until(event.at_s)
        await _events.EVENTS.get(event.kind)(self._running)

    async def _send(self, arrival: _work.Arrival, prompt: str) -> Sample:
        self._delays_s.append(time.monotonic() - self._started_s - arrival.at_s)
        flow = arrival.flow
        try:
            answer = await self._running.complete(
                flow.kind.rank,
                prompt,
                flow.kind.output_units,
                entry=self._choose_entry(flow),
                account=flow.account,
            )
        except (aiohttp.ClientError, OSError) as error:
            return Sample(
                arrival=arrival, cause=type(error).__name__, outcome='unknown'
            )
        except asyncio.CancelledError:
            return Sample(arrival=arrival, cause='not ended', outcome='unknown')
        return _make_sample(arrival, answer)

    def _choose_entry(self, flow: _work.Flow) -> fleet.Entry:
        self._sent_count += 1
        number = self._sent_count if flow.entry is None else flow.entry
        entries = self._running.entries
        return entries[number % len(entries)]


async def run_scenario(name: str, variant: str, seed: int) -> Run:
    """Runs a scenario once.

    :param name: name of the scenario.
    :param variant: name of the variant.
    :param seed: seed of the arrivals.
    """
    began_s = time.monotonic()
    scenario = _scenarios.SCENARIOS.get(name)()
    plan = _variants.VARIANTS.get(variant)(scenario.plan)
    arrivals = _work.make_arrivals(scenario.flows, seed)
    prompts = [arrival.make_prompt() for arrival in arrivals]
    async with fleet.run_fleet(plan) as running:
        await asyncio.sleep(_SETTLE_S)
        client = _Client(running)
        cpu_s, started_s = time.process_time(), time.monotonic()
        events = [
            asyncio.create_task(client.run_event(event))
            for event in scenario.events
        ]
        samples = await client.send_all(arrivals, prompts)
        cpu_s = time.process_time() - cpu_s
        sent_s = time.monotonic() - started_s
        await asyncio.gather(*events)
        engines = await _fetch_engine_records(running)
    return Run(
        name=name,
        variant=variant,
        seed=seed,
        scenario=scenario,
        plan=plan,
        samples=samples,
        role_changes=sum(one.role_changes for one in engines),
        retries=_count_retries(engines),
        client_cpu=cpu_s / sent_s,
        late_send_s=client.late_send_s,
        wall_s=time.monotonic() - began_s,
    )


@attrs.frozen
class _EngineRecord:
    """Counts that an engine reports after a scenario.

    :param runs: runs of kind completion by request id.
    :param role_changes: orders that changed its role.
    """

    runs: dict[str, int]
    role_changes: int


async def _fetch_engine_records(
    running: fleet.RunningFleet,
) -> list[_EngineRecord]:
    records = []
    for process in running.engines.values():
        if process.exit_status is not None:
            continue
        runs = await running.read_json(process, '/runs')
        orders = await running.read_json(process, '/orders')
        records.append(
            _EngineRecord(
                {key: run['count'] for key, run in runs['runs'].items()},
                sum(order['kind'] == 'role' for order in orders['log']),
            )
        )
    return records


def _count_retries(engines: list[_EngineRecord]) -> int:
    totals: dict[str, int] = {}
    for engine in engines:
        for request_id, count in engine.runs.items():
            totals[request_id] = totals.get(request_id, 0) + count
    return sum(max(0, total - 1) for total in totals.values())


def _make_sample(arrival: _work.Arrival, answer: fleet.Completion) -> Sample:
    if answer.is_complete and not answer.problem:
        return Sample(
            arrival=arrival,
            status=answer.status,
            first_token_s=answer.first_token_s,
            total_s=answer.total_s,
        )
    return Sample(
        arrival=arrival,
        status=answer.status,
        cause=answer.problem.get('cause', 'connection broke'),
        outcome=answer.problem.get('outcome', 'unknown'),
        first_token_s=answer.first_token_s,
        total_s=answer.total_s,
    )
