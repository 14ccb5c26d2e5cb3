"""Results of claim operations; all but two of them are falsy sentinels."""

import base64
import hashlib

import attrs

from briarknot import schema, sentinels


@attrs.frozen
class Acquired:
    """A claim that the caller holds; the call may be sent once.

    :param key: key of the row.
    :param row: the row as it was written, in phase ``claimed``.
    """

    key: str
    row: schema.records.ClaimRow


@attrs.frozen
class Stored(sentinels.Sentinel):
    """Sentinel for a call that has run and whose answer is stored.

    :param row: row with the answer; see :func:`decode_answer`.
    """

    row: schema.records.ClaimRow


@attrs.frozen
class InProgress(sentinels.Sentinel):
    """Sentinel for a call that another request holds.

    :param request_id: request that holds the claim.
    """

    request_id: str


@attrs.frozen
class Reused(sentinels.Sentinel):
    """Sentinel for a key that was used with another body.

    :param request_id: request that used the key first.
    """

    request_id: str


@attrs.frozen
class UnknownRun(sentinels.Sentinel):
    """Sentinel for a call that may have run and is never sent again.

    :param request_id: request that sent the call.
    """

    request_id: str


@attrs.frozen
class ClaimUnavailable(sentinels.Sentinel):
    """Sentinel for a claim that was not obtained; the call did not run.

    :param reason: what went wrong.
    """

    reason: str


@attrs.frozen
class Finished:
    """The result of a call is in the table."""


@attrs.frozen
class Deferred(sentinels.Sentinel):
    """Sentinel for a result that is written in the background.

    :param reason: why it could not be written at once.
    """

    reason: str


@attrs.frozen
class Lost(sentinels.Sentinel):
    """Sentinel for a result that will not be written.

    :param reason: why.
    """

    reason: str


def make_claim_key(account: str, idempotency_key: str) -> str:
    """Returns the key of a claim's row.

    :param account: account of the caller.
    :param idempotency_key: the caller's idempotency key.
    :returns: 64 hexadecimal digits.

    >>> make_claim_key('a', 'bc') == make_claim_key('ab', 'c')
    False
    """
    # The length separates the account from the key.
    text = f'{len(account)}:{account}:{idempotency_key}'
    return hashlib.sha256(text.encode()).hexdigest()


def decode_answer(row: schema.records.ClaimRow) -> bytes | None:
    """Returns the stored answer, or None where it was too large.

    :param row: row in phase ``done``.

    >>> decode_answer(schema.records.ClaimRow(answer='b2s=', answer_bytes=2))
    b'ok'
    """
    body = base64.b64decode(row.answer)
    return body if len(body) == row.answer_bytes else None
