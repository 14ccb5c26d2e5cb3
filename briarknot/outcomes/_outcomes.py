"""Outcomes as sentinel values with a reason."""

import enum

import attrs

from briarknot import sentinels
from briarknot.outcomes import _causes


class Outcome(enum.StrEnum):
    """What is known of a request's run."""

    COMPLETED = 'completed'
    #: No byte reached an endpoint, or the endpoint refused it unrun.
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Refusal(sentinels.Sentinel):
    """Sentinel for a request that gets no answer from an endpoint.

    :param cause: one of the closed list.
    :param reason: sentence with the figures behind the cause.
    :param outcome: whether the request may have run.
    :param retry_after_s: seconds after which a retry can help; 0 for none.
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

    :param cause: name of a cause from the closed list.
    :param reason: sentence with the figures behind the cause.
    :param outcome: whether the request may have run.
    :param retry_after_s: seconds after which a retry can help; 0 for none.
    :raises ValueError: where the cause is not in the list.

    >>> bool(make_refusal('queue_full', '40 s of work wait'))
    False
    """
    return Refusal(
        cause=_causes.Cause(cause),
        reason=reason,
        outcome=outcome,
        retry_after_s=retry_after_s,
    )
