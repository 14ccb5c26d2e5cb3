"""Planners that change the stage of engines between prefill and decode."""

import collections
import math
import typing

import attrs

from briarknot import registry, schema, sentinels

_Stage = schema.serving.Stage
#: Time over which the queues of prefill workers are averaged. A shorter wave of
#: prompts is over before an engine has changed its stage.
_WINDOW_S = 1.5
#: Mean queueing time at prefill workers from which more of them are needed.
_MIN_WAIT_S = 0.15
#: Mean queueing time below which a prefill worker can be spared.
_MAX_SPARE_WAIT_S = 0.03
#: Time for which the largest number of streams is remembered.
_STREAMS_WINDOW_S = 6.0
#: Share of the slots and of the KV cache of the decode workers that streams may
#: take after a change; the rest bears the loss of workers and bursts.
_MAX_USE_AFTER_CHANGE = 0.3
#: Share of the decode workers' slots or KV cache from which more of them are
#: needed.
_MIN_USE_FOR_DECODE = 0.7
#: Decode workers that are left at least, also as a share of all engines. With two
#: of them the loss of one halves the room of all answers.
_MIN_DECODE_WORKERS = 3
_MIN_DECODE_SHARE = 0.3
#: Decode workers of each software version that are left at least. Streams of the only
#: one can't go on anywhere when it is lost.
_MIN_OF_VERSION = 2
#: Share of the decode workers that change their stage at the same time.
_MAX_CHANGE_SHARE = 0.2
#: Time after a change until the next one, so that its effect is seen first.
_SETTLE_S = 5.0


@attrs.frozen(kw_only=True)
class StagedEngine:
    """An engine as the planner sees it.

    :param id: id of the engine.
    :param domain: failure domain.
    :param stage: stage that it performs.
    :param version: version of its software; a stream goes on at engines of the same
        version only.
    :param queued_s: time of the prefill that is queued there, in seconds.
    :param streams: generations.
    :param stream_tokens: KV cache of the generations, in tokens.
    """

    id: str
    domain: str
    stage: _Stage
    version: str = ''
    queued_s: float = 0
    streams: int = 0
    stream_tokens: int = 0


@attrs.frozen(kw_only=True)
class StageSnapshot:
    """Engines of a service at one moment.

    :param engines: engines that accept requests.
    :param slots: requests that an engine runs concurrently.
    :param kv_tokens: KV cache of an engine, in tokens.
    """

    engines: tuple[StagedEngine, ...]
    slots: int
    kv_tokens: int

    def list_stage(self, stage: _Stage) -> tuple[StagedEngine, ...]:
        """Lists the engines that perform a stage."""
        return tuple(one for one in self.engines if one.stage == stage)

    def count_needed_decode_workers(self, streams: int, max_use: float) -> int:
        """Returns how many decode workers streams need.

        :param streams: number of streams.
        :param max_use: share of slots and KV cache that they may take.
        """
        running = sum(one.streams for one in self.engines)
        tokens = sum(one.stream_tokens for one in self.engines)
        if running:
            tokens = tokens * max(1, streams / running)
        uses = (
            streams / max(1, self.slots),
            tokens / max(1, self.kv_tokens),
        )
        return math.ceil(max(uses) / max_use)


@attrs.frozen
class StageChange:
    """Engines that change their stage.

    :param engines: ids of the engines.
    :param stage: their next stage.
    :param reason: figures behind the change.
    """

    engines: tuple[str, ...]
    stage: _Stage
    reason: str


@attrs.frozen
class NoStageChange(sentinels.Sentinel):
    """Sentinel for a plan without a change.

    :param reason: why there is none.
    """

    reason: str


class StagePlanner(typing.Protocol):
    """Plans the stages of the engines of one service."""

    def plan(
        self, snapshot: StageSnapshot, now: float
    ) -> StageChange | NoStageChange: ...

    def record_change(self, now: float) -> None: ...


STAGE_PLANNERS: registry.Registry[typing.Callable[[], StagePlanner]] = (
    registry.Registry('stage_planner')
)


@STAGE_PLANNERS.register('static')
@attrs.define(eq=False)
class StaticStages:
    """Baseline: changes no stage."""

    def plan(
        self, snapshot: StageSnapshot, now: float
    ) -> StageChange | NoStageChange:
        """Returns no change."""
        return NoStageChange('stages are fixed')

    def record_change(self, now: float) -> None:
        """Does nothing, as there are no changes."""


