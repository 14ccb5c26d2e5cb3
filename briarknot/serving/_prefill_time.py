"""Model of prefill time and network latency for workers of usual speed."""

from briarknot import schema
from briarknot.serving import _topology

#: Prefill throughput of a prefill worker for prompts with a short context; the
#: deployments' engines reach 56,000 and 61,000 tokens per second.
PREFILL_TOKENS_PER_S = 55000.0
#: The platform states that a decode worker prefills at half the speed.
_DECODE_SPEED_FACTOR = 0.5
#: Context length at which attention takes as long as all other work of a
#: token's prefill; logs of large models show 30,000 to 60,000 tokens.
_ATTENTION_PARITY_TOKENS = 40000.0
#: Time to first token of the shortest prompt at an idle engine, according to
#: the engines' logs.
_MIN_FIRST_TOKEN_S = 0.09
#: Network time of a call to a worker, in seconds. The latency between regions
#: is about 30 ms, and opening a connection takes as long as a request.
_CALL_S = {
    _topology.Distance.SAME_DOMAIN: 0.002,
    _topology.Distance.SAME_REGION: 0.005,
    _topology.Distance.OTHER_REGION: 0.12,
}


def compute_work(uncached: int, context: int) -> int:
    """Returns the work of prefilling the last tokens of a prompt.

    :param uncached: tokens to prefill.
    :param context: length of the whole prompt.
    :returns: work, in tokens without a context before them.

    >>> compute_work(1000, 1000), compute_work(1000, 41000)
    (1012, 2012)
    """
    mean_context = context - uncached / 2
    return int(uncached * (1 + mean_context / _ATTENTION_PARITY_TOKENS))


def get_prefill_speed(stage: schema.serving.Stage) -> float:
    """Returns the prefill throughput of a worker in tokens per second.

    :param stage: stage of the worker.
    """
    if stage == schema.serving.Stage.DECODE:
        return PREFILL_TOKENS_PER_S * _DECODE_SPEED_FACTOR
    return PREFILL_TOKENS_PER_S


def get_call_s(distance: _topology.Distance) -> float:
    """Returns the network time of a call to a worker, in seconds.

    :param distance: distance to the worker.
    """
    return _CALL_S[distance]


def get_overhead_s(distance: _topology.Distance) -> float:
    """Returns the time to first token without prefill, in seconds.

    :param distance: distance to the worker.
    """
    return _MIN_FIRST_TOKEN_S + _CALL_S[distance]
