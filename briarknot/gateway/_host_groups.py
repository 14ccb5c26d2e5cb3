"""The gateway processes by failure domain, and their orders by hash.

They change when processes start or stop, and are needed in each period of the
exchange, so they are computed once for each list of processes.
"""

import typing

import attrs

from briarknot import serving


class _Peer(typing.Protocol):
    """Another process."""

    domain: str


_Peers = dict[str, _Peer]


@attrs.define(eq=False)
class HostGroups:
    """Groups of one list of processes.

    :param near: other processes of the local domain.
    :param far: processes of each other domain.
    """

    _host: str
    _domain: str
    _peers: _Peers
    _size: int
    near: tuple[str, ...]
    far: dict[str, tuple[str, ...]]
    _ranked: dict[tuple[str, ...], tuple[str, ...]] = attrs.field(factory=dict)
    _ranks: dict[str, int | None] = attrs.field(factory=dict)

    def is_current(self, host: str, domain: str, peers: _Peers) -> bool:
        """Returns whether the groups are those of a list.

        :param host: host of this process.
        :param domain: its failure domain.
        :param peers: the other processes; each change makes another list.
        """
        # The size shows hosts that were added to the same list in place.
        is_same = peers is self._peers and len(peers) == self._size
        return is_same and (host, domain) == (self._host, self._domain)

    def rank_near(self, key: str) -> tuple[str, ...]:
        """Orders the processes of the local domain, with this one.

        :param key: key of the order.
        """
        return self._rank(key, 'near', (self._host, *self.near))

    def rank_far(self, key: str, domain: str) -> tuple[str, ...]:
        """Orders the processes of another domain.

        :param key: key of the order.
        :param domain: the domain.
        """
        return self._rank(key, f'far {domain}', self.far[domain])

    def rank_all(self, key: str) -> tuple[str, ...]:
        """Orders all processes, with this one.

        :param key: key of the order.
        """
        return self._rank(key, 'all', (self._host, *self._peers))

    def get_reader_rank(self, key: str) -> int | None:
        """Returns the rank of this process among the first of each domain.

        :param key: key of the orders.
        :returns: None where it is not the first of its domain.
        """
        if key not in self._ranks:
            firsts = [self.rank_near(key)[0]]
            firsts += [self.rank_far(key, domain)[0] for domain in self.far]
            self._ranks[key] = None
            if firsts[0] == self._host:
                ranked = serving.rank_names(key, firsts)
                self._ranks[key] = ranked.index(self._host)
        return self._ranks[key]

    def _rank(
        self, key: str, group: str, hosts: tuple[str, ...]
    ) -> tuple[str, ...]:
        ranked = self._ranked.get((key, group))
        if ranked is None:
            ranked = serving.rank_names(key, hosts)
            self._ranked[key, group] = ranked
        return ranked


def make_host_groups(host: str, domain: str, peers: _Peers) -> HostGroups:
    """Groups the processes.

    :param host: host of this process.
    :param domain: its failure domain.
    :param peers: the other processes by host.
    """
    domains: dict[str, list[str]] = {domain: []}
    for peer_host, peer in peers.items():
        domains.setdefault(peer.domain, []).append(peer_host)
    near = tuple(domains.pop(domain))
    far = {other: tuple(hosts) for other, hosts in domains.items()}
    return HostGroups(host, domain, peers, len(peers), near, far)
