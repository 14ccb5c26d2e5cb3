"""Has requests wait for their turn at workers that have named a limit."""

import asyncio
import time
import typing

from briarknot import schema, serving, telemetry
from briarknot.gateway import _context, _requests

#: Longest wait for an answer to a request for a permit. The round trip to another
#: region takes 0.06 s.
_ANSWER_TIMEOUT_S = 0.25
#: Cost of asking an issuer in another failure domain: a round trip to another
#: region.
_FAR_ISSUER_S = 0.06
#: Longest wait for a turn, and the share of the time until its client leaves for
#: which a request waits, so that it can still be answered.
_MAX_WAIT_S = 2.0
_MAX_WAIT_SHARE = 0.4
#: Longest time between a permit and its turn. A less urgent request that would get
#: a later turn asks again, so that it does not take the turns of urgent ones.
_URGENT_AHEAD_S = 1.0
_AHEAD_S = 0.25
#: A worker whose turn comes later than expected by this much is compared with the
#: others again.
_SLACK_S = 0.1
#: Permits that are asked for until a request is given up.
_MAX_ASKED = 8
_MS_PER_S = 1000

_Choice = schema.serving.Worker | serving.Placement | None
Choose = typing.Callable[[list[str]], _Choice]


async def choose_permitted(
    context: _context.Context, request: _requests.Request, choose: Choose
) -> _Choice:
    """Chooses a worker, and waits for the request's turn if it has a limit.

    The policies know how long the request would wait at each worker, as far as
    this process has learned it. A wait that turns out to be longer is taken into
    account by the next choice.

    :param context: state of the process.
    :param request: the request.
    :param choose: chooses a worker or a placement; it gets the ids of workers to
        leave out.
    :returns: the choice; None if no worker may get the request in time.
    """
    return await _choose_in_turn(context, request, choose, is_start=False)


async def admit(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage,
) -> bool:
    """Returns whether a prompt may be prefilled.

    Where all workers that can run the request have limits, prompts are prefilled
    at the rate at which they can be sent on.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers that run it.
    """
    now = time.monotonic()
    usable = context.fleet.list_usable(request.service.name, stage, now)
    permits = context.permits
    if any(permits.get_limit(one, now) is None for one in usable):
        return True
    if request.is_admitted or not usable:
        return True

    def choose(excluded: list[str]) -> schema.serving.Worker | None:
        waits_s = list_waits_s(context, request, is_start=True)
        return min(
            (one for one in usable if one.id not in excluded),
            key=lambda one: (
                waits_s.get(one.id, 0)
                + (one.domain != context.settings.domain) * _FAR_ISSUER_S,
                context.random_source.random(),
            ),
            default=None,
        )

    chosen = await _choose_in_turn(context, request, choose, is_start=True)
    request.is_admitted = chosen is not None
    return request.is_admitted


async def _choose_in_turn(
    context: _context.Context,
    request: _requests.Request,
    choose: Choose,
    *,
    is_start: bool,
) -> _Choice:
    end_s = time.monotonic() + _compute_max_wait_s(request)
    for _ in range(_MAX_ASKED):
        remaining_s = end_s - time.monotonic()
        waits_s = list_waits_s(context, request, is_start=is_start)
        late = [one for one, wait_s in waits_s.items() if wait_s > remaining_s]
        choice = choose(late)
        if choice is None or (waits_s and _is_hopeless(request, choice)):
            return None
        worker = _get_worker(choice)
        rank = request.get_permit_rank(worker.stage)
        ahead_s = _AHEAD_S if rank else _URGENT_AHEAD_S
        wait_s = waits_s.get(worker.id, 0)
        if wait_s > ahead_s:
            await asyncio.sleep(wait_s - ahead_s)
            continue
        need = serving.Need(
            rank=rank,
            max_wait_s=min(wait_s + _SLACK_S, ahead_s, remaining_s),
            is_start=is_start,
        )
        if await _wait_for_turn(context, request, worker, need):
            return choice
    return None


def _is_hopeless(request: _requests.Request, choice: _Choice) -> bool:
    """Returns whether the client will leave before its prompt is prefilled."""
    if not isinstance(choice, serving.Placement):
        return False
    silent_s = time.monotonic() - request.call.received_s
    max_silence_s = request.route.max_silence_s
    return bool(max_silence_s) and silent_s + choice.expected_s > max_silence_s


def list_waits_s(
    context: _context.Context,
    request: _requests.Request,
    *,
    is_start: bool = False,
) -> dict[str, float]:
    """Lists the times until workers with a limit may get a request.

    :param context: state of the process.
    :param request: the request.
    :param is_start: whether its prompt is prefilled first.
    :returns: times in seconds by the ids of the workers that have a limit.
    """
    now = time.monotonic()
    if context.permits.limits.is_empty:
        return {}
    return {
        one.id: context.permits.get_wait_s(
            one, request.get_permit_rank(one.stage), now, is_start=is_start
        )
        for one in context.fleet.workers
        if one.service == request.service.name
        and context.permits.get_limit(one, now) is not None
    }


