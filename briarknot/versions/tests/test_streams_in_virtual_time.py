"""Tests in virtual time that streams go on at the version that began them."""

import pytest

from briarknot.versions import _software_versions
from briarknot.versions.tests import _fleet_scenarios as scenarios
from briarknot.versions.tests import _fleet_simulation as simulation

#: Streams of the simulation last 3 s, so that this time has room for their
#: take-ups; with a short one, releases find gateways that know one version.
_SHORT_S = 7.0
#: Time after a start of a worker within which lists may show the one before.
_RESTART_S = 3.0
_SIZES = pytest.mark.parametrize(
    ('size', 'per_s', 'seconds'), [(8, 40, 80), (90, 30, 30), (195, 20, 16)]
)


@pytest.fixture
def short_streams(monkeypatch):
    """Shortens the time for which versions and origins are kept."""
    monkeypatch.setattr(_software_versions, 'MAX_STREAM_S', _SHORT_S)


def compute_share(outcomes):
    """Returns the share of the requests that were served."""
    assert len(outcomes) >= 20
    return sum(outcomes) / len(outcomes)


def assert_taken_up(fleet):
    """Asserts that take-ups go on half as often as new streams begin."""
    share = compute_share(fleet.counts.taken_up)
    assert share >= 0.5 * compute_share(fleet.counts.new)


@_SIZES
def test_calm_fleet_sends_and_writes_nothing(size, per_s, seconds):
    """Origins and records were sent while there was one version."""
    fleet = simulation.make_fleet(size, seed=1)
    scenarios.load_streams(fleet, per_s, seconds / 2)
    assert fleet.counts.records == 0
    assert fleet.counts.origins == 0
    assert fleet.store.writes == 0
    assert not fleet.counts.refusals
    assert fleet.counts.taken_up


@pytest.mark.parametrize('size', [8, 90, 195])
def test_take_ups_go_on_after_the_loss_of_gateways(size):
    """Gateways that started refused take-ups, as they had no origins.

    Others refused them when the leader was lost: their list became too old for
    a decision before they read it themselves.
    """
    fleet = simulation.make_fleet(size, seed=2)
    hosts = sorted(fleet.gateways)
    for killed in (hosts[:1], hosts, hosts[1:], hosts):
        scenarios.load_streams(fleet, 40, 3)
        fleet.kill(killed)
    scenarios.load_streams(fleet, 40, 3)
    assert not fleet.counts.refusals
    assert fleet.counts.records == 0
    assert fleet.store.writes == 0
    assert not fleet.counts.wrong


@_SIZES
def test_take_ups_go_on_during_releases(size, per_s, seconds):
    """Take-ups were refused as long as two versions were in use."""
    fleet = simulation.make_fleet(size, seed=3)
    fleet.loss = 0.02
    fleet.after(1, scenarios.Releases(fleet).step)
    scenarios.load_streams(fleet, per_s, seconds)
    assert not fleet.counts.wrong
    assert not fleet.counts.restarted
    assert_taken_up(fleet)


def test_long_release_reaches_calm_again(short_streams):
    """Versions that had left were sent and stored for ever."""
    fleet = simulation.make_fleet(8, seed=4)
    scenarios.Releases(fleet).release()
    scenarios.load_streams(fleet, 10, 2 * _SHORT_S + 12)
    counts, writes = fleet.counts, fleet.store.writes
    sent = (counts.records, counts.origins)
    scenarios.load_streams(fleet, 10, 10)
    assert (counts.records, counts.origins) == sent
    assert fleet.store.writes == writes
    assert [one.version for one in fleet.store.row.versions] == ['2']
    assert writes <= 4


@pytest.mark.parametrize('seed', range(4))
def test_streams_keep_their_version_in_disturbed_releases(seed):
    """A gateway that was cut off, suspended or killed went on at any version."""
    fleet = simulation.make_fleet(8, seed)
    fleet.loss = 0.02
    fleet.after(1, scenarios.Releases(fleet).step)
    fleet.after(2, scenarios.Disturbances(fleet).step)
    scenarios.load_streams(fleet, 30, 60)
    assert not fleet.counts.wrong
    assert_taken_up(fleet)


@pytest.mark.parametrize('seed', [*range(6), 66, 83])
def test_streams_keep_their_version_after_calm(short_streams, seed):
    """A gateway knew one version while others used a new one, or a lost one.

    Each episode begins when most gateways are certain of one version.
    """
    fleet = simulation.make_fleet(8, seed)
    fleet.loss = 0.03
    episodes = scenarios.make_episodes(fleet)
    fleet.after(3, episodes.step)
    scenarios.load_streams(fleet, 60, 90)
    assert not fleet.counts.wrong
    assert_taken_up(fleet)


@pytest.mark.parametrize(('size', 'seed'), [(90, 1), (195, 2)])
def test_streams_of_many_gateways_keep_their_version(short_streams, size, seed):
    """Most gateways of a large fleet had no part in a release."""
    fleet = simulation.make_fleet(size, seed)
    fleet.loss = 0.03
    episodes = scenarios.make_episodes(fleet)
    fleet.after(3, episodes.step)
    scenarios.load_streams(fleet, 30, 28)
    assert not fleet.counts.wrong


def test_clients_that_name_no_attempt_are_served_at_one_version(
    short_streams,
):
    """A take-up that names no attempt went to any version."""
    fleet = simulation.make_fleet(8, seed=5)
    fleet.is_naming = False
    scenarios.load_streams(fleet, 40, 3)
    assert not fleet.counts.refusals
    episodes = scenarios.make_episodes(fleet)
    episodes.step()
    scenarios.load_streams(fleet, 40, 60)
    assert not fleet.counts.wrong
    assert fleet.counts.refusals


@pytest.mark.parametrize('seed', range(3))
def test_restarted_worker_mixes_only_streams_near_its_start(seed):
    """The list showed the version that a worker had before its start.

    Until the list arrives, no gateway can know the version; later, no stream may
    go on at another one.
    """
    fleet = simulation.make_fleet(8, seed)
    fleet.loss = 0.02
    fleet.after(1, scenarios.Releases(fleet, is_restarting=True).step)
    scenarios.load_streams(fleet, 40, 60)
    assert not fleet.counts.wrong
    late = [one for one in fleet.counts.restarted if one[-1] > _RESTART_S]
    assert not late
