"""Expected delays of running a request on an engine or a pair of engines."""

import attrs

from briarknot import schema
from briarknot.routing import _cost, _engine

_Role = schema.fleet.Role

#: Prior for the transfer of one block of 2,000 tokens between two engines
#: and for the extra round trip; to be replaced by measured figures.
_HANDOVER_S_PER_BLOCK = 0.005
_HANDOVER_S = 0.004
#: Share by which a full batch slows each of its streams.
_BATCH_SLOWDOWN = 0.1


@attrs.frozen(kw_only=True)
class Candidate:
    """A way to run a request.

    :param decoder: engine that decodes, and prefills unless there is a pair.
    :param prefiller: engine that prefills, or None.
    """

    decoder: _engine.EngineView
    prefiller: _engine.EngineView | None = None

    @property
    def names(self) -> str:
        """Names of the engines for reasons."""
        if self.prefiller is None:
            return self.decoder.engine.name
        return f'{self.prefiller.engine.name}>{self.decoder.engine.name}'


@attrs.frozen(kw_only=True)
class Score:
    """Expected delays of a candidate, in seconds.

    :param candidate: the way to run the request.
    :param queue_s: wait for prefill and for a stream.
    :param prefill_s: prefill of the uncached part of the prompt.
    :param handover_s: transfer of the KV cache between two engines.
    :param interference_s: delay of the streams in decode, and by them.
    :param penalty: factor for slow and failing engines, from 1.
    :param cached_tokens: prompt tokens found in the prefix cache.
    """

    candidate: Candidate
    queue_s: float
    prefill_s: float
    handover_s: float
    interference_s: float
    penalty: float
    cached_tokens: int

    @property
    def first_token_s(self) -> float:
        """Expected time to the first token."""
        return (self.queue_s + self.prefill_s + self.handover_s) * self.penalty

    @property
    def total_s(self) -> float:
        """The figure by which candidates are compared."""
        return self.first_token_s + self.interference_s * self.penalty


def measure_candidate(
    candidate: Candidate, work: _cost.WorkEstimate, now: float
) -> Score:
    """Computes the expected delays of a candidate.

    :param candidate: the way to run the request.
    :param work: the request's expected work.
    :param now: monotonic time in seconds.
    """
    decoder = candidate.decoder
    prefiller = candidate.prefiller or decoder
    cached = prefiller.count_cached_tokens(work)
    prefill_s = (work.prompt_tokens - cached) / prefiller.prefill_speed
    backlog_s = prefiller.prefill_backlog(now) / prefiller.prefill_speed
    handover_s = 0
    if candidate.prefiller is not None:
        missing = work.prompt_tokens - decoder.count_cached_tokens(work)
        blocks = missing / _cost.BLOCK_TOKENS
        handover_s = _HANDOVER_S + blocks * _HANDOVER_S_PER_BLOCK
    return Score(
        candidate=candidate,
        queue_s=backlog_s + _wait_for_stream(decoder, work, now),
        prefill_s=prefill_s,
        handover_s=handover_s,
        interference_s=_measure_interference(prefiller, decoder, work, now),
        penalty=max(prefiller.penalty(now), decoder.penalty(now)),
        cached_tokens=cached,
    )


def _wait_for_stream(
    decoder: _engine.EngineView, work: _cost.WorkEstimate, now: float
) -> float:
    """Returns the wait for a free stream and for free KV-cache blocks."""
    stream_s = work.expected_tokens / decoder.decode_speed
    ahead = max(0, decoder.count_streams(now) - decoder.max_streams + 1)
    ahead = max(ahead, decoder.count_missing_blocks(work, now))
    return ahead * stream_s / decoder.max_streams


def _measure_interference(
    prefiller: _engine.EngineView,
    decoder: _engine.EngineView,
    work: _cost.WorkEstimate,
    now: float,
) -> float:
    fullness = min(1.0, decoder.count_streams(now) / decoder.max_streams)
    slowdown_s = work.expected_tokens / decoder.decode_speed * _BATCH_SLOWDOWN
    if prefiller.role == _Role.MIXED:
        streams = min(1.0, prefiller.count_streams(now) / prefiller.max_streams)
        uncached = work.prompt_tokens - prefiller.count_cached_tokens(work)
        # Decode streams on the engine stand still during its prefill.
        return fullness * slowdown_s + streams * (
            uncached / prefiller.prefill_speed
        )
    return fullness * slowdown_s


def list_candidates(
    fit: tuple[_engine.EngineView, ...],
    work: _cost.WorkEstimate,
    now: float,
) -> list[Candidate]:
    """Lists ways to run a request on engines that take work.

    A pair's prefill engine is the best one by its own delays; the choice
    among all pairs would grow with the product of their numbers.

    :param fit: engines that serve the model and take work.
    :param work: the request's expected work.
    :param now: monotonic time in seconds.
    """
    mixed = [one for one in fit if one.role == _Role.MIXED]
    prefill = [one for one in fit if one.role == _Role.PREFILL]
    decode = [one for one in fit if one.role == _Role.DECODE]
    candidates = [Candidate(decoder=one) for one in mixed]
    if prefill:
        best = _choose_prefiller(prefill, work, now)
        candidates.extend(
            Candidate(decoder=one, prefiller=best) for one in decode + mixed
        )
    if mixed and decode:
        best = _choose_prefiller(mixed, work, now)
        candidates.extend(
            Candidate(decoder=one, prefiller=best) for one in decode
        )
    return candidates


def _choose_prefiller(
    engines: list[_engine.EngineView], work: _cost.WorkEstimate, now: float
) -> _engine.EngineView:
    def measure(one: _engine.EngineView) -> float:
        uncached = work.prompt_tokens - one.count_cached_tokens(work)
        tokens = one.prefill_backlog(now) + uncached
        return tokens / one.prefill_speed * one.penalty(now)

    return min(engines, key=measure)
