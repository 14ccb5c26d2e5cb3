"""Chooses the engine that reads a prompt."""

import collections
import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import (
    _board,
    _calls,
    _engine_choice,
    _places,
    _plain_choice,
)

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
#: Cost in seconds for each second that shared parts are read again: the
#: prompts behind wait for it, and the part takes another one's place.
_REREAD = 2.0
#: Workers in the order of their homes that may read a prompt; further ones
#: would have the shared part read once more each.
_HOMES = 2
#: Tokens of shared parts that one process believes to be in a worker's cache.
_BELIEVED_PARTS = 2000
#: Age after which a peer's message says nothing any more; most prompts are
#: read within it.
_PEER_AGE_S = 1.5
_SLOWDOWN_WEIGHT = 0.1
_LARGEST_SLOWDOWN = 8.0


@attrs.frozen
class Placement:
    """Where a prompt is read.

    :param reader: the worker; a decode worker generates the tokens too.
    :param expected_s: expected time until the prompt is read, in seconds.
    :param uncached: tokens that the worker probably has to read.
    :param reread: those of them that the prompt shares with others.
    """

    reader: schema.serving.Worker
    expected_s: float
    uncached: int
    reread: int = 0

    @property
    def is_direct(self) -> bool:
        """Whether the reader generates the tokens too."""
        return self.reader.stage == _Stage.DECODE


@attrs.frozen
class _PeerTokens:
    """What another process has at the engines.

    :param order: start of the process and number of its message.
    :param seen_s: monotonic time at which the message came.
    :param tokens: tokens by worker id.
    """

    order: tuple[int, int]
    seen_s: float
    tokens: dict[str, int]


