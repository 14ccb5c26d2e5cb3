"""Tells the story of a request in plain sentences."""

import collections.abc
import datetime

from briarknot import outcomes, schema

_Record = schema.records.RequestRecord
_Attempt = schema.records.Attempt
# Times are shown with two decimals.
_SHOWN_WAIT_S = 0.005


def explain(record: _Record) -> str:
    """Tells what happened to a request, one sentence a line.

    :param record: the request's record.

    >>> story = explain(
    ...     schema.records.RequestRecord(
    ...         request_id='h.1.2',
    ...         rank='urgent',
    ...         queued_s=2.1,
    ...         queue_reason='all engines of obb-a were busy',
    ...     )
    ... )
    >>> story.splitlines()[1]
    'It waited 2.10 s in rank urgent: all engines of obb-a were busy.'
    """
    return '\n'.join(_tell(record))


def _tell(record: _Record) -> collections.abc.Iterator[str]:
    yield _tell_receipt(record)
    yield from _tell_repeat(record)
    yield from _tell_queue(record)
    previous = None
    for number, attempt in enumerate(record.attempts, 1):
        yield _tell_attempt(number, attempt, previous)
        previous = attempt
    yield from _tell_speed(record)
    yield _tell_end(record)


def _tell_receipt(record: _Record) -> str:
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


def _tell_repeat(record: _Record) -> collections.abc.Iterator[str]:
    if record.repeat_of:
        yield (
            'Its idempotency key was used before, by request '
            f'{record.repeat_of}.'
        )


def _tell_queue(record: _Record) -> collections.abc.Iterator[str]:
    if record.queued_s >= _SHOWN_WAIT_S:
        reason = _end(record.queue_reason or 'the reason was not noted')
        yield (
            f'It waited {record.queued_s:.2f} s in rank {record.rank}: {reason}'
        )
    elif record.queue_reason:
        reason = _end(record.queue_reason)
        yield f'It did not wait in rank {record.rank}: {reason}'


def _tell_attempt(
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
    outcome = _end(attempt.outcome or 'no outcome noted')
    return (
        f'{start} at {attempt.start_s:.2f} s{choice}{cached}; it ended at '
        f'{attempt.end_s:.2f} s{tokens}: {outcome}'
    )


def _tell_speed(record: _Record) -> collections.abc.Iterator[str]:
    if record.first_token_s:
        yield (
            f'The first token came after {record.first_token_s:.2f} s; '
            f'{record.output_tokens} tokens were delivered for a prompt of '
            f'{record.prompt_tokens} tokens.'
        )


def _tell_end(record: _Record) -> str:
    target = f'the target of rank {record.rank}'
    verdict = f'it missed {target}' if record.late else f'it met {target}'
    if record.outcome == outcomes.Outcome.COMPLETED:
        return f'It completed after {record.total_s:.2f} s; {verdict}.'
    cause = _tell_cause(record.cause)
    detail = f' {_end(record.detail)}' if record.detail else ''
    return (
        f'It ended after {record.total_s:.2f} s as '
        f'{record.outcome or "unknown"}. {cause}{detail}'
    )


def _tell_cause(cause: str) -> str:
    if cause not in set(outcomes.Cause):
        return f'The cause is {cause or "not noted"}.'
    info = outcomes.get_cause_info(outcomes.Cause(cause))
    return f'{info.doc} (cause {cause})'


def _end(sentence: str) -> str:
    return sentence if sentence.endswith(('.', '!', '?')) else f'{sentence}.'
