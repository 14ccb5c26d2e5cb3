"""Regions of failure domains and the distances between them."""

import enum
import typing

import attrs


class Distance(enum.IntEnum):
    """How far two failure domains are from each other."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@attrs.frozen
class Topology:
    """Regions of the failure domains.

    :param domain: failure domain of this process.
    :param regions: region by failure domain.
    """

    domain: str
    regions: dict[str, str]

    def compute_distance(self, first: str, second: str) -> Distance:
        """Returns the distance between two failure domains.

        >>> topology = Topology('a', {'a': 'north', 'b': 'north', 'c': 'south'})
        >>> (
        ...     topology.compute_distance('a', 'b').name,
        ...     topology.compute_distance('a', 'c').name,
        ... )
        ('SAME_REGION', 'OTHER_REGION')
        """
        if first == second:
            return Distance.SAME_DOMAIN
        if self.regions.get(first) == self.regions.get(second, ''):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def list_distances(
        self, start: str, domains: typing.Iterable[str]
    ) -> dict[str, Distance]:
        """Returns the distances from a failure domain to others.

        A choice computes them once instead of for each worker.

        :param start: the failure domain.
        :param domains: other failure domains, which may repeat.
        """
        return {
            domain: self.compute_distance(start, domain)
            for domain in set(domains)
        }
