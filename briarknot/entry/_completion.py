"""Runs a completion, from admission to the end of its stream."""

import asyncio
import contextlib
import random
import time

import attrs

from briarknot import admission, outcomes, routing, schema, telemetry
from briarknot.entry import (
    _attempts,
    _context,
    _hops,
    _identity,
    _metering,
    _recorder,
    _requests,
    _stream,
)

#: Limit of one request; under load the retry budget is the tighter one.
_MAX_ATTEMPTS = 6
#: Doubled for each attempt from the third on; the second follows at once.
#: Without backoff, refused connections used up all attempts within 0.2 s.
_BASE_BACKOFF_S = 0.1
_COMPLETIONS_PATH = '/v1/completions'
#: Lists the endpoints whose crashes a forwarded suspect was in flight at.
SUSPECT_HEADER = 'X-Briarknot-Suspect'

#: How a completion ends.
End = _stream.Finish | outcomes.Refusal


@attrs.define(eq=False, kw_only=True)
class Completion:
    """Run of one completion.

    :param context: components of the process.
    :param request: the caller's request.
    :param identity: account and rank.
    :param recorder: recorder of the request.
    :param may_hop: whether it may go to another failure domain.
    """

    _context: _context.Context
    _request: _requests.CompletionRequest
    _identity: _identity.Identity
    _recorder: _recorder.RequestRecorder
    _may_hop: bool
    _work: routing.WorkEstimate
    _fingerprint: str
    _offset: int
    _holds_suspect_lock: bool
    _ticket: admission.Ticket | None = attrs.field(default=None, init=False)
    _may_have_run: bool = attrs.field(default=False, init=False)
    _failed: set[str] = attrs.field(factory=set, init=False)
    _last_failure: str = attrs.field(default='', init=False)

    async def run(self, deliver: _stream.Deliver) -> End:
        """Runs the completion and delivers its deltas.

        :param deliver: called with deltas, in order.
        :returns: the finish, or a refusal with the cause of the failure.
        """
        status = self._context.quarantine.check(
            self._fingerprint, time.monotonic()
        )
        if isinstance(status, routing.Quarantined):
            return outcomes.make_refusal('quarantined', status.reason)
        if self._holds_suspect_lock:
            # The process that forwarded the request has admitted it.
            return await self._run_attempts(deliver)
        limited = self._context.account_limits.take(
            self._identity.account, self._work.work_s
        )
        if limited is not None:
            return _convert_refusal(limited)
        ticket = self._submit()
        if not isinstance(ticket, admission.Ticket):
            return await self._run_in_other_domain(ticket, deliver)
        self._ticket = ticket
        try:
            return await self._run_queued(ticket, deliver)
        finally:
            self._context.admission.finish(ticket, time.monotonic())

    async def _run_queued(
        self, ticket: admission.Ticket, deliver: _stream.Deliver
    ) -> End:
        rank = self._identity.rank.name
        with telemetry.make_span('queue', rank=rank):
            admitted = await ticket.wait()
        if not admitted:
            self._recorder.set_fields(
                queued_s=self._recorder.elapsed_s, queue_reason=admitted.reason
            )
            return _convert_refusal(admitted)
        self._recorder.set_fields(
            queued_s=admitted.queued_s, queue_reason=admitted.reason
        )
        return await self._run_attempts(deliver)

    def _submit(self) -> admission.Ticket | admission.Refusal:
        prefill_s = self._estimate_prefill()
        return self._context.admission.submit(
            admission.AdmissionRequest(
                account=self._identity.account.name,
                rank=self._identity.rank.name,
                work_s=prefill_s + self._work.decode_s,
                prefill_s=prefill_s,
            ),
            time.monotonic(),
        )

    def _estimate_prefill(self) -> float:
        """Estimates prefill on the engine with the most cached tokens."""
        work = self._work
        cached = max(
            (
                engine.count_cached_tokens(work)
                for engine in self._context.view.engines
            ),
            default=0,
        )
        return work.prefill_s * (1 - cached / max(1, work.prompt_tokens))

    def _record_first_token(self) -> None:
        self._recorder.record_first_token()
        if self._ticket is not None:
            self._context.admission.start_decode(self._ticket, time.monotonic())

    async def _run_in_other_domain(
        self, refusal: admission.Refusal, deliver: _stream.Deliver
    ) -> End:
        """Tries another failure domain after a refusal of local admission.

        A refusal for a cap or limit of the account is final.
        """
        is_limit = refusal.cause in {'account_cap', 'fleet_limit'}
        if is_limit or self._choose_hop() is None:
            return _convert_refusal(refusal)
        return await self._run_attempts(deliver)

    async def _run_attempts(self, deliver: _stream.Deliver) -> End:
        """Tries endpoints until the complete answer was delivered."""
        for number in range(_MAX_ATTEMPTS):
            if number:
                retry = self._context.retry_budget.try_acquire(time.monotonic())
                if not retry:
                    return self._fail('retry_budget', retry.reason)
                await asyncio.sleep(_choose_backoff(number))
            await self._context.drain_marks.wait_until_current()
            end = await self._run_attempt(deliver)
            if isinstance(end, _stream.Finish | outcomes.Refusal):
                return end
            if isinstance(end, _attempts.NotRun) and end.is_final:
                return self._fail('bad_request', end.reason)
        return self._fail('endpoint_failed', f'{_MAX_ATTEMPTS} attempts failed')

    async def _run_attempt(
        self, deliver: _stream.Deliver
    ) -> _attempts.End | outcomes.Refusal:
        """Chooses a target and tries it; suspect requests run one at a time.

        A request that was in flight at an endpoint's crash may be its cause.
        While it is the only suspect that runs, a second crash affects only one
        endpoint.
        """
        status = self._check_quarantine()
        if isinstance(status, routing.Suspect) and not self._holds_suspect_lock:
            owner = self._context.hop_selector.choose_suspect_owner(
                self._context.node.host, self._failed
            )
            if owner is not None:
                target = self._make_owner_target(owner, status)
                return await self._attempt_in_flight(target, deliver)
        async with contextlib.AsyncExitStack() as stack:
            is_suspect = isinstance(status, routing.Suspect)
            if is_suspect:
                await stack.enter_async_context(self._context.suspect_lock)
                # The process may have been paused during the wait.
                await self._context.drain_marks.wait_until_current()
                # The same request, sent again, may have crashed an endpoint
                # during the wait.
                status = self._check_quarantine()
            if isinstance(status, routing.Quarantined):
                return self._fail('quarantined', status.reason)
            target = self._choose_target()
            if not isinstance(target, _attempts.Target):
                return self._refuse_target(target)
            return await self._attempt_in_flight(
                target, deliver, alone=is_suspect
            )

    def _check_quarantine(
        self,
    ) -> routing.Clear | routing.Suspect | routing.Quarantined:
        return self._context.quarantine.check(
            self._fingerprint, time.monotonic()
        )

    async def _attempt_in_flight(
        self,
        target: _attempts.Target,
        deliver: _stream.Deliver,
        *,
        alone: bool = False,
    ) -> _attempts.End:
        """Runs one attempt and checks after a failure for a crash."""
        in_flight = [
            self._context.quarantine.start(self._fingerprint, name, alone=alone)
            for name in target.engine_names
        ]
        end = None
        try:
            end = await self._attempt(target, deliver)
        finally:
            self._end_in_flight(in_flight, end)
        if isinstance(end, _stream.Broken) and not end.is_silent:
            await self._context.probe.check_crash(target, end)
        return end

    def _end_in_flight(
        self,
        in_flight: list[routing.InFlightRequest],
        end: _attempts.End | None,
    ) -> None:
        for in_flight_request in in_flight:
            messages = self._context.quarantine.end(
                in_flight_request,
                time.monotonic(),
                # An attempt that the caller cancelled is no evidence of a
                # crash.
                completed=end is None or isinstance(end, _stream.Finish),
            )
            for message in messages:
                self._context.hub.broadcast(message)

    async def _attempt(
        self, target: _attempts.Target, deliver: _stream.Deliver
    ) -> _attempts.End:
        """Runs one attempt and records it in the view and the journal."""
        meter = _metering.Meter(self._record_first_token, deliver)
        record = schema.records.Attempt(
            endpoint=target.name,
            start_s=self._recorder.elapsed_s,
            choice=target.reason,
            offset=self._offset,
        )
        reservation = self._reserve(target, meter.started_s)
        end: _attempts.End | None = None
        try:
            with telemetry.make_span(
                'attempt', endpoint=target.name, offset=self._offset
            ):
                end = await self._context.sender.send(
                    target,
                    self._request,
                    self._recorder.request_id,
                    self._identity.priority,
                    self._offset,
                    meter.deliver,
                )
        finally:
            reservation.close(meter, ok=end is None or bool(end))
            self._record_end(target, record, meter, end)
        return end

    def _record_end(
        self,
        target: _attempts.Target,
        record: schema.records.Attempt,
        meter: _metering.Meter,
        end: _attempts.End | None,
    ) -> None:
        self._offset += meter.tokens
        record = attrs.evolve(record, tokens=meter.tokens)
        is_not_run = isinstance(end, _attempts.NotRun)
        self._may_have_run |= not is_not_run or end.has_prefilled
        if end is None:
            # The caller disconnected, or the process is stopping.
            self._recorder.add_attempt(record, 'cancelled')
        elif isinstance(end, _stream.Finish):
            self._record_success(record, end)
        else:
            self._last_failure = f'{end.engine or target.name}: {end.reason}'
            # A refused KV transfer does not show which engine failed.
            is_transfer_refused = is_not_run and end.has_prefilled
            self._failed.update(
                target.engine_names
                if is_transfer_refused
                else [end.engine or target.name]
            )
            kind = 'not run' if is_not_run else 'failed'
            self._recorder.add_attempt(record, f'{kind}: {end.reason}')

    def _record_success(
        self, record: schema.records.Attempt, finish: _stream.Finish
    ) -> None:
        self._context.estimator.learn(
            self._identity.account.name, self._request.kind, self._offset
        )
        self._context.retry_budget.record_success(time.monotonic())
        cached_tokens = finish.usage.get('cached_tokens', 0)
        self._recorder.add_attempt(
            attrs.evolve(record, cached_tokens=cached_tokens), 'completed'
        )

    def _reserve(
        self, target: _attempts.Target, now: float
    ) -> _metering.Reservation:
        parts = {}
        if target.choice is not None:
            prefill = target.choice.prefill_engine
            if prefill:
                parts[prefill.name] = routing.Part.PREFILL
                parts[target.name] = routing.Part.DECODE
            else:
                parts[target.name] = routing.Part.WHOLE
        view = self._context.view
        return _metering.Reservation(
            view,
            [
                view.start_attempt(name, self._work, now, part)
                for name, part in parts.items()
            ],
        )

    def _choose_target(self) -> _attempts.Target | routing.NoEndpoint:
        now = time.monotonic()
        context = self._context
        choice = context.router.choose_engine(
            context.view, self._work, now, frozenset(self._failed)
        )
        hop = self._choose_hop()
        if not choice and hop is None and self._failed:
            # All endpoints were tried; a failed one may have recovered.
            choice = context.router.choose_engine(context.view, self._work, now)
        if choice and not self._is_hop_better(hop, choice):
            return _attempts.Target(
                name=choice.engine.name,
                url=f'{choice.engine.url}{_COMPLETIONS_PATH}',
                headers={},
                choice=choice,
            )
        return self._make_hop_target(hop) if hop else choice

    def _is_hop_better(
        self, hop: _hops.Hop | None, choice: routing.Choice
    ) -> bool:
        """Returns whether only a hop meets the first-token target.

        Traffic between regions is charged by volume, so that work stays in the
        local failure domain if the target can be met there.
        """
        if hop is None:
            return False
        target_s = self._identity.rank.first_token_s
        remote_s = (
            hop.queue_delay_s + _hops.HOP_LATENCY_S + self._work.prefill_s
        )
        return remote_s <= target_s < choice.expected_first_token_s

    def _choose_hop(self) -> _hops.Hop | None:
        if not self._may_hop:
            return None
        return self._context.hop_selector.choose_hop(
            self._request.model, self._failed
        )

    def _make_owner_target(
        self, hop: _hops.Hop, suspect: routing.Suspect
    ) -> _attempts.Target:
        """Makes the target of a suspect that its owner runs."""
        target = self._make_hop_target(hop)
        headers = {
            **target.headers,
            SUSPECT_HEADER: ','.join(suspect.endpoints),
        }
        return attrs.evolve(target, headers=headers)

    def _make_hop_target(self, hop: _hops.Hop) -> _attempts.Target:
        node = self._context.node
        return _attempts.Target(
            name=hop.host,
            url=f'{hop.peer_url}{_hops.FORWARD_PATH}{_COMPLETIONS_PATH}',
            headers={
                'Authorization': f'Bearer {node.peer_secret}',
                'X-Request-Id': self._recorder.request_id,
                'X-Briarknot-Account': self._identity.account.name,
                'X-Briarknot-Rank': self._identity.rank.name,
                'X-Briarknot-Host': node.host,
            },
            queue_s=self._identity.rank.max_queue_s,
        )

    def _refuse_target(self, refusal: routing.NoEndpoint) -> outcomes.Refusal:
        if self._last_failure:
            return self._fail('endpoint_failed', refusal.reason)
        return outcomes.make_refusal(
            refusal.cause, refusal.reason, retry_after_s=refusal.retry_after_s
        )

    def _fail(self, cause: str, reason: str) -> outcomes.Refusal:
        outcome = outcomes.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        return outcomes.make_refusal(
            cause,
            f'{reason}; last failure: {self._last_failure}',
            outcome=outcome,
            retry_after_s=1,
        )


