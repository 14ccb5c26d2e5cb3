"""Tests single decisions on versions of the software and origins of streams."""

import attrs
import pytest

from briarknot import schema, versions
from briarknot.versions import _software_versions as limits

_SERVICE = 's'
_OLD = schema.serving.Worker(
    id='w1',
    service=_SERVICE,
    version='1',
    stage=schema.serving.Stage.DECODE,
)
_NEW = attrs.evolve(_OLD, id='w2', version='2')
_LONG_S = 1000.0


def make_settled(now=0):
    """Makes versions that have known one stored version for long."""
    software = versions.make_software_versions()
    software.record_list((_OLD,), now, now)
    records = software.list_records(now)
    software.load(records, now - _LONG_S, now - _LONG_S, now, now)
    return software


def confirm(software, workers, since_s, until_s):
    """Confirms a list once a second."""
    for read_s in range(int(since_s), int(until_s) + 1):
        software.record_list(workers, read_s, read_s)


def test_version_begins_no_streams_before_all_others_can_know_it():
    """Another gateway went on at the only version that it had listed."""
    software = make_settled()
    assert software.record_list([_OLD, _NEW], 1, 1)
    assert software.list_unstored() == {(_SERVICE, '2')}
    assert software.list_admitted(_SERVICE, 1 + _LONG_S) == {'1'}
    software.record_stored(software.list_unstored(), 2)
    assert software.list_admitted(_SERVICE, 2 + limits.ADMISSION_S - 0.1) == {
        '1'
    }
    assert software.list_admitted(_SERVICE, 2 + limits.ADMISSION_S) == {
        '1',
        '2',
    }
    assert not software.is_settled


def test_late_confirmation_does_not_delay_an_admitted_version():
    """A repeated write began the time until the admission anew."""
    software = make_settled()
    software.record_stored([(_SERVICE, '1')], 5)
    assert software.list_admitted(_SERVICE, 5) == {'1'}


def test_unadmitted_version_waits_until_each_recent_list_shows_it():
    """A release replaced all workers before another gateway listed a new one.

    The old ones were draining, so new streams began at a version that was not
    admitted yet, and a gateway with an older list went on at the old version.
    """
    software = make_settled()
    software.record_list([_OLD, _NEW], 1, 1)
    assert software.list_visible(_SERVICE, 1 + limits.ADMISSION_S) == {'1'}
    late_s = 1.01 + limits.ADMISSION_S
    assert software.list_visible(_SERVICE, late_s) == {'1', '2'}
    other = make_settled()
    assert not other.list_possible(_SERVICE, late_s)


def test_visible_version_is_known_from_the_first_list_that_shows_it():
    """Each confirmation of the list began the time anew."""
    software = make_settled()
    confirm(software, [_OLD, _NEW], 1, 4)
    assert software.list_visible(_SERVICE, 4) == {'1', '2'}


def test_list_that_was_long_under_way_delays_a_new_version():
    """A slow read let a version begin streams before others could list it.

    The read began before the version was listed, and counted from its beginning.
    """
    software = make_settled()
    software.record_list([_OLD, _NEW], 1, 2)
    assert software.list_visible(_SERVICE, 1.5 + limits.ADMISSION_S) == {'1'}
    merged = make_settled()
    merged.merge(software.list_records(2), 2)
    assert merged.list_visible(_SERVICE, 1.5 + limits.ADMISSION_S) == {'1'}
    late_s = 2.01 + limits.ADMISSION_S
    assert software.list_visible(_SERVICE, late_s) == {'1', '2'}
    assert merged.list_visible(_SERVICE, late_s) == {'1', '2'}


def test_slow_read_of_the_row_does_not_hide_a_gap():
    """A version came and went after the row that a slow read brought."""
    software = make_settled()
    software.load((), 0, -_LONG_S, now=1.2, read_s=0)
    software.record_list([_OLD], 0.1 + limits.ADMISSION_S, 3)
    assert not software.is_loaded


