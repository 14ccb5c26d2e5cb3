"""Runs calls to plain services, non-repeatable ones at most once."""

import asyncio
import collections.abc
import fnmatch
import hashlib
import time

import aiohttp
import attrs
import multidict
import yarl
from aiohttp import web

from briarknot import claims, outcomes, routing, schema, telemetry
from briarknot.entry import (
    _answers,
    _attempts,
    _context,
    _hops,
    _identity,
    _recorder,
    _stream,
)

SERVICE_PATH = '/services/'
_REQUEST_ID = _answers.REQUEST_ID_HEADER
_KEY_HEADER = 'Idempotency-Key'
_MAX_ATTEMPTS = 4
#: Statuses of final responses; others are not part of HTTP.
_FINAL_STATUSES = range(200, 600)
#: Hop-by-hop headers, and headers that the entry process consumes or sets
#: itself. They are not forwarded.
_UNFORWARDED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
        'traceparent',
        'tracestate',
    )
)
_INTERNAL_PREFIX = 'x-briarknot-'


@attrs.frozen(kw_only=True)
class Call:
    """A call to a plain service.

    :param service_name: name of the service.
    :param method: HTTP method.
    :param path: path below the service, with its query.
    :param headers: headers to forward.
    :param body: body.
    :param idempotency_key: the caller's key; empty for none.
    :param identity: account and rank.
    :param is_claimed: whether another entry process holds the claim.
    """

    service_name: str
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    idempotency_key: str
    identity: _identity.Identity
    is_claimed: bool = False

    @property
    def body_hash(self) -> str:
        """Hash that distinguishes a resend from another call."""
        digest = hashlib.sha256(
            f'{self.service_name} {self.method} {self.path}\n'.encode()
        )
        digest.update(self.body)
        return digest.hexdigest()


@attrs.frozen(kw_only=True)
class Answer:
    """Complete answer of an endpoint.

    :param status: HTTP status.
    :param headers: headers to forward.
    :param body: body.
    """

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes

    @property
    def content_type(self) -> str:
        """Content type, with its parameters."""
        return self.headers.get('Content-Type', 'application/octet-stream')

    def make_response(self, request_id: str) -> web.Response:
        """Makes the response to the caller."""
        headers = self.headers.copy()
        headers[_REQUEST_ID] = request_id
        return web.Response(status=self.status, headers=headers, body=self.body)


def make_call(
    request: web.Request, body: bytes, identity: _identity.Identity
) -> Call:
    """Makes a call from a request.

    :param request: the request, matched with ``name`` and ``path``.
    :param body: its body.
    :param identity: account and rank.
    """
    name = request.match_info['name']
    prefix = f'{SERVICE_PATH}{name}'
    # The raw path keeps the percent-encoding of the caller.
    raw = request.raw_path
    path = raw[raw.index(prefix) + len(prefix) :]
    return Call(
        service_name=name,
        method=request.method,
        path=path if path.startswith('/') else f'/{path}',
        headers=_filter_headers(request.headers),
        body=body,
        idempotency_key=request.headers.get(_KEY_HEADER, ''),
        identity=identity,
    )


async def run_call(
    context: _context.Context,
    call: Call,
    recorder: _recorder.RequestRecorder,
    *,
    may_hop: bool = True,
) -> Answer | outcomes.Refusal:
    """Runs a call, under a claim if it is non-repeatable and has a key.

    :param context: components of the process.
    :param call: the call.
    :param recorder: recorder of the request.
    :param may_hop: whether it may go to another failure domain.
    """
    recorder.set_fields(target=f'{call.service_name} {call.method} {call.path}')
    service = _find_service(context.fleet, call.service_name)
    if service is None:
        return outcomes.make_refusal(
            'unknown_target', f'no service {call.service_name!r}'
        )
    if service.rank:
        identity = context.directory.change_rank(call.identity, service.rank)
        call = attrs.evolve(call, identity=identity)
        recorder.rank = identity.rank
        recorder.set_fields(rank=identity.rank.name)
    run = _CallRun(context, call, recorder, service, may_hop)
    if run.is_repeatable or not call.idempotency_key or call.is_claimed:
        answer = await run.send()
    else:
        answer = await _run_claimed(context, run)
    if isinstance(answer, Answer):
        recorder.record_first_token()
        recorder.record_completion(0)
    return answer


def _find_service(
    fleet: schema.fleet.Fleet, name: str
) -> schema.fleet.Service | None:
    return next(
        (service for service in fleet.services if service.name == name), None
    )


