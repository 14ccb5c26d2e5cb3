"""Messages with the counts of client accounts, and their answers."""

import attrs

from briarknot import schema, telemetry, usage
from briarknot.gateway import _clock, _context, _peers

_MS_PER_S = 1000
_Message = schema.messages.UsageReport | schema.messages.UsageSums


def describe_host(state: usage.Usage, host: str) -> schema.messages.UsageHost:
    """Returns what sums say of a process that is part of them.

    :param state: state of this process.
    :param host: host of the process.
    """
    clock = state.reported_clocks.get(host)
    return schema.messages.UsageHost(
        host=host,
        clock_ms=encode_clock(clock),
        clock_era=clock.era if clock else 0,
    )


def encode_clock(clock: usage.Clock | None) -> int:
    """Encodes a clock; 0 stands for one that is not known.

    :param clock: the clock.
    """
    return round(clock.offset_s * _MS_PER_S) if clock else 0


def _decode_clock(
    message: schema.messages.UsageReport
    | schema.messages.UsageHost
    | schema.messages.UsageAck,
) -> usage.Clock | None:
    if not message.clock_ms:
        return None
    return usage.Clock(message.clock_ms / _MS_PER_S, message.clock_era)


def encode_counts(
    counts: dict[tuple[int, str], int],
) -> tuple[schema.messages.UsageCount, ...]:
    """Encodes counts.

    :param counts: number of requests by window and account.
    """
    return tuple(
        schema.messages.UsageCount(
            window=window, account=account, requests=max(0, count)
        )
        for (window, account), count in counts.items()
    )


def _decode_changes(message: _Message) -> usage.Changes:
    return usage.Changes(
        message.after,
        message.sequence,
        {(one.window, one.account): one.requests for one in message.counts},
    )


def apply_report(
    context: _context.Context,
    message: schema.messages.UsageReport,
    now: float,
) -> int:
    """Applies the counts of a process.

    :param context: state of this process.
    :param message: the counts.
    :param now: time by the clock that includes suspension.
    :returns: the latest change that is known.
    """
    state = context.account_usage
    clock = _decode_clock(message)
    if clock is not None:
        state.reported_clocks[message.host] = clock
    return state.counts.apply_report(
        usage.Source(message.host, message.born_ms, message.domain),
        _decode_changes(message),
        now,
    )


def apply_sums(
    context: _context.Context, message: schema.messages.UsageSums, now: float
) -> int:
    """Applies the sums of a domain.

    :param context: state of this process.
    :param message: the sums.
    :param now: time by the clock that includes suspension.
    :returns: the latest change that is known.
    """
    state = context.account_usage
    for described in message.hosts:
        clock = _decode_clock(described)
        if clock is not None:
            state.record_clock(described.host, clock, now)
    return state.counts.apply_sums(
        usage.Source(message.host, message.born_ms, message.domain),
        _decode_changes(message),
        [one.host for one in message.hosts],
        now,
    )


def _make_ack(context: _context.Context) -> schema.messages.UsageAck:
    """Makes an answer that says what is known of the reports."""
    state = context.account_usage
    status = state.status
    clock = state.clock.agreed
    holder_age_s: float = 0
    if status.holder:
        holder_age_s = max(0, _clock.read_clock() - status.granted_s)
    return schema.messages.UsageAck(
        host=context.settings.host,
        holder=status.holder,
        fence=status.fence,
        holder_age_ms=int(holder_age_s * _MS_PER_S),
        fixed_window=status.fixed_window,
        clock_ms=encode_clock(clock),
        clock_era=clock.era if clock else 0,
    )


def send_status(context: _context.Context, hosts: tuple[str, ...]) -> None:
    """Says what is known of the reports to processes that have not asked.

    :param context: state of this process.
    :param hosts: hosts of the processes.
    """
    context.send_message(_make_ack(context), hosts)


def _acknowledge(
    peers: _peers.Peers, message: _Message, domain: str, sequence: int
) -> None:
    answer = attrs.evolve(
        _make_ack(peers.context),
        domain=domain,
        born_ms=message.born_ms,
        sequence=sequence,
    )
    peers.send(answer, (message.host,))


@_peers.HANDLERS.register('UsageReport')
def apply_usage_report(
    peers: _peers.Peers, message: schema.messages.UsageReport, now: float
) -> None:
    """Applies and acknowledges the counts of a process.

    :param peers: sends the answer.
    :param message: the counts.
    :param now: monotonic time in seconds.
    """
    peers.record_host(message)
    known = apply_report(peers.context, message, _clock.read_clock())
    _acknowledge(peers, message, '', known)


@_peers.HANDLERS.register('UsageSums')
def apply_usage_sums(
    peers: _peers.Peers, message: schema.messages.UsageSums, now: float
) -> None:
    """Applies and acknowledges the sums of a domain.

    :param peers: sends the answer.
    :param message: the sums.
    :param now: monotonic time in seconds.
    """
    known = apply_sums(peers.context, message, _clock.read_clock())
    _acknowledge(peers, message, message.domain, known)


@_peers.HANDLERS.register('UsageAck')
def apply_usage_ack(
    peers: _peers.Peers, message: schema.messages.UsageAck, now: float
) -> None:
    """Records what a receiver has, and what it knows of the reports.

    :param peers: has the state of the process.
    :param message: the answer.
    :param now: monotonic time in seconds.
    """
    state = peers.context.account_usage
    if message.born_ms == state.born_ms:
        state.acknowledged[message.host, message.domain] = message.sequence
        state.receivers.record_answer(message.host)
    granted_s = _clock.read_clock() - message.holder_age_ms / _MS_PER_S
    if state.status.record_grant(message.holder, message.fence, granted_s):
        log_holder(peers.context)
    state.status.record_fixed(message.fixed_window)
    state.heard_clock = _decode_clock(message) or state.heard_clock


def log_holder(context: _context.Context) -> None:
    """Logs that another process holds the duty.

    :param context: state of the process.
    """
    status = context.account_usage.status
    telemetry.log_event(
        'usage_holder_changed', holder=status.holder, fence=status.fence
    )
