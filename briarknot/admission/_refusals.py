"""Refusals that don't depend on the policy, with their sentences."""

from briarknot import routing
from briarknot.admission import _policies, _tickets


def refuse_closed() -> _tickets.Refusal:
    """Makes the refusal of a process that shuts down."""
    return _tickets.Refusal(
        cause='shutting_down',
        reason='this entry process shuts down',
        retry_after_s=_policies.limit_retry(0),
    )


def refuse_without_capacity(capacity: routing.Capacity) -> _tickets.Refusal:
    """Makes the refusal while no endpoint takes work."""
    return _tickets.Refusal(
        cause='no_capacity',
        reason=(
            f'no endpoint takes work: {capacity.work_per_s:.2f} engine s/s, '
            f'{capacity.concurrent} slots'
        ),
        retry_after_s=_policies.limit_retry(1),
    )


def refuse_streams(account: str, opened: int, allowed: int) -> _tickets.Refusal:
    """Makes the refusal of an account with too many open requests."""
    return _tickets.Refusal(
        cause='account_cap',
        reason=(
            f'account {account} has {opened} open requests at this entry '
            f'process, allowed {allowed}'
        ),
        retry_after_s=_policies.limit_retry(1),
    )


def refuse_expired(queued_s: float, waited_for: str) -> _tickets.Refusal:
    """Makes the refusal at the end of the time in the queue."""
    return _tickets.Refusal(
        cause='queue_timeout',
        reason=f'queued for {queued_s:.2f} s; {waited_for}',
        retry_after_s=_policies.limit_retry(queued_s),
    )
