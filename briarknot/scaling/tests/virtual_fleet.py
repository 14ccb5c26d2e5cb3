"""A service of paid workers in virtual time, with the real stage planner.

Prompts come in waves, and each goes to the less loaded of two random prefill workers,
about as good as the choices of gateways with load that is 0.5 s old.
"""

import collections
import itertools
import math
import random

import attrs

from briarknot import planning, scaling, schema

_Stage = schema.serving.Stage
STEP_S = 0.025
_PLAN_S = 0.25
#: Time from the platform's change to its appearance in the list of workers.
_LIST_S = 1.0
_SWITCH_S = 3.0
_DRAIN_S = 4.0
_RECLAIM_S = 2.0
_STREAM_S = 2.0
_SLOTS = 64
_PERIOD_S = 11.0
#: The mix of prompts shifts: mean work of a prompt above and below the mean.
_MIX_S = 3.0
_MIX = 0.2
#: Snapshots of demand that are older than the one in use: 0.75 s.
_DEMAND_AGE = 3
TARGET_S = 0.6
LIMITS = scaling.ScalingLimits(
    least=1,
    most=10,
    boot_s=4.0,
    spot_price=0.22,
    prices=dict(zip('abcdef', (1.0, 0.8, 0.9, 1.0, 0.85, 0.95), strict=True)),
)


@attrs.define(eq=False)
class Worker:
    """A paid worker."""

    id: str
    domain: str
    is_spot: bool
    serves_s: float
    stage: _Stage = _Stage.PREFILL
    ends_s: float = math.inf
    drains_s: float = math.inf
    switched_s: float = 0
    backlog_s: float = 0
    streams: float = 0


