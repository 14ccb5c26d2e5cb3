"""Tests that times of the store are never taken for more recent than they are."""

import math

from briarknot.platform import _store_clock

#: Drift of one part in a thousand over two windows of 600 s.
_MAX_ERROR_S = 1.21


def test_slow_answer_does_not_replace_a_fast_one():
    """After one slow read the lists of others counted as too old."""
    clock = _store_clock.StoreClock()
    clock.record(sent_s=100, store_s=20.01)
    clock.record(sent_s=110, store_s=30.9)
    assert math.isclose(clock.convert(31), 110.99)


def test_time_without_an_answer_is_unknown():
    """An update looked recent to a process that knew nothing of its age."""
    clock = _store_clock.StoreClock()
    assert clock.convert(31) == -math.inf
    clock.record(sent_s=100, store_s=20)
    assert clock.convert(0) == -math.inf
    clock.forget()
    assert clock.convert(31) == -math.inf


def test_clocks_may_drift_apart():
    """After days a list looked newer than it was by the drift of the clocks."""
    clock = _store_clock.StoreClock()
    for number in range(100):
        # The clock of the store is faster by one part in a thousand.
        clock.record(sent_s=number * 100, store_s=number * 100.1)
    store_s = 99 * 100.1
    assert clock.convert(store_s) <= 9900 + _MAX_ERROR_S
