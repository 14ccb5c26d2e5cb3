"""Inputs and outputs of scaling policies."""

import typing

import attrs

#: Time after the response 409 in which a group gets no further workers. Workers are
#: unavailable for about 10 s after a reclaim, and the platform accepts 50 calls per
#: second, so that a call every 2 s notices their return soon at little cost.
UNAVAILABLE_S = 2.0


@attrs.frozen(kw_only=True)
class ScalingLimits:
    """What the manifest states about the workers of a service.

    :param least: workers of both kinds that a domain keeps.
    :param most: workers of both kinds that a domain may have.
    :param boot_s: time from an order until the worker serves, in seconds.
    :param spot_price: price of a spot worker relative to others in its domain.
    :param prices: price of a worker per second, by failure domain.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float
    prices: typing.Mapping[str, float]


@attrs.frozen(kw_only=True)
class Group:
    """Workers of one kind in one failure domain.

    :param domain: the failure domain.
    :param is_spot: whether the workers may be reclaimed.
    :param serving: workers that are listed and not leaving.
    :param ordered: latest desired number that was sent; None if none was.
    :param is_leaving: whether listed workers are leaving, for any reason.
    :param unavailable_until_s: monotonic time before which no further workers
        can be ordered: :data:`UNAVAILABLE_S` after a rejection.
    :param is_accepted: False while the latest order has no response. Its workers
        count as coming, because other orders would get no response either.
    """

    domain: str
    is_spot: bool
    serving: int
    ordered: int | None = None
    is_leaving: bool = False
    unavailable_until_s: float = float('-inf')
    is_accepted: bool = True


@attrs.frozen(kw_only=True)
class Demand:
    """Load of the usable engines of a service.

    All figures follow from the work of all processes at each engine and the list
    of workers.

    :param prefill_workers: engines whose stage is prefill.
    :param busy_prefill: those of them with queued or running prefill work.
    :param queued_s: mean time of the prefill that is queued or running at a
        prefill worker, in seconds.
    :param decode_workers: engines whose stage is decode.
    :param busy_decode_share: share of the slots, or of the KV cache if that is
        larger, which streams take at all decode workers together.
    :param versions: software versions among the engines.
    """

    prefill_workers: int = 0
    busy_prefill: int = 0
    queued_s: float = 0
    decode_workers: int = 0
    busy_decode_share: float = 0
    versions: int = 1


@attrs.frozen(kw_only=True)
class Snapshot:
    """Workers of a service and their load at one moment.

    :param limits: what the manifest states.
    :param groups: workers by domain and kind; a group that is not listed has no
        workers and no orders.
    :param demand: load of the engines.
    :param target_s: shortest latency target of the first event among the routes
        to the service, in seconds; 0 if there is none.
    """

    limits: ScalingLimits
    groups: tuple[Group, ...]
    demand: Demand
    target_s: float = 0


@attrs.frozen(kw_only=True)
class WorkerOrder:
    """Number of workers of one kind that a domain should have.

    :param domain: the failure domain.
    :param is_spot: whether the order is for spot workers.
    :param desired: number of workers.
    :param reason: figures behind the order.
    """

    domain: str
    is_spot: bool
    desired: int
    reason: str
