"""Guards against crashes that stay unseen and suspicions that stay."""

import attrs
import pytest

from briarknot import membership
from briarknot.schema import messages

_TIMES = membership.DetectorTimes(heartbeat_s=1, suspect_after_s=3)
_BOTH = pytest.mark.parametrize('name', ['ring', 'random_probe'])


@attrs.define
class _Group:
    """Detectors that exchange messages at once on a common clock."""

    name: str
    now: float = 0
    silent: set[str] = attrs.field(factory=set)
    lost: set[tuple[str, str]] = attrs.field(factory=set)
    views: dict = attrs.field(factory=dict)
    detectors: dict = attrs.field(factory=dict)

    def start(self, count):
        hosts = [f'h{number}' for number in range(count)]
        listed = [
            membership.ListedHost(host=host, domain='x') for host in hosts
        ]
        for host in hosts:
            view = membership.make_members(host, 'x', 1)
            view.apply_hosts(listed, 0)
            self.views[host] = view
            self.detectors[host] = membership.make_detector(
                view, _TIMES, self.name
            )

    def run(self, duration_s):
        for _ in range(duration_s * 4):
            self.now += 0.25
            for host, detector in self.detectors.items():
                if host not in self.silent:
                    self.deliver(host, detector.tick(self.now))

    def deliver(self, source, actions):
        for action in actions:
            receivers = self.detectors
            if isinstance(action, membership.Send):
                receivers = {action.host: self.detectors[action.host]}
            for host, detector in receivers.items():
                if host == source or host in self.silent:
                    continue
                if (source, host) not in self.lost:
                    reply = detector.receive(source, action.message, self.now)
                    self.deliver(host, reply)

    def live(self, host):
        return {member.host for member in self.views[host].live()}


@pytest.fixture
def make_group():
    def make(name):
        group = _Group(name)
        group.start(6)
        group.run(20)
        assert all(len(group.live(host)) == 6 for host in group.views)
        return group

    return make


@_BOTH
def test_crashes_are_seen_by_all(make_group, name):
    """A crashed member that stays live keeps its limits without an owner."""
    group = make_group(name)
    group.silent |= {'h1', 'h2'}
    group.run(20)
    rest = {'h0', 'h3', 'h4', 'h5'}
    assert all(group.live(host) == rest for host in rest)


@_BOTH
def test_paused_member_returns_and_accuses_nobody(make_group, name):
    """A pause must not exclude a member for good, nor the others at all."""
    group = make_group(name)
    group.silent.add('h1')
    group.run(10)
    assert 'h1' not in group.live('h0')
    group.silent.clear()
    group.run(12 * 6)
    assert all(len(group.live(host)) == 6 for host in group.views)
    renewed = {
        host for host, view in group.views.items() if view.local.incarnation > 1
    }
    assert renewed == {'h1'}


@_BOTH
def test_crash_is_seen_despite_an_unknown_incarnation(make_group, name):
    """A suspicion of an old incarnation is ignored by those who know better."""
    group = make_group(name)
    group.silent.add('h1')
    newer = messages.Heartbeat(incarnation=5)
    for host in ('h0', 'h3'):
        group.views[host].apply_heartbeat('h1', newer)
    group.run(40)
    rest = group.views.keys() - {'h1'}
    assert all(group.live(host) == rest for host in rest)


@_BOTH
def test_partition_heals(make_group, name):
    """Sides that suspect each other must not ignore each other for good."""
    group = make_group(name)
    left, right = ('h0', 'h1', 'h2'), ('h3', 'h4', 'h5')
    group.lost = {(one, two) for one in left for two in right}
    group.lost |= {(two, one) for one, two in group.lost}
    group.run(30)
    assert all(group.live(host) == set(left) for host in left)
    group.lost = set()
    group.run(60)
    assert all(len(group.live(host)) == 6 for host in group.views)


def test_ring_recovers_from_a_lost_suspicion(make_group):
    """A member that missed one sends its heartbeats to a crashed member."""
    group = make_group('ring')
    group.silent.add('h1')
    group.lost = {(one, 'h2') for one in group.views}
    group.run(4)
    group.lost = set()
    group.run(40)
    rest = {'h0', 'h2', 'h3', 'h4', 'h5'}
    assert all(group.live(host) == rest for host in rest)


def test_platform_list_follows_the_list():
    """The baseline must neither keep removed hosts nor lose listed ones."""
    view = membership.make_members('a', 'x', 1)
    detector = membership.make_detector(view, _TIMES, 'platform_list')
    listed = [membership.ListedHost(host='b', domain='x')]
    for hosts, live in ((listed, 2), ([], 1), (listed, 2)):
        detector.apply_hosts(hosts, 0)
        assert len(view.live()) == live
