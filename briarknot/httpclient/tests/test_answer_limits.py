"""Tests which bytes of a server count as no answer."""

import pytest

from briarknot.httpclient import _answer_limits

_MB = 1 << 20


@pytest.fixture
def limits():
    """Makes the limits of a connection."""
    return _answer_limits.make_answer_limits(64 * _MB)


def test_long_head_is_no_answer(limits):
    """Headers without end were kept until the request's time was over."""
    limits.record_received(256 << 10, 0)
    assert not limits.failure
    limits.record_received(1, 0)
    assert 'head longer' in limits.failure


def test_informational_responses_are_skipped_and_counted(limits):
    """Each of them took sixty times its size, until a final one came."""
    assert not any(limits.take_message(100) for _ in range(16))
    assert not limits.failure
    assert not limits.take_message(103)
    assert 'informational' in limits.failure


def test_switch_of_protocols_is_an_answer(limits):
    """It is the last message before another protocol."""
    assert limits.take_message(101)


def test_answer_after_the_answer_ends_the_connection(limits):
    """Answers that follow one another were queued without end."""
    assert limits.take_message(200)
    assert not limits.take_message(200)
    assert 'follows' in limits.failure


def test_next_request_has_limits_of_its_own(limits):
    """A kept connection must serve one request after the other."""
    for _ in range(3):
        limits.begin()
        limits.record_received(200 << 10, 0)
        assert limits.take_message(200)
        limits.record_received(40 * _MB, 40 * _MB)
        assert not limits.failure


def test_framing_without_a_body_is_no_answer(limits):
    """Extensions and trailers without end kept a connection busy."""
    limits.take_message(200)
    limits.record_received(_MB, 0)
    assert not limits.failure
    limits.record_received(1, 0)
    assert 'frame' in limits.failure


def test_body_in_chunks_of_one_byte_is_sound_and_dense(limits):
    """It is whole, but takes long to parse; other requests must go on."""
    limits.take_message(200)
    for step in range(1, 101):
        limits.record_received(60_000, step * 10_000)
    assert not limits.failure
    assert limits.is_dense


def test_body_in_large_chunks_is_not_dense(limits):
    """Sound answers waited for turns."""
    limits.take_message(200)
    for step in range(1, 101):
        limits.record_received(10_006, step * 10_000)
    assert not limits.is_dense


def test_long_answer_ends_unless_it_is_passed_on(limits):
    """An answer was read into memory until none was left."""
    passed_on = _answer_limits.make_answer_limits(0)
    for one in (limits, passed_on):
        one.take_message(200)
        one.record_received(65 * _MB, 65 * _MB)
    assert 'longer' in limits.failure
    assert not passed_on.failure
