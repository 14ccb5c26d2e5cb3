"""Tests of the manifest and the workers that a process knows."""

import attrs
import pytest

from briarknot import schema, serving

_Stage = schema.serving.Stage
_Worker = schema.serving.Worker


def make_manifest(version, *prefixes):
    """Makes a manifest that routes each prefix to a service of that name."""
    routes = tuple(
        schema.serving.Route(
            name=prefix,
            host='h',
            path_prefix=prefix,
            destinations=(
                schema.serving.Destination(service=prefix, weight=1.0),
            ),
        )
        for prefix in prefixes
    )
    return schema.serving.Manifest(version=version, routes=routes)


def test_older_manifest_is_ignored():
    """A late answer of the store would restore a removed route."""
    fleet = serving.make_fleet()
    assert fleet.apply_manifest(make_manifest(7, '/b/'))
    assert not fleet.apply_manifest(make_manifest(4, '/a/'))
    assert not fleet.apply_manifest(make_manifest(7, '/a/'))
    assert fleet.find_route('h', '/a/1') is None
    assert fleet.version == 7


def test_longest_prefix_wins():
    """Otherwise a request runs at another service than the manifest states."""
    fleet = serving.make_fleet()
    fleet.apply_manifest(make_manifest(1, '/a/', '/a/b/', '/'))
    found = [
        fleet.find_route('h', path).name for path in ('/a/b/c', '/a/c', '/x')
    ]
    assert found == ['/a/b/', '/a/', '/']
    assert fleet.find_route('other', '/a/') is None


def test_missing_worker_is_removed():
    """A stopped worker would get requests."""
    fleet = serving.make_fleet()
    fleet.apply_workers((_Worker(id='w', service='s'),), 0, after_outage=False)
    removed = fleet.apply_workers((), 1, after_outage=False)
    assert removed == ('w',)
    assert not fleet.list_usable('s')


def test_expired_entry_is_kept_until_workers_can_register():
    """Entries expire in an outage of the store while their workers serve."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s')
    fleet.apply_workers((worker,), 0, after_outage=False)
    assert fleet.apply_workers((), 10, after_outage=True) == ()
    assert fleet.list_usable('s') == (worker,)
    assert fleet.apply_workers((), 12, after_outage=False) == ()
    assert fleet.apply_workers((), 13, after_outage=False) == ('w',)


def test_entry_removed_after_the_outage_is_not_kept():
    """A worker that stopped soon after an outage got requests for seconds."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s')
    fleet.apply_workers((worker,), 0, after_outage=False)
    fleet.apply_workers((worker,), 10, after_outage=True)
    assert fleet.apply_workers((), 11, after_outage=False) == ('w',)


