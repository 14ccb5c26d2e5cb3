"""Versions of the software that may have begun streams of a service.

What two versions write doesn't fit together, so a stream goes on only at the
version that began it. Processes exchange what they know as records with ages, of
which the latest holds, and the store keeps the names of the versions for processes
that start.

Times are those of a clock that includes the suspension of the host: a process that
was suspended must not take its list of workers for recent.
"""

import collections
import math
import typing

import attrs

from briarknot import schema, sentinels
from briarknot.versions import _known_versions, _sole_versions

#: Time after which no client takes up a stream again: the longest time limit of
#: requests without a deadline.
MAX_STREAM_S = 60.0
#: Age from which on the list of workers may lack a version that other processes
#: use. The list is confirmed every 0.8 s.
MAX_LIST_AGE_S = 1.3
#: A version begins streams this long after it was stored. Each other process then
#: knows it, or its list is older than ``MAX_LIST_AGE_S``; the difference covers a
#: write to the store whose answer is late.
ADMISSION_S = 2.2
#: Time without a worker after which all processes that follow the list have seen that
#: a version has none.
_UNUSABLE_S = 2 * ADMISSION_S
_MS_PER_S = 1000

_DECODE = schema.serving.Stage.DECODE
VersionRecord = schema.records.VersionRecord
Key = tuple[str, str]


@attrs.frozen
class Uncertain(sentinels.Sentinel):
    """Sentinel for versions that are not known for certain.

    :param reason: why any other version may have begun streams too.
    """

    reason: str


