"""Policies that choose on stale information, compared in virtual time.

Choosers share a snapshot of the load of equal workers that is some time old, and
know their own requests at once. ``python -m benchmarks._load_spreading`` prints
the table of ``docs/design/even-load.md``.
"""

import collections
import collections.abc
import concurrent.futures
import heapq
import itertools
import random
import statistics
import typing

import attrs

from benchmarks import _load_policies

#: Time between two snapshots: a relay sends about 26 sums per second.
_TICK_S = 0.05
_WARM_UP_S = 10.0
#: Reports of a worker's load in its answers are used for this time.
_REPORT_AGE_S = 1.0
_AGES_S = (0.1, 0.5, 1.5)
_SEEDS = (1, 2)
_DURATION_S = 40.0


@attrs.frozen
class Kind:
    """One kind of choice.

    :param workers: number of workers by number of choosers.
    :param slots: requests that a worker runs at once.
    :param mean_s: mean time of a request, exponentially distributed.
    :param utilization: share of the slots that is used on average.
    :param tolerance: difference in load between workers that are nearly equal; 0
        for plain services, whose present policy uses only a chooser's own answers.
    :param is_work: whether load is the time of the requests, not their number
        relative to the slots.
    """

    workers: dict[int, int]
    slots: int
    mean_s: float
    utilization: float
    tolerance: float
    is_work: bool = False

    def compute_rate(self, choosers: int) -> float:
        """Returns the requests per second of all choosers."""
        capacity = self.workers[choosers] * self.slots / self.mean_s
        return capacity * self.utilization


#: A fleet of 88 gateways had 45 engines, a third of which prefill, and 6 plain
#: workers; the time of a prefill is that of a prompt whose shared parts are
#: cached.
KINDS = {
    'prefill': Kind({8: 3, 30: 7, 90: 15, 340: 57}, 1, 0.08, 0.6, 0.015, True),
    'decode': Kind({8: 5, 30: 13, 90: 30, 340: 113}, 16, 3.0, 0.7, 0.02),
    'plain': Kind({8: 4, 30: 6, 90: 6, 340: 24}, 4, 0.08, 0.6, 0),
}


class _Request(typing.NamedTuple):
    """A request at a worker."""

    end_s: float
    start_s: float
    sent_s: float
    worker: int
    chooser: int
    load: float


@attrs.frozen
class Result:
    """What a policy achieves.

    :param deviation: mean standard deviation of the load across the workers.
    :param wait_s: 99th percentile of the waiting time, in seconds.
    :param busiest: work of the busiest worker over the mean, over the whole run.
    """

    deviation: float
    wait_s: float
    busiest: float


