"""Refusals that do not depend on the policy."""

from briarknot import routing
from briarknot.admission import _policies, _tickets


def refuse_closed() -> _tickets.Refusal:
    """Makes the refusal of a process that is shutting down."""
    return _tickets.Refusal(
        cause='shutting_down',
        reason='this entry process shuts down',
        retry_after_s=_policies.clamp_retry_after(0),
    )


def refuse_without_capacity(capacity: routing.Capacity) -> _tickets.Refusal:
    """Makes the refusal for lack of an endpoint that takes work."""
    return _tickets.Refusal(
        cause='no_capacity',
        reason=(
            f'no endpoint takes work: {capacity.work_per_s:.2f} engine s/s, '
            f'{capacity.concurrent} slots'
        ),
        retry_after_s=_policies.clamp_retry_after(1),
    )


def refuse_streams(account: str, opened: int, allowed: int) -> _tickets.Refusal:
    """Makes the refusal for an account with too many open requests."""
    return _tickets.Refusal(
        cause='account_cap',
        reason=(
            f'account {account} has {opened} open requests at this entry '
            f'process, allowed {allowed}'
        ),
        retry_after_s=_policies.clamp_retry_after(1),
    )


def refuse_expired(queued_s: float, waited_for: str) -> _tickets.Refusal:
    """Makes the refusal of a ticket whose time in the queue has expired."""
    return _tickets.Refusal(
        cause='queue_timeout',
        reason=f'queued for {queued_s:.2f} s; {waited_for}',
        retry_after_s=_policies.clamp_retry_after(queued_s),
    )
