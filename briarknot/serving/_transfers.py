"""Model of the time of KV cache transfers between engines."""

from briarknot import schema
from briarknot.serving import _topology

_BITS_PER_BYTE = 8
#: Time of a transfer without its bytes.
_SETUP_S = 0.005
#: Relative time of a transfer, as the platform states it.
_DISTANCE_FACTORS = {
    _topology.Distance.SAME_DOMAIN: 1,
    _topology.Distance.SAME_REGION: 2,
    _topology.Distance.OTHER_REGION: 10,
}


#: Cost of a transfer between engines, in seconds per GB: transfers are billed by
#: volume, and longer distances cost more.
_COST_S_PER_GB = {
    _topology.Distance.SAME_DOMAIN: 0.06,
    _topology.Distance.SAME_REGION: 0.09,
    _topology.Distance.OTHER_REGION: 0.18,
}
_BYTES_PER_GB = 1e9


def is_known(limits: schema.serving.EngineLimits) -> bool:
    """Returns whether the time of transfers between engines is known.

    :param limits: properties of the engines.
    """
    return bool(limits.kv_token_bytes and limits.link_bits_per_s)


def compute_transfer_s(
    tokens: int,
    limits: schema.serving.EngineLimits,
    distance: _topology.Distance,
) -> float:
    """Returns the time of a transfer between idle links, in seconds.

    :param tokens: length of the transferred KV cache, in tokens.
    :param limits: properties of the engines.
    :param distance: distance between the engines.

    >>> limits = schema.serving.EngineLimits(
    ...     kv_token_bytes=20_000, link_bits_per_s=4e11
    ... )
    >>> near = _topology.Distance.SAME_REGION
    >>> round(compute_transfer_s(10_000, limits, near), 3)
    0.013
    """
    bits = tokens * limits.kv_token_bytes * _BITS_PER_BYTE
    link_s = bits / limits.link_bits_per_s
    return _SETUP_S + link_s * _DISTANCE_FACTORS[distance]


def compute_cost_s(
    tokens: int,
    limits: schema.serving.EngineLimits,
    distance: _topology.Distance,
) -> float:
    """Returns the cost of the volume of a transfer, in seconds.

    :param tokens: length of the transferred KV cache, in tokens.
    :param limits: properties of the engines.
    :param distance: distance between the engines.
    """
    gigabytes = tokens * limits.kv_token_bytes / _BYTES_PER_GB
    return gigabytes * _COST_S_PER_GB[distance]
