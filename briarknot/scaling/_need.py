"""How many workers the demand of the last seconds needs."""

import collections
import math
import typing

import attrs

from briarknot import planning
from briarknot.scaling import _snapshot

#: Demand moves in waves with a period of about 11 s, so that the mean of one period
#: doesn't depend on its phase.
_PERIOD_S = 11.0
#: Demand at the crest of a wave over its mean.
_CREST = 1.27
#: The same over the mean of the trough, which is all that a shorter window may have.
_CREST_OVER_TROUGH = 1.5
#: Window in which a step of demand must show. Busy workers, counted over 2 s, vary by
#: an eighth around their mean with 6 busy workers and prompts of 0.1 s.
_SHORT_S = 2.0
#: The same while prompts wait too long: the mean of 2 s follows a step too late.
_URGENT_S = 1.0
#: Time that samples must span: a single one of 8 busy workers on average had 10.
_MIN_WINDOW_S = 0.5
#: Window of the queues, longer than a single prompt of 20,000 tokens (0.4 s).
_QUEUE_S = 0.75
#: Workers beyond the load, in square roots of the load: a fifth to a quarter of the
#: prompts then find all workers busy at loads of 6 to 20 (Erlang C).
_RESERVE = 1.0
#: Prefill workers over the load at the crest that suffice for some seconds, until
#: replacements serve. The mean utilization over a wave stays below three quarters.
_SHORT_TERM_RESERVE = 1.1
#: Share of slots and KV cache that streams may take at the crest. After the loss of one
#: of six domains, and with 1.7 times the mean demand, it is 0.64; the stage planner
#: counts decode workers as too few from 0.7.
_DECODE_USE = 0.4
#: The same for some seconds, until replacements serve.
_SHORT_TERM_DECODE_USE = 0.6
#: Share of the engines that the stage planner keeps for decode.
_DECODE_SHARE = 0.3
#: With one prefill worker, its loss stops all prompts.
_MIN_PREFILL_WORKERS = 2
#: Time after which demand that began before the first sample is known: figures are
#: up to 1.3 s old, and queues are averaged.
_MIN_OPEN_S = 2.0
#: Time of demand from which the number of workers follows it.
_MIN_OBSERVED_S = 5.0
#: Share of the latency target that a prompt may spend in a queue; the rest is for
#: its own prefill, the transfer of its KV cache and the first decode step.
_QUEUE_SHARE = 0.25
#: Shorter waiting times are those of single prompts at work; the stage planner
#: ignores them too.
_MIN_QUEUE_S = 0.15
#: Target of callers where no route states one.
_DEFAULT_TARGET_S = 1.0


@attrs.frozen(kw_only=True)
class Need:
    """Workers of both kinds that the demand needs.

    :param total: workers needed now.
    :param kept: workers below which none are released; more than the total before
        a whole wave was observed.
    :param lasting: workers needed without a burst or a queue of this moment.
    :param short_term: workers that suffice for some seconds after a loss.
    :param is_observed: whether demand was observed for long enough.
    :param is_quiet: whether prompts hardly wait, so that workers may be released.
    :param reason: figures behind the numbers.
    """

    total: int
    kept: int
    lasting: int
    short_term: int
    is_observed: bool
    is_quiet: bool
    reason: str


@attrs.frozen
class _Sample:
    """Load at one moment, in workers; the backlog in seconds of work."""

    time_s: float
    prefill: float
    backlog_s: float
    queued_s: float
    decode: float


