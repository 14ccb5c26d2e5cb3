"""Guards against views that go back, or that lose or keep a suspicion."""

import pytest
from hypothesis import stateful, strategies

from briarknot import membership
from briarknot.schema import messages

_HOSTS = strategies.sampled_from(('b', 'c'))
_NUMBERS = strategies.integers(min_value=0, max_value=6)


class View(stateful.RuleBasedStateMachine):
    """Messages in any order, with repeats, against the highest ones sent.

    Guards against an incarnation that goes back, a crashed member that a late
    message brings back, and a refuted suspicion that a late copy renews.
    """

    def __init__(self):
        super().__init__()
        self.view = membership.make_members('a', 'x', 1)
        self.view.apply_hosts(
            [membership.ListedHost(host=host, domain='x') for host in 'abc'], 0
        )
        self.highest = {'b': (0, False), 'c': (0, False)}

    def note(self, host, number, is_suspected):
        self.highest[host] = max(self.highest[host], (number, is_suspected))

    @stateful.rule(host=_HOSTS, number=_NUMBERS)
    def beat(self, host, number):
        self.view.apply_heartbeat(host, messages.Heartbeat(incarnation=number))
        self.note(host, number, is_suspected=False)

    @stateful.rule(
        host=_HOSTS, number=_NUMBERS, suspected=strategies.booleans()
    )
    def spread(self, host, number, suspected):
        self.view.apply_suspicion(
            messages.Suspicion(
                host=host, incarnation=number, suspected=suspected
            )
        )
        self.note(host, number, suspected)

    @stateful.rule(host=_HOSTS)
    def crash(self, host):
        self.view.suspect(host)
        self.note(host, self.highest[host][0], is_suspected=True)

    @stateful.rule(number=_NUMBERS)
    def accuse_own(self, number):
        before = self.view.local.incarnation
        self.view.apply_suspicion(
            messages.Suspicion(host='a', incarnation=number, suspected=True)
        )
        assert self.view.local.incarnation >= before
        assert self.view.local.incarnation > number
        assert not self.view.local.is_suspected

    @stateful.invariant()
    def holds_the_highest(self):
        for host, (number, is_suspected) in self.highest.items():
            member = self.view.get(host)
            assert (member.incarnation, member.is_suspected) == (
                number,
                is_suspected,
            )


TestView = View.TestCase


def test_unlisted_host_is_forgotten_only_when_suspected_for_long():
    """The list lags and the platform fails: alone it proves nothing."""
    view = membership.make_members('a', 'x', 1, forget_after_s=10)
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
    """Limits would be divided by processes that take no callers."""
    view = membership.make_members('a', 'x', 1)
    view.apply_hello(messages.Hello(host='b', domain='x', program='control'))
    assert len(view.all_known()) == 1


@pytest.mark.parametrize(('state', 'live'), [('leaving', 1), ('live', 2)])
def test_leaving_host_is_not_live(state, live):
    """A host that stops must not become the owner of a limit."""
    view = membership.make_members('a', 'x', 1)
    view.apply_hosts(
        [membership.ListedHost(host='b', domain='x', state=state)], 0
    )
    assert len(view.live('x')) == live