def test_first_version_of_a_service_begins_streams_at_once():
    """A new service was not served until its version was stored."""
    software = versions.make_software_versions()
    software.record_list([_OLD], 1, 1)
    assert software.list_visible(_SERVICE, 1) == {'1'}
    assert not software.list_visible('t', 1)


def test_old_list_is_no_proof_of_a_single_version():
    """A gateway that was cut off went on at the version of its old list."""
    software = make_settled()
    assert software.list_possible(_SERVICE, limits.MAX_LIST_AGE_S) == {'1'}
    late = software.list_possible(_SERVICE, limits.MAX_LIST_AGE_S + 0.1)
    assert isinstance(late, versions.Uncertain)


def test_list_that_waited_in_a_socket_does_not_look_recent():
    """A gateway that was suspended handled old lists when it woke up."""
    software = make_settled()
    software.record_list([_OLD], 1, 1)
    assert not software.record_list([_OLD, _NEW], 0.5, 0.5)
    assert not software.list_possible(_SERVICE, 8)


def test_versions_are_unknown_after_a_gap_in_the_list():
    """A version came and went while a gateway had no list."""
    software = make_settled()
    now = 1 + limits.ADMISSION_S
    software.record_list((_OLD,), now, now)
    assert not software.is_loaded
    assert not software.list_possible(_SERVICE, now)
    row = schema.records.VersionRecord(service=_SERVICE, version='2')
    software.load((row,), now, -_LONG_S, now, now)
    assert software.is_loaded
    assert software.list_possible(_SERVICE, now) == {'1', '2'}


def test_row_that_may_lack_versions_is_no_proof():
    """The store was restored from a copy that lacked the newest version."""
    software = versions.make_software_versions()
    software.record_list([_OLD], 0, 0)
    software.load((), 0, known_since_s=0, now=0, read_s=0)
    confirm(software, [_OLD], 1, limits.MAX_STREAM_S)
    now = limits.MAX_STREAM_S
    assert not software.list_possible(_SERVICE, now - 0.1)
    assert software.list_possible(_SERVICE, now) == {'1'}


def test_version_counts_while_its_streams_may_be_taken_up():
    """Streams of a version whose workers had left went on at another one."""
    software = make_settled()
    software.record_list([_OLD, _NEW], 1, 1)
    until_s = int(limits.MAX_STREAM_S) + 1
    confirm(software, [_OLD], 2, until_s)
    assert software.list_possible(_SERVICE, until_s) == {'1', '2'}
    confirm(software, [_OLD], until_s + 1, until_s + 1)
    assert software.list_possible(_SERVICE, until_s + 1) == {'1'}
    assert software.list_keys() == {(_SERVICE, '1')}


def test_version_of_the_row_is_stored():
    """No version was admitted after the restart of all gateways.

    The row is written before its writer knows that its versions are stored, so
    it names no age for them.
    """
    writer = versions.make_software_versions()
    writer.record_list([_OLD], 0, 0)
    records = writer.list_records(0)
    reader = versions.make_software_versions()
    reader.record_list([_OLD, _NEW], 100, 100)
    reader.load(records, 0, 0, now=100, read_s=100)
    assert reader.list_unstored() == {(_SERVICE, '2')}
    now = 100 + limits.ADMISSION_S
    assert reader.list_admitted(_SERVICE, now - 0.1) == frozenset()
    assert reader.list_admitted(_SERVICE, now) == {'1'}


def test_records_of_others_bring_versions_and_their_admission():
    """A gateway that could not write never admitted a version."""
    one = make_settled()
    one.record_list([_OLD, _NEW], 1, 1)
    one.record_stored([(_SERVICE, '2')], 1)
    other = make_settled()
    assert other.merge(one.list_records(1.5), 1.6)
    assert not other.merge(one.list_records(1.5), 1.6)
    assert not other.list_unstored()
    # The delay of the message counts for a later time of storing.
    admitted_s = 1.1 + limits.ADMISSION_S
    assert '2' not in other.list_admitted(_SERVICE, admitted_s - 0.05)
    assert '2' in other.list_admitted(_SERVICE, admitted_s + 0.05)


