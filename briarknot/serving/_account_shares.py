"""Shares of client accounts in the work of the prompts that this process sends."""

import collections
import typing

import attrs

#: Time over which work counts: the shares must follow bursts, which last some
#: seconds.
_WINDOW_S = 5.0


class _Sent(typing.NamedTuple):
    """A prompt that was sent."""

    sent_s: float
    group: tuple[str, int]
    account: str
    work: int


@attrs.define(eq=False)
class AccountShares:
    """Work of the last seconds by account, for each service and rank."""

    _sent: collections.deque[_Sent] = attrs.field(factory=collections.deque)
    _work: dict[tuple[str, int], collections.Counter[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )

    def record(
        self, group: tuple[str, int], account: str, work: int, now: float
    ) -> None:
        """Records a prompt that is sent.

        :param group: service and rank of the prompt.
        :param account: client account; empty for none, which is not counted.
        :param work: its work in tokens.
        :param now: monotonic time in seconds.
        """
        if account:
            self._drop_outdated(now)
            self._sent.append(_Sent(now, group, account, work))
            self._work[group][account] += work

    def is_above(
        self, group: tuple[str, int], account: str, now: float
    ) -> bool:
        """Returns whether an account has more work than the mean account.

        Only accounts with work count, so that unused shares go to others.

        :param group: service and rank of the prompt.
        :param account: client account; empty for none.
        :param now: monotonic time in seconds.
        """
        self._drop_outdated(now)
        works = self._work.get(group)
        if not (account and works):
            return False
        return works[account] * len(works) > works.total()

    def _drop_outdated(self, now: float) -> None:
        while self._sent and now - self._sent[0].sent_s > _WINDOW_S:
            sent = self._sent.popleft()
            works = self._work[sent.group]
            works[sent.account] -= sent.work
            if not works[sent.account]:
                del works[sent.account]
            if not works:
                del self._work[sent.group]