@attrs.define(eq=False)
class DemandWindow:
    """Load of the last period of demand."""

    _samples: collections.deque[_Sample] = attrs.field(
        factory=collections.deque
    )
    _first_s: float | None = None
    _opened_s: float = float('inf')

    def add(self, demand: _snapshot.Demand, now: float) -> None:
        """Adds the load at one moment; moments before any load are left out.

        :param demand: the load.
        :param now: monotonic time in seconds.
        """
        self._opened_s = min(self._opened_s, now)
        if not self._samples and not (
            demand.busy_prefill or demand.busy_decode_share
        ):
            return
        if self._first_s is None:
            self._first_s = now
        self._samples.append(
            _Sample(
                time_s=now,
                prefill=demand.busy_prefill,
                backlog_s=demand.queued_s * demand.prefill_workers,
                queued_s=demand.queued_s,
                decode=demand.busy_decode_share * demand.decode_workers,
            )
        )
        while self._samples[0].time_s <= now - _PERIOD_S:
            self._samples.popleft()

    def compute_need(self, snapshot: _snapshot.Snapshot, now: float) -> Need:
        """Returns the workers that the demand needs.

        :param snapshot: the workers and their latest load.
        :param now: monotonic time in seconds.
        """
        least = planning.count_least_decode_workers(snapshot.demand.versions)
        first_s = now if self._first_s is None else self._first_s
        observed_s = now - first_s
        mean = self._compute_offered(now, _PERIOD_S)
        lasting = _CREST * mean
        peak = max(lasting, self._compute_offered(now, _SHORT_S))
        decode = max((one.decode for one in self._samples), default=0)
        queued_s = self._compute_queued_s(now)
        late_s = max(0, queued_s - get_allowed_queue_s(snapshot.target_s))
        # What waits too long ends within the time of a boot.
        if late_s:
            peak = max(peak, self._compute_offered(now, _URGENT_S))
        extra = math.ceil(
            late_s
            * snapshot.demand.prefill_workers
            / max(1, snapshot.limits.boot_s)
        )
        usual = _count_with_reserve(lasting)
        hurried = max(
            _MIN_PREFILL_WORKERS, math.ceil(peak * _SHORT_TERM_RESERVE)
        )
        full_decode = max(least, math.ceil(decode / _DECODE_USE))
        total = _sum_stages(max(usual, hurried) + extra, full_decode)
        kept = total
        if observed_s < _PERIOD_S:
            most = _count_with_reserve(_CREST_OVER_TROUGH * mean)
            kept = max(total, _sum_stages(most, full_decode))
        return Need(
            total=total,
            kept=kept,
            lasting=_sum_stages(usual, full_decode),
            short_term=_sum_stages(
                hurried, max(least, math.ceil(decode / _SHORT_TERM_DECODE_USE))
            ),
            is_observed=observed_s >= _MIN_OBSERVED_S,
            is_quiet=queued_s <= _MIN_QUEUE_S
            and now - self._opened_s >= _MIN_OPEN_S
            # Without one of the stages, its work doesn't show.
            and min(
                snapshot.demand.prefill_workers, snapshot.demand.decode_workers
            )
            > 0,
            reason=(
                f'{lasting:.1f} busy prefill workers at the crest,'
                f' {peak:.1f} at the peak, {decode:.1f} decode workers in use,'
                f' prompts wait {queued_s:.2f} s'
            ),
        )

    def _compute_offered(self, now: float, window_s: float) -> float:
        """Returns the mean work that arrives per second, in busy workers.

        Where all workers are busy, the rest of the work makes the backlog grow.
        """
        recent = self._list_recent(now, window_s)
        if not recent:
            return 0
        length_s = recent[-1].time_s - recent[0].time_s
        if length_s < _MIN_WINDOW_S:
            return 0
        busy = sum(one.prefill for one in recent) / len(recent)
        growth_s = recent[-1].backlog_s - recent[0].backlog_s
        return busy + max(0, growth_s) / length_s

    def _compute_queued_s(self, now: float) -> float:
        recent = self._list_recent(now, _QUEUE_S)
        return sum(one.queued_s for one in recent) / max(1, len(recent))

    def _list_recent(
        self, now: float, window_s: float
    ) -> typing.Sequence[_Sample]:
        return [one for one in self._samples if one.time_s > now - window_s]


def get_allowed_queue_s(target_s: float) -> float:
    """Returns the queueing time that callers' targets allow.

    :param target_s: shortest latency target in seconds; 0 if there is none.
    """
    return max(_MIN_QUEUE_S, _QUEUE_SHARE * (target_s or _DEFAULT_TARGET_S))


def _count_with_reserve(load: float) -> int:
    workers = math.ceil(load + _RESERVE * math.sqrt(load))
    return max(_MIN_PREFILL_WORKERS, workers)


def _sum_stages(prefill: int, decode: int) -> int:
    return max(prefill + decode, math.ceil(prefill / (1 - _DECODE_SHARE)))
