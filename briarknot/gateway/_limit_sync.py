"""Exchanges what workers state in answers, and permits, between processes.

A changed limit goes to all processes at once. While there is any, each process
repeats what it knows to a few others, and to the other issuers of its workers, so
that one that missed a message, was suspended or has just started has it within
seconds, and issuers notice each other's loss. Nothing is stored: a worker in need
names its limit in each answer.
"""

import asyncio
import time

import attrs

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _gossip, _peers

_KEY = 'limits'
#: Period of repeating what is known.
_PERIOD_S = 1.0
#: Time for which it is repeated that a worker is leaving; its entry has expired or
#: says so by then.
_LEAVING_REPEAT_S = 30.0
#: Pause after a change, so that what many answers state at once is sent together.
_PAUSE_S = 0.05
#: Records in a datagram; each takes about 100 bytes.
_RECORDS_PER_DATAGRAM = 200
_MS_PER_S = 1000


@attrs.define(eq=False)
class LimitSync:
    """Sends the limits of workers that this process knows."""

    _context: _context.Context
    _peers: _peers.Peers

    async def send(self) -> None:
        """Sends changed limits at once, and repeats all of them."""
        limits = self._context.permits.limits
        fleet = self._context.fleet
        checked_s = float('-inf')
        repeated_s = float('-inf')
        while True:
            now = time.monotonic()
            records = limits.take_changed(now)
            leaving = fleet.list_leaving(checked_s)
            checked_s = now
            self._send(records, leaving, tuple(self._context.peer_hosts))
            if now - repeated_s >= _PERIOD_S:
                repeated_s = now
                self._repeat(now)
            await asyncio.sleep(_PAUSE_S)
            if not self._has_changes(checked_s):
                await self._context.backpressure_changed.wait(
                    repeated_s + _PERIOD_S - time.monotonic()
                )

    def _has_changes(self, checked_s: float) -> bool:
        """Returns whether something has changed since a check."""
        return self._context.permits.limits.has_changed or bool(
            self._context.fleet.list_leaving(checked_s)
        )

    def _repeat(self, now: float) -> None:
        """Sends all that is known to a few processes."""
        records = self._context.permits.limits.list_records(now)
        leaving = self._context.fleet.list_leaving(now - _LEAVING_REPEAT_S)
        if records or leaving:
            self._send(records, leaving, self._choose_receivers(now))

    def _choose_receivers(self, now: float) -> tuple[str, ...]:
        """Chooses a few processes, and the issuers of workers with a limit."""
        permits = self._context.permits
        host = self._context.settings.host
        chosen = set(_gossip.choose_receivers(self._context, _KEY))
        for worker in self._context.fleet.workers:
            if permits.get_limit(worker, now) is not None:
                issuers = permits.rank_issuers(worker)
                chosen.update(issuers if host in issuers else ())
        return tuple(chosen - {host})

    def _send(
        self,
        records: tuple[schema.messages.LimitRecord, ...],
        leaving: tuple[str, ...],
        hosts: tuple[str, ...],
    ) -> None:
        settings = self._context.settings
        count = max(len(records), len(leaving))
        for start in range(0, count, _RECORDS_PER_DATAGRAM):
            end = start + _RECORDS_PER_DATAGRAM
            message = schema.messages.LimitRecords(
                host=settings.host,
                domain=settings.domain,
                address=settings.address,
                port=settings.peer_port,
                limits=records[start:end],
                leaving=leaving[start:end],
            )
            self._peers.send(message, hosts)


@_peers.HANDLERS.register('LimitRecords')
def apply_limit_records(
    peers: _peers.Peers, message: schema.messages.LimitRecords, now: float
) -> None:
    """Merges the limits that another process knows.

    :param peers: adds a process that is not known yet.
    :param message: the limits.
    :param now: monotonic time in seconds.
    """
    peers.record_host(message)
    permits = peers.context.permits
    permits.record_heard(message.host, now)
    for start in message.leaving:
        if peers.context.fleet.record_leaving(start, now):
            peers.context.backpressure_changed.notify()
    changed = permits.limits.merge(message.limits, now)
    if changed:
        telemetry.log_event(
            'worker_limits_received', peer=message.host, workers=changed
        )


@_peers.HANDLERS.register('PermitRequest')
def answer_permit_request(
    peers: _peers.Peers, message: schema.messages.PermitRequest, now: float
) -> None:
    """Issues a permit to another process, or refuses it.

    :param peers: sends the answer.
    :param message: the request.
    :param now: monotonic time in seconds.
    """
    peers.record_host(message)
    context = peers.context
    context.permits.record_heard(message.host, now)
    worker = context.fleet.find_worker(message.worker)
    if worker is None:
        # Without an answer the other process asks the next issuer.
        telemetry.log_event(
            'permit_for_unknown_worker',
            worker=message.worker,
            peer=message.host,
        )
        return
    context.permits.limits.merge((message.limit,), now)
    need = serving.Need(
        rank=message.rank,
        max_wait_s=message.max_wait_ms / _MS_PER_S,
        is_start=message.is_start,
    )
    result = context.permits.issue(worker, need, now)
    is_granted = isinstance(result, serving.Permit)
    wait_s = result.wait_s if is_granted else result.retry_s
    peers.send(
        schema.messages.PermitAnswer(
            host=context.settings.host,
            number=message.number,
            is_granted=is_granted,
            wait_ms=int(wait_s * _MS_PER_S),
        ),
        (message.host,),
    )


@_peers.HANDLERS.register('PermitAnswer')
def apply_permit_answer(
    peers: _peers.Peers, message: schema.messages.PermitAnswer, now: float
) -> None:
    """Delivers an answer to the request that waits for it.

    :param peers: has the state of the process.
    :param message: the answer.
    :param now: monotonic time in seconds.
    """
    wait_s = message.wait_ms / _MS_PER_S
    result: serving.Permit | serving.NotPermitted = serving.Permit(wait_s)
    if not message.is_granted:
        result = serving.NotPermitted(f'{message.host} refuses', wait_s)
    peers.context.permits.record_heard(message.host, now)
    peers.context.permit_answers.deliver(message.number, result)


def make_limit_sync(
    context: _context.Context, peers: _peers.Peers
) -> LimitSync:
    """Makes what sends the limits of workers.

    :param context: state of the process.
    :param peers: sends the messages.
    """
    return LimitSync(context, peers)
