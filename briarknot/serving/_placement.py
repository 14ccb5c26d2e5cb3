"""Chooses the engine that reads a prompt."""

import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import (
    _board,
    _calls,
    _engine_choice,
    _places,
    _plain_choice,
    _prompt_load,
)

_Placement = _prompt_load.Placement
_Stage = schema.serving.Stage
#: Prompt tokens that a prefill worker reads in a second before its real speed
#: is known; the deployments' engines read 56,000 and 61,000.
_PREFILL_TOKENS_PER_S = 55000.0
#: A decode worker reads a prompt at half the speed, as the platform says.
_DECODE_SHARE = 0.5
#: Time until the first token beside that of reading the prompt: a hand-over
#: needs two calls and a transfer.
_HAND_OVER_S = 0.06
#: Cost in seconds for each second that a decode worker reads a prompt, since
#: the streams of other requests pause meanwhile.
_INTERFERENCE = 0.5
#: Cost in seconds for each second that prompts wait at a decode worker: its
#: streams are slowed down for longer, up to their time limits.
_CROWDING = 1.0
#: Cost in seconds for each second that shared parts are read again: the
#: prompts behind wait for it, and the part takes another one's place.
_REREAD = 2.0
#: Workers in the order of their homes that may read a prompt, beside those
#: that hold its shared parts; further ones would read them once more each.
_HOMES = 2


@attrs.frozen
class PlacementView:
    """What a placement policy may use.

    :param load: prompts at engines.
    :param board: load and health of workers.
    :param places: distances.
    :param prefills: usable prefill workers.
    :param decodes: usable decode workers.
    """

    load: _prompt_load.PromptLoad
    board: _board.Board
    places: _places.Places
    prefills: _plain_choice.Workers
    decodes: _plain_choice.Workers


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
    home = _engine_choice.rank_homes(prompt.shared_key, workers)[0]
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
        for rank, worker in enumerate(_rank(prompt, workers))
        if rank < _HOMES or worker.id in holders
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda one: _find_cost(view, one, now))


def _rank(
    prompt: _calls.Prompt, workers: _plain_choice.Workers
) -> _plain_choice.Workers:
    return _engine_choice.rank_homes(prompt.shared_key, workers)


def _expect(
    view: PlacementView,
    worker: schema.serving.Worker,
    prompt: _calls.Prompt,
    now: float,
    *,
    is_first_read: bool,
) -> _Placement:
    uncached = view.load.count_uncached(worker, prompt)
    waiting = view.load.find_wait(worker, now)
    reading_s = (uncached + waiting) / _find_speed(worker)
    expected_s = reading_s * view.load.find_slowdown(worker)
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    reread = 0 if is_first_read else max(0, uncached - own)
    return _Placement(worker, expected_s, uncached, reread)


def _find_speed(worker: schema.serving.Worker) -> float:
    if worker.stage == _Stage.DECODE:
        return _PREFILL_TOKENS_PER_S * _DECODE_SHARE
    return _PREFILL_TOKENS_PER_S


def _find_cost(view: PlacementView, placement: _Placement, now: float) -> float:
    reader = placement.reader
    failures = view.board.find(reader.id).failure_rate
    extra_s = _HAND_OVER_S
    if placement.is_direct:
        waiting = view.load.find_wait(reader, now)
        extra_s = _INTERFERENCE * placement.uncached / _find_speed(reader)
        extra_s += _CROWDING * waiting / _find_speed(reader)
    extra_s += placement.reread / _PREFILL_TOKENS_PER_S * _REREAD
    return placement.expected_s + extra_s + failures
