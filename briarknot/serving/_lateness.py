"""Probability that an answer is late, from its expected and its target time."""

#: Shares of the target up to which a time counts as certainly in time and from
#: which it counts as late; measured times scatter around the expected ones.
_IN_TIME_SHARE = 0.6
_LATE_SHARE = 1.4
#: Lower bound of the target, as the remaining time is negative when it has
#: passed.
_MIN_TARGET_S = 0.001


def compute_late_probability(expected_s: float, target_s: float) -> float:
    """Returns the probability that an event is late.

    :param expected_s: expected time of the event, in seconds.
    :param target_s: time from which it is late, in seconds.

    >>> compute_late_probability(0.5, 1)
    0
    >>> round(compute_late_probability(1.0, 1), 3)
    0.5
    """
    # Comparisons take a third of the time of min and max, and choices compute
    # this for each engine.
    if target_s < _MIN_TARGET_S:
        target_s = _MIN_TARGET_S
    used = expected_s / target_s
    probability = (used - _IN_TIME_SHARE) / (_LATE_SHARE - _IN_TIME_SHARE)
    if probability <= 0:
        return 0
    return 1 if probability >= 1 else probability
