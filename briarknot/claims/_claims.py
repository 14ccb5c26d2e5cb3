"""Claims for calls that run at most once."""

import base64
import collections.abc
import time
import uuid

import attrs
import prometheus_client

from briarknot import platform, schema
from briarknot.claims import _decisions, _result_writer, _values, _writer

_ACQUIRES = prometheus_client.Counter(
    'briarknot_claim_acquires',
    'Attempts to obtain a claim, by result.',
    ('result',),
)
_ABANDONED = prometheus_client.Counter(
    'briarknot_claim_abandoned',
    'Claims that a write without an answer may have left, to be released.',
)
# A further try is needed only when the row changed between a read and a write.
_MAX_TRIES = 4
_Phase = schema.records.ClaimPhase

Result = _values.Acquired | _values.Stored | _values.InProgress
Result |= _values.Reused | _values.UnknownRun | _values.ClaimUnavailable


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Bounds and time limits of claims.

    :param group_size: largest number of writes in one transaction.
    :param max_waiting: largest number of waiting claim writes, and of
        waiting results.
    :param answer_bytes: size of the largest answer that is stored, in bytes.
    :param unknown_after_s: age in seconds from which a claim without a result
        is reported as unknown and no longer as in progress; it should exceed
        the time limits of the calls.
    :param retry_first_s: wait before the first retry of a result, in seconds.
    :param retry_for_s: time after which a result is discarded, in seconds.
    """

    group_size: int = 128
    max_waiting: int = 1024
    answer_bytes: int = 65536
    unknown_after_s: float = 60
    retry_first_s: float = 0.1
    retry_for_s: float = 900


@attrs.define(eq=False)
class Claims:
    """Obtains and settles claims; made by :func:`make_claims`."""

    _client: platform.Client
    _writer: _writer.Writer
    _result_writer: _result_writer.ResultWriter
    _settings: ClaimSettings
    _clock: collections.abc.Callable[[], float]

    async def acquire(
        self,
        account: str,
        idempotency_key: str,
        request_id: str,
        body_hash: str,
    ) -> Result:
        """Acquires the claim for a call, before any byte of it is sent.

        :param account: account of the caller.
        :param idempotency_key: the caller's idempotency key.
        :param request_id: id of the request that wants to send the call.
        :param body_hash: hash of method, path, and body.
        :returns: :class:`Acquired`, or the sentinel that says why not.
        """
        key = _values.make_claim_key(account, idempotency_key)
        wanted = schema.records.ClaimRow(
            request_id=request_id,
            body_hash=body_hash,
            phase=_Phase.CLAIMED,
            time_s=self._clock(),
            attempt_id=uuid.uuid4().hex,
        )
        result = None
        try:
            result = await self._acquire(key, wanted)
        finally:
            if result is None:
                # The caller disconnected while the claim was being written.
                self._release_abandoned(key, wanted, 'the caller left')
        _ACQUIRES.labels(type(result).__name__.lower()).inc()
        return result

    async def finish(
        self,
        acquired: _values.Acquired,
        status: int,
        content_type: str,
        body: bytes,
    ) -> _values.Finished | _values.Deferred | _values.Lost:
        """Stores the answer of a call that has run.

        :param acquired: the claim.
        :param status: HTTP status of the answer.
        :param content_type: content type of the answer.
        :param body: the answer; only its size is kept where it is too large.
        """
        is_small = len(body) <= self._settings.answer_bytes
        target = attrs.evolve(
            acquired.row,
            phase=_Phase.DONE,
            status=status,
            content_type=content_type,
            answer=base64.b64encode(body).decode() if is_small else '',
            answer_bytes=len(body),
        )
        return await self._result_writer.settle(acquired.key, target)

    async def release(
        self, acquired: _values.Acquired
    ) -> _values.Finished | _values.Deferred | _values.Lost:
        """Releases the claim for a call of which no byte reached an endpoint.

        :param acquired: the claim.
        """
        target = attrs.evolve(acquired.row, phase=_Phase.RELEASED)
        return await self._result_writer.settle(acquired.key, target)

    async def mark_unknown(
        self, acquired: _values.Acquired, reason: str
    ) -> _values.Finished | _values.Deferred | _values.Lost:
        """Marks a call that may have run; it is never sent again.

        :param acquired: the claim.
        :param reason: why its result is not known.
        """
        target = attrs.evolve(acquired.row, phase=_Phase.UNKNOWN, reason=reason)
        return await self._result_writer.settle(acquired.key, target)

    async def close(self, grace_s: float = 0) -> None:
        """Waits for pending results to be written, then stops.

        :param grace_s: longest wait, in seconds.
        """
        await self._result_writer.close(grace_s)
        await self._writer.close()

    async def _acquire(
        self, key: str, wanted: schema.records.ClaimRow
    ) -> Result:
        status: _decisions.ClaimStatus = _decisions.Writable(None)
        may_have_applied = False
        for _ in range(_MAX_TRIES):
            if not isinstance(status, _decisions.Writable):
                return status
            written = await self._writer.write(
                key, wanted, status.expected_version
            )
            if isinstance(written, platform.Committed):
                return _values.Acquired(key, wanted)
            if isinstance(written, platform.Unavailable):
                may_have_applied |= written.may_have_applied
                if not may_have_applied:
                    return _values.ClaimUnavailable(written.reason)
            found = await self._client.read_row(_writer.TABLE, key)
            if isinstance(found, platform.Unavailable):
                return self._release_abandoned(key, wanted, found.reason)
            status = _decisions.evaluate_claim(
                found, wanted, self._settings.unknown_after_s
            )
        if isinstance(status, _decisions.Writable):
            return self._release_abandoned(key, wanted, f'{_MAX_TRIES} tries')
        return status

    def _release_abandoned(
        self, key: str, wanted: schema.records.ClaimRow, reason: str
    ) -> _values.ClaimUnavailable:
        """Releases a claim that a write without an answer may have stored.

        The caller gets the outcome "not run", so the key must become free
        again, and a write that is still in flight must not take effect later.
        """
        _ABANDONED.inc()
        target = attrs.evolve(wanted, phase=_Phase.RELEASED)
        self._result_writer.defer(key, target)
        return _values.ClaimUnavailable(reason)


def make_claims(
    client: platform.Client,
    group_s: float,
    settings: ClaimSettings | None = None,
    clock: collections.abc.Callable[[], float] = time.time,
) -> Claims:
    """Makes claims; their tasks start with the first write.

    :param client: platform client.
    :param group_s: time that a write waits for others of the same
        transaction, in seconds.
    :param settings: bounds and time limits.
    :param clock: returns Unix time in seconds, for the age of claims.

    >>> claims = make_claims(client, group_s=0.005)  # doctest: +SKIP
    >>> claim = await claims.acquire(  # doctest: +SKIP
    ...     'ana', 'booking-7', 'request-1', 'hash'
    ... )
    >>> if claim:  # doctest: +SKIP
    ...     await claims.finish(claim, 201, 'text/plain', b'booked')
    """
    settings = settings or ClaimSettings()
    writer = _writer.Writer(
        client, group_s, settings.group_size, settings.max_waiting
    )
    result_writer = _result_writer.ResultWriter(
        client,
        writer,
        settings.retry_first_s,
        settings.retry_for_s,
        settings.max_waiting,
    )
    return Claims(client, writer, result_writer, settings, clock)
