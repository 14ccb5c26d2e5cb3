"""Tests of the retry budget of the fleet."""

import hypothesis
from hypothesis import stateful, strategies

from briarknot import serving

_SHARE = 0.2
_EXTRA = 8.0
_WINDOW_S = 10.0
_HOSTS = 4


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Lets several processes retry as often as the budget allows."""

    def __init__(self):
        """Starts all processes at once."""
        super().__init__()
        self.now = 0
        self.hosts = [
            serving.make_retry_budget(_SHARE, _EXTRA, _WINDOW_S, _HOSTS)
            for _ in range(_HOSTS)
        ]
        self.requests = []
        self.retries = []

    @stateful.rule(seconds=strategies.floats(0.01, 6))
    def wait(self, seconds):
        """Advances the time."""
        self.now += seconds

    @stateful.rule(
        host=strategies.integers(0, _HOSTS - 1),
        count=strategies.integers(1, 40),
    )
    def send_requests(self, host, count):
        """Clients send requests to one process."""
        for _ in range(count):
            self.hosts[host].record_request('s', self.now)
            self.requests.append(self.now)

    @stateful.rule(host=strategies.integers(0, _HOSTS - 1))
    def retry_until_exhausted(self, host):
        """One process retries until its budget is used up."""
        while self.hosts[host].try_acquire('s', self.now):
            self.retries.append(self.now)

    @stateful.rule(host=strategies.integers(0, _HOSTS - 1))
    def restart(self, host):
        """Restarts a process, which loses the count of its retries.

        It spends its share at most twice, so that the check below allows one
        more share for each restart within a window.
        """
        self.hosts[host] = serving.make_retry_budget(
            _SHARE, _EXTRA, _WINDOW_S, _HOSTS
        )
        self.restarts.append(self.now)

    restarts: list = []

    @stateful.initialize()
    def clear_restarts(self):
        """Starts without restarts."""
        self.restarts = []

    @stateful.invariant()
    def fleet_stays_within_its_limit(self):
        """Checks that all processes together stay within the limit."""
        retries = _count(self.retries, self.now, _WINDOW_S)
        # The retries were allowed for requests in a window that ends when the
        # window of the retries ends, or up to one window earlier.
        requests = _count(self.requests, self.now, 2 * _WINDOW_S)
        restarts = _count(self.restarts, self.now, 2 * _WINDOW_S)
        allowed = _SHARE * requests + _EXTRA * (1 + restarts / _HOSTS)
        assert retries <= allowed


def _count(times, now, window_s):
    return sum(now - window_s < time <= now for time in times)


TestBudget = BudgetMachine.TestCase
TestBudget.settings = hypothesis.settings(
    hypothesis.settings.get_profile('repeatable'), stateful_step_count=30
)


def test_services_do_not_share():
    """A failing service must not use up the retries of another one."""
    budget = serving.make_retry_budget(0, 1, _WINDOW_S, hosts=1)
    assert budget.try_acquire('a', 0)
    assert not budget.try_acquire('a', 0)
    assert budget.try_acquire('b', 0)


def test_more_processes_have_smaller_shares():
    """Additional processes must not add retries to the fleet."""
    budget = serving.make_retry_budget(0, 8, _WINDOW_S, hosts=1)
    budget.set_hosts(8)
    assert [budget.try_acquire('a', 0) for _ in range(2)] == [True, False]
