"""Scores of engines and engine pairs: expected delays of a request."""

import attrs

from briarknot import schema
from briarknot.routing import _cost, _engine

_Role = schema.fleet.Role

#: Assumed time to transfer one block of 2,000 tokens between two engines, and
#: of the extra round trip.
_KV_TRANSFER_S_PER_BLOCK = 0.005
_KV_TRANSFER_OVERHEAD_S = 0.004
#: Share by which decoding slows in a full batch.
_BATCH_SLOWDOWN = 0.1


@attrs.frozen(kw_only=True)
class Candidate:
    """An engine, or a pair of engines, that can run a request.

    :param decoder: engine that decodes, and prefills unless there is a pair.
    :param prefiller: engine that prefills, or None.
    """

    decoder: _engine.EngineView
    prefiller: _engine.EngineView | None = None

    @property
    def names(self) -> str:
        """Names of the engines, as texts of reasons give them."""
        if self.prefiller is None:
            return self.decoder.engine.name
        return f'{self.prefiller.engine.name}>{self.decoder.engine.name}'


@attrs.frozen(kw_only=True)
class Score:
    """Expected delays of a candidate, in seconds.

    :param candidate: the engine or pair.
    :param queue_s: wait for prefill, a free stream, and free KV-cache blocks.
    :param prefill_s: prefill of the uncached part of the prompt.
    :param kv_transfer_s: transfer of the KV cache between two engines.
    :param interference_s: slower decoding in a fuller batch, and delay of
        running streams by the prefill.
    :param penalty: factor for slow and failing engines, at least 1.
    :param cached_tokens: prompt tokens expected in the prefix cache.
    """

    candidate: Candidate
    queue_s: float
    prefill_s: float
    kv_transfer_s: float
    interference_s: float
    penalty: float
    cached_tokens: int

    @property
    def first_token_s(self) -> float:
        """Expected time to the first token."""
        return (
            self.queue_s + self.prefill_s + self.kv_transfer_s
        ) * self.penalty

    @property
    def total_s(self) -> float:
        """Score by which candidates are compared."""
        return self.first_token_s + self.interference_s * self.penalty


def score_candidate(
    candidate: Candidate, work: _cost.WorkEstimate, now: float
) -> Score:
    """Computes the expected delays of a candidate.

    :param candidate: the engine or pair.
    :param work: the request's expected work.
    :param now: monotonic time in seconds.
    """
    decoder = candidate.decoder
    prefiller = candidate.prefiller or decoder
    cached = prefiller.count_cached_tokens(work)
    prefill_s = (work.prompt_tokens - cached) / prefiller.prefill_speed
    backlog_s = prefiller.prefill_backlog(now) / prefiller.prefill_speed
    kv_transfer_s = 0
    if candidate.prefiller is not None:
        missing = work.prompt_tokens - decoder.count_cached_tokens(work)
        blocks = missing / _cost.BLOCK_TOKENS
        kv_transfer_s = (
            _KV_TRANSFER_OVERHEAD_S + blocks * _KV_TRANSFER_S_PER_BLOCK
        )
    return Score(
        candidate=candidate,
        queue_s=backlog_s + _estimate_stream_wait(decoder, work, now),
        prefill_s=prefill_s,
        kv_transfer_s=kv_transfer_s,
        interference_s=_estimate_interference(prefiller, decoder, work, now),
        penalty=max(prefiller.penalty(now), decoder.penalty(now)),
        cached_tokens=cached,
    )


def _estimate_stream_wait(
    decoder: _engine.EngineView, work: _cost.WorkEstimate, now: float
) -> float:
    """Returns the wait for a free stream and for free KV-cache blocks."""
    stream_s = work.expected_tokens / decoder.decode_speed
    ahead = max(0, decoder.count_streams(now) - decoder.max_streams + 1)
    ahead = max(ahead, decoder.count_missing_blocks(work, now))
    return ahead * stream_s / decoder.max_streams


def _estimate_interference(
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
        # Decoding on a mixed engine pauses during a prefill.
        return fullness * slowdown_s + streams * (
            uncached / prefiller.prefill_speed
        )
    return fullness * slowdown_s


def list_candidates(
    fit: tuple[_engine.EngineView, ...],
    work: _cost.WorkEstimate,
    now: float,
) -> list[Candidate]:
    """Lists the engines and pairs that can run a request.

    Only the prefill engine with the lowest delay is paired, because the number
    of all pairs is the product of the numbers of engines.

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
    def estimate_delay(one: _engine.EngineView) -> float:
        uncached = work.prompt_tokens - one.count_cached_tokens(work)
        tokens = one.prefill_backlog(now) + uncached
        return tokens / one.prefill_speed * one.penalty(now)

    return min(engines, key=estimate_delay)
