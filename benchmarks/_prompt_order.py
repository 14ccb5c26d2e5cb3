"""Orders of prompts under overload, compared in virtual time.

Processes place prompts by the policy of the gateway, on sums of work that are 0.2 to
1.3 s old; engines prefill one prompt at a time, by level and arrival.
``python -m benchmarks._prompt_order`` prints the table of
``docs/design/prompt-order.md``.
"""

import collections
import collections.abc
import concurrent.futures
import functools
import heapq
import itertools
import math
import random
import typing

import attrs

from benchmarks import _prompt_arrivals
from briarknot import schema, serving
from briarknot.serving import _prefill_time, _work_parts

#: Prefill workers of a fleet by its number of gateways, as in ``_load_spreading``.
ENGINES = {8: 3, 30: 7, 90: 15}
#: Time between two sums of a relay; ages of sums are multiples of it.
_TICK_S = 0.1
_AGES = range(2, 14)
#: Of the measured fleets: an engine prefills 20 prompts per second whose shared
#: parts are cached, and 6 others.
_SHARED_TOKENS = 5000
_OWN_TOKENS = (800, 3200)
_PARTS = 40
_CACHED_S = 0.042
_SPEED = 58_000
_USUAL_SHARE = 0.75
#: Events are late after the first time; clients disconnect after the second one.
_TARGET_S = 0.8
_SILENCE_S = 4.0
_HOPELESS_SHARE = 1.2
_MIN_RETURN_SHARE = 0.5
_MAX_ATTEMPTS = 3
_KV_TRANSFER_S = 0.042
_PREFILL = schema.serving.Stage.PREFILL
_SEEDS = (1, 2, 3)
#: Ranks of requests, which are equally frequent.
RANKS = (0, 1, 2)

#: How requests end: with a first event on time or late, or without a response.
OUTCOMES = ('on time', 'late', 'silent')
Results = collections.Counter[tuple[int | str, str]]
#: Shares of 20 accounts in the demand; those of a mean account are 0.05.
ACCOUNTS = {
    **{f'large {number}': 0.35 for number in range(2)},
    **{f'mean {number}': 0.05 for number in range(4)},
    **{f'small {number}': 0.1 / 14 for number in range(14)},
}


@attrs.frozen(eq=False)
class _Attempt:
    """One attempt of a client.

    :param rank: rank of the request.
    :param prompt: its prompt.
    :param first_s: time at which the client sent its first attempt.
    :param sent_s: time at which it sent this one.
    :param number: number of earlier attempts.
    :param account: its account; empty without accounts.
    """

    rank: int
    prompt: serving.Prompt
    first_s: float
    sent_s: float
    number: int = 0
    account: str = ''


@attrs.frozen(eq=False)
class _Job:
    """A prompt at an engine, and the load of the process that sent it."""

    attempt: _Attempt
    placement: serving.Placement
    load: serving.PromptLoad


@attrs.define(eq=False)
class _Engine:
    """Prefills the waiting prompt with the lowest level that came first."""

    parts: set[str] = attrs.field(factory=set)
    waiting: list[tuple[int, int, _Job]] = attrs.field(factory=list)
    is_busy: bool = False

    def compute_prefill_s(self, prompt: serving.Prompt) -> float:
        """Returns the time of a prefill, and keeps its shared part."""
        is_cached = prompt.shared_key in self.parts
        self.parts.add(prompt.shared_key)
        uncached = prompt.tokens - _SHARED_TOKENS * is_cached
        return _prefill_time.compute_work(uncached, prompt.tokens) / _SPEED


