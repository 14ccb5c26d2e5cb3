"""Chooses the engine that reads a prompt."""

import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import (
    _calls,
    _engine_choice,
    _plain_choice,
    _prefill_time,
    _prompt_load,
    _topology,
    _worker_records,
)

_Placement = _prompt_load.Placement
#: Time of a hand-over beside the call to the decode worker, in seconds: a
#: transfer, and its queue.
_HAND_OVER_S = 0.04
#: Cost in seconds of work in another region, whose bytes are paid by volume.
_REGION_S = 0.05
#: Cost in seconds for each second that a decode worker reads a prompt, since
#: the streams of other requests pause meanwhile.
_INTERFERENCE = 0.5
#: Cost in seconds for each second that prompts wait at a decode worker: its
#: streams are slowed down for longer, up to their time limits.
_CROWDING = 1.0
#: Cost in seconds for each second that shared parts are read again: the
#: prompts behind wait for it, and the part takes another one's place.
_REREAD = 2.0
#: Part by which that cost grows for each second that prompts wait at the usual
#: engine. Where all of them have queues, work that could be spared makes more
#: prompts late than it saves.
_REREAD_GROWTH_PER_S = 6.0
#: Cost in seconds of a first token that is late for sure. Reading a shared part
#: of usual length once more to be in time is worth it.
_LATE_S = 1.0
#: Shares of the target up to which a first token is expected in time, and from
#: which it is expected late; measured times scatter around the expected ones.
_SURELY_IN_TIME = 0.6
_SURELY_LATE = 1.4
#: Smallest target in seconds; less is left where it has passed.
_SHORTEST_TARGET_S = 0.001
#: Workers in the order of their homes that may read a prompt, beside those
#: that hold its shared parts; further ones would read them once more each.
_HOMES = 2


@attrs.frozen
class PlacementView:
    """What a placement policy may use.

    :param load: prompts at engines.
    :param worker_records: load and health of workers.
    :param topology: distances.
    :param prefills: usable prefill workers.
    :param decodes: usable decode workers.
    :param target_s: time until the first token is late, in seconds.
    """

    load: _prompt_load.PromptLoad
    worker_records: _worker_records.WorkerRecords
    topology: _topology.Topology
    prefills: _plain_choice.Workers
    decodes: _plain_choice.Workers
    target_s: float


class PlacementPolicy(typing.Protocol):
    """Chooses the reader of a prompt; None where no worker is usable."""

    def __call__(
        self, view: PlacementView, prompt: _calls.Prompt, now: float
    ) -> _Placement | None: ...


PLACEMENT_POLICIES: registry.Registry[PlacementPolicy] = registry.Registry(
    'placement_policy'
)