@attrs.define(eq=False)
class PromptLoad:
    """Prompts that this process has at engines, and their caches."""

    _tokens: collections.Counter = attrs.field(factory=collections.Counter)
    _slowdowns: dict[str, float] = attrs.field(factory=dict)
    _parts: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    _peers: dict[str, _PeerTokens] = attrs.field(factory=dict)

    @property
    def own_tokens(self) -> dict[str, int]:
        """Prompt tokens of this process at each worker."""
        return dict(self._tokens)

    def apply_peer(
        self, message: schema.messages.PromptTokens, now: float
    ) -> None:
        """Takes what another process has at the engines.

        :param message: the message; an older one than known is dropped.
        :param now: monotonic time in seconds.
        """
        order = (message.born_ms, message.sequence)
        known = self._peers.get(message.host)
        if known is None or known.order < order:
            tokens = {one.worker: one.tokens for one in message.workers}
            self._peers[message.host] = _PeerTokens(order, now, tokens)

    def add(self, placement: Placement, prompt: _calls.Prompt) -> None:
        """Counts a prompt that is sent to its reader."""
        self._tokens[placement.reader.id] += placement.uncached
        for part in prompt.parts[:-1]:
            key = (placement.reader.id, part.id)
            self._parts[key] = part.tokens
            self._parts.move_to_end(key)
        while len(self._parts) > _BELIEVED_PARTS:
            self._parts.popitem(last=False)

    def remove(
        self, placement: Placement, seconds: float, *, is_read: bool
    ) -> None:
        """Ends the count of a prompt.

        :param placement: where it was read.
        :param seconds: time that it took.
        :param is_read: whether it was read, so that the time tells something.
        """
        worker_id = placement.reader.id
        # A worker that is gone was forgotten with the prompts it had.
        left = self._tokens.pop(worker_id, 0) - placement.uncached
        if left > 0:
            self._tokens[worker_id] = left
        if not is_read:
            return
        before = self._slowdowns.get(worker_id, 1.0)
        seen = min(
            _LARGEST_SLOWDOWN,
            max(1.0, seconds / max(placement.expected_s, _HAND_OVER_S)),
        )
        # The expectation contains the slowdown of that time.
        target = min(_LARGEST_SLOWDOWN, before * seen) if seen > 1 else 1.0
        step = _SLOWDOWN_WEIGHT * (target - before)
        self._slowdowns[worker_id] = before + step

    def count_uncached(
        self,
        worker: schema.serving.Worker,
        prompt: _calls.Prompt,
        *,
        is_home: bool,
    ) -> int:
        """Estimates the tokens that a worker has to read.

        :param worker: the worker.
        :param prompt: the prompt.
        :param is_home: whether all processes send the shared part there.
        """
        cached = 0
        for part in prompt.parts[:-1]:
            if not is_home and (worker.id, part.id) not in self._parts:
                break
            cached += part.tokens
        return max(1, prompt.tokens - cached)

    def find_wait(self, worker: schema.serving.Worker, now: float) -> int:
        """Estimates the tokens of all processes that wait at a worker.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        return self._tokens[worker.id] + sum(
            peer.tokens.get(worker.id, 0)
            for peer in self._peers.values()
            if now - peer.seen_s < _PEER_AGE_S
        )

    def find_slowdown(self, worker: schema.serving.Worker) -> float:
        """Returns by how much a worker is slower than expected."""
        return self._slowdowns.get(worker.id, 1.0)

    def forget(self, worker_id: str) -> None:
        """Drops what is known of a worker that is gone."""
        self._tokens.pop(worker_id, None)
        self._slowdowns.pop(worker_id, None)


@attrs.frozen
class PlacementView:
    """What a placement policy may use.

    :param load: prompts at engines.
    :param board: load and health of workers.
    :param places: distances.
    :param prefills: usable prefill workers.
    :param decodes: usable decode workers.
    """

    load: PromptLoad
    board: _board.Board
    places: _places.Places
    prefills: _plain_choice.Workers
    decodes: _plain_choice.Workers


class PlacementPolicy(typing.Protocol):
    """Chooses the reader of a prompt; None where no worker is usable."""

    def __call__(
        self, view: PlacementView, prompt: _calls.Prompt, now: float
    ) -> Placement | None: ...


PLACEMENT_POLICIES: registry.Registry[PlacementPolicy] = registry.Registry(
    'placement_policy'
)


@PLACEMENT_POLICIES.register('home')
def place_at_home(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> Placement | None:
    """Reads each prompt at the home of its shared part; a baseline."""
    workers = view.prefills or view.decodes
    if not workers:
        return None
    home = _engine_choice.rank_homes(prompt.shared_key, workers)[0]
    return _expect(view, home, prompt, now, is_home=True)


@PLACEMENT_POLICIES.register('predicted')
def place_by_prediction(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> Placement | None:
    """Reads a prompt where its first token is expected first."""
    candidates = [
        _expect(view, worker, prompt, now, is_home=not rank)
        for workers in (view.prefills, view.decodes)
        for rank, worker in enumerate(
            _engine_choice.rank_homes(prompt.shared_key, workers)[:_HOMES]
        )
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda one: _find_cost(view, one))


def _expect(
    view: PlacementView,
    worker: schema.serving.Worker,
    prompt: _calls.Prompt,
    now: float,
    *,
    is_home: bool,
) -> Placement:
    is_direct = worker.stage == _Stage.DECODE
    uncached = view.load.count_uncached(
        worker, prompt, is_home=is_home and not is_direct
    )
    speed = _PREFILL_TOKENS_PER_S
    if is_direct:
        speed *= _DECODE_SHARE
    reading_s = (uncached + view.load.find_wait(worker, now)) / speed
    expected_s = reading_s * view.load.find_slowdown(worker)
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return Placement(worker, expected_s, uncached, max(0, uncached - own))


def _find_cost(view: PlacementView, placement: Placement) -> float:
    failures = view.board.find(placement.reader.id).failure_rate
    speed = _PREFILL_TOKENS_PER_S * _DECODE_SHARE
    extra_s = _HAND_OVER_S
    if placement.is_direct:
        extra_s = placement.uncached / speed * _INTERFERENCE
    extra_s += placement.reread / _PREFILL_TOKENS_PER_S * _REREAD
    return placement.expected_s + extra_s + failures


def make_prompt_load() -> PromptLoad:
    """Makes the load of a process that has sent nothing."""
    return PromptLoad()
