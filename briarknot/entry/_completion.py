"""Runs one completion, from admission to the end of its stream."""

import asyncio
import contextlib
import random
import time

import attrs

from briarknot import admission, outcomes, routing, schema, telemetry
from briarknot.entry import (
    _attempts,
    _context,
    _identity,
    _metering,
    _peers,
    _requests,
    _story,
    _stream,
)

#: Attempts of one request; the retry budget is the limit under load.
_MAX_ATTEMPTS = 6
#: The first further attempt follows at once. Without waits between the rest,
#: refused connections used up all attempts within 0.2 s.
_FIRST_WAIT_S = 0.1
_COMPLETIONS_PATH = '/v1/completions'
#: Names the endpoints at whose crashes a forwarded suspect was in flight.
SUSPECT_HEADER = 'X-Briarknot-Suspect'

#: How a completion ends.
End = _stream.Finish | outcomes.Refusal


@attrs.define(eq=False, kw_only=True)
class Completion:
    """One completion.

    :param context: parts of the process.
    :param request: the caller's request.
    :param identity: account and rank.
    :param story: journal record in the making.
    :param may_hop: whether it may go to another failure domain.
    """

    _context: _context.Context
    _request: _requests.CompletionRequest
    _identity: _identity.Identity
    _story: _story.Story
    _may_hop: bool
    _work: routing.WorkEstimate
    _fingerprint: str
    _offset: int
    _has_suspect_turn: bool
    _ticket: admission.Ticket | None = attrs.field(default=None, init=False)
    _may_have_run: bool = attrs.field(default=False, init=False)
    _failed: set[str] = attrs.field(factory=set, init=False)
    _last_failure: str = attrs.field(default='', init=False)

    async def run(self, deliver: _stream.Deliver) -> End:
        """Runs the completion and delivers its pieces.

        :param deliver: called with each piece.
        :returns: how it ended.
        """
        known = self._context.quarantine.check(
            self._fingerprint, time.monotonic()
        )
        if isinstance(known, routing.Quarantined):
            return outcomes.make_refusal('quarantined', known.reason)
        if self._has_suspect_turn:
            # The process that forwarded it has admitted it.
            return await self._run_attempts(deliver)
        limited = self._context.limits.take(
            self._identity.account, self._work.work_s
        )
        if limited is not None:
            return _from_admission(limited)
        ticket = self._submit()
        if not isinstance(ticket, admission.Ticket):
            return await self._run_elsewhere(ticket, deliver)
        self._ticket = ticket
        try:
            return await self._run_queued(ticket, deliver)
        finally:
            self._context.gate.finish(ticket, time.monotonic())

    async def _run_queued(
        self, ticket: admission.Ticket, deliver: _stream.Deliver
    ) -> End:
        rank = self._identity.rank.name
        with telemetry.make_span('queue', rank=rank):
            admitted = await ticket.wait()
        if not admitted:
            self._story.note(
                queued_s=self._story.elapsed_s, queue_reason=admitted.reason
            )
            return _from_admission(admitted)
        self._story.note(
            queued_s=admitted.queued_s, queue_reason=admitted.reason
        )
        return await self._run_attempts(deliver)

    def _submit(self) -> admission.Ticket | admission.Refusal:
        prefill_s = self._estimate_prefill()
        return self._context.gate.submit(
            admission.AdmissionRequest(
                account=self._identity.account.name,
                rank=self._identity.rank.name,
                work_s=prefill_s + self._work.decode_s,
                prefill_s=prefill_s,
            ),
            time.monotonic(),
        )

    def _estimate_prefill(self) -> float:
        """Returns the prefill that the engine with most of the prefix needs."""
        work = self._work
        cached = max(
            (
                engine.count_cached_tokens(work)
                for engine in self._context.view.engines
            ),
            default=0,
        )
        return work.prefill_s * (1 - cached / max(1, work.prompt_tokens))

    def _note_first_token(self) -> None:
        self._story.note_first_token()
        if self._ticket is not None:
            self._context.gate.start_decode(self._ticket, time.monotonic())

    async def _run_elsewhere(
        self, refusal: admission.Refusal, deliver: _stream.Deliver
    ) -> End:
        """Tries another failure domain where the own one refuses."""
        is_limit = refusal.cause in {'account_cap', 'fleet_limit'}
        if is_limit or self._choose_hop() is None:
            return _from_admission(refusal)
        return await self._run_attempts(deliver)

    async def _run_attempts(self, deliver: _stream.Deliver) -> End:
        """Tries endpoints until the whole answer was delivered."""
        for number in range(_MAX_ATTEMPTS):
            if number:
                retry = self._context.retry_budget.take(time.monotonic())
                if not retry:
                    return self._fail('retry_budget', retry.reason)
                await asyncio.sleep(_choose_wait(number))
            await self._context.drains.wait_current()
            end = await self._run_attempt(deliver)
            if isinstance(end, _stream.Finish | outcomes.Refusal):
                return end
            if isinstance(end, _attempts.NotRun) and end.is_final:
                return self._fail('bad_request', end.reason)
        return self._fail('endpoint_failed', f'{_MAX_ATTEMPTS} attempts failed')

    async def _run_attempt(
        self, deliver: _stream.Deliver
    ) -> _attempts.End | outcomes.Refusal:
        """Chooses a target and tries it, alone where the request is suspect.

        A request that was in flight at an endpoint's crash may be the cause;
        while it runs alone, a second crash endangers one endpoint only.
        """
        known = self._check_quarantine()
        if isinstance(known, routing.Suspect) and not self._has_suspect_turn:
            owner = self._context.peers.choose_suspect_owner(
                self._context.node.host, self._failed
            )
            if owner is not None:
                target = self._make_owner_target(owner, known)
                return await self._attempt_in_flight(target, deliver)
        async with contextlib.AsyncExitStack() as stack:
            is_suspect = isinstance(known, routing.Suspect)
            if is_suspect:
                await stack.enter_async_context(self._context.suspect_turn)
                # The wait may have lasted through a pause of the process.
                await self._context.drains.wait_current()
                # Another copy may have crashed an endpoint meanwhile.
                known = self._check_quarantine()
            if isinstance(known, routing.Quarantined):
                return self._fail('quarantined', known.reason)
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
        """Runs one attempt and finds out whether its engine crashed."""
        flights = [
            self._context.quarantine.start(self._fingerprint, name, alone=alone)
            for name in target.engine_names
        ]
        end = None
        try:
            end = await self._attempt(target, deliver)
        finally:
            self._end_flights(flights, end)
        if isinstance(end, _stream.Broken) and not end.is_silent:
            await self._context.probe.check_crash(target, end)
        return end

    def _end_flights(
        self, flights: list[routing.InFlightRequest], end: _attempts.End | None
    ) -> None:
        for flight in flights:
            messages = self._context.quarantine.end(
                flight,
                time.monotonic(),
                # An attempt that the caller ended says nothing of its engine.
                completed=end is None or isinstance(end, _stream.Finish),
            )
            for message in messages:
                self._context.hub.broadcast(message)

    async def _attempt(
        self, target: _attempts.Target, deliver: _stream.Deliver
    ) -> _attempts.End:
        """Runs one attempt and keeps the books of endpoint and journal."""
        meter = _metering.Meter(self._note_first_token, deliver)
        record = schema.records.Attempt(
            endpoint=target.name,
            start_s=self._story.elapsed_s,
            choice=target.reason,
            offset=self._offset,
        )
        booking = self._book(target, meter.started_s)
        end: _attempts.End | None = None
        try:
            with telemetry.make_span(
                'attempt', endpoint=target.name, offset=self._offset
            ):
                end = await self._context.sender.send(
                    target,
                    self._request,
                    self._story.request_id,
                    self._identity.priority,
                    self._offset,
                    meter.deliver,
                )
        finally:
            booking.close(meter, ok=end is None or bool(end))
            self._note_end(target, record, meter, end)
        return end

    def _note_end(
        self,
        target: _attempts.Target,
        record: schema.records.Attempt,
        meter: _metering.Meter,
        end: _attempts.End | None,
    ) -> None:
        self._offset += meter.tokens
        record = attrs.evolve(record, tokens=meter.tokens)
        is_unrun = isinstance(end, _attempts.NotRun)
        self._may_have_run |= not is_unrun or end.has_prefilled
        if end is None:
            # The caller left, or the process is stopping.
            self._story.add_attempt(record, 'cancelled')
        elif isinstance(end, _stream.Finish):
            self._note_success(record, end)
        else:
            self._last_failure = f'{end.engine or target.name}: {end.reason}'
            # A refused import says nothing of which engine of a pair failed.
            is_import = is_unrun and end.has_prefilled
            self._failed.update(
                target.engine_names
                if is_import
                else [end.engine or target.name]
            )
            kind = 'not run' if is_unrun else 'failed'
            self._story.add_attempt(record, f'{kind}: {end.reason}')

    def _note_success(
        self, record: schema.records.Attempt, finish: _stream.Finish
    ) -> None:
        self._context.estimator.learn(
            self._identity.account.name, self._request.kind, self._offset
        )
        self._context.retry_budget.record_success(time.monotonic())
        cached_tokens = finish.usage.get('cached_tokens', 0)
        self._story.add_attempt(
            attrs.evolve(record, cached_tokens=cached_tokens), 'completed'
        )

    def _book(self, target: _attempts.Target, now: float) -> _metering.Booking:
        parts = {}
        if target.choice is not None:
            prefill = target.choice.prefill_engine
            if prefill:
                parts[prefill.name] = routing.Part.PREFILL
                parts[target.name] = routing.Part.DECODE
            else:
                parts[target.name] = routing.Part.WHOLE
        view = self._context.view
        return _metering.Booking(
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
            # With all endpoints tried, the same one may still recover.
            choice = context.router.choose_engine(context.view, self._work, now)
        if choice and not self._is_better(hop, choice):
            return _attempts.Target(
                name=choice.engine.name,
                url=f'{choice.engine.url}{_COMPLETIONS_PATH}',
                headers={},
                choice=choice,
            )
        return self._make_hop_target(hop) if hop else choice

    def _is_better(
        self, hop: _peers.Hop | None, choice: routing.Choice
    ) -> bool:
        """Tells whether the target is met only in another domain.

        Links between regions are paid by volume, so that work stays in the
        own failure domain where its target can be met there.
        """
        if hop is None:
            return False
        target_s = self._identity.rank.first_token_s
        elsewhere_s = hop.queue_delay_s + _peers.HOP_S + self._work.prefill_s
        return elsewhere_s <= target_s < choice.expected_first_token_s

    def _choose_hop(self) -> _peers.Hop | None:
        if not self._may_hop:
            return None
        return self._context.peers.choose_hop(self._request.model, self._failed)

    def _make_owner_target(
        self, hop: _peers.Hop, known: routing.Suspect
    ) -> _attempts.Target:
        """Makes the target of a suspect that the owner runs in its turn."""
        target = self._make_hop_target(hop)
        headers = {**target.headers, SUSPECT_HEADER: ','.join(known.endpoints)}
        return attrs.evolve(target, headers=headers)

    def _make_hop_target(self, hop: _peers.Hop) -> _attempts.Target:
        node = self._context.node
        return _attempts.Target(
            name=hop.host,
            url=f'{hop.peer_url}{_peers.FORWARD_PATH}{_COMPLETIONS_PATH}',
            headers={
                'Authorization': f'Bearer {node.peer_secret}',
                'X-Request-Id': self._story.request_id,
                'X-Briarknot-Account': self._identity.account.name,
                'X-Briarknot-Rank': self._identity.rank.name,
                'X-Briarknot-Host': node.host,
            },
            queue_s=self._identity.rank.max_queue_s,
        )

    def _refuse_target(self, missing: routing.NoEndpoint) -> outcomes.Refusal:
        if self._last_failure:
            return self._fail('endpoint_failed', missing.reason)
        return outcomes.make_refusal(
            missing.cause, missing.reason, retry_after_s=missing.retry_after_s
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


def _choose_wait(number: int) -> float:
    """Returns the wait before a further attempt, in seconds."""
    longest_s = _FIRST_WAIT_S * 2 ** (number - 1) if number > 1 else 0
    return random.uniform(0, longest_s)


def _from_admission(refusal: admission.Refusal) -> outcomes.Refusal:
    return outcomes.make_refusal(
        refusal.cause, refusal.reason, retry_after_s=refusal.retry_after_s
    )


def make_completion(
    context: _context.Context,
    request: _requests.CompletionRequest,
    identity: _identity.Identity,
    story: _story.Story,
    *,
    may_hop: bool = True,
    crashed: tuple[str, ...] = (),
) -> Completion:
    """Makes the run of one completion.

    :param context: parts of the process.
    :param request: the caller's request.
    :param identity: account and rank.
    :param story: journal record in the making.
    :param may_hop: whether it may go to another failure domain.
    :param crashed: endpoints at whose crashes it was in flight, where the
        own process runs it for another one, in the turn of suspects.
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
    story.rank = identity.rank
    story.note(
        account=identity.account.name,
        rank=identity.rank.name,
        target=request.model,
        revision=context.follower.revision,
        prompt_tokens=prompt_tokens,
    )
    fingerprint = context.quarantine.fingerprint(
        context.node.peer_secret, identity.account.name, request.prompt.encode()
    )
    if crashed:
        context.quarantine.apply_crashes(fingerprint, crashed, time.monotonic())
    return Completion(
        context=context,
        request=request,
        identity=identity,
        story=story,
        may_hop=may_hop,
        work=work,
        fingerprint=fingerprint,
        offset=request.resume_from,
        has_suspect_turn=bool(crashed),
    )
