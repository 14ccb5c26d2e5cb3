"""Checks the keys of requests, and reports on client accounts."""

import asyncio
import time

import attrs
import prometheus_client

from briarknot import schema, serving, telemetry
from briarknot.gateway import _clock, _context, _manifest_status

UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
#: Longest wait of a request with an unknown key for a confirmation of the manifest
#: that began after its arrival, in seconds. A new manifest reaches all processes
#: within about 0.9 s.
_MAX_WAIT_S = 1.0
#: Longest wait as a share of the client's remaining time.
_MAX_WAIT_SHARE = 1 / 3
#: Retry-After where the manifest is not known to be current, in seconds; the next
#: confirmation usually follows within a second. Clients honour at most a third of
#: their remaining time.
_RETRY_AFTER_S = 0.5
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: Accounts with a label of their own, and the label of all others.
_MAX_LABELS = 100
_OTHER_LABEL = 'other'
#: Names in a line about changed accounts.
_MAX_NAMES = 20
#: Lines about entries that can't be used, for each version of the manifest.
_MAX_FINDINGS = 100
_REQUESTS = prometheus_client.Counter(
    'briarknot_gateway_account_requests',
    'Requests with the key of a client account, by account and outcome.',
    ('account', 'outcome'),
)


@attrs.frozen(kw_only=True)
class Admitted:
    """A request that may be served.

    :param call: the request, with its client account.
    :param route: its route, with the rank that it has.
    """

    call: serving.Call
    route: schema.serving.Route


@attrs.frozen(kw_only=True)
class NotAdmitted:
    """A request that is refused.

    :param status: HTTP status.
    :param cause: cause from a small set.
    :param retry_after_s: time after which a retry can help; 0 for none.
    :param reason: what is wrong with its key; empty if nothing.
    """

    status: int
    cause: str
    retry_after_s: float = 0
    reason: str = ''


@attrs.define(eq=False)
class AccountLabels:
    """Labels of accounts in metrics; a bounded number of them."""

    _labels: set[str] = attrs.field(factory=set)

    def get(self, account: str) -> str:
        """Returns the label of an account.

        :param account: name of the account.
        """
        if account in self._labels:
            return account
        if len(self._labels) >= _MAX_LABELS:
            return _OTHER_LABEL
        self._labels.add(account)
        return account


_LABELS = AccountLabels()


def apply_manifest(
    context: _context.Context, manifest: schema.serving.Manifest
) -> None:
    """Puts the accounts of a new manifest in force, and logs what it changes.

    :param context: state of the process.
    :param manifest: the manifest.
    """
    changes = context.accounts.apply_manifest(manifest)
    context.manifest_status.changed.notify()
    if changes.names:
        telemetry.log_event(
            'accounts_changed',
            manifest_version=manifest.version,
            accounts=context.accounts.accounts_count,
            keys=context.accounts.keys_count,
            accounts_added=len(changes.added_accounts),
            accounts_withdrawn=len(changes.withdrawn_accounts),
            keys_added=changes.added_keys,
            keys_withdrawn=changes.withdrawn_keys,
            names=changes.names[:_MAX_NAMES],
        )
    findings = [
        *manifest.invalid_accounts,
        *(f'shared key: {", ".join(names)}' for names in changes.shared),
    ]
    for finding in findings[:_MAX_FINDINGS]:
        telemetry.log_event(
            'account_invalid',
            manifest_version=manifest.version,
            reason=finding[:500],
        )
    if len(findings) > _MAX_FINDINGS:
        telemetry.log_event(
            'account_findings_omitted',
            manifest_version=manifest.version,
            findings=len(findings) - _MAX_FINDINGS,
        )


