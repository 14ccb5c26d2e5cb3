"""Inputs and outputs of stage planners."""

import math

import attrs

from briarknot import schema, sentinels

_Stage = schema.serving.Stage


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
