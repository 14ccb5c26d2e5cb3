"""Guards fleet-wide limits against lost, late, and old news."""

import random

import pytest

from briarknot import admission

_HOSTS = tuple(f'h{index}' for index in range(8))
_LIMIT = 8
_STEP_S = 0.05
_WORK_S = 0.05
_WINDOW_S = 10
_MAX_OVERSHOOT = 1.05
_NONE_CUT: tuple[str, ...] = ()


class _Fleet:
    """Eight members and an owner, with messages that a test delays."""

    def __init__(self, seed):
        self.now = 0
        self.random = random.Random(seed)
        self.members = {host: self._make_member() for host in _HOSTS}
        self.owner = admission.make_limit_owner('a', _LIMIT, _HOSTS, 0)
        self.hot = _HOSTS
        self.loss = 0
        self.delay_s = 0
        self.cut = frozenset()
        self._mail = []
        self._admitted = [0]

    def run(self, duration_s):
        """Offers three times the limit and returns the highest overshoot."""
        for _ in range(round(duration_s / _STEP_S)):
            self.now += _STEP_S
            if round(self.now / _STEP_S) % 20 == 0:
                self._ask()
            self._deliver()
            self._admitted.append(self._admitted[-1] + self._offer())
        steps = round(_WINDOW_S / _STEP_S)
        return max(
            (later - earlier) / (_LIMIT * _WINDOW_S)
            for earlier, later in zip(
                self._admitted, self._admitted[steps:], strict=False
            )
        )

    def use_share(self):
        """Returns the latest window's admitted share of the limit."""
        steps = round(_WINDOW_S / _STEP_S)
        work = self._admitted[-1] - self._admitted[-1 - steps]
        return work / (_LIMIT * _WINDOW_S)

    def restart(self, host):
        """Replaces a member that forgets its grant."""
        self.members[host] = self._make_member()

    def _make_member(self):
        return admission.make_limit_member('a', _LIMIT, 8, self.now)

    def _offer(self):
        offers = round(3 * _LIMIT * _STEP_S / _WORK_S / len(self.hot))
        admitted = 0
        for host in self.hot:
            for _ in range(offers):
                if self.members[host].take(_WORK_S, self.now) is None:
                    admitted += _WORK_S
        return admitted

    def _ask(self):
        for host, member in self.members.items():
            request = member.make_request(self.now)
            if request and host not in self.cut and self._passes():
                self._mail.append((self._arrival(), host, request))

    def _deliver(self):
        due = [mail for mail in self._mail if mail[0] <= self.now]
        self._mail = [mail for mail in self._mail if mail[0] > self.now]
        for _, host, message in due:
            if hasattr(message, 'rate'):
                self.members[host].apply_grant(message, self.now)
                continue
            grant = self.owner.apply_request(host, message, self.now)
            if grant and self._passes() and host not in self.cut:
                self._mail.append((self._arrival(), host, grant))

    def _arrival(self):
        return self.now + self.random.uniform(0, self.delay_s)

    def _passes(self):
        return self.random.random() >= self.loss


@pytest.mark.parametrize('loss', [0, 0.5])
@pytest.mark.parametrize('delay_s', [0, 3])
def test_limit_holds_while_demand_moves(loss, delay_s):
    """Old grants and new ones together must not exceed the limit."""
    fleet = _Fleet(1)
    fleet.loss = loss
    fleet.delay_s = delay_s
    worst = []
    for index in range(6):
        fleet.hot = (_HOSTS[index], _HOSTS[index + 1])
        worst.append(fleet.run(12))
    assert max(worst) < _MAX_OVERSHOOT


def test_limit_holds_through_partitions_and_a_new_owner():
    """Members without news must not add their shares to others' grants."""
    fleet = _Fleet(2)
    fleet.hot = _HOSTS[:1]
    fleet.run(30)
    for cut in (_HOSTS[1:], _HOSTS[:1], _HOSTS, _NONE_CUT):
        fleet.cut = frozenset(cut)
        fleet.hot = _HOSTS
        assert fleet.run(25) < _MAX_OVERSHOOT
    fleet.owner = admission.make_limit_owner('a', _LIMIT, _HOSTS, fleet.now)
    fleet.restart(_HOSTS[3])
    assert fleet.run(30) < _MAX_OVERSHOOT


def test_credits_move_to_where_the_demand_is():
    """A limit that stays divided equally would starve a single host."""
    fleet = _Fleet(3)
    fleet.run(30)
    assert fleet.use_share() * 100 > 95
    fleet.hot = _HOSTS[:1]
    fleet.run(40)
    assert fleet.use_share() * 100 > 75


def test_few_names_move_when_a_member_leaves():
    """An owner that changes for no reason would stop answers for seconds."""
    names = [f'account-{index}' for index in range(400)]
    before = [admission.choose_owner(name, _HOSTS) for name in names]
    after = [admission.choose_owner(name, _HOSTS[1:]) for name in names]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {_HOSTS[0]} and len(moved) < 90
