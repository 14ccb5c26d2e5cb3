"""Time that an engine takes to read a prompt, before its speed is known."""

from briarknot import schema
from briarknot.serving import _topology

#: Prompt tokens that a prefill worker reads in a second where there is little
#: before them; the deployments' engines read 56,000 and 61,000.
TOKENS_PER_S = 55000.0
#: A decode worker reads a prompt at half the speed, as the platform says.
_DECODE_SHARE = 0.5
#: Tokens before a token at which attention takes as long as all the rest of
#: its reading; logs of large models show 30,000 to 60,000.
_ATTENTION_TOKENS = 40000.0
#: Time from an empty queue to the first token of the shortest prompt, in
#: seconds, as the engines' logs show it.
_FIRST_S = 0.09
#: Time of a call to a worker beside its work, in seconds: regions are some 30
#: ms apart, and a new connection takes as long as a request.
_CALL_S = {
    _topology.Distance.SAME_DOMAIN: 0.002,
    _topology.Distance.SAME_REGION: 0.005,
    _topology.Distance.OTHER_REGION: 0.12,
}


def compute_work(uncached: int, context: int) -> int:
    """Returns the work of reading the last tokens of a prompt.

    :param uncached: tokens to read.
    :param context: length of the whole prompt.
    :returns: work in tokens that have nothing before them.

    >>> compute_work(1000, 1000), compute_work(1000, 41000)
    (1012, 2012)
    """
    before = context - uncached / 2
    return int(uncached * (1 + before / _ATTENTION_TOKENS))


def get_prefill_speed(stage: schema.serving.Stage) -> float:
    """Returns the tokens that a worker reads in a second.

    :param stage: stage of the worker.
    """
    if stage == schema.serving.Stage.DECODE:
        return TOKENS_PER_S * _DECODE_SHARE
    return TOKENS_PER_S


def get_call_s(distance: _topology.Distance) -> float:
    """Returns the time of a call to a worker, in seconds.

    :param distance: distance to the worker.
    """
    return _CALL_S[distance]


def get_overhead_s(distance: _topology.Distance) -> float:
    """Returns the time to the first token beside reading, in seconds.

    :param distance: distance to the worker.
    """
    return _FIRST_S + _CALL_S[distance]