@attrs.frozen
class _Sample:
    """Load at one moment.

    :param time_s: monotonic time.
    :param wait_s: mean queueing time at prefill workers, in seconds.
    :param streams: generations at all engines.
    """

    time_s: float
    wait_s: float
    streams: int


@STAGE_PLANNERS.register('queue_pressure')
@attrs.define(eq=False)
class QueuePressure:
    """Moves engines towards the stage that has queues.

    Prompts queue at prefill workers while decode workers have room, or the
    other way round. A change costs the work of an engine for seconds, so that
    the pressure must last, and the decode workers that stay must have room for
    the most streams of the last seconds.
    """

    _samples: collections.deque = attrs.field(factory=collections.deque)
    _started_s: float = float('inf')
    _settled_s: float = float('-inf')
    _had_decodes: bool = False

    def plan(
        self, snapshot: StageSnapshot, now: float
    ) -> StageChange | NoStageChange:
        """Returns the engines that should change their stage now.

        :param snapshot: engines and their load.
        :param now: monotonic time in seconds.
        """
        prefills = snapshot.list_stage(_Stage.PREFILL)
        decodes = snapshot.list_stage(_Stage.DECODE)
        if not (prefills or decodes) or not snapshot.slots:
            return NoStageChange('there are no engines')
        self._record(snapshot, prefills, now)
        if not decodes:
            return self._replace_decodes(prefills, now)
        self._had_decodes = True
        if now < self._settled_s:
            return NoStageChange('the last change is not settled')
        stranded = _list_stranded(prefills, decodes)
        if stranded:
            return StageChange(
                _choose_engines(stranded, 1),
                _Stage.DECODE,
                f'version {stranded[0].version} has no decode worker',
            )
        return self._follow_load(snapshot, now)

    def record_change(self, now: float) -> None:
        """Records that a change has ended, or failed.

        :param now: monotonic time in seconds.
        """
        self._settled_s = now + _SETTLE_S

    def _record(
        self,
        snapshot: StageSnapshot,
        prefills: tuple[StagedEngine, ...],
        now: float,
    ) -> None:
        waits = [one.queued_s for one in prefills]
        streams = sum(one.streams for one in snapshot.engines)
        wait_s = sum(waits) / max(1, len(waits))
        self._samples.append(_Sample(now, wait_s, streams))
        self._started_s = min(self._started_s, now)
        while self._samples[0].time_s < now - _STREAMS_WINDOW_S:
            self._samples.popleft()

    def _compute_mean_wait(self, now: float) -> float | None:
        """Returns the mean queueing time, or None if it is not yet known."""
        if now - self._started_s < _WINDOW_S:
            return None
        waits = [
            one.wait_s for one in self._samples if one.time_s > now - _WINDOW_S
        ]
        return sum(waits) / len(waits)

    def _follow_load(
        self, snapshot: StageSnapshot, now: float
    ) -> StageChange | NoStageChange:
        prefills = snapshot.list_stage(_Stage.PREFILL)
        decodes = snapshot.list_stage(_Stage.DECODE)
        wait_s = self._compute_mean_wait(now)
        if wait_s is None:
            return NoStageChange('the load is not known for long enough')
        is_pressed = wait_s >= _MIN_WAIT_S or not prefills
        if is_pressed and _has_free_slots(snapshot, decodes):
            return self._add_prefill(snapshot, decodes, wait_s)
        return _add_decode(snapshot, prefills, decodes, wait_s)

    def _replace_decodes(
        self, prefills: tuple[StagedEngine, ...], now: float
    ) -> StageChange | NoStageChange:
        """Turns prefill workers into decode workers after the loss of all.

        Prompts are prefilled in vain until then, so that no earlier change has to
        settle. At a start, the list of workers may not be complete yet.
        """
        if not self._had_decodes and now - self._started_s < _WINDOW_S:
            return NoStageChange('no decode worker is listed yet')
        # A stream can't use the KV cache of another version.
        candidates = _list_stranded(prefills, ()) or prefills
        count = math.ceil(_MIN_DECODE_SHARE * len(candidates))
        return StageChange(
            _choose_engines(candidates, count),
            _Stage.DECODE,
            f'no decode worker beside {len(prefills)} prefill workers',
        )

    def _add_prefill(
        self,
        snapshot: StageSnapshot,
        decodes: tuple[StagedEngine, ...],
        wait_s: float,
    ) -> StageChange | NoStageChange:
        streams = max(one.streams for one in self._samples)
        kept = max(
            _MIN_DECODE_WORKERS,
            math.ceil(_MIN_DECODE_SHARE * len(snapshot.engines)),
            snapshot.count_needed_decode_workers(
                streams, _MAX_USE_AFTER_CHANGE
            ),
        )
        spare = _list_spare(decodes)
        count = min(
            len(decodes) - kept,
            len(spare),
            max(1, int(_MAX_CHANGE_SHARE * len(decodes))),
        )
        if count <= 0:
            return NoStageChange('no decode worker can be spared')
        return StageChange(
            _choose_engines(spare, count),
            _Stage.PREFILL,
            f'prompts wait {wait_s:.2f} s, {streams} streams,'
            f' {len(decodes)} decode workers',
        )