@attrs.define(eq=False)
class _Fleet:
    """Workers and choosers in virtual time."""

    kind: Kind
    choosers: int
    age_s: float
    policy: _load_policies.Policy
    source: random.Random
    now: float = 0
    loads: list[float] = attrs.field(factory=list)
    snapshots: list[list[float]] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)
    totals: list[float] = attrs.field(factory=list)
    memory: dict[str, typing.Any] = attrs.field(factory=dict)
    _free: list[list[float]] = attrs.field(factory=list)
    _running: list[_Request] = attrs.field(factory=list)
    _own: dict[int, list[_Request]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _reports: dict[tuple[int, int], tuple[float, float]] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Starts without requests."""
        workers = self.kind.workers[self.choosers]
        self.loads = _make_zeros(workers)
        self.totals = _make_zeros(workers)
        self._free = [_make_zeros(self.kind.slots) for _ in range(workers)]

    def run(self, seconds: float) -> None:
        """Sends requests for a time.

        :param seconds: the time.
        """
        rate = self.kind.compute_rate(self.choosers)
        while self.now < seconds:
            self._advance(self.now + self.source.expovariate(rate))
            self._send()

    def _advance(self, now: float) -> None:
        """Ends requests and takes snapshots until a time."""
        while len(self.snapshots) * _TICK_S <= now:
            self._end_requests(len(self.snapshots) * _TICK_S)
            self.snapshots.append([max(0, load) for load in self.loads])
        self._end_requests(now)
        self.now = now

    def _end_requests(self, now: float) -> None:
        while self._running and self._running[0].end_s <= now:
            ended = heapq.heappop(self._running)
            self.loads[ended.worker] -= ended.load
            self._reports[ended.chooser, ended.worker] = (
                ended.end_s,
                self.loads[ended.worker],
            )

    def _send(self) -> None:
        chooser = self.source.randrange(self.choosers)
        seconds = self.source.expovariate(1 / self.kind.mean_s)
        worker = self.policy(self._make_view(chooser))
        free = self._free[worker]
        start_s = max(self.now, heapq.heappop(free))
        heapq.heappush(free, start_s + seconds)
        load = seconds if self.kind.is_work else 1 / self.kind.slots
        request = _Request(
            start_s + seconds, start_s, self.now, worker, chooser, load
        )
        heapq.heappush(self._running, request)
        self._own[chooser].append(request)
        self.loads[worker] += load
        if self.now > _WARM_UP_S:
            self.waits.append(start_s - self.now)
            self.totals[worker] += seconds

    def _make_view(self, chooser: int) -> _load_policies.View:
        """Makes what a chooser knows: old loads and its own requests."""
        age = round(self.age_s / _TICK_S)
        tick = max(0, len(self.snapshots) - 1 - age)
        own = [one for one in self._own[chooser] if one.end_s > tick * _TICK_S]
        self._own[chooser] = own
        changes = _make_zeros(len(self.loads))
        for one in own:
            # Own requests as they are now replace those in the snapshot.
            was_known = one.sent_s <= tick * _TICK_S
            changes[one.worker] += one.load * (
                (one.end_s > self.now) - was_known
            )
        kind = self.kind
        load = kind.mean_s if kind.is_work else 1 / kind.slots
        reports = [
            self._reports.get((chooser, worker), (float('-inf'), 0))
            for worker in range(len(self.loads))
        ]
        return _load_policies.View(
            chooser=chooser,
            choosers=self.choosers,
            loads=self.snapshots[tick],
            changes=changes,
            true_loads=self.loads,
            reports=[
                report if self.now - reported_s < _REPORT_AGE_S else 0
                for reported_s, report in reports
            ],
            age_s=self.now - tick * _TICK_S,
            tick_s=_TICK_S,
            tick=len(self.snapshots) - 1,
            arriving=kind.compute_rate(self.choosers) * load,
            request=load,
            drain_s=None if kind.is_work else kind.mean_s,
            tolerance=kind.tolerance,
            now=self.now,
            source=self.source,
            memory=self.memory,
            snapshots=self.snapshots,
        )


def _make_zeros(count: int) -> list[float]:
    return [0 for _ in range(count)]


def simulate(
    kind: Kind,
    policy: str,
    choosers: int,
    age_s: float,
    seed: int = 1,
    seconds: float = _DURATION_S,
) -> Result:
    """Runs one policy.

    :param kind: kind of choice.
    :param policy: name of the policy.
    :param choosers: number of choosers.
    :param age_s: age of their information, in seconds.
    :param seed: seed of the arrivals.
    :param seconds: virtual time, which includes the time to warm up.
    """
    fleet = _Fleet(
        kind=kind,
        choosers=choosers,
        age_s=age_s,
        policy=_load_policies.POLICIES.get(policy),
        source=random.Random(seed),
    )
    fleet.run(seconds)
    first = round(_WARM_UP_S / _TICK_S)
    deviations = [statistics.pstdev(loads) for loads in fleet.snapshots[first:]]
    return Result(
        deviation=statistics.fmean(deviations),
        wait_s=statistics.quantiles(fleet.waits, n=100)[-1],
        busiest=max(fleet.totals) / statistics.fmean(fleet.totals),
    )


def average(results: collections.abc.Iterable[Result]) -> Result:
    """Returns the means of several runs.

    :param results: their results.
    """
    rows = [attrs.astuple(one) for one in results]
    return Result(*map(statistics.fmean, zip(*rows, strict=True)))


def _print_kind(name: str) -> list[str]:
    """Returns the rows of the table for one kind of choice."""
    kind = KINDS[name]
    rows = []
    for choosers, age_s in itertools.product(kind.workers, _AGES_S):
        results = {
            policy: average(
                simulate(kind, policy, choosers, age_s, seed) for seed in _SEEDS
            )
            for policy in _load_policies.POLICIES.names
        }
        perfect = results.pop('perfect')
        cells = [
            f'{one.deviation / perfect.deviation:.2f} / {one.wait_s:.2f}'
            for one in results.values()
        ]
        rows.append(
            f'| {name} | {choosers} | {age_s} | {perfect.wait_s:.2f} | '
            f'{" | ".join(cells)} |'
        )
    return rows


def main() -> None:
    """Prints a table with all policies.

    A cell holds the standard deviation of the load over that of perfect
    information, and the 99th percentile of the waiting time in seconds.
    """
    names = [one for one in _load_policies.POLICIES.names if one != 'perfect']
    print('| kind | choosers | age | perfect |', ' | '.join(names), '|')
    print('| --- ' * (len(names) + 4) + '|')
    with concurrent.futures.ProcessPoolExecutor(len(KINDS)) as executor:
        for rows in executor.map(_print_kind, KINDS):
            print('\n'.join(rows), flush=True)


if __name__ == '__main__':
    main()