@attrs.define(eq=False)
class Fleet:
    """The platform, the engines and their callers.

    :param rate: prompts per second, the mean of a wave.
    :param work_s: mean prefill time of a prompt.
    """

    rate: float
    policy: str = 'spot_first'
    present: int = 5
    work_s: float = 0.1
    seed: int = 7
    now: float = 0
    price: float = 0
    waits: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    workers: list = attrs.field(factory=list)
    #: Domains without spot workers, and until when.
    no_spot: dict = attrs.field(factory=dict)
    silent_until_s: float = 0
    #: Fewest serving workers, and fewest that can't be reclaimed.
    fewest: int = 1000
    fewest_safe: int = 1000
    _ordered: dict = attrs.field(factory=dict)
    _accepted: dict = attrs.field(factory=dict)
    _refused: dict = attrs.field(factory=dict)
    _stages: planning.StagePlanner = None
    _random: random.Random = attrs.field(init=False)
    _demands: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_DEMAND_AGE + 1)
    )
    _ids: itertools.count = attrs.field(factory=itertools.count)
    _leader: scaling.ScalingPolicy = None
    _ends: collections.deque = attrs.field(factory=collections.deque)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)
        self._stages = planning.STAGE_PLANNERS.get('queue_pressure')()
        self.change_leader()
        stages = itertools.cycle(
            (_Stage.PREFILL, _Stage.DECODE, _Stage.PREFILL)
        )
        for domain in LIMITS.prices:
            for _ in range(self.present):
                worker = self._add(domain, is_spot=False)
                worker.serves_s = -_LIST_S
                worker.stage = next(stages)

    def change_leader(self):
        """Starts a policy that knows the listed workers and stored orders only."""
        self._leader = scaling.SCALING_POLICIES.get(self.policy)()

    def reclaim(self, domain, unavailable_s=10):
        """Takes all spot workers of a domain."""
        self.no_spot[domain] = self.now + unavailable_s
        for worker in self.workers:
            if worker.domain == domain and worker.is_spot:
                worker.drains_s = min(worker.drains_s, self.now)
                worker.ends_s = min(worker.ends_s, self.now + _RECLAIM_S)

    def count(self, *, is_spot=None):
        """Counts the serving workers, of one kind or both."""
        return sum(
            is_spot in {None, one.is_spot} for one in self._list_serving()
        )

    def run(self, duration_s, factor=1.0):
        """Lets time pass at a multiple of the demand."""
        end_s = self.now + duration_s
        while self.now < end_s - STEP_S / 2:
            step = round(self.now / STEP_S)
            if step % round(_PLAN_S / STEP_S) == 0:
                self._plan()
                self._plan_stages()
            self._serve(factor)
            self.now += STEP_S

    def late_share(self, start_s=0, end_s=math.inf):
        """Returns the share of prompts that waited longer than the target."""
        waits = [one for at, one in self.waits if start_s <= at < end_s]
        return sum(one > TARGET_S for one in waits) / max(1, len(waits))

    def _add(self, domain, *, is_spot):
        worker = Worker(
            f'w{next(self._ids)}', domain, is_spot, self.now + LIMITS.boot_s
        )
        self.workers.append(worker)
        return worker

    def _list_serving(self, stage=None, delay_s=0):
        at_s = self.now - delay_s
        return [
            one
            for one in self.workers
            if one.serves_s <= at_s + STEP_S / 4
            and one.drains_s > at_s
            and (
                stage is None or (stage == one.stage and one.switched_s <= at_s)
            )
        ]

    def _serve(self, factor):
        for worker in self.workers:
            worker.backlog_s = max(0, worker.backlog_s - STEP_S)
            if worker.ends_s > self.now:
                kind = LIMITS.spot_price if worker.is_spot else 1
                self.price += STEP_S * kind * LIMITS.prices[worker.domain]
        self.workers = [one for one in self.workers if one.ends_s > self.now]
        serving = self._list_serving()
        self.fewest = min(self.fewest, len(serving))
        self.fewest_safe = min(self.fewest_safe, self.count(is_spot=False))
        wave = 1 + 0.27 * math.sin(2 * math.pi * self.now / _PERIOD_S)
        mean = self.rate * factor * wave * STEP_S
        for _ in range(int(mean + self._random.random())):
            self._arrive(serving)
        while self._ends and self._ends[0] <= self.now:
            self._ends.popleft()
        decodes = self._list_serving(_Stage.DECODE)
        for worker in self.workers:
            worker.streams = 0
        for worker in decodes:
            worker.streams = len(self._ends) / len(decodes)

    def _arrive(self, serving):
        prefills = self._list_serving(_Stage.PREFILL)
        # A decode worker prefills a prompt itself where no other worker does.
        choices = prefills or serving
        if not choices:
            self.waits.append((self.now, math.inf))
            return
        pair = (self._random.choice(choices), self._random.choice(choices))
        worker = min(pair, key=lambda one: one.backlog_s)
        self.waits.append((self.now, worker.backlog_s))
        mix = 1 + _MIX * (1, -1)[int(self.now / _MIX_S) % 2]
        work_s = self.work_s * min(4, self._random.expovariate(1))
        worker.backlog_s += mix * work_s
        self._ends.append(self.now + _STREAM_S)

    def _plan(self):
        for order in self._leader.plan(self._make_snapshot(), self.now):
            key = (order.domain, order.is_spot)
            self.orders.append((self.now, key, order.desired))
            self._ordered[key] = order.desired
            self._accepted[key] = False
        for key, is_accepted in self._accepted.items():
            if not is_accepted and self.now >= self.silent_until_s:
                self._accepted[key] = True
                self._set_desired(key, self._ordered[key])

    def _set_desired(self, key, desired):
        domain, is_spot = key
        present = [
            one
            for one in self.workers
            if (one.domain, one.is_spot) == key and math.isinf(one.drains_s)
        ]
        if is_spot and desired > len(present):
            if self.no_spot.get(domain, 0) > self.now:
                self._refused[key] = self.now + scaling.UNAVAILABLE_S
                return
        for _ in range(desired - len(present)):
            self._add(domain, is_spot=is_spot)
        ending = self._random.sample(present, max(0, len(present) - desired))
        for worker in ending:
            worker.drains_s = self.now
            worker.ends_s = self.now + _DRAIN_S

    def _make_snapshot(self):
        listed = collections.Counter(
            (one.domain, one.is_spot)
            for one in self._list_serving(delay_s=_LIST_S)
        )
        leaving = {
            (one.domain, one.is_spot)
            for one in self.workers
            if one.drains_s <= self.now - _LIST_S
        }
        self._demands.append(self._measure())
        return scaling.Snapshot(
            limits=LIMITS,
            groups=tuple(
                scaling.Group(
                    domain=domain,
                    is_spot=is_spot,
                    serving=listed[domain, is_spot],
                    ordered=self._ordered.get((domain, is_spot)),
                    is_leaving=(domain, is_spot) in leaving,
                    unavailable_until_s=self._refused.get(
                        (domain, is_spot), -math.inf
                    ),
                    is_accepted=self._accepted.get((domain, is_spot), True),
                )
                for domain in LIMITS.prices
                for is_spot in (False, True)
            ),
            demand=self._demands[0],
            target_s=TARGET_S,
        )

    def _measure(self):
        prefills = self._list_serving(_Stage.PREFILL)
        decodes = len(self._list_serving(_Stage.DECODE))
        queued_s = sum(one.backlog_s for one in prefills)
        return scaling.Demand(
            prefill_workers=len(prefills),
            busy_prefill=sum(one.backlog_s > 0 for one in prefills),
            queued_s=queued_s / max(1, len(prefills)),
            decode_workers=decodes,
            busy_decode_share=len(self._ends) / max(1, decodes) / _SLOTS,
        )

    def _plan_stages(self):
        engines = tuple(
            planning.StagedEngine(
                id=one.id,
                domain=one.domain,
                stage=one.stage,
                queued_s=one.backlog_s,
                streams=round(one.streams),
            )
            for stage in (_Stage.PREFILL, _Stage.DECODE)
            for one in self._list_serving(stage)
        )
        change = self._stages.plan(
            planning.StageSnapshot(
                engines=engines, slots=_SLOTS, kv_tokens=600_000
            ),
            self.now,
        )
        if not change:
            return
        for worker in self.workers:
            if worker.id in change.engines:
                worker.stage = change.stage
                worker.switched_s = self.now + _SWITCH_S
        self._stages.record_change(self.now + _SWITCH_S)
