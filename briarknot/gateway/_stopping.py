"""Planned stop of a gateway process."""

import asyncio
import contextlib
import math
import typing

import attrs

#: Time from the start of a stop until no request is accepted any more, in seconds.
#: The platform needs two failed readiness checks, one second apart, until it sends
#: no new connections, and expects requests sent within three seconds to be served.
_LAST_ACCEPT_S = 2.8
#: Time until the listener closes. Late connections are refused with an answer.
_DEREGISTRATION_S = 3.2
#: Share of a short grace after which no request is accepted.
_MAX_ACCEPT_SHARE = 0.4
#: Time between the end of the process and the platform's kill.
_EXIT_MARGIN_S = 0.6
#: Time before the end of the process at which open requests are answered.
_ANSWER_MARGIN_S = 0.2


@attrs.frozen
class StopPlan:
    """Times of a stop, in seconds from its start.

    :param refuse_s: from then on all requests are refused.
    :param close_s: the listener closes.
    :param answer_s: open requests get their final answer.
    :param exit_s: the process ends.
    """

    refuse_s: float
    close_s: float
    answer_s: float
    exit_s: float


@attrs.define(eq=False)
class Stop:
    """Time limits of the open requests, which a stop shortens."""

    _end_s: float = math.inf
    _limits: set[asyncio.Timeout] = attrs.field(factory=set)

    @property
    def is_begun(self) -> bool:
        """Whether the process stops."""
        return math.isfinite(self._end_s)

    def begin(self, end_s: float) -> None:
        """Shortens the time limits of all open and later requests.

        A request that is still open then gets an answer. Without it, its
        connection was cut when the process ended.

        :param end_s: time of the event loop at which they end.
        """
        self._end_s = end_s
        for limit in self._limits:
            when = limit.when()
            if when is not None and when > end_s:
                limit.reschedule(end_s)

    @contextlib.asynccontextmanager
    async def limit(
        self, end_s: float
    ) -> typing.AsyncIterator[asyncio.Timeout]:
        """Limits the time of a request.

        :param end_s: time of the event loop at which it ends.
        :returns: its time limit.
        :raises TimeoutError: when it has not ended by then.
        """
        async with asyncio.timeout_at(min(end_s, self._end_s)) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    def extend(self, limit: asyncio.Timeout, end_s: float) -> None:
        """Extends the time limit of a request, at most to the end of a stop.

        :param limit: the limit.
        :param end_s: time of the event loop at which it ends.
        """
        when = limit.when()
        if when is not None and not limit.expired():
            limit.reschedule(max(when, min(end_s, self._end_s)))

    def shorten(self, remaining_s: float) -> float:
        """Returns the time that a request has, in seconds.

        :param remaining_s: time until its own deadline.
        """
        now = asyncio.get_running_loop().time()
        return min(remaining_s, self._end_s - now)


def plan_stop(grace_s: float) -> StopPlan:
    """Plans a stop.

    :param grace_s: time until the platform kills the process.

    >>> plan_stop(8)
    StopPlan(refuse_s=2.8, close_s=3.2, answer_s=7.2, exit_s=7.4)
    """
    exit_s = max(0, grace_s - _EXIT_MARGIN_S)
    refuse_s = min(_LAST_ACCEPT_S, exit_s * _MAX_ACCEPT_SHARE)
    close_s = min(exit_s, refuse_s + _DEREGISTRATION_S - _LAST_ACCEPT_S)
    return StopPlan(
        refuse_s=refuse_s,
        close_s=round(close_s, 3),
        answer_s=max(0, exit_s - _ANSWER_MARGIN_S),
        exit_s=exit_s,
    )
