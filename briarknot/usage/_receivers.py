"""Chooses the processes that get counts, and passes over silent ones."""

import typing

import attrs

#: Time without an answer after which a receiver is passed over.
_MAX_SILENCE_S = 1.5
#: Time after which a receiver that was passed over is tried again.
_RETRY_S = 10.0


@attrs.define(eq=False)
class Receivers:
    """Receivers as far as this process has heard from them."""

    _unanswered_s: dict[str, float] = attrs.field(factory=dict)
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
        since_s = self._unanswered_s.setdefault(host, now)
        if now - since_s > _MAX_SILENCE_S:
            self._passed_over_s[host] = now
            del self._unanswered_s[host]

    def record_answer(self, host: str) -> None:
        """Records that a receiver has answered.

        :param host: its host.
        """
        self._unanswered_s.pop(host, None)
        self._passed_over_s.pop(host, None)
