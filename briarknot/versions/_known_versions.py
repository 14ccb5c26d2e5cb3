"""What a process knows of one version of the software of a service."""

import math

import attrs

from briarknot import schema

_MS_PER_S = 1000
_UNKNOWN_MS = -1

VersionRecord = schema.records.VersionRecord


@attrs.define(eq=False)
class KnownVersion:
    """What a process knows of a version of a service.

    :param listed_s: latest time at which a worker of it was listed, or an earlier
        one.
    :param learned_s: time at which this process learned that one was, or a later
        one.
    :param stored_s: time since which the store has it; infinite if it is not
        known to.
    :param usable_s: latest time at which a worker of it that takes new streams was
        listed.
    """

    listed_s: float = -math.inf
    learned_s: float = math.inf
    stored_s: float = math.inf
    usable_s: float = -math.inf

    def record_listed(self, listed_s: float, now: float) -> None:
        """Records a time at which a worker was listed, or an earlier one.

        :param listed_s: the time.
        :param now: time at which this process learns of it.
        """
        self.listed_s = max(self.listed_s, listed_s)
        self.learned_s = min(self.learned_s, now)

    def make_record(self, service: str, name: str, now: float) -> VersionRecord:
        """Makes the record for other processes and the store.

        :param service: name of the service.
        :param name: name of the version.
        :param now: the time.
        """
        stored_age_ms = _UNKNOWN_MS
        if not math.isinf(self.stored_s):
            stored_age_ms = _to_ms(now - self.stored_s)
        return VersionRecord(
            service=service,
            version=name,
            listed_age_ms=_to_ms(now - self.listed_s),
            stored_age_ms=stored_age_ms,
        )


def read_stored_s(record: VersionRecord, written_s: float) -> float:
    """Returns the time since which the store has the version of a record.

    :param record: the record.
    :param written_s: time from which its ages count.
    :returns: the time; infinite if the version is not known to be stored.
    """
    if record.stored_age_ms < 0:
        return math.inf
    return written_s - record.stored_age_ms / _MS_PER_S


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * _MS_PER_S))


def make_known_version() -> KnownVersion:
    """Makes what is known of a version that was not listed yet.

    >>> make_known_version().stored_s
    inf
    """
    return KnownVersion()
