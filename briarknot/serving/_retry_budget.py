"""Share of this process in the retry budget of the fleet."""

import collections

import attrs

#: Fraction of the allowed share of retries that a process uses. A retry may be
#: allowed for requests that are older than the window in which the limit is
#: checked; the rest covers these.
_USED_FRACTION = 0.7


@attrs.define(eq=False)
class RetryBudget:
    """Counts requests and retries of each service in a sliding window."""

    _share: float
    _extra: float
    _window_s: float
    _hosts: int
    _requests: dict[str, collections.deque] = attrs.field(factory=dict)
    _retries: dict[str, collections.deque] = attrs.field(factory=dict)

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Sets the limits of the whole fleet.

        :param share: retries per request.
        :param extra: retries per window in addition to the share.
        :param window_s: length of the window in seconds.
        """
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def set_hosts(self, hosts: int) -> None:
        """Sets the number of processes that divide the extra retries."""
        self._hosts = max(1, hosts)

    def record_request(self, service: str, now: float) -> None:
        """Counts a client's request.

        :param service: destination of the request.
        :param now: monotonic time in seconds.
        """
        self._requests.setdefault(service, collections.deque()).append(now)
        self._drop_old(self._requests[service], now)

    def try_acquire(self, service: str, now: float) -> bool:
        """Acquires one retry if the budget allows it.

        :param service: destination of the retry.
        :param now: monotonic time in seconds.
        :returns: whether the retry may be sent.
        """
        if self.count_remaining(service, now) < 1:
            return False
        self._retries.setdefault(service, collections.deque()).append(now)
        return True

    def refund(self, service: str) -> None:
        """Refunds the latest retry, which did not reach a worker.

        :param service: destination of the retry.
        """
        if self._retries.get(service):
            self._retries[service].pop()

    def count_remaining(self, service: str, now: float) -> float:
        """Returns the number of retries that may still be sent in the window.

        :param service: destination of the retries.
        :param now: monotonic time in seconds.
        """
        requests = self._requests.get(service, collections.deque())
        retries = self._retries.get(service, collections.deque())
        self._drop_old(requests, now)
        self._drop_old(retries, now)
        allowed = (
            self._share * _USED_FRACTION * len(requests)
            + self._extra / self._hosts
        )
        return allowed - len(retries)

    def _drop_old(self, times: collections.deque, now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()


def make_retry_budget(
    share: float, extra: float, window_s: float, hosts: int
) -> RetryBudget:
    """Makes a budget.

    :param share: retries per request, over the whole fleet.
    :param extra: retries per window in addition to the share.
    :param window_s: length of the window in seconds.
    :param hosts: processes that divide the extra retries.

    >>> budget = make_retry_budget(0.2, 2, 10, hosts=2)
    >>> [budget.try_acquire('lm', now=0) for _ in range(2)]
    [True, False]
    """
    return RetryBudget(share, extra, window_s, max(1, hosts))