@PLACEMENT_POLICIES.register('home')
def place_at_home(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Reads each prompt at the home of its shared part; a baseline."""
    workers = view.prefills or view.decodes
    if not workers:
        return None
    home = _engine_choice.rank_workers(prompt.shared_key, workers)[0]
    return _expect(view, home, prompt, now, is_first_read=True)


@PLACEMENT_POLICIES.register('predicted')
def place_by_prediction(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Reads a prompt where its first token is expected first."""
    shared = sum(part.tokens for part in prompt.parts[:-1])
    holders = {
        worker.id
        for worker in (*view.prefills, *view.decodes)
        if view.load.caches.count_cached(worker.id, prompt) >= shared
    }
    # A part that no engine holds is read for the first time at its home.
    home = (view.prefills or view.decodes) if shared and not holders else ()
    homes = {one.id for one in _rank(prompt, home)[:1]}
    candidates = [
        _expect(view, worker, prompt, now, is_first_read=worker.id in homes)
        for workers in (view.prefills, view.decodes)
        for worker in _list_readers(view, prompt, workers, holders, now)
    ]
    if not candidates:
        return None
    wait_s = _find_mean_wait(view, now)
    return min(candidates, key=lambda one: _find_cost(view, one, wait_s, now))


def _list_readers(
    view: PlacementView,
    prompt: _calls.Prompt,
    workers: _plain_choice.Workers,
    holders: set[str],
    now: float,
) -> _plain_choice.Workers:
    """Lists the workers of a stage that may read a prompt.

    Those are its homes, those that hold its shared parts, and the one where
    least waits, as a part that all of them have a queue for is better read
    once more.
    """
    found = [
        worker
        for rank, worker in enumerate(_rank(prompt, workers))
        if rank < _HOMES or worker.id in holders
    ]
    idle = min(
        workers,
        key=lambda one: (
            view.load.get_queued_work(one, now),
            _measure(view, one),
        ),
        default=None,
    )
    if idle is not None and idle not in found:
        found.append(idle)
    return tuple(found)


def _rank(
    prompt: _calls.Prompt, workers: _plain_choice.Workers
) -> _plain_choice.Workers:
    return _engine_choice.rank_workers(prompt.shared_key, workers)


def _expect(
    view: PlacementView,
    worker: schema.serving.Worker,
    prompt: _calls.Prompt,
    now: float,
    *,
    is_first_read: bool,
) -> _Placement:
    uncached = view.load.count_uncached(worker, prompt)
    work = _prefill_time.compute_work(uncached, prompt.tokens)
    waiting = view.load.get_queued_work(worker, now)
    overhead_s = _prefill_time.get_overhead_s(_measure(view, worker))
    prefill_s = (work + waiting) / _prefill_time.get_prefill_speed(worker.stage)
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return _Placement(
        prefill_worker=worker,
        expected_s=overhead_s + prefill_s * view.load.get_slowdown(worker),
        uncached=uncached,
        work=work,
        recomputed_tokens=0 if is_first_read else max(0, uncached - own),
        prefill_s=prefill_s,
        overhead_s=overhead_s,
    )


def _find_mean_wait(view: PlacementView, now: float) -> float:
    """Returns the mean wait at all engines, in seconds."""
    waits = [
        view.load.get_queued_work(worker, now)
        / _prefill_time.get_prefill_speed(worker.stage)
        for worker in (*view.prefills, *view.decodes)
    ]
    return sum(waits) / max(1, len(waits))


def _measure(
    view: PlacementView, worker: schema.serving.Worker
) -> _topology.Distance:
    return view.topology.compute_distance(view.topology.domain, worker.domain)


def _find_cost(
    view: PlacementView, placement: _Placement, wait_s: float, now: float
) -> float:
    """Returns the cost of a placement in seconds.

    :param view: what a policy may use.
    :param placement: the placement.
    :param wait_s: mean wait at all engines, in seconds.
    :param now: monotonic time in seconds.
    """
    worker = placement.prefill_worker
    distance = _measure(view, worker)
    cost_s = (
        placement.expected_s + view.worker_records.get(worker.id).failure_rate
    )
    reread_s = placement.recomputed_tokens / _prefill_time.TOKENS_PER_S
    cost_s += reread_s * _REREAD * (1 + _REREAD_GROWTH_PER_S * wait_s)
    if distance == _topology.Distance.OTHER_REGION:
        cost_s += _REGION_S
    first_token_s = placement.expected_s
    if placement.is_colocated:
        speed = _prefill_time.get_prefill_speed(worker.stage)
        waiting = view.load.get_queued_work(worker, now)
        cost_s += _INTERFERENCE * placement.work / speed
        cost_s += _CROWDING * waiting / speed
    else:
        # The decode worker is chosen near the prefill worker.
        hand_over_s = _HAND_OVER_S + _prefill_time.get_call_s(distance)
        cost_s += hand_over_s
        first_token_s += hand_over_s
    return cost_s + _LATE_S * _expect_late(first_token_s, view.target_s)


def _expect_late(first_token_s: float, target_s: float) -> float:
    """Returns the expected chance that a first token is late.

    :param first_token_s: expected time of the first token, in seconds.
    :param target_s: time until it is late, in seconds.
    """
    used = first_token_s / max(target_s, _SHORTEST_TARGET_S)
    chance = (used - _SURELY_IN_TIME) / (_SURELY_LATE - _SURELY_IN_TIME)
    return min(1, max(0, chance))