@attrs.define(eq=False)
class _Fleet:
    """Processes and engines in virtual time."""

    processes: int
    order: collections.abc.Callable
    source: random.Random
    accounts: dict[str, float] = attrs.field(factory=dict)
    results: Results = attrs.field(factory=collections.Counter)
    workers: tuple[schema.serving.Worker, ...] = ()
    loads: list[serving.PromptLoad] = attrs.field(factory=list)
    engines: dict[str, _Engine] = attrs.field(factory=dict)
    now: float = 0
    _events: list[tuple[float, int, collections.abc.Callable]] = attrs.field(
        factory=list
    )
    _numbers: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count
    )
    _sum: _work_parts.RunningSum = attrs.field(factory=_work_parts.RunningSum)
    _sums: list[schema.messages.FleetWork] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Starts engines with empty caches, and processes without work."""
        self.workers = tuple(
            schema.serving.Worker(id=f'w{number}', domain='a', stage=_PREFILL)
            for number in range(ENGINES[self.processes])
        )
        self.engines = {one.id: _Engine() for one in self.workers}
        # What caches hold spreads faster than it matters here.
        shared = serving.make_prompt_load()
        self.loads = [
            serving.PromptLoad(caches=shared.caches, ranks=shared.ranks)
            for _ in range(self.processes)
        ]

    def run(self, arrivals: _prompt_arrivals.Arrivals) -> None:
        """Runs until all requests have ended.

        :param arrivals: pattern of the arrivals.
        """
        rate = len(self.workers) * _USUAL_SHARE / _CACHED_S
        for arrival_s in arrivals(rate, self.source):
            attempt = self._make_attempt(arrival_s)
            self._call_at(arrival_s, self._receive, attempt)
        for tick in range(
            int((_prompt_arrivals.END_S + 3 * _SILENCE_S) / _TICK_S)
        ):
            self._call_at(tick * _TICK_S, self._spread_sums, tick)
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()

    def _call_at(
        self, at: float, action: collections.abc.Callable, *inputs: object
    ) -> None:
        event = (at, next(self._numbers), lambda: action(*inputs))
        heapq.heappush(self._events, event)

    def _make_attempt(self, arrival_s: float) -> _Attempt:
        own = self.source.randint(*_OWN_TOKENS)
        parts = (
            schema.serving.PromptPart(
                id=f'p{self.source.randrange(_PARTS)}', tokens=_SHARED_TOKENS
            ),
            schema.serving.PromptPart(id='own', tokens=own),
        )
        prompt = serving.Prompt(
            parts=parts, tokens=_SHARED_TOKENS + own, output_tokens=100
        )
        rank = self.source.choice(RANKS)
        account = ''
        if self.accounts:
            account = self.source.choices(
                *zip(*self.accounts.items(), strict=True)
            )[0]
        return _Attempt(rank, prompt, arrival_s, arrival_s, 0, account)

    def _spread_sums(self, tick: int) -> None:
        """Takes the sum of all work, and gives each process an older one."""
        works = [load.work.local_work for load in self.loads]
        self._sum.update(dict(enumerate(works)))
        self._sums.append(
            schema.messages.FleetWork(
                relay='r',
                sequence=tick + 1,
                workers=self._sum.list_values(),
                processes=self.processes,
            )
        )
        for number, load in enumerate(self.loads):
            load.work.record_report(tick + 1)
            known = tick - _AGES[number % len(_AGES)]
            if known >= 0:
                report = schema.messages.IncludedReport(
                    host='g', sequence=known + 1
                )
                message = attrs.evolve(self._sums[known], included=(report,))
                load.work.apply_fleet_work(message, 'g', self.now)

    def _receive(self, attempt: _Attempt) -> None:
        load = self.source.choice(self.loads)
        group = (_PREFILL, attempt.rank)
        shares = load.account_shares
        is_above = shares.is_above(group, attempt.account, self.now)
        view = serving.PlacementView(
            load=load,
            worker_records=serving.make_worker_records(),
            topology=serving.Topology('a', {'a': 'north'}),
            prefills=self.workers,
            decodes=(),
            target_s=_TARGET_S,
            random_source=self.source,
            processes=self.processes,
            levels=self.order(attempt.rank, is_above_share=is_above),
        )
        policy = serving.PLACEMENT_POLICIES.get('predicted')
        placement = policy(view, attempt.prompt, self.now)
        if placement.expected_s > _SILENCE_S * _HOPELESS_SHARE:
            self._refuse(attempt, placement.expected_s - _SILENCE_S / 2)
            return
        load.add(placement, attempt.prompt, self.now)
        shares.record(group, attempt.account, placement.work, self.now)
        engine = self.engines[placement.prefill_worker.id]
        job = _Job(attempt, placement, load)
        entry = (placement.level, next(self._numbers), job)
        heapq.heappush(engine.waiting, entry)
        self._call_at(self.now + _SILENCE_S, self._disconnect, engine, entry)
        self._serve(engine)

    def _refuse(self, attempt: _Attempt, wait_s: float) -> None:
        wait_s *= self.source.uniform(_MIN_RETURN_SHARE, 1)
        if attempt.number + 1 == _MAX_ATTEMPTS:
            self._end(attempt, math.inf)
            return
        again = attrs.evolve(
            attempt, sent_s=self.now + wait_s, number=attempt.number + 1
        )
        self._call_at(again.sent_s, self._receive, again)

    def _disconnect(
        self, engine: _Engine, entry: tuple[int, int, _Job]
    ) -> None:
        if entry in engine.waiting:
            engine.waiting.remove(entry)
            heapq.heapify(engine.waiting)
            self._end_job(entry[-1], is_prefilled=False)

    def _serve(self, engine: _Engine) -> None:
        if engine.waiting and not engine.is_busy:
            job = heapq.heappop(engine.waiting)[-1]
            engine.is_busy = True
            prefill_s = engine.compute_prefill_s(job.attempt.prompt)
            self._call_at(self.now + prefill_s, self._finish, engine, job)

    def _finish(self, engine: _Engine, job: _Job) -> None:
        engine.is_busy = False
        self._end_job(job, is_prefilled=True)
        self._serve(engine)

    def _end_job(self, job: _Job, *, is_prefilled: bool) -> None:
        job.load.remove(
            job.placement,
            job.attempt.prompt,
            self.now,
            self.now - job.attempt.sent_s,
            is_prefilled=is_prefilled,
        )
        event_s = self.now + _KV_TRANSFER_S
        is_heard = is_prefilled and event_s - job.attempt.sent_s < _SILENCE_S
        self._end(job.attempt, event_s if is_heard else math.inf)

    def _end(self, attempt: _Attempt, event_s: float) -> None:
        if attempt.first_s < _prompt_arrivals.WARM_UP_S:
            return
        is_late = event_s - attempt.first_s > _TARGET_S
        outcome = OUTCOMES[is_late + (event_s == math.inf)]
        self.results[attempt.account or attempt.rank, outcome] += 1


def simulate(
    pattern: str,
    order: str,
    processes: int,
    seeds: tuple[int, ...] = _SEEDS,
    accounts: dict[str, float] | None = None,
) -> Results:
    """Counts the requests that end in each way.

    :param pattern: name of the pattern of arrivals.
    :param order: name of the order.
    :param processes: number of processes.
    :param seeds: seeds of the arrivals.
    :param accounts: shares of accounts in the demand; None without accounts.
    :returns: requests by rank, or by account, and outcome.
    """
    results: Results = collections.Counter()
    for seed in seeds:
        fleet = _Fleet(
            processes,
            serving.PROMPT_ORDERS.get(order),
            random.Random(seed),
            accounts or {},
        )
        fleet.run(_prompt_arrivals.PATTERNS.get(pattern))
        results += fleet.results
    return results


def compute_shares(
    results: Results, ranks: typing.Iterable[int | str] = RANKS
) -> list[float]:
    """Returns the share of each outcome.

    :param results: requests by rank and outcome.
    :param ranks: ranks, or accounts, of the requests that count.
    """
    counts = [sum(results[rank, one] for rank in ranks) for one in OUTCOMES]
    return [count / max(1, sum(counts)) for count in counts]


def list_accounts(kind: str) -> list[str]:
    """Lists the accounts of a kind.

    :param kind: first word of their names.
    """
    return [one for one in ACCOUNTS if one.startswith(kind)]


def _make_row(
    accounts: dict[str, float] | None,
    groups: dict[str, typing.Iterable[int | str]],
    case: tuple[str, int, str],
) -> str:
    pattern, processes, order = case
    results = simulate(pattern, order, processes, accounts=accounts)
    cells = [
        ' / '.join(f'{one:.3f}' for one in compute_shares(results, group))
        for group in groups.values()
    ]
    return f'| {" | ".join((pattern, str(processes), order, *cells))} |'


def main() -> None:
    """Prints the shares of the outcomes by rank and by kind of account."""
    kinds = ('large', 'mean', 'small')
    tables = (
        (None, {**{f'rank {rank}': (rank,) for rank in RANKS}, 'all': RANKS}),
        (ACCOUNTS, {f'{kind} accounts': list_accounts(kind) for kind in kinds}),
    )
    names = (
        _prompt_arrivals.PATTERNS.names,
        ENGINES,
        serving.PROMPT_ORDERS.names,
    )
    with concurrent.futures.ProcessPoolExecutor(3) as executor:
        for accounts, groups in tables:
            print('| pattern | processes | order |', ' | '.join(groups), '|')
            print('| --- ' * (3 + len(groups)) + '|')
            make_row = functools.partial(_make_row, accounts, groups)
            for row in executor.map(make_row, itertools.product(*names)):
                print(row, flush=True)


if __name__ == '__main__':
    main()
