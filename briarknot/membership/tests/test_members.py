"""Guards against views that revert, or that lose or keep a suspicion."""

import pytest
from hypothesis import stateful, strategies

from briarknot import membership
from briarknot.schema import messages

_HOSTS = strategies.sampled_from(('b', 'c'))
_NUMBERS = strategies.integers(min_value=0, max_value=6)


class View(stateful.RuleBasedStateMachine):
    """Applies messages in any order, with repeats.

    Guards against an incarnation that decreases, a crashed member that a late
    message marks as live, and a refuted suspicion that a late copy renews.
    """

    def __init__(self):
        super().__init__()
        self.view = membership.make_members('a', 'x', 1)
        self.view.apply_hosts(
            [membership.ListedHost(host=host, domain='x') for host in 'abc'], 0
        )
        self.highest = {'b': (0, False), 'c': (0, False)}

    def record_highest(self, host, number, is_suspected):
        self.highest[host] = max(self.highest[host], (number, is_suspected))

    @stateful.rule(host=_HOSTS, number=_NUMBERS)
    def apply_heartbeat(self, host, number):
        self.view.apply_heartbeat(host, messages.Heartbeat(incarnation=number))
        self.record_highest(host, number, is_suspected=False)

    @stateful.rule(
        host=_HOSTS, number=_NUMBERS, suspected=strategies.booleans()
    )
    def apply_suspicion(self, host, number, suspected):
        self.view.apply_suspicion(
            messages.Suspicion(
                host=host, incarnation=number, suspected=suspected
            )
        )
        self.record_highest(host, number, suspected)

    @stateful.rule(host=_HOSTS)
    def suspect(self, host):
        self.view.suspect(host)
        self.record_highest(host, self.highest[host][0], is_suspected=True)

    @stateful.rule(number=_NUMBERS)
    def suspect_local(self, number):
        before = self.view.local.incarnation
        self.view.apply_suspicion(
            messages.Suspicion(host='a', incarnation=number, suspected=True)
        )
        assert self.view.local.incarnation >= before
        assert self.view.local.incarnation > number
        assert not self.view.local.is_suspected

    @stateful.invariant()
    def view_has_the_highest_state(self):
        for host, (number, is_suspected) in self.highest.items():
            member = self.view.get(host)
            assert (member.incarnation, member.is_suspected) == (
                number,
                is_suspected,
            )


TestView = View.TestCase


def test_unlisted_host_is_removed_only_when_suspected_for_long():
    """The list lags and the platform can fail, so absence is no evidence."""
    view = membership.make_members('a', 'x', 1, remove_after_s=10)
    view.apply_hosts([membership.ListedHost(host='b', domain='x')], 0)
    view.apply_hosts([], 1)
    view.apply_hosts([], 20)
    assert len(view.live()) == 2
    view.suspect('b')
    assert [member.host for member in view.live()] == ['a']
    assert len(view.all_known()) == 2
    view.apply_hosts([], 21)
    assert len(view.all_known()) == 1


def test_control_process_is_no_member():
    """Limits would be shared with processes that serve no callers."""
    view = membership.make_members('a', 'x', 1)
    view.apply_hello(messages.Hello(host='b', domain='x', program='control'))
    assert len(view.all_known()) == 1


@pytest.mark.parametrize(('state', 'live'), [('leaving', 1), ('live', 2)])
def test_leaving_host_is_not_live(state, live):
    """A host that is shutting down must not become the owner of a limit."""
    view = membership.make_members('a', 'x', 1)
    view.apply_hosts(
        [membership.ListedHost(host='b', domain='x', state=state)], 0
    )
    assert len(view.live('x')) == live
