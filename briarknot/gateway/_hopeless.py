"""Refuses requests whose clients will leave before their first event.

Their prompts would lengthen the queues of others for nothing.
"""

import math
import time

from briarknot import schema, serving
from briarknot.gateway import _context, _requests

_Order = schema.settings.PromptOrder
#: A request is refused if its first event is expected after the time for which
#: clients wait by this factor; expected times scatter.
_HOPELESS_SHARE = 1.2
#: Earliest return of a refused client, as a share of the time until the queues
#: are expected to be short.
_MIN_RETURN_SHARE = 0.5


def is_hopeless(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> bool:
    """Returns whether a client will leave before its first event.

    :param context: state of the process.
    :param request: the request.
    :param placement: placement of its prompt.
    """
    return placement.expected_s > compute_max_expected_s(context, request)


def compute_max_expected_s(
    context: _context.Context, request: _requests.Request
) -> float:
    """Returns the expected time of the first event from which a client leaves.

    :param context: state of the process.
    :param request: the request.
    """
    max_silence_s = request.route.max_silence_s
    if not max_silence_s:
        return math.inf
    waited_s: float = 0
    if context.settings.prompt_order == _Order.ON_TIME_FIRST:
        waited_s = time.monotonic() - request.call.received_s
    return max_silence_s * _HOPELESS_SHARE - waited_s


def is_hopeless_elsewhere(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> bool:
    """Returns whether a prompt that a worker did not prefill is given up.

    It is not sent to another worker if its client will have left by then. A stream
    that may have begun is resumed in any case.

    :param context: state of the process.
    :param request: the request.
    :param placement: placement of its prompt at the other worker.
    """
    if context.settings.prompt_order != _Order.ON_TIME_FIRST:
        return False
    if is_resumed(request):
        return False
    return is_hopeless(context, request, placement)


def is_resumed(request: _requests.Request) -> bool:
    """Returns whether the stream of a request may have begun.

    :param request: the request.
    """
    return request.may_have_run or request.call.continues_stream


def refuse(
    context: _context.Context,
    request: _requests.Request,
    placement: serving.Placement,
) -> None:
    """Refuses a request until the queues are expected to be short.

    Returns are spread over the time in which they become short.

    :param context: state of the process.
    :param request: the request.
    :param placement: placement of its prompt.
    """
    max_silence_s = request.route.max_silence_s
    wait_s = placement.expected_s - max_silence_s / 2
    request.refuse(
        _requests.UNAVAILABLE,
        'target_unreachable',
        wait_s * context.random_source.uniform(_MIN_RETURN_SHARE, 1),
        expected_s=round(placement.expected_s, 3),
        max_silence_s=max_silence_s,
        level=placement.level,
    )