async def _run_claimed(
    context: _context.Context, run: '_CallRun'
) -> Answer | outcomes.Refusal:
    """Claims the key, sends the call, and stores its answer."""
    call, recorder = run.call, run.recorder
    account = call.identity.account.name
    recorder.set_fields(
        idempotency_key_hash=hashlib.sha256(
            f'{account}\n{call.idempotency_key}'.encode()
        ).hexdigest()
    )
    with telemetry.make_span('claim'):
        claim = await context.claims.acquire(
            account, call.idempotency_key, recorder.request_id, call.body_hash
        )
    if not isinstance(claim, claims.Acquired):
        return _answer_claim(claim, recorder)
    # The claim must be settled even if the caller disconnects meanwhile, so
    # that a planned stop waits for it as for an open request.
    settling = asyncio.ensure_future(_send_claimed(context, run, claim))
    with context.open_requests.counted_until_done(settling):
        return await asyncio.shield(settling)


async def _send_claimed(
    context: _context.Context, run: '_CallRun', claim: claims.Acquired
) -> Answer | outcomes.Refusal:
    answer = await run.send()
    if isinstance(answer, Answer):
        await context.claims.finish(
            claim, answer.status, answer.content_type, answer.body
        )
    elif answer.outcome is outcomes.Outcome.NOT_RUN:
        await context.claims.release(claim)
    else:
        await context.claims.mark_unknown(claim, answer.reason)
    return answer


def _answer_claim(
    claim: object, recorder: _recorder.RequestRecorder
) -> Answer | outcomes.Refusal:
    """Answers a call whose claim was not acquired."""
    if isinstance(claim, claims.Stored):
        recorder.set_fields(repeat_of=claim.row.request_id)
        return _make_stored_answer(claim)
    if isinstance(claim, claims.InProgress):
        recorder.set_fields(repeat_of=claim.request_id)
        return outcomes.make_refusal(
            'key_in_progress',
            f'request {claim.request_id} holds the key',
            outcome=outcomes.Outcome.UNKNOWN,
            retry_after_s=1,
        )
    if isinstance(claim, claims.UnknownRun):
        recorder.set_fields(repeat_of=claim.request_id)
        return outcomes.make_refusal(
            'key_unknown',
            f'request {claim.request_id} may have run',
            outcome=outcomes.Outcome.UNKNOWN,
        )
    if isinstance(claim, claims.Reused):
        return outcomes.make_refusal(
            'key_reused', 'the key belongs to another call'
        )
    return outcomes.make_refusal(
        'platform_unavailable',
        f'claim: {getattr(claim, "reason", claim)}',
        retry_after_s=2,
    )


def _make_stored_answer(claim: claims.Stored) -> Answer | outcomes.Refusal:
    headers = multidict.CIMultiDict(
        {
            'Content-Type': claim.row.content_type,
            'Idempotent-Replayed': 'true',
        }
    )
    body = claims.decode_answer(claim.row)
    if body is None:
        return outcomes.make_refusal(
            'key_unknown',
            f'request {claim.row.request_id} ran; its answer was not stored',
            outcome=outcomes.Outcome.UNKNOWN,
        )
    return Answer(status=claim.row.status, headers=headers, body=body)