def test_draining_worker_is_not_kept_when_its_entry_expires():
    """The process has acknowledged the drain, so it must send no requests."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s', draining=True)
    fleet.apply_workers((worker,), 0, after_outage=False)
    fleet.apply_workers((), 1, after_outage=True)
    assert not fleet.list_usable('s')


def test_stages_are_kept_apart():
    """A worker rejects requests of the other stage."""
    fleet = serving.make_fleet()
    prefill = _Worker(id='p', service='s', stage=schema.serving.Stage.PREFILL)
    decode = attrs.evolve(prefill, id='d', stage=schema.serving.Stage.DECODE)
    fleet.apply_workers((prefill, decode), 0, after_outage=False)
    assert fleet.list_usable('s', prefill.stage) == (prefill,)
    assert fleet.list_usable('s', decode.stage) == (decode,)


def test_digest_depends_only_on_fields_that_affect_choices():
    """Otherwise processes use outdated lists, or each one reads the store."""
    first, second = serving.make_fleet(), serving.make_fleet()
    workers = (_Worker(id='v', service='s'), _Worker(id='w', service='s'))
    first.apply_workers(workers, 0, after_outage=False)
    reordered = tuple(
        attrs.evolve(one, cold_s=1.0) for one in reversed(workers)
    )
    second.apply_workers(reordered, 5, after_outage=False)
    assert first.workers_digest == second.workers_digest
    leaving = (workers[0], attrs.evolve(workers[1], draining=True))
    second.apply_workers(leaving, 6, after_outage=False)
    assert first.workers_digest != second.workers_digest


def test_applied_changes_lead_to_the_list_of_the_sender():
    """Otherwise a process reads the complete list for each change."""
    before = tuple(_Worker(id=one, service='s') for one in 'abc')
    after = (
        before[0],
        attrs.evolve(before[1], draining=True),
        _Worker(id='d', service='s'),
    )
    sender, receiver = serving.make_fleet(), serving.make_fleet()
    for fleet in (sender, receiver):
        fleet.apply_workers(before, 0, after_outage=False)
    sender.apply_workers(after, 1, after_outage=False)
    assert receiver.workers_digest != sender.workers_digest
    assert receiver.apply_changes(after[1:], ('c', 'unknown'), 0) == ('c',)
    assert receiver.workers_digest == sender.workers_digest


_LISTED = _Worker(id='w', service='s', born_ms=1, stage=_Stage.DECODE)
_OTHER = attrs.evolve(_LISTED, id='o')
_RESTARTED = attrs.evolve(_LISTED, born_ms=2)
_PREFILL = attrs.evolve(_LISTED, stage=_Stage.PREFILL)
_LEAVING = attrs.evolve(_LISTED, draining=True)


def apply_all(*workers):
    """Returns a step that reads a list of workers."""
    return lambda fleet: fleet.apply_workers(workers, 1, after_outage=False)


def apply_changed(*workers):
    """Returns a step that applies workers that another process has read."""
    return lambda fleet: fleet.apply_changes(workers, (), 1)


@pytest.mark.parametrize(
    ('step', 'usable'),
    [
        (lambda fleet: fleet.record_leaving('w 1', 1), (_OTHER,)),
        (apply_changed(_LEAVING), (_OTHER,)),
        (apply_all(_LEAVING, _OTHER), (_OTHER,)),
        (apply_changed(_PREFILL), (_OTHER,)),
        (apply_all(_PREFILL, _OTHER), (_OTHER,)),
        (lambda fleet: fleet.apply_changes((), ('w',), 1), (_OTHER,)),
        (apply_all(_OTHER), (_OTHER,)),
        (apply_changed(_RESTARTED), (_RESTARTED, _OTHER)),
        (apply_all(_RESTARTED, _OTHER), (_RESTARTED, _OTHER)),
        (lambda fleet: fleet.set_changing(('w',), 1), (_OTHER,)),
    ],
)
def test_list_is_not_used_after_a_change(step, usable):
    """A remembered list sent requests to workers that don't accept them."""
    fleet = serving.make_fleet()
    fleet.apply_workers((_LISTED, _OTHER), 0, after_outage=False)
    assert fleet.list_usable('s', _Stage.DECODE, 1) == (_LISTED, _OTHER)
    step(fleet)
    assert fleet.list_usable('s', _Stage.DECODE, 1.1) == usable


def test_restarted_worker_is_listed_after_it_was_leaving():
    """A remembered list left out a worker that accepts requests again."""
    fleet = serving.make_fleet()
    fleet.apply_workers((_LISTED,), 0, after_outage=False)
    fleet.record_leaving('w 1', 1)
    assert not fleet.list_usable('s', _Stage.DECODE, 1)
    fleet.apply_changes((_RESTARTED,), (), 2)
    assert fleet.list_usable('s', _Stage.DECODE, 2) == (_RESTARTED,)


def test_changing_engine_is_listed_again_after_a_time():
    """It ends without a change of the list, and for each engine by itself."""
    fleet = serving.make_fleet()
    fleet.apply_workers((_LISTED, _OTHER), 0, after_outage=False)
    fleet.set_changing(('o',), 10)
    fleet.set_changing(('w',), 11)
    listed = [
        fleet.list_usable('s', _Stage.DECODE, now) for now in (11, 12.5, 13.5)
    ]
    assert listed == [(), (_OTHER,), (_LISTED, _OTHER)]
    assert fleet.list_usable('s', _Stage.DECODE) == (_LISTED, _OTHER)