async def admit(
    context: _context.Context, call: serving.Call
) -> Admitted | NotAdmitted:
    """Finds the route of a request, and checks its key.

    A manifest must be in force.

    :param context: state of the process.
    :param call: the request.
    """
    arrived_s = _clock.read_clock()
    decision = _decide(context, call)
    if not context.accounts.requires_key:
        return decision
    wait_s = min(_MAX_WAIT_S, _find_remaining_s(call) * _MAX_WAIT_SHARE)
    end_s = asyncio.get_running_loop().time() + wait_s
    if isinstance(decision, Admitted):
        if not context.manifest_status.was_suspended:
            return decision
        decision = await _wait_after_suspension(context, call, decision, end_s)
        if isinstance(decision, Admitted):
            return decision
    # A key may have been added a moment ago; a missing one can't have been.
    is_key_unknown = decision.status == UNAUTHORIZED and call.key_hash
    since_s = arrived_s if is_key_unknown else _manifest_status.NEVER_S
    decision = await _wait(context, call, decision, since_s, end_s)
    if isinstance(decision, Admitted) or _is_current(context):
        return decision
    longest_s = max(
        _MIN_RETRY_AFTER_S, _find_remaining_s(call) * _MAX_RETRY_AFTER_SHARE
    )
    return NotAdmitted(
        status=_UNAVAILABLE,
        cause='manifest_not_confirmed',
        retry_after_s=min(_RETRY_AFTER_S, longest_s),
        reason=decision.reason,
    )


def record_end(account: str, outcome: str) -> None:
    """Counts a request with the key of an account.

    :param account: name of the account.
    :param outcome: outcome from a small set.
    """
    _REQUESTS.labels(_LABELS.get(account), outcome).inc()


def _is_current(
    context: _context.Context, since_s: float = _manifest_status.NEVER_S
) -> bool:
    return context.manifest_status.is_current(context.fleet.version, since_s)


def _find_remaining_s(call: serving.Call) -> float:
    return call.received_s + call.timeout_s - time.monotonic()


async def _wait_after_suspension(
    context: _context.Context,
    call: serving.Call,
    decision: Admitted,
    end_s: float,
) -> Admitted | NotAdmitted:
    """Waits until the process has had an answer or update since a suspension.

    The key may have been withdrawn meanwhile.

    :param context: state of the process.
    :param call: the request.
    :param decision: its admission.
    :param end_s: time of the event loop at which the wait ends.
    :returns: the last decision.
    """
    status = context.manifest_status
    if not status.known_waiters.try_add(len(call.body)):
        return decision
    try:
        async with asyncio.timeout_at(end_s):
            while status.may_have_missed_manifest(context.fleet.version):
                await status.changed.wait(_MAX_WAIT_S)
    except TimeoutError:
        telemetry.log_event('served_without_confirmation', request=call.id)
    finally:
        status.known_waiters.remove(len(call.body))
    return _decide(context, call)


async def _wait(
    context: _context.Context,
    call: serving.Call,
    decision: NotAdmitted,
    since_s: float,
    end_s: float,
) -> Admitted | NotAdmitted:
    """Waits until a refusal is certain, or no longer due.

    :param context: state of the process.
    :param call: the request.
    :param decision: its refusal.
    :param since_s: time from which on the manifest must have been the newest.
    :param end_s: time of the event loop at which the wait ends.
    :returns: the last decision.
    """
    status = context.manifest_status
    if not status.unknown_waiters.try_add(len(call.body)):
        return decision
    try:
        while not _is_current(context, since_s):
            remaining_s = end_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            await status.changed.wait(remaining_s)
            new_decision = _decide(context, call)
            if isinstance(new_decision, Admitted):
                return new_decision
            decision = new_decision
    finally:
        status.unknown_waiters.remove(len(call.body))
    return decision


def _decide(
    context: _context.Context, call: serving.Call
) -> Admitted | NotAdmitted:
    """Decides by the manifest in force."""
    route = context.fleet.find_route(call.host, call.path)
    if route is None:
        return NotAdmitted(status=_NOT_FOUND, cause='unknown_target')
    directory = context.accounts
    if not directory.requires_key:
        if call.identity_headers:
            call = attrs.evolve(call, directory=directory)
        return Admitted(call=call, route=route)
    account = directory.find(call.key_hash)
    if account is not None:
        call = attrs.evolve(call, account=account.name)
        if account.has_rank and account.rank != route.rank:
            route = attrs.evolve(route, rank=account.rank)
    elif not route.is_public:
        return NotAdmitted(
            status=UNAUTHORIZED,
            cause='unauthenticated',
            reason=_explain(call.key_hash),
        )
    return Admitted(call=call, route=route)


def _explain(key_hash: bytes | None) -> str:
    if key_hash is None:
        return 'no key'
    return 'unknown key' if key_hash else 'malformed key'
