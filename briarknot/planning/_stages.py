"""Planners that change the stage of engines between prefill and decode."""

import collections
import math
import typing

import attrs

from briarknot import registry, schema
from briarknot.planning import _stage_snapshot

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
#: Share of the workers of a stage that leave it at the same time.
_MAX_CHANGE_SHARE = 0.2
#: Share of the prefill workers that change their stage where streams have no room.
_MAX_LACKING_CHANGE_SHARE = 0.5
#: Time after a change until the next one, so that its effect is seen first.
_SETTLE_S = 5.0


class StagePlanner(typing.Protocol):
    """Plans the stages of the engines of one service."""

    def plan(
        self, snapshot: _stage_snapshot.StageSnapshot, now: float
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange: ...

    def record_change(self, now: float) -> None: ...


STAGE_PLANNERS: registry.Registry[typing.Callable[[], StagePlanner]] = (
    registry.Registry('stage_planner')
)


@STAGE_PLANNERS.register('static')
@attrs.define(eq=False)
class StaticStages:
    """Baseline: changes no stage."""

    def plan(
        self, snapshot: _stage_snapshot.StageSnapshot, now: float
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
        """Returns no change."""
        return _stage_snapshot.NoStageChange('stages are fixed')

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
    _is_replacing: bool = False

    def plan(
        self, snapshot: _stage_snapshot.StageSnapshot, now: float
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
        """Returns the engines that should change their stage now.

        :param snapshot: engines and their load.
        :param now: monotonic time in seconds.
        """
        prefills = snapshot.list_stage(_Stage.PREFILL)
        decodes = snapshot.list_stage(_Stage.DECODE)
        if not (prefills or decodes) or not snapshot.slots:
            return _stage_snapshot.NoStageChange('there are no engines')
        self._record(snapshot, prefills, now)
        if not decodes:
            return self._replace_decodes(prefills, now)
        self._had_decodes = True
        self._is_replacing = False
        if now < self._settled_s:
            return _stage_snapshot.NoStageChange(
                'the last change is not settled'
            )
        stranded = _list_stranded(prefills, decodes)
        if stranded:
            return _stage_snapshot.StageChange(
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
        snapshot: _stage_snapshot.StageSnapshot,
        prefills: tuple[_stage_snapshot.StagedEngine, ...],
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
        self, snapshot: _stage_snapshot.StageSnapshot, now: float
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
        prefills = snapshot.list_stage(_Stage.PREFILL)
        decodes = snapshot.list_stage(_Stage.DECODE)
        wait_s = self._compute_mean_wait(now)
        if wait_s is None:
            return _stage_snapshot.NoStageChange(
                'the load is not known for long enough'
            )
        is_pressed = wait_s >= _MIN_WAIT_S or not prefills
        if is_pressed and not _lacks_decode(snapshot, decodes):
            return self._add_prefill(snapshot, decodes, wait_s)
        return _add_decode(snapshot, prefills, decodes, wait_s)

    def _replace_decodes(
        self, prefills: tuple[_stage_snapshot.StagedEngine, ...], now: float
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
        """Turns prefill workers into decode workers after the loss of all.

        Prompts are prefilled in vain until then, so that no earlier change has to
        settle. At a start, the list of workers may not be complete yet.
        """
        if not self._had_decodes and now - self._started_s < _WINDOW_S:
            return _stage_snapshot.NoStageChange(
                'no decode worker is listed yet'
            )
        if self._is_replacing and now < self._settled_s:
            return _stage_snapshot.NoStageChange('decode workers are coming')
        self._is_replacing = True
        # A stream can't use the KV cache of another version.
        candidates = _list_stranded(prefills, ()) or prefills
        count = math.ceil(_MIN_DECODE_SHARE * len(candidates))
        return _stage_snapshot.StageChange(
            _choose_engines(candidates, count),
            _Stage.DECODE,
            f'no decode worker beside {len(prefills)} prefill workers',
        )

    def _add_prefill(
        self,
        snapshot: _stage_snapshot.StageSnapshot,
        decodes: tuple[_stage_snapshot.StagedEngine, ...],
        wait_s: float,
    ) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
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
            return _stage_snapshot.NoStageChange(
                'no decode worker can be spared'
            )
        return _stage_snapshot.StageChange(
            _choose_engines(spare, count),
            _Stage.PREFILL,
            f'prompts wait {wait_s:.2f} s, {streams} streams,'
            f' {len(decodes)} decode workers',
        )


def _add_decode(
    snapshot: _stage_snapshot.StageSnapshot,
    prefills: tuple[_stage_snapshot.StagedEngine, ...],
    decodes: tuple[_stage_snapshot.StagedEngine, ...],
    wait_s: float,
) -> _stage_snapshot.StageChange | _stage_snapshot.NoStageChange:
    streams = sum(one.streams for one in snapshot.engines)
    needed = max(
        snapshot.count_needed_decode_workers(streams, _MIN_USE_FOR_DECODE),
        _count_safe_decode_workers(snapshot),
    )
    is_lacking = _lacks_decode(snapshot, decodes)
    missing = needed - len(decodes)
    if missing <= 0 or not (is_lacking or wait_s <= _MAX_SPARE_WAIT_S):
        return _stage_snapshot.NoStageChange('no change is needed')
    if len(prefills) < 2:
        return _stage_snapshot.NoStageChange('no prefill worker can be spared')
    # Without room for streams, prompts are prefilled in vain.
    share = _MAX_LACKING_CHANGE_SHARE if is_lacking else _MAX_CHANGE_SHARE
    return _stage_snapshot.StageChange(
        _choose_engines(
            prefills, min(missing, max(1, int(share * len(prefills))))
        ),
        _Stage.DECODE,
        f'{streams} streams at {len(decodes)} decode workers,'
        f' prompts wait {wait_s:.2f} s',
    )


def _count_safe_decode_workers(snapshot: _stage_snapshot.StageSnapshot) -> int:
    """Returns the decode workers that bear a loss; added while no prompt waits."""
    return math.ceil(_MIN_DECODE_SHARE * len(snapshot.engines))


def _lacks_decode(
    snapshot: _stage_snapshot.StageSnapshot,
    decodes: tuple[_stage_snapshot.StagedEngine, ...],
) -> bool:
    """Returns whether streams have no room, or lose it with a single engine."""
    is_single = len(decodes) == 1 and _count_safe_decode_workers(snapshot) > 1
    streams = sum(one.streams for one in snapshot.engines)
    full = snapshot.count_needed_decode_workers(streams, 1)
    return is_single or full > len(decodes)


def count_least_decode_workers(versions: int) -> int:
    """Returns the decode workers that a service keeps at any load.

    :param versions: software versions among its engines.
    """
    return max(_MIN_DECODE_WORKERS, _MIN_OF_VERSION * versions)


def _list_stranded(
    prefills: tuple[_stage_snapshot.StagedEngine, ...],
    decodes: tuple[_stage_snapshot.StagedEngine, ...],
) -> tuple[_stage_snapshot.StagedEngine, ...]:
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
    decodes: tuple[_stage_snapshot.StagedEngine, ...],
) -> tuple[_stage_snapshot.StagedEngine, ...]:
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
    engines: tuple[_stage_snapshot.StagedEngine, ...], count: int
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
