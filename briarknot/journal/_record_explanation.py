"""Explains the record of a request in plain sentences."""

import collections.abc
import datetime

from briarknot import outcomes, schema

_Record = schema.records.RequestRecord
_Attempt = schema.records.Attempt
# Shorter waits would be shown as 0.00 s.
_MIN_SHOWN_WAIT_S = 0.005


def explain(record: _Record) -> str:
    """Describes what happened to a request, one sentence per line.

    :param record: the request's record.

    >>> explanation = explain(
    ...     schema.records.RequestRecord(
    ...         request_id='h.1.2',
    ...         rank='urgent',
    ...         queued_s=2.1,
    ...         queue_reason='all engines of obb-a were busy',
    ...     )
    ... )
    >>> explanation.splitlines()[1]
    'It waited 2.10 s in rank urgent: all engines of obb-a were busy.'
    """
    return '\n'.join(_describe(record))


def _describe(record: _Record) -> collections.abc.Iterator[str]:
    yield _describe_receipt(record)
    yield from _describe_repeat(record)
    yield from _describe_queueing(record)
    previous = None
    for number, attempt in enumerate(record.attempts, 1):
        yield _describe_attempt(number, attempt, previous)
        previous = attempt
    yield from _describe_output(record)
    yield _describe_end(record)


def _describe_receipt(record: _Record) -> str:
    moment = datetime.datetime.fromtimestamp(record.received_s, datetime.UTC)
    time = moment.isoformat(' ', 'milliseconds').removesuffix('+00:00')
    sender = f'account {record.account or "(none)"}'
    if record.peer_of:
        sender = f'{sender}, forwarded by {record.peer_of}'
    return (
        f'Request {record.request_id} of {sender} for {record.target} '
        f'was received at {time} UTC by {record.host} in {record.domain}, '
        f'under document revision {record.revision}.'
    )


def _describe_repeat(record: _Record) -> collections.abc.Iterator[str]:
    if record.repeat_of:
        yield (
            'Its idempotency key was used before, by request '
            f'{record.repeat_of}.'
        )


def _describe_queueing(record: _Record) -> collections.abc.Iterator[str]:
    if record.queued_s >= _MIN_SHOWN_WAIT_S:
        reason = _add_full_stop(
            record.queue_reason or 'the reason was not recorded'
        )
        yield (
            f'It waited {record.queued_s:.2f} s in rank {record.rank}: {reason}'
        )
    elif record.queue_reason:
        reason = _add_full_stop(record.queue_reason)
        yield f'It did not wait in rank {record.rank}: {reason}'


def _describe_attempt(
    number: int, attempt: _Attempt, previous: _Attempt | None
) -> str:
    start = f'Attempt {number} went to {attempt.endpoint}'
    if previous is not None and attempt.offset:
        start = f'It resumed at token {attempt.offset} on {attempt.endpoint}'
    choice = f' ({attempt.choice})' if attempt.choice else ''
    cached = ''
    if attempt.cached_tokens:
        cached = f', with {attempt.cached_tokens} prompt tokens cached'
    tokens = f' after {attempt.tokens} tokens' if attempt.tokens else ''
    outcome = _add_full_stop(attempt.outcome or 'no outcome recorded')
    return (
        f'{start} at {attempt.start_s:.2f} s{choice}{cached}; it ended at '
        f'{attempt.end_s:.2f} s{tokens}: {outcome}'
    )


def _describe_output(record: _Record) -> collections.abc.Iterator[str]:
    if record.first_token_s:
        yield (
            f'The first token came after {record.first_token_s:.2f} s; '
            f'{record.output_tokens} tokens were delivered for a prompt of '
            f'{record.prompt_tokens} tokens.'
        )


def _describe_end(record: _Record) -> str:
    target = f'the target of rank {record.rank}'
    verdict = f'it missed {target}' if record.late else f'it met {target}'
    if record.outcome == outcomes.Outcome.COMPLETED:
        return f'It completed after {record.total_s:.2f} s; {verdict}.'
    cause = _describe_cause(record.cause)
    detail = f' {_add_full_stop(record.detail)}' if record.detail else ''
    return (
        f'It ended after {record.total_s:.2f} s as '
        f'{record.outcome or "unknown"}. {cause}{detail}'
    )


def _describe_cause(cause: str) -> str:
    if cause not in set(outcomes.Cause):
        return f'The cause is {cause or "not recorded"}.'
    info = outcomes.get_cause_info(outcomes.Cause(cause))
    return f'{info.doc} (cause {cause})'


def _add_full_stop(sentence: str) -> str:
    return sentence if sentence.endswith(('.', '!', '?')) else f'{sentence}.'
