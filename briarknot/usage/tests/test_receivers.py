"""Guards the choice of the processes that collect counts."""

from briarknot.usage import _receivers


def test_one_lost_message_passes_nobody_over():
    """While nothing is counted, one lost datagram excluded a receiver for 10 s."""
    receivers = _receivers.Receivers()
    for now in (1.0, 2.0, 4.0):
        receivers.record_sent('a', now)
    assert receivers.choose(('a', 'b'), 1, 4.0) == ('a',)


def test_silent_receiver_is_passed_over_for_a_time():
    """Counts that only a dead process gets would be missing."""
    receivers = _receivers.Receivers()
    for step in range(5):
        receivers.record_sent('a', step * 0.5)
    assert receivers.choose(('a', 'b'), 1, 2.0) == ('b',)
    assert receivers.choose(('a', 'b'), 1, 12.0) == ('a',)


def test_messages_long_ago_do_not_count():
    """A receiver that is chosen again was passed over at the first message."""
    receivers = _receivers.Receivers()
    for now in (1.0, 0.4, 0.8):
        receivers.record_sent('a', now)
    receivers.record_sent('a', 100.0)
    assert receivers.choose(('a',), 1, 100.0) == ('a',)