def _choose_backoff(number: int) -> float:
    """Returns the backoff with full jitter before a retry, in seconds."""
    max_backoff_s = _BASE_BACKOFF_S * 2 ** (number - 1) if number > 1 else 0
    return random.uniform(0, max_backoff_s)


def _convert_refusal(refusal: admission.Refusal) -> outcomes.Refusal:
    return outcomes.make_refusal(
        refusal.cause, refusal.reason, retry_after_s=refusal.retry_after_s
    )


def make_completion(
    context: _context.Context,
    request: _requests.CompletionRequest,
    identity: _identity.Identity,
    recorder: _recorder.RequestRecorder,
    *,
    may_hop: bool = True,
    crashed_endpoints: tuple[str, ...] = (),
) -> Completion:
    """Makes a completion.

    :param context: components of the process.
    :param request: the caller's request.
    :param identity: account and rank.
    :param recorder: recorder of the request.
    :param may_hop: whether it may go to another failure domain.
    :param crashed_endpoints: endpoints at whose crashes it was in flight, if
        another process forwarded it to this one as a suspect.
    """
    prompt_tokens = len(request.prompt.split())
    work = context.estimator.estimate(
        identity.account.name,
        request.kind,
        request.model,
        routing.hash_blocks(request.prompt),
        prompt_tokens,
        request.max_tokens,
    )
    recorder.rank = identity.rank
    recorder.set_fields(
        account=identity.account.name,
        rank=identity.rank.name,
        target=request.model,
        revision=context.follower.revision,
        prompt_tokens=prompt_tokens,
    )
    fingerprint = context.quarantine.fingerprint(
        context.node.peer_secret, identity.account.name, request.prompt.encode()
    )
    if crashed_endpoints:
        context.quarantine.apply_crashes(
            fingerprint, crashed_endpoints, time.monotonic()
        )
    return Completion(
        context=context,
        request=request,
        identity=identity,
        recorder=recorder,
        may_hop=may_hop,
        work=work,
        fingerprint=fingerprint,
        offset=request.resume_from,
        holds_suspect_lock=bool(crashed_endpoints),
    )
