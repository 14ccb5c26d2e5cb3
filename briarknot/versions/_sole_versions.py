"""The version that alone may have begun streams whose origins were not sent.

While a process is certain that a service has one version, it sends no origins. Where
it is lost before it learns of another version, nobody can be asked for them. Streams
of any other version begin only once several processes know their origin, so that a
process that followed the list all the while, and has no origin of a stream, is a
witness that the version before began it.
"""

import attrs

#: Processes may see the last listing of a worker at times that differ by this much, and
#: drop a version accordingly earlier.
_DROP_SLACK_S = 4.4


@attrs.define(eq=False)
class _Sole:
    """A version that was the only one of its service.

    :param version: its name.
    :param seen_s: latest time at which it was certainly the only one, or earlier.
    :param listed_s: latest time at which a worker of it was listed, or earlier.
    """

    version: str
    seen_s: float
    listed_s: float


@attrs.define(eq=False)
class SoleVersions:
    """The latest version of each service that was certainly the only one.

    :param max_stream_s: time after which no client takes up a stream again.
    """

    max_stream_s: float
    _soles: dict[str, _Sole] = attrs.field(factory=dict)

    @property
    def drop_slack_s(self) -> float:
        """Time by which other processes may drop a version earlier."""
        return _DROP_SLACK_S

    def record(
        self, service: str, version: str, seen_s: float, listed_s: float
    ) -> None:
        """Records the only version of a service.

        :param service: name of the service.
        :param version: name of the version.
        :param seen_s: time at which it certainly was the only one.
        :param listed_s: latest time at which a worker of it was listed.
        """
        self._soles[service] = _Sole(version, seen_s, listed_s)

    def record_listed(
        self, service: str, version: str, listed_s: float, now: float
    ) -> None:
        """Records that a worker of a version was listed.

        A version that was not listed for long may count as gone elsewhere, so that
        others began streams alone meanwhile.

        :param service: name of the service.
        :param version: name of the version.
        :param listed_s: time at which the worker was listed, or earlier.
        :param now: the time.
        """
        if self.find(service, now) == version:
            sole = self._soles[service]
            sole.listed_s = max(sole.listed_s, listed_s)

    def find(self, service: str, now: float) -> str | None:
        """Returns the version that must have begun streams without an origin.

        :param service: name of the service.
        :param now: the time.
        :returns: its name; None where there is none.
        """
        sole = self._soles.get(service)
        if sole is None:
            return None
        is_lapsed = (
            now - sole.seen_s > self.max_stream_s
            or now - sole.listed_s > self.max_stream_s - _DROP_SLACK_S
        )
        if is_lapsed:
            self.forget(service)
            return None
        return sole.version

    def forget_version(self, service: str, version: str) -> None:
        """Forgets a version that has no worker which takes new streams.

        Any process may begin streams of others then without asking.

        :param service: name of the service.
        :param version: name of the version.
        """
        sole = self._soles.get(service)
        if sole is not None and sole.version == version:
            self.forget(service)

    def clear(self) -> None:
        """Forgets all versions."""
        self._soles.clear()

    def forget(self, service: str) -> None:
        """Forgets the version of a service, as others may have begun streams.

        :param service: name of the service.
        """
        self._soles.pop(service, None)


def make_sole_versions(max_stream_s: float) -> SoleVersions:
    """Makes the record of a process that has read no list.

    :param max_stream_s: time after which no client takes up a stream again.

    >>> make_sole_versions(60).find('s', now=0) is None
    True
    """
    return SoleVersions(max_stream_s)
