"""State of one engine as an entry process knows it."""

import enum
import typing

import attrs

from briarknot import schema
from briarknot.routing import _cost, _health, _prefix

#: Age from which the running and queued requests in a report no longer show
#: the load and are not used.
_REPORT_VALID_S = 10.0
#: Ended attempts that are kept until the next report.
_MAX_ENDED = 2000
#: Lower bound of the expected first-token time that observations are compared
#: with; shorter times are mostly network time.
_MIN_FIRST_TOKEN_S = 0.02
#: Attempts count as overdue beyond this multiple of the expected time, so that
#: outputs longer than expected do not count.
_OVERDUE_RATIO = 3.0
_OVERDUE_SLACK_S = 0.5
#: Interval at which the overdue factor is computed again; it grows over
#: seconds, so that computing it for each choice would be waste.
_OVERDUE_PERIOD_S = 0.1


class Part(enum.StrEnum):
    """Part of a request that an attempt runs."""

    WHOLE = 'whole'
    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One dispatch to an engine.

    :param engine_name: engine that runs it.
    :param work: the request's expected work.
    :param part: part of the request that runs there.
    :param started_s: time of the dispatch.
    :param uncached_tokens: prompt tokens that need prefill there.
    :param expected_first_token_s: expected time to the first token.
    """

    engine_name: str
    work: _cost.WorkEstimate
    part: Part
    started_s: float
    uncached_tokens: int
    expected_first_token_s: float


@attrs.define
class Drain:
    """Latest drain mark of an engine.

    :param number: number of the mark.
    :param active: whether the engine must get no work.
    """

    number: int = -1
    active: bool = False

    def apply(self, number: int, *, active: bool) -> None:
        """Applies a mark; one that is older than the last has no effect.

        A mark that is repeated after its release must not stop the engine.
        """
        is_release = number == self.number and not active
        if number > self.number or is_release:
            self.number = number
            self.active = active


@attrs.define
class _AttemptCounts:
    """Running counts of attempts, updated at each start and end.

    With 256 attempts in flight, counting them for each choice took most of
    its time.

    :param unreported_streams: open attempts that the report does not include.
    :param unreported_blocks: KV-cache blocks of these.
    :param ended_streams: ended attempts that the report still includes.
    :param backlog_tokens: prompt tokens that waited for prefill.
    :param backlog_at_s: time at which ``backlog_tokens`` was computed.
    """

    unreported_streams: int = 0
    unreported_blocks: int = 0
    ended_streams: int = 0
    backlog_tokens: float = 0
    backlog_at_s: float = 0

    def compute_backlog(self, now: float, speed: float) -> float:
        """Returns the backlog, reduced by ``speed`` for the time since."""
        drained = max(0, now - self.backlog_at_s) * speed
        return max(0, self.backlog_tokens - drained)

    def start(self, attempt: Attempt, speed: float) -> None:
        """Adds an attempt that the report does not include."""
        self.unreported_streams += 1
        self.unreported_blocks += attempt.work.kv_blocks
        backlog = self.compute_backlog(attempt.started_s, speed)
        self.backlog_tokens = backlog + attempt.uncached_tokens
        self.backlog_at_s = attempt.started_s

    def end(self, attempt: Attempt, as_of_s: float) -> None:
        """Removes an attempt."""
        if attempt.started_s > as_of_s:
            self.unreported_streams -= 1
            self.unreported_blocks -= attempt.work.kv_blocks
        else:
            self.ended_streams += 1


@attrs.define(eq=False)
class EngineView:
    """Load, role, cache, and health of one engine as this process sees them."""

    _engine: schema.fleet.Engine
    _model: schema.fleet.Model
    _report: schema.endpoints.LoadReport | None = None
    _report_as_of_s: float = float('-inf')
    _attempts: dict[int, Attempt] = attrs.field(factory=dict)
    _ended: list[tuple[float, float]] = attrs.field(factory=list)
    _counts: _AttemptCounts = attrs.field(factory=_AttemptCounts)
    _overdue: tuple[float, float] = (float('-inf'), 1)
    _cache: _prefix.PrefixCache = attrs.field(factory=_prefix.PrefixCache)
    _drain: Drain = attrs.field(factory=Drain)
    _health_state: _health.Health = attrs.field(factory=_health.Health)

    @property
    def engine(self) -> schema.fleet.Engine:
        """The engine as the document declares it."""
        return self._engine

    @property
    def health(self) -> _health.Health:
        """Penalty and exclusion."""
        return self._health_state

    @property
    def cache(self) -> _prefix.PrefixCache:
        """Blocks of the prefix cache."""
        return self._cache

    @property
    def role(self) -> schema.fleet.Role:
        """Role in force: the reported one, else the document's."""
        return self._report.role if self._report else self._engine.role

    @property
    def model_name(self) -> str:
        """Model in force, without its version."""
        if self._report and self._report.model:
            return self._report.model.partition('@')[0]
        return self._engine.model

    @property
    def instance(self) -> str:
        """Reported id of the engine's process; empty where unknown."""
        return self._report.instance if self._report else ''

    @property
    def in_flight(self) -> int:
        """Attempts of this process that have not ended."""
        return len(self._attempts)

    @property
    def drain(self) -> Drain:
        """Drain mark."""
        return self._drain

    @property
    def prefill_speed(self) -> float:
        """Prefill tokens per second, learned from reports."""
        reported = self._report.prefill_tokens_per_s if self._report else 0
        return reported or self._model.prefill_tokens_per_s

    @property
    def decode_speed(self) -> float:
        """Decode tokens per second of one stream, learned from reports."""
        reported = self._report.decode_tokens_per_s if self._report else 0
        return reported or self._model.decode_tokens_per_s

    @property
    def max_streams(self) -> int:
        """Streams that the engine decodes at once."""
        return self._model.max_streams

    def explain_unfit(self, now: float) -> str:
        """Returns why the engine takes no work; empty where it does."""
        if self._engine.leaving:
            return 'leaving'
        if self._drain.active:
            return 'draining'
        phase = self._report.phase if self._report else None
        if phase not in {None, schema.endpoints.EnginePhase.IDLE}:
            return phase.value
        return 'failed' if self._health_state.is_excluded(now) else ''

    def penalty(self, now: float) -> float:
        """Returns the factor on the engine's score, at least 1.

        An attempt that runs far longer than expected counts before it ends,
        so that an engine that stopped sending loses traffic before its
        attempts time out.
        """
        computed_at_s, factor = self._overdue
        if now - computed_at_s > _OVERDUE_PERIOD_S:
            factor = _compute_overdue_factor(
                self._attempts.values(), self.decode_speed, now
            )
            self._overdue = (now, factor)
        return max(self._health_state.penalty(now), factor)

    def count_streams(self, now: float) -> int:
        """Returns the requests that run or wait on the engine."""
        if self._report is None or not _is_valid(self._report_as_of_s, now):
            return self.in_flight
        reported = self._report.running + self._report.queued
        streams = reported + self._counts.unreported_streams
        return max(self.in_flight, streams - self._counts.ended_streams)

    def prefill_backlog(self, now: float) -> float:
        """Returns prompt tokens that wait for prefill.

        The reported queue and this process's later dispatches, reduced by the
        engine's prefill speed for the time since.
        """
        return self._counts.compute_backlog(now, self.prefill_speed)

    def count_cached_tokens(self, work: _cost.WorkEstimate) -> int:
        """Returns leading prompt tokens that the engine has in its cache."""
        count = self._cache.count_leading(work.blocks)
        return min(count * _cost.BLOCK_TOKENS, work.prompt_tokens)

    def count_missing_blocks(self, work: _cost.WorkEstimate, now: float) -> int:
        """Returns KV-cache blocks that the work needs and the engine lacks."""
        if self._report is None or not self._report.kv_blocks_total:
            return 0
        cached = self.count_cached_tokens(work) // _cost.BLOCK_TOKENS
        needed = work.kv_blocks - cached + self._counts.unreported_blocks
        return max(0, needed - self._report.kv_blocks_free)

    def set_document(
        self, engine: schema.fleet.Engine, model: schema.fleet.Model
    ) -> None:
        """Applies the engine's declaration in a new document."""
        self._engine = engine
        self._model = model

    def apply_report(
        self, report: schema.endpoints.LoadReport, now: float
    ) -> None:
        """Applies a load report; one that is older than the last is ignored."""
        as_of = now - report.as_of_age_s
        if as_of < self._report_as_of_s:
            return
        self._report = report
        self._report_as_of_s = as_of
        self._ended = [pair for pair in self._ended if pair[1] > as_of]
        self._recount()
        self._cache.set_size(report.kv_blocks_total)
        self._health_state.apply_liveness(as_of)

    def start_attempt(
        self, work: _cost.WorkEstimate, now: float, part: Part
    ) -> Attempt:
        """Counts a dispatch at once, before a report includes it."""
        uncached = work.prompt_tokens - self.count_cached_tokens(work)
        if part is Part.DECODE:
            uncached = 0
        tokens = self.prefill_backlog(now) + uncached
        attempt = Attempt(
            engine_name=self._engine.name,
            work=work,
            part=part,
            started_s=now,
            uncached_tokens=uncached,
            expected_first_token_s=tokens / self.prefill_speed,
        )
        self._attempts[id(attempt)] = attempt
        self._counts.start(attempt, self.prefill_speed)
        # Requests with this prefix prefer the engine before it reports them.
        self._cache.store(work.blocks)
        return attempt

    def end_attempt(
        self,
        attempt: Attempt,
        now: float,
        *,
        ok: bool,
        first_token_s: float | None,
    ) -> None:
        """Ends an attempt; a second call for it has no effect."""
        if self._attempts.pop(id(attempt), None) is None:
            return
        self._counts.end(attempt, self._report_as_of_s)
        self._ended.append((attempt.started_s, now))
        # Bounds the list where no reports arrive.
        del self._ended[:-_MAX_ENDED]
        if not ok:
            self._health_state.apply_error(now)
        elif first_token_s is not None:
            expected = max(attempt.expected_first_token_s, _MIN_FIRST_TOKEN_S)
            self._health_state.apply_ratio(first_token_s / expected, now)

    def _recount(self) -> None:
        """Counts the attempts again after a report."""
        as_of_s = self._report_as_of_s
        self._counts = _AttemptCounts(
            ended_streams=sum(
                started <= as_of_s < ended for started, ended in self._ended
            ),
            backlog_tokens=float(self._report.queued_prefill_tokens),
            backlog_at_s=as_of_s,
        )
        for attempt in self._attempts.values():
            if attempt.started_s > as_of_s:
                self._counts.start(attempt, self.prefill_speed)


def _compute_overdue_factor(
    attempts: typing.Iterable[Attempt], decode_speed: float, now: float
) -> float:
    """Returns the highest ratio of elapsed to expected time, at least 1."""
    highest: float = 1
    for attempt in attempts:
        output_s = attempt.work.expected_tokens / decode_speed
        expected = attempt.expected_first_token_s + output_s
        overdue = (now - attempt.started_s) / (expected + _OVERDUE_SLACK_S)
        if overdue > _OVERDUE_RATIO:
            highest = max(highest, overdue)
    return highest


def _is_valid(as_of: float, now: float) -> bool:
    return now - as_of <= _REPORT_VALID_S