@attrs.define(eq=False)
class SoftwareVersions:
    """Versions whose streams clients may still take up again."""

    _versions: dict[Key, _known_versions.KnownVersion] = attrs.field(
        factory=dict
    )
    _list_s: float = -math.inf
    _followed_s: float = math.inf
    _known_since_s: float = math.inf
    _loaded_s: float = -math.inf
    _is_loaded: bool = False
    _soles: _sole_versions.SoleVersions = attrs.field(
        factory=lambda: _sole_versions.make_sole_versions(MAX_STREAM_S)
    )

    @property
    def is_loaded(self) -> bool:
        """Whether the stored row was read since the list was last outdated."""
        return self._is_loaded

    @property
    def is_settled(self) -> bool:
        """Whether each service has one version, and the store has it."""
        services = {service for service, _ in self._versions}
        return len(services) == len(self._versions) and not self.list_unstored()

    def record_list(
        self,
        workers: typing.Iterable[schema.serving.Worker],
        read_s: float,
        now: float,
    ) -> bool:
        """Records the versions of a list of workers, or confirms them.

        :param workers: all listed workers.
        :param read_s: time at which the list was read from the store, or earlier.
        :param now: time of its arrival.
        :returns: whether there is a new version.
        """
        if read_s <= self._list_s:
            return False
        if read_s - self._list_s > ADMISSION_S:
            # A version may have had no worker for a while.
            self._followed_s = read_s
            self._soles.clear()
        if read_s - max(self._list_s, self._loaded_s) > ADMISSION_S:
            # Others may have used versions that this process never saw.
            self._known_since_s = read_s
            self._is_loaded = False
        known = len(self._versions)
        for worker in workers:
            if worker.stage != schema.serving.Stage.NONE:
                key = (worker.service, worker.version)
                version = self._record_listed(key, read_s, now)
                if worker.stage == _DECODE and not worker.draining:
                    version.usable_s = read_s
        is_new = len(self._versions) > known
        self._list_s = read_s
        self._drop_old(read_s)
        self._record_soles(now)
        return is_new

    def load(
        self,
        records: typing.Iterable[VersionRecord],
        written_s: float,
        known_since_s: float,
        now: float,
        read_s: float,
    ) -> None:
        """Merges the versions of the stored row.

        Workers of each may have been listed until now. The store has all of them,
        also those that their writer did not know to be stored yet.

        :param records: the versions.
        :param written_s: time from which the ages of the records count, or later.
        :param known_since_s: time since which the row has all versions that
            began streams.
        :param now: time of the row's arrival.
        :param read_s: time at which it was read from the store, or earlier.
        """
        for one in records:
            version = self._record_listed((one.service, one.version), now, now)
            stored_s = min(now, _known_versions.read_stored_s(one, written_s))
            version.stored_s = min(version.stored_s, stored_s)
        self._known_since_s = min(self._known_since_s, known_since_s)
        self._loaded_s = read_s
        self._is_loaded = True

    def merge(
        self, records: typing.Iterable[VersionRecord], now: float
    ) -> bool:
        """Merges the records of another process.

        :param records: the records.
        :param now: time of their arrival.
        :returns: whether there is a new version.
        """
        known = len(self._versions)
        for one in records:
            listed_s = now - one.listed_age_ms / _MS_PER_S
            if now - listed_s > MAX_STREAM_S:
                continue
            key = (one.service, one.version)
            version = self._record_listed(key, listed_s, now)
            version.stored_s = min(
                version.stored_s, _known_versions.read_stored_s(one, now)
            )
        return len(self._versions) > known

    def record_stored(self, keys: typing.Iterable[Key], now: float) -> None:
        """Records that the store has versions.

        :param keys: their services and names.
        :param now: time at which the write was confirmed.
        """
        for key in keys:
            version = self._versions.get(key)
            if version is not None:
                version.stored_s = min(version.stored_s, now)

    def list_keys(self) -> frozenset[Key]:
        """Lists the services and names of all known versions."""
        return frozenset(self._versions)

    def list_names(self, service: str) -> frozenset[str]:
        """Lists the known versions of a service.

        :param service: name of the service.
        """
        return frozenset(name for one, name in self._versions if one == service)

    def list_unstored(self) -> frozenset[Key]:
        """Lists the versions that the store is not known to have."""
        return frozenset(
            key
            for key, version in self._versions.items()
            if math.isinf(version.stored_s)
        )

    def list_records(self, now: float) -> tuple[VersionRecord, ...]:
        """Lists all versions, for other processes and the store.

        :param now: the time.
        """
        return tuple(
            one.make_record(service, name, now)
            for (service, name), one in sorted(self._versions.items())
        )

    def get_known_age_s(self, now: float) -> float:
        """Returns for how long all versions that began streams are known.

        :param now: the time.
        """
        return max(0, now - self._known_since_s)

    def list_admitted(self, service: str, now: float) -> frozenset[str]:
        """Lists the versions of a service that may begin streams.

        :param service: name of the service.
        :param now: the time.
        """
        return frozenset(
            name
            for (one, name), version in self._versions.items()
            if one == service and now - version.stored_s >= ADMISSION_S
        )

    def list_visible(self, service: str, now: float) -> frozenset[str]:
        """Lists the versions that each list which is not too old shows.

        They may begin streams where no admitted version has a worker to use. The
        time counts from when this process learned of the version, as the list that
        shows it may have been under way for long. By its end, a process whose list
        lacks the version is uncertain, or has left out lists for so long that it
        reads the stored versions again. One that starts after the loss of all
        others may not know the version. A version that is alone can't be taken for
        another one.

        :param service: name of the service.
        :param now: the time.
        """
        known = {
            name: version
            for (one, name), version in self._versions.items()
            if one == service
        }
        return frozenset(
            name
            for name, version in known.items()
            if len(known) == 1 or now - version.learned_s > ADMISSION_S
        )

    def list_possible(
        self, service: str, now: float
    ) -> frozenset[str] | Uncertain:
        """Lists the versions that may have begun a stream that is taken up again.

        :param service: name of the service.
        :param now: the time.
        :returns: the versions; a sentinel where there may be others.
        """
        if now - self._list_s > MAX_LIST_AGE_S:
            return Uncertain(f'the list is {now - self._list_s:.1f} s old')
        known_s = now - self._known_since_s
        if known_s < MAX_STREAM_S:
            return Uncertain(f'versions are known for {known_s:.1f} s')
        self._drop_old(now)
        return frozenset(name for one, name in self._versions if one == service)

    def find_sole(self, service: str, now: float) -> str | None:
        """Returns the version that must have begun streams without an origin.

        :param service: name of the service.
        :param now: the time.
        :returns: its name; None where there is none.
        """
        if now - self._list_s > ADMISSION_S:
            return None
        return self._soles.find(service, now)

    def forget_sole(self, service: str) -> None:
        """Records that a worker has started again with another version.

        It may have begun streams as one of the version before.

        :param service: its service.
        """
        self._soles.forget(service)

    def needs_known_origin(
        self, service: str, version: str, now: float
    ) -> bool:
        """Returns whether others must know the origin of a stream that begins.

        Otherwise they might take the stream for one of the version before. They
        don't where that has no worker that takes new streams, or where several
        versions have been known for long.

        :param service: name of the service.
        :param version: version of the worker that begins it.
        :param now: the time.
        """
        if self.find_sole(service, now) == version:
            return False
        known = {
            name: one
            for (one_service, name), one in self._versions.items()
            if one_service == service
        }
        if not self._is_loaded or version not in known:
            return True
        others = [one for name, one in known.items() if name != version]
        unusable_s = self._list_s - max(
            (self._followed_s, *(one.usable_s for one in others))
        )
        if not others or unusable_s > _UNUSABLE_S:
            return False
        several_s = now - sorted(one.learned_s for one in known.values())[1]
        return several_s <= MAX_STREAM_S + self._soles.drop_slack_s

    def _record_listed(
        self, key: Key, listed_s: float, now: float
    ) -> _known_versions.KnownVersion:
        """Records that a worker of a version was listed."""
        version = self._versions.setdefault(
            key, _known_versions.make_known_version()
        )
        version.record_listed(listed_s, now)
        self._soles.record_listed(*key, listed_s, now)
        return version

    def _record_soles(self, now: float) -> None:
        """Records the services that certainly have one version."""
        if isinstance(self.list_possible('', now), Uncertain):
            return
        counts = collections.Counter(service for service, _ in self._versions)
        for (service, name), version in self._versions.items():
            if counts[service] == 1:
                self._soles.record(
                    service, name, self._list_s, version.listed_s
                )
            elif version.usable_s < self._list_s:
                self._soles.forget_version(service, name)

    def _drop_old(self, now: float) -> None:
        for key, version in tuple(self._versions.items()):
            if now - version.listed_s > MAX_STREAM_S:
                del self._versions[key]


def make_software_versions() -> SoftwareVersions:
    """Makes the versions of a process that knows no worker.

    >>> make_software_versions().list_possible('s', now=0)
    Uncertain(reason='the list is inf s old')
    """
    return SoftwareVersions()