def lacks_turn(
    context: _context.Context,
    request: _requests.Request,
    placed: serving.KvSource | serving.Placement | None,
) -> bool:
    """Returns whether a prompt got no turn at any worker.

    Without limits, a decode worker prefills a prompt that has no placement.

    :param context: state of the process.
    :param request: the request.
    :param placed: where its prompt was prefilled, or is to be; None if nowhere.
    """
    if placed is not None or request.call.prompt is None:
        return False
    return bool(list_waits_s(context, request))


def refuse_unsent(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage = schema.serving.Stage.NONE,
    **inputs: object,
) -> None:
    """Refuses a request that no worker may get, or for which there is none.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers.
    :param inputs: figures behind the refusal, for the log.
    """
    waits_s = _list_all_waits_s(context, request, stage)
    request.refuse(
        _requests.UNAVAILABLE,
        'worker_limits' if any(waits_s) else 'no_endpoint',
        compute_retry_after_s(context, request, stage),
        **inputs,
    )


def compute_retry_after_s(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage = schema.serving.Stage.NONE,
) -> float:
    """Returns when a worker is expected to take a request, in seconds.

    :param context: state of the process.
    :param request: the request.
    :param stage: stage of the workers.
    """
    waits_s = _list_all_waits_s(context, request, stage)
    return max(min(waits_s, default=0), _requests.DEFAULT_RETRY_AFTER_S)


def _list_all_waits_s(
    context: _context.Context,
    request: _requests.Request,
    stage: schema.serving.Stage,
) -> list[float]:
    """Lists how long each usable worker takes no request; 0 for not at all."""
    now = time.monotonic()
    turns_s = list_waits_s(context, request)
    return [
        max(
            turns_s.get(one.id, 0),
            context.worker_records.get(one.id).get_pause_s(now),
        )
        for one in context.fleet.list_usable(request.service.name, stage, now)
    ]


def _compute_max_wait_s(request: _requests.Request) -> float:
    """Returns how long a request may wait for its turn.

    Clients abandon a stream that does not begin in time, before their deadline.
    """
    now = time.monotonic()
    remaining_s = request.remaining_s(now)
    if request.route.max_silence_s:
        silent_s = now - request.call.received_s
        remaining_s = min(remaining_s, request.route.max_silence_s - silent_s)
    return max(0, min(_MAX_WAIT_S, remaining_s * _MAX_WAIT_SHARE))


def _get_worker(
    choice: schema.serving.Worker | serving.Placement,
) -> schema.serving.Worker:
    if isinstance(choice, serving.Placement):
        return choice.prefill_worker
    return choice


async def _wait_for_turn(
    context: _context.Context,
    request: _requests.Request,
    worker: schema.serving.Worker,
    need: serving.Need,
) -> bool:
    """Waits for the turn of a request at a worker.

    :param context: state of the process.
    :param request: the request.
    :param worker: the worker.
    :param need: the permit that it needs if the worker has a limit.
    :returns: whether the request may be sent.
    """
    started_s = time.monotonic()
    start = serving.name_start(worker)
    limit = context.permits.limits.find_record(start, started_s)
    if limit is None:
        return True
    issuer, result = await _acquire(context, worker, limit, need)
    is_granted = isinstance(result, serving.Permit)
    wait_s = result.wait_s if is_granted else result.retry_s
    telemetry.log_event(
        'send_permit',
        request=request.call.id,
        worker=worker.id,
        limit_per_s=limit.per_s,
        limit_age_s=limit.age_ms / _MS_PER_S,
        rank=need.rank,
        is_start=need.is_start,
        issuer=issuer,
        granted=is_granted,
        wait_s=round(wait_s, 3),
        seconds=round(time.monotonic() - started_s, 4),
    )
    if is_granted:
        await asyncio.sleep(wait_s)
    else:
        context.permits.record_refusal(worker, need, wait_s, time.monotonic())
    return is_granted


async def _acquire(
    context: _context.Context,
    worker: schema.serving.Worker,
    limit: schema.messages.LimitRecord,
    need: serving.Need,
) -> tuple[str, serving.Permit | serving.NotPermitted]:
    """Asks the issuers of a worker, one after the other.

    :param context: state of the process.
    :param worker: the worker.
    :param limit: its limit, as far as this process knows.
    :param need: the permit that is needed.
    :returns: the issuer that answered, and its answer.
    """
    permits = context.permits
    for host in permits.list_issuers(worker, time.monotonic()):
        if host == context.settings.host:
            return host, permits.issue(worker, need, time.monotonic())
        result = await _ask(context, worker, limit, need, host)
        if result is not None:
            return host, result
        permits.record_unanswered(host, time.monotonic())
    return '', serving.NotPermitted('no issuer answers', _ANSWER_TIMEOUT_S)


async def _ask(
    context: _context.Context,
    worker: schema.serving.Worker,
    limit: schema.messages.LimitRecord,
    need: serving.Need,
    host: str,
) -> serving.Permit | serving.NotPermitted | None:
    settings = context.settings
    number = context.permit_answers.open()
    context.send_message(
        schema.messages.PermitRequest(
            host=settings.host,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
            number=number,
            worker=worker.id,
            limit=limit,
            max_wait_ms=int(need.max_wait_s * _MS_PER_S),
            rank=need.rank,
            is_start=need.is_start,
        ),
        (host,),
    )
    return await context.permit_answers.wait(number, _ANSWER_TIMEOUT_S)