@attrs.frozen(kw_only=True)
class _Target:
    """Destination of an attempt.

    :param name: name of the worker, or of the peer host.
    :param url: URL of the call.
    :param choice: why it was chosen.
    :param reservation: attempt counted in the view; None for a hop.
    :param headers: additional headers of a hop.
    """

    name: str
    url: str
    choice: str
    reservation: routing.ServiceAttempt | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _CallRun:
    """Attempts of one call."""

    _context: _context.Context
    _call: Call
    _recorder: _recorder.RequestRecorder
    _service: schema.fleet.Service
    _may_hop: bool
    _failed: set[str] = attrs.field(factory=set, init=False)

    @property
    def call(self) -> Call:
        """The call."""
        return self._call

    @property
    def recorder(self) -> _recorder.RequestRecorder:
        """Recorder of the request."""
        return self._recorder

    @property
    def is_repeatable(self) -> bool:
        """Whether the document allows that the call runs more than once."""
        path = self._call.path.partition('?')[0]
        return not any(
            pattern.method == self._call.method
            and fnmatch.fnmatchcase(path, pattern.path)
            for pattern in self._service.non_repeatable
        )

    async def send(self) -> Answer | outcomes.Refusal:
        """Sends the call; retries it if it did not run or is repeatable."""
        failure = ''
        may_have_run = False
        for number in range(_MAX_ATTEMPTS):
            budget = self._context.retry_budget
            if number and not budget.try_acquire(time.monotonic()):
                break
            answer = await self._attempt()
            if isinstance(answer, Answer):
                budget.record_success(time.monotonic())
                return answer
            if isinstance(answer, outcomes.Refusal):
                if failure:
                    break
                return answer
            failure = answer.reason
            may_have_run |= not isinstance(answer, _attempts.NotRun)
            if may_have_run and not self.is_repeatable:
                break
        unknown = outcomes.Outcome.UNKNOWN
        return outcomes.make_refusal(
            'endpoint_failed',
            f'last failure: {failure}',
            outcome=unknown if may_have_run else outcomes.Outcome.NOT_RUN,
            retry_after_s=1,
        )

    async def _attempt(
        self,
    ) -> Answer | outcomes.Refusal | _attempts.NotRun | _stream.Broken:
        target = self._choose_target()
        if isinstance(target, outcomes.Refusal):
            return target
        record = schema.records.Attempt(
            endpoint=target.name,
            start_s=self._recorder.elapsed_s,
            choice=target.choice,
        )
        outcome = 'cancelled'
        try:
            with telemetry.make_span('attempt', endpoint=target.name):
                answer = await self._send_to(target)
            outcome = _describe_outcome(answer)
        finally:
            if target.reservation is not None:
                self._context.services.end_attempt(
                    target.reservation,
                    time.monotonic(),
                    ok=outcome == 'completed',
                )
            self._recorder.add_attempt(record, outcome)
        if not isinstance(answer, Answer):
            self._failed.add(target.name)
        return answer

    def _choose_target(self) -> _Target | outcomes.Refusal:
        now = time.monotonic()
        services = self._context.services
        chosen = routing.choose_service_endpoint(
            services,
            self._service.name,
            now,
            self._context.random,
            frozenset(self._failed),
        )
        if isinstance(chosen, routing.ServiceChoice):
            endpoint = chosen.endpoint
            return _Target(
                name=endpoint.name,
                url=f'{endpoint.url.rstrip("/")}{self._call.path}',
                choice=chosen.reason,
                reservation=services.start_attempt(endpoint.name),
            )
        domains = {
            endpoint.domain
            for endpoint in self._service.endpoints
            if not endpoint.leaving
        }
        hop = self._context.hop_selector.choose_service_hop(
            domains - {self._context.node.domain}
        )
        if hop is None or not self._may_hop:
            return outcomes.make_refusal(
                chosen.cause, chosen.reason, retry_after_s=1
            )
        return self._make_hop_target(hop)

    def _make_hop_target(self, hop: _hops.Hop) -> _Target:
        node = self._context.node
        identity = self._call.identity
        headers = {
            'Authorization': f'Bearer {node.peer_secret}',
            'X-Briarknot-Account': identity.account.name,
            'X-Briarknot-Rank': identity.rank.name,
            'X-Briarknot-Host': node.host,
            'X-Briarknot-Claimed': '1',
        }
        base = f'{hop.peer_url}{_hops.FORWARD_PATH}{SERVICE_PATH}'
        return _Target(
            name=hop.host,
            url=f'{base}{self._service.name}{self._call.path}',
            choice=f'no worker in the own domain; forwarded to {hop.domain}',
            headers=headers,
        )

    async def _send_to(
        self, target: _Target
    ) -> Answer | _attempts.NotRun | _stream.Broken:
        """Sends the call once and reads the complete answer."""
        call = self._call
        headers = call.headers.copy()
        headers.update(target.headers)
        headers[_REQUEST_ID] = self._recorder.request_id
        telemetry.inject_context(headers)
        try:
            async with self._context.session.request(
                call.method,
                yarl.URL(target.url, encoded=True),
                data=call.body,
                headers=headers,
                timeout=self._make_timeout(),
                allow_redirects=False,
            ) as response:
                body = await response.read()
                is_hop = target.reservation is None
                return self._check_answer(response, body, is_hop=is_hop)
        except _attempts.CONNECT_ERRORS as error:
            return _attempts.NotRun(f'cannot connect: {error}')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _stream.Broken(f'{type(error).__name__}: {error}')

    def _make_timeout(self) -> aiohttp.ClientTimeout:
        timing = self._context.settings.timing
        return aiohttp.ClientTimeout(
            total=self._service.timeout_s,
            sock_connect=timing.connect_timeout_s,
        )

    def _check_answer(
        self, response: aiohttp.ClientResponse, body: bytes, *, is_hop: bool
    ) -> Answer | _attempts.NotRun | _stream.Broken:
        """Checks that an answer belongs to this call.

        Only the refusal of a peer states whether the call ran. A service's
        answer with the same content is passed to the caller.
        """
        if response.status not in _FINAL_STATUSES:
            return _stream.Broken(f'status {response.status}')
        answered_id = response.headers.get(_REQUEST_ID)
        if answered_id not in {None, self._recorder.request_id}:
            return _stream.Broken(f'answer to request {answered_id}')
        if is_hop and _answers.OUTCOME_HEADER in response.headers:
            failure = _attempts.parse_problem(body)
            if failure is not None:
                return failure
        headers = _filter_headers(response.headers)
        return Answer(status=response.status, headers=headers, body=body)


def _describe_outcome(answer: object) -> str:
    if isinstance(answer, Answer):
        return 'completed'
    if isinstance(answer, _attempts.NotRun):
        return f'not run: {answer.reason}'
    return f'failed: {getattr(answer, "reason", answer)}'


def _filter_headers(
    headers: collections.abc.Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Returns the headers to forward."""
    return multidict.CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in _UNFORWARDED_HEADERS
        and not name.lower().startswith(_INTERNAL_PREFIX)
    )