def test_old_record_does_not_bring_a_version_back():
    """Gateways returned a version to each other that all had dropped."""
    software = make_settled()
    age_ms = int(limits.MAX_STREAM_S * 1000) + 1
    old = schema.records.VersionRecord(
        service=_SERVICE, version='2', listed_age_ms=age_ms
    )
    assert not software.merge((old,), 0)
    assert software.list_keys() == {(_SERVICE, '1')}


def test_versions_of_other_services_do_not_count():
    """A service became uncertain by the release of another one."""
    software = make_settled()
    other = attrs.evolve(_NEW, service='t')
    plain = attrs.evolve(_NEW, stage=schema.serving.Stage.NONE)
    software.record_list([_OLD, other, plain], 1, 1)
    assert software.list_possible(_SERVICE, 1) == {'1'}
    assert software.list_keys() == {(_SERVICE, '1'), ('t', '2')}
    software.record_stored(software.list_keys(), 1)
    assert software.is_settled


def test_origin_goes_before_the_known_versions():
    """A take-up went to the only version known, though another one began it."""
    origin = schema.messages.StreamOrigin(stream='q', version='2')
    single = frozenset(('1',))
    several = frozenset(('1', '2'))
    uncertain = versions.Uncertain('old')
    assert versions.choose_version(single, origin) == '2'
    assert versions.choose_version(uncertain, origin) == '2'
    assert versions.choose_version(single, None) == '1'
    for possible in (several, uncertain, frozenset()):
        refused = versions.choose_version(possible, None)
        assert isinstance(refused, versions.UnknownOrigin)


def test_origin_is_kept_while_its_stream_may_be_taken_up():
    """Origins took memory without end, or were dropped too soon."""
    origins = versions.make_stream_origins()
    origins.record('q', _NEW, 1)
    found = origins.find('q', 1 + limits.MAX_STREAM_S)
    assert found.version == '2'
    assert found.age_ms == limits.MAX_STREAM_S * 1000
    assert origins.find('q', 1.1 + limits.MAX_STREAM_S) is None


def test_take_up_of_a_take_up_has_the_origin():
    """The origin was dropped while the stream was taken up again and again."""
    origins = versions.make_stream_origins()
    origins.record('q', _NEW, 1)
    origins.record('q', attrs.evolve(_NEW, id='w3'), 50)
    assert origins.find('q', 100).worker == 'w3'


def test_sent_origin_has_its_age():
    """A keeper took an origin that came late for a new one."""
    one = versions.make_stream_origins()
    one.record('q', _NEW, 1)
    keeper = versions.make_stream_origins()
    keeper.merge(one.find('q', 11), 100)
    assert keeper.find('q', 100).age_ms == 10_000


@pytest.mark.parametrize('stream', ['', 'q' * 201])
def test_origin_without_a_usable_id_is_not_kept(stream):
    """All streams without an id had the origin of the last one."""
    origins = versions.make_stream_origins()
    origins.record(stream, _NEW, 1)
    assert origins.find(stream, 1) is None


def test_origins_of_a_restarted_worker_are_forgotten():
    """A stream went on at the version that its worker had had before."""
    origins = versions.make_stream_origins()
    origins.record('early', _OLD, 1)
    origins.record('late', _OLD, 5)
    origins.record('other', _NEW, 5)
    origins.forget_restarted('w1', 6)
    assert origins.find('early', 6) is not None
    assert origins.find('late', 6) is None
    assert origins.find('other', 6) is not None


def test_loss_of_a_host_changes_one_keeper():
    """Gateways with different lists of hosts asked different keepers."""
    hosts = [f'g{number}' for number in range(8)]
    for number in range(100):
        stream = f'q{number}'
        keepers = versions.choose_keepers(stream, hosts)
        assert len(set(keepers)) == 4
        rest = [one for one in hosts if one != keepers[0]]
        assert versions.choose_keepers(stream, rest)[:3] == keepers[1:]
