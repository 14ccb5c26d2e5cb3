"""Chooses the processes that get counts, and passes over silent ones."""

import typing

import attrs

#: Time without an answer, and number of messages without one, after which a
#: receiver is passed over. While nothing is counted, messages are 2 s apart, and a
#: single lost one says nothing.
_MAX_SILENCE_S = 1.5
_MAX_UNANSWERED = 3
#: Time after which a receiver that was passed over is tried again.
_RETRY_S = 10.0


@attrs.frozen
class _Unanswered:
    """Messages to a receiver since its last answer.

    :param since_s: time of the first one in seconds.
    :param latest_s: time of the latest one in seconds.
    :param messages: their number.
    """

    since_s: float
    latest_s: float
    messages: int


@attrs.define(eq=False)
class Receivers:
    """Receivers as far as this process has heard from them."""

    _unanswered: dict[str, _Unanswered] = attrs.field(factory=dict)
    _passed_over_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self, hosts: typing.Iterable[str], count: int, now: float
    ) -> tuple[str, ...]:
        """Returns the first hosts that answer.

        :param hosts: hosts in order.
        :param count: number to choose.
        :param now: time in seconds.
        """
        usable = [
            host
            for host in hosts
            if now - self._passed_over_s.get(host, now - _RETRY_S) >= _RETRY_S
        ]
        return tuple(usable[:count])

    def record_sent(self, host: str, now: float) -> None:
        """Records that counts were sent to a receiver.

        :param host: its host.
        :param now: time in seconds.
        """
        known = self._unanswered.get(host)
        if known is None or now - known.latest_s > _RETRY_S:
            known = _Unanswered(now, now, 0)
        known = _Unanswered(known.since_s, now, known.messages + 1)
        self._unanswered[host] = known
        is_silent = now - known.since_s > _MAX_SILENCE_S
        if is_silent and known.messages > _MAX_UNANSWERED:
            self._passed_over_s[host] = now
            del self._unanswered[host]

    def record_answer(self, host: str) -> None:
        """Records that a receiver has answered.

        :param host: its host.
        """
        self._unanswered.pop(host, None)
        self._passed_over_s.pop(host, None)
