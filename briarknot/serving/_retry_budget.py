"""A process's share of the fleet's budget of repeated arrivals."""

import collections

import attrs

#: Part of the share of requests that a process uses; the rest covers requests
#: that the judged window does not count.
_SHARE_USED = 0.7


@attrs.define(eq=False)
class RetryBudget:
    """Counts requests and repeats for each service in a sliding window."""

    _share: float
    _extra: float
    _window_s: float
    _hosts: int
    _requests: dict[str, collections.deque] = attrs.field(factory=dict)
    _repeats: dict[str, collections.deque] = attrs.field(factory=dict)

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Takes changed limits of the whole fleet.

        :param share: repeats for each request.
        :param extra: repeats in a window beside those of the share.
        :param window_s: length of the window in seconds.
        """
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def set_hosts(self, hosts: int) -> None:
        """Takes the number of processes that share the extra repeats."""
        self._hosts = max(1, hosts)

    def record_request(self, service: str, now: float) -> None:
        """Counts a client's request.

        :param service: service that it goes to.
        :param now: monotonic time in seconds.
        """
        self._requests.setdefault(service, collections.deque()).append(now)
        self._drop_old(self._requests[service], now)

    def try_acquire(self, service: str, now: float) -> bool:
        """Takes one repeat.

        :param service: service that it arrives at.
        :param now: monotonic time in seconds.
        :returns: whether it may be sent.
        """
        if self.count_remaining(service, now) < 1:
            return False
        self._repeats.setdefault(service, collections.deque()).append(now)
        return True

    def refund(self, service: str) -> None:
        """Gives back the newest repeat, as it arrived nowhere.

        :param service: service that it was for.
        """
        if self._repeats.get(service):
            self._repeats[service].pop()

    def count_remaining(self, service: str, now: float) -> float:
        """Returns the repeats that may still be sent in the window.

        :param service: service that they arrive at.
        :param now: monotonic time in seconds.
        """
        requests = self._requests.get(service, collections.deque())
        repeats = self._repeats.get(service, collections.deque())
        self._drop_old(requests, now)
        self._drop_old(repeats, now)
        allowed = (
            self._share * _SHARE_USED * len(requests)
            + self._extra / self._hosts
        )
        return allowed - len(repeats)

    def _drop_old(self, times: collections.deque, now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()


def make_retry_budget(
    share: float, extra: float, window_s: float, hosts: int
) -> RetryBudget:
    """Makes a budget.

    :param share: repeats for each request, over the whole fleet.
    :param extra: repeats in a window beside those of the share.
    :param window_s: length of the window in seconds.
    :param hosts: processes that share the extra repeats.

    >>> budget = make_retry_budget(0.2, 2, 10, hosts=2)
    >>> [budget.try_acquire('lm', now=0) for _ in range(2)]
    [True, False]
    """
    return RetryBudget(share, extra, window_s, max(1, hosts))
