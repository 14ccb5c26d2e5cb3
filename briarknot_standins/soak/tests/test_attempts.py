"""Checks which answers of a stream's attempts count as violations."""

import pytest

from briarknot_standins.soak import _attempts


def _make_attempt(request_id, status, *events):
    body = b''.join(
        f'id: {number}\ndata: {request_id} {version} {number}/3\n\n'.encode()
        for number, version in events
    )
    return _attempts.Attempt(request_id, 'chat', status, body, True, 0)


_BROKEN = _make_attempt('q', 0, (1, 'v1'))


@pytest.mark.parametrize(
    'rest',
    [
        (),
        (_make_attempt('q-1', 503),),
        (_make_attempt('q-1', 200, (2, 'v1'), (3, 'v1')),),
        (
            _make_attempt('q-1', 0, (2, 'v1')),
            _make_attempt('q-2', 200, (3, 'v1')),
        ),
    ],
)
def test_stream_that_goes_on_whole_is_no_violation(rest):
    """The soak reported a refused or a continued stream."""
    assert not _attempts.Stream([_BROKEN, *rest]).violation


@pytest.mark.parametrize(
    ('events', 'reason'),
    [
        (((2, 'v2'), (3, 'v2')), 'two versions'),
        (((1, 'v1'), (2, 'v1'), (3, 'v1')), 'repeated'),
        (((3, 'v1'),), 'missing'),
        (((2, 'v1'),), 'missing'),
    ],
)
def test_stream_that_does_not_fit_is_a_violation(events, reason):
    """The soak missed a stream whose attempts do not fit together."""
    taken_up = _make_attempt('q-1', 200, *events)
    assert reason in _attempts.Stream([_BROKEN, taken_up]).violation


def test_counts_of_a_stream_name_its_attempts():
    """The report counted refused attempts as continued ones."""
    refused = _make_attempt('q-1', 503)
    resumed = _make_attempt('q-2', 200, (2, 'v1'), (3, 'v1'))
    counts = _attempts.Stream([_BROKEN, refused, resumed]).count()
    expected = {'begun': 1, 'taken up': 2, 'gone on': 1, 'refused': 1}
    assert counts == expected
