"""Tests who may state that the version before began a stream."""

import attrs
import pytest

from briarknot import schema, versions

_Stage = schema.serving.Stage
_OLD = schema.serving.Worker(
    id='w1', service='s', version='1', stage=_Stage.DECODE
)
_NEW = schema.serving.Worker(
    id='w2', service='s', version='2', stage=_Stage.DECODE
)


def follow(software, workers, until_s, since_s=0):
    """Reads a list every 0.5 s."""
    for step in range(int(since_s * 2), int(until_s * 2) + 1):
        software.record_list(workers, step / 2, step / 2)


def make_follower(until_s=10):
    """Makes a process that follows a list with one version."""
    software = versions.make_software_versions()
    software.load((), 0, -100, 0, 0)
    follow(software, [_OLD], until_s)
    return software


def test_version_without_a_name_can_be_the_one_before():
    """Workers that name no version ended the task that follows the list."""
    unnamed = attrs.evolve(_OLD, version='')
    software = versions.make_software_versions()
    software.load((), 0, -100, 0, 0)
    follow(software, [unnamed], 10)
    follow(software, [unnamed, _NEW], 11, since_s=10.5)
    assert software.find_sole('s', 11) == ''
    origins = versions.make_stream_origins()
    origins.record('q1', unnamed, 1)
    assert origins.find('q1', 1).version == ''


def test_version_before_is_known_after_a_newer_one_is_listed():
    """Streams of a lost process were refused as two versions were possible."""
    software = make_follower()
    follow(software, [_OLD, _NEW], 60, since_s=10.5)
    assert software.find_sole('s', 60) == '1'
    # No client takes up a stream of that time any more.
    follow(software, [_OLD, _NEW], 72, since_s=60.5)
    assert software.find_sole('s', 72) is None


@pytest.mark.parametrize(
    ('workers', 'since_s', 'until_s'),
    [
        # A list was missed, in which the version may have had no worker.
        ([_OLD, _NEW], 12.5, 14),
        # It has none: streams of the newer version begin without asking.
        ([_NEW], 10.5, 14),
    ],
)
def test_process_that_may_not_know_all_streams_is_no_witness(
    workers, since_s, until_s
):
    """It stated that the version before began a stream of the newer one."""
    software = make_follower()
    follow(software, workers, until_s, since_s=since_s)
    assert software.find_sole('s', until_s) is None


def test_outdated_list_makes_no_witness():
    """A process that was suspended stated the version before at once."""
    software = make_follower()
    assert software.find_sole('s', 11) == '1'
    assert software.find_sole('s', 13) is None


def test_version_of_a_worker_that_started_again_is_in_doubt():
    """Streams began at a worker whose new version was not listed yet."""
    software = make_follower()
    follow(software, [_OLD, _NEW], 11, since_s=10.5)
    software.forget_sole('s')
    follow(software, [_OLD, _NEW], 12, since_s=11.5)
    assert software.find_sole('s', 12) is None


def test_only_the_newer_version_needs_known_origins():
    """Streams of the version in use waited for other processes."""
    software = make_follower()
    assert not software.needs_known_origin('s', '1', 10)
    follow(software, [_OLD, _NEW], 11, since_s=10.5)
    assert not software.needs_known_origin('s', '1', 11)
    assert software.needs_known_origin('s', '2', 11)
    follow(software, [_OLD, _NEW], 80, since_s=11.5)
    assert not software.needs_known_origin('s', '2', 80)


def test_version_without_a_predecessor_needs_no_known_origins():
    """A process that was cut off refused all streams after a release."""
    software = make_follower()
    follow(software, [_OLD, _NEW], 11, since_s=10.5)
    follow(software, [_NEW], 17, since_s=11.5)
    assert not software.needs_known_origin('s', '2', 17)


@pytest.mark.parametrize(
    ('hosts', 'witnesses'), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (195, 3)]
)
def test_witnesses_include_one_that_would_know_the_stream(hosts, witnesses):
    """Processes that were not informed of a stream decided on its version."""
    keepers = min(hosts, 4)
    confirmed = versions.count_confirmations(hosts, is_keeper=True)
    assert (confirmed + 1) + witnesses > keepers
    if hosts > keepers:
        confirmed = versions.count_confirmations(hosts, is_keeper=False)
        assert confirmed + witnesses > keepers
    stated = ('1', '1', '1')[:witnesses]
    assert versions.choose_sole(stated, hosts) == '1'
    assert versions.choose_sole((*stated[1:], None), hosts) is None


def test_witnesses_that_disagree_decide_nothing():
    """Two versions were stated, and the first one was taken."""
    assert versions.choose_sole(['1', '1', '2'], 4) is None


def test_dropped_origins_make_no_witness(monkeypatch):
    """An origin that was dropped for want of room counted as never sent."""
    monkeypatch.setattr(versions._stream_origins, '_MAX_ORIGINS', 2)
    origins = versions.make_stream_origins()
    for stream in ('q1', 'q2'):
        origins.record(stream, _NEW, 1)
    assert origins.is_witness('q0', 1)
    origins.record('q3', _NEW, 2)
    assert not origins.is_witness('q1', 2)
    assert origins.is_witness('q0', 2.1 + versions.MAX_STREAM_S)


def test_origin_in_doubt_makes_no_witness():
    """A stream of a worker that started again counted as never sent."""
    origins = versions.make_stream_origins()
    origins.record('q1', _NEW, 1)
    origins.forget_restarted('w2', 2)
    assert origins.find('q1', 2) is None
    assert not origins.is_witness('q1', 2)
