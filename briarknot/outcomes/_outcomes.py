"""Outcomes of requests, and refusals as falsy sentinel values."""

import enum

import attrs

from briarknot import sentinels
from briarknot.outcomes import _causes


class Outcome(enum.StrEnum):
    """Whether a request ran on an endpoint."""

    COMPLETED = 'completed'
    #: No byte reached an endpoint, or the endpoint refused the request before
    #: it ran.
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Refusal(sentinels.Sentinel):
    """Sentinel for a request without an answer from an endpoint.

    :param cause: the cause.
    :param reason: sentence that explains the cause, with figures.
    :param outcome: whether the request may have run.
    :param retry_after_s: seconds after which a retry may succeed; 0 for none.
    """

    cause: _causes.Cause
    reason: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float = 0


def make_refusal(
    cause: str,
    reason: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_s: float = 0,
) -> Refusal:
    """Makes a refusal.

    :param cause: value of a :class:`Cause`.
    :param reason: sentence that explains the cause, with figures.
    :param outcome: whether the request may have run.
    :param retry_after_s: seconds after which a retry may succeed; 0 for none.
    :raises ValueError: if the cause is not known.

    >>> bool(make_refusal('queue_full', '40 s of work wait'))
    False
    """
    return Refusal(
        cause=_causes.Cause(cause),
        reason=reason,
        outcome=outcome,
        retry_after_s=retry_after_s,
    )
