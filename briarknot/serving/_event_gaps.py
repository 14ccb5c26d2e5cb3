"""Estimate of the gaps between events of streams at decode workers.

A decode worker that prefills a prompt reads a piece of it before each step, and
an event takes several steps. How long its streams pause therefore depends on
the engine, and is learned from the streams of this process.
"""

import attrs

#: Gaps that are assumed before the first stream has ended.
_PRIOR_GAP_S = 0.05
_PRIOR_STALL_S = 0.2
#: Weight of the latest stream in the moving averages. A wrong prior is
#: forgotten after about ten streams.
_WEIGHT = 0.2
#: Queued prefill up to which a gap counts as undisturbed, and from which the
#: streams of a worker count as fully stalled, in seconds.
_MAX_IDLE_QUEUE_S = 0.03
_MIN_STALLED_QUEUE_S = 0.3
#: Longer gaps are those of failing workers.
_MAX_GAP_S = 1.0


@attrs.define(eq=False)
class _ServiceGaps:
    """Moving averages of the engines of one service.

    :param gap_s: longest gap of a stream without prefill at its worker.
    :param stall_s: by how much continuous prefill extends it.
    """

    gap_s: float = _PRIOR_GAP_S
    stall_s: float = _PRIOR_STALL_S


_PRIOR = _ServiceGaps()


@attrs.define(eq=False)
class EventGaps:
    """Gaps between events by service."""

    _services: dict[str, _ServiceGaps] = attrs.field(factory=dict)

    def record(self, service: str, gap_s: float, queued_s: float) -> None:
        """Records the longest gap of a complete stream.

        :param service: service of the worker.
        :param gap_s: longest gap between events, in seconds.
        :param queued_s: time of the prefill that was queued at the worker.
        """
        gaps = self._services.setdefault(service, _ServiceGaps())
        gap_s = min(gap_s, _MAX_GAP_S)
        if queued_s <= _MAX_IDLE_QUEUE_S:
            gaps.gap_s += _WEIGHT * (gap_s - gaps.gap_s)
        elif queued_s >= _MIN_STALLED_QUEUE_S:
            stall_s = max(0, gap_s - gaps.gap_s)
            gaps.stall_s += _WEIGHT * (stall_s - gaps.stall_s)

    def estimate(self, service: str, queued_s: float) -> float:
        """Returns the expected longest gap of a stream, in seconds.

        :param service: service of the worker.
        :param queued_s: time of the prefill that is queued at the worker.
        """
        gaps = self._services.get(service, _PRIOR)
        return gaps.gap_s + min(queued_s, gaps.stall_s)


def make_event_gaps() -> EventGaps:
    """Makes estimates without observations.

    >>> gaps = make_event_gaps()
    >>> for _ in range(30):
    ...     gaps.record('lm', 0.45, queued_s=1.0)
    >>> round(gaps.estimate('lm', queued_s=1.0), 2)
    0.45
    """
    return EventGaps()