def _has_free_slots(
    snapshot: StageSnapshot, decodes: tuple[StagedEngine, ...]
) -> bool:
    """Returns whether the decode workers have room for further streams."""
    streams = sum(one.streams for one in snapshot.engines)
    return snapshot.count_needed_decode_workers(streams, 1) <= len(decodes)


def _add_decode(
    snapshot: StageSnapshot,
    prefills: tuple[StagedEngine, ...],
    decodes: tuple[StagedEngine, ...],
    wait_s: float,
) -> StageChange | NoStageChange:
    streams = sum(one.streams for one in snapshot.engines)
    needed = snapshot.count_needed_decode_workers(streams, _MIN_USE_FOR_DECODE)
    # Without free slots, prompts are prefilled in vain.
    can_spare = wait_s <= _MAX_SPARE_WAIT_S or not _has_free_slots(
        snapshot, decodes
    )
    is_needed = needed > len(decodes) and can_spare
    if not is_needed or len(prefills) < 2:
        return NoStageChange('no change is needed')
    return StageChange(
        _choose_engines(prefills, 1),
        _Stage.DECODE,
        f'{streams} streams at {len(decodes)} decode workers,'
        f' prompts wait {wait_s:.2f} s',
    )


def count_least_decode_workers(versions: int) -> int:
    """Returns the decode workers that a service keeps at any load.

    :param versions: software versions among its engines.
    """
    return max(_MIN_DECODE_WORKERS, _MIN_OF_VERSION * versions)


def _list_stranded(
    prefills: tuple[StagedEngine, ...], decodes: tuple[StagedEngine, ...]
) -> tuple[StagedEngine, ...]:
    """Lists the prefill workers of a version that has no decode worker.

    KV caches stay within a version, so that none of them has work. A version with a
    single engine is left as it is: it appears, or leaves.
    """
    complete = {one.version for one in decodes}
    counts = collections.Counter(one.version for one in prefills)
    version = next(
        (
            one
            for one, count in counts.most_common()
            if one not in complete and count > 1
        ),
        None,
    )
    return tuple(one for one in prefills if one.version == version)


def _list_spare(
    decodes: tuple[StagedEngine, ...],
) -> tuple[StagedEngine, ...]:
    """Lists the decode workers beyond those that each of several versions keeps.

    The ones with most streams are kept.
    """
    if len({one.version for one in decodes}) < 2:
        return decodes
    kept: collections.Counter = collections.Counter()
    spare = []
    busiest_first = sorted(decodes, key=lambda one: (-one.streams, one.id))
    for engine in busiest_first:
        kept[engine.version] += 1
        if kept[engine.version] > _MIN_OF_VERSION:
            spare.append(engine)
    return tuple(spare)


def _choose_engines(
    engines: tuple[StagedEngine, ...], count: int
) -> tuple[str, ...]:
    """Chooses idle engines, each from the domain that has most left."""
    left = sorted(engines, key=lambda one: (one.streams, one.queued_s, one.id))
    chosen = []
    while len(chosen) < count:
        domains = collections.Counter(one.domain for one in left)
        largest, _ = domains.most_common(1)[0]
        best = next(one for one in left if one.domain == largest)
        left.remove(best)
        chosen.append(best.id)
    return tuple(chosen)
