"""Guards the view of manifest and workers."""

import attrs

from briarknot import schema, serving

_Worker = schema.serving.Worker


def make_manifest(version, *prefixes):
    """Makes a manifest with a route for each prefix, to a service like it."""
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


def test_older_manifest_is_not_taken():
    """A late answer of the store would bring a dropped route back."""
    fleet = serving.make_fleet()
    assert fleet.apply_manifest(make_manifest(7, '/b/'))
    assert not fleet.apply_manifest(make_manifest(4, '/a/'))
    assert not fleet.apply_manifest(make_manifest(7, '/a/'))
    assert fleet.find_route('h', '/a/1') is None
    assert fleet.version == 7


def test_longest_prefix_wins():
    """A request would run at another service than the operators say."""
    fleet = serving.make_fleet()
    fleet.apply_manifest(make_manifest(1, '/a/', '/a/b/', '/'))
    found = [
        fleet.find_route('h', path).name for path in ('/a/b/c', '/a/c', '/x')
    ]
    assert found == ['/a/b/', '/a/', '/']
    assert fleet.find_route('other', '/a/') is None


def test_missing_worker_is_gone():
    """A worker that ended would get requests."""
    fleet = serving.make_fleet()
    fleet.apply_workers((_Worker(id='w', service='s'),), 0, after_outage=False)
    gone = fleet.apply_workers((), 1, after_outage=False)
    assert gone == ('w',)
    assert not fleet.list_usable('s')


def test_lapsed_entry_is_kept_until_workers_can_be_back():
    """Entries lapse in an outage of the store; their workers still serve."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s')
    fleet.apply_workers((worker,), 0, after_outage=False)
    assert fleet.apply_workers((), 10, after_outage=True) == ()
    assert fleet.list_usable('s') == (worker,)
    assert fleet.apply_workers((), 12, after_outage=False) == ()
    assert fleet.apply_workers((), 13, after_outage=False) == ('w',)


def test_entry_that_goes_after_the_outage_is_gone():
    """A worker that left shortly after an outage got requests for seconds."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s')
    fleet.apply_workers((worker,), 0, after_outage=False)
    fleet.apply_workers((worker,), 10, after_outage=True)
    assert fleet.apply_workers((), 11, after_outage=False) == ('w',)


def test_draining_worker_stays_out_when_its_entry_lapses():
    """The process has acknowledged that the worker leaves."""
    fleet = serving.make_fleet()
    worker = _Worker(id='w', service='s', draining=True)
    fleet.apply_workers((worker,), 0, after_outage=False)
    fleet.apply_workers((), 1, after_outage=True)
    assert not fleet.list_usable('s')


def test_stages_are_kept_apart():
    """A prompt at a decode worker would be rejected."""
    fleet = serving.make_fleet()
    prefill = _Worker(id='p', service='s', stage=schema.serving.Stage.PREFILL)
    decode = attrs.evolve(prefill, id='d', stage=schema.serving.Stage.DECODE)
    fleet.apply_workers((prefill, decode), 0, after_outage=False)
    assert fleet.list_usable('s', prefill.stage) == (prefill,)
    assert fleet.list_usable('s', decode.stage) == (decode,)


def test_digest_tells_a_change_and_nothing_else():
    """Processes would serve by an old list, or each read the store."""
    first, second = serving.make_fleet(), serving.make_fleet()
    workers = (_Worker(id='v', service='s'), _Worker(id='w', service='s'))
    first.apply_workers(workers, 0, after_outage=False)
    cooled = tuple(attrs.evolve(one, cold_s=1.0) for one in reversed(workers))
    second.apply_workers(cooled, 5, after_outage=False)
    assert first.workers_digest == second.workers_digest
    leaving = (workers[0], attrs.evolve(workers[1], draining=True))
    second.apply_workers(leaving, 6, after_outage=False)
    assert first.workers_digest != second.workers_digest


def test_told_changes_lead_to_the_list_of_the_teller():
    """A process would read the whole list again for each change."""
    before = tuple(_Worker(id=one, service='s') for one in 'abc')
    after = (
        before[0],
        attrs.evolve(before[1], draining=True),
        _Worker(id='d', service='s'),
    )
    teller, told = serving.make_fleet(), serving.make_fleet()
    for fleet in (teller, told):
        fleet.apply_workers(before, 0, after_outage=False)
    teller.apply_workers(after, 1, after_outage=False)
    assert told.workers_digest != teller.workers_digest
    assert told.apply_changes(after[1:], ('c', 'unknown')) == ('c',)
    assert told.workers_digest == teller.workers_digest
