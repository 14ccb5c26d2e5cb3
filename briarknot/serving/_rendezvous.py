"""Orders by rendezvous hash, which all processes compute alike."""

import collections
import hashlib
import typing

import attrs

from briarknot import schema

_HASH_BYTES = 8
#: Orders that are remembered: two stages of some dozens of shared parts, with the
#: ids of up to some hundred workers each.
_MAX_ORDERS = 64

Workers = tuple[schema.serving.Worker, ...]


def rank_workers(key: str, workers: Workers) -> Workers:
    """Orders workers by rendezvous hash of a shared part of a prompt.

    All processes compute the same order, and adding or removing a worker
    changes only the parts for which it ranks first.

    :param key: id of the part.
    :param workers: workers to order.
    """
    return tuple(sorted(workers, key=lambda worker: _hash_pair(key, worker.id)))


def rank_names(key: str, names: typing.Iterable[str]) -> tuple[str, ...]:
    """Orders names by rendezvous hash of a key.

    :param key: the key.
    :param names: names to order.

    >>> rank_names('k', ('a', 'b')) == rank_names('k', ('b', 'a'))
    True
    """
    return tuple(sorted(names, key=lambda name: _hash_pair(key, name)))


def _hash_pair(key: str, name: str) -> bytes:
    pair = f'{key} {name}'.encode()
    return hashlib.blake2b(pair, digest_size=_HASH_BYTES).digest()


@attrs.define(eq=False)
class WorkerRanks:
    """Remembers the orders of recent lists of workers.

    An order is used only for a list that equals the one from which it was
    computed, so that it never contains a worker that is not in the list.
    """

    _orders: collections.OrderedDict[
        tuple[str, schema.serving.Stage], tuple[Workers, Workers]
    ] = attrs.field(factory=collections.OrderedDict)

    def rank(self, key: str, workers: Workers) -> Workers:
        """Orders workers by rendezvous hash, as :func:`rank_workers` does.

        :param key: id of a shared part of a prompt.
        :param workers: workers of one stage.
        """
        if not workers:
            return ()
        slot = (key, workers[0].stage)
        known = self._orders.pop(slot, None)
        if known is None or known[0] != workers:
            known = (workers, rank_workers(key, workers))
        self._orders[slot] = known
        if len(self._orders) > _MAX_ORDERS:
            self._orders.popitem(last=False)
        return known[1]
