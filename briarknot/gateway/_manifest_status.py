"""Whether the manifest in force is known to be the newest."""

import math

import attrs

from briarknot import program
from briarknot.gateway import _clock

#: Age of the last confirmation up to which the manifest is current, in seconds. A
#: manifest must be in force 4 s after the store has confirmed it; the rest is for
#: the drift of clocks. In normal operation a confirmation is at most 2.1 s old, and after one
#: lost update 2.9 s.
MAX_AGE_S = 3.5
#: Time for which a newer version that another process stated counts, in seconds.
#: Each update repeats it, so that it only ends where no process has it any more.
_NEWER_MEMORY_S = 4.0
#: Time without contact after which a process was suspended, in seconds. Where
#: neither the store nor other processes answer, the start of a failed attempt is
#: at most 3.9 s ago.
_MAX_SILENCE_S = 4.0
#: Requests that may wait at the same time, and the sum of their bodies. A body has
#: up to 4 MB.
MAX_WAITERS = 200
_MAX_WAITING_BYTES = 16 << 20
#: Time before all confirmations.
NEVER_S = -math.inf


@attrs.define(eq=False)
class Waiters:
    """Requests that wait for the manifest; a bounded number of them.

    Each holds its body and its connection.
    """

    _count: int = 0
    _body_bytes: int = 0

    def try_add(self, body_bytes: int) -> bool:
        """Adds a request, and returns whether it may wait.

        :param body_bytes: size of its body.
        """
        if (
            self._count >= MAX_WAITERS
            or self._body_bytes + body_bytes > _MAX_WAITING_BYTES
        ):
            return False
        self._count += 1
        self._body_bytes += body_bytes
        return True

    def remove(self, body_bytes: int) -> None:
        """Removes a request that was added.

        :param body_bytes: size of its body.
        """
        self._count -= 1
        self._body_bytes -= body_bytes


@attrs.define(eq=False)
class ManifestStatus:
    """As of which time the manifest in force was the newest.

    All times are those of the clock that includes suspension. A time of a
    confirmation is never later than the true one.

    :param changed: notified at each confirmation and each change of the manifest.
    :param unknown_waiters: requests that were not admitted yet.
    :param known_waiters: requests with known keys, which unauthenticated callers
        must not displace.
    """

    changed: program.Signal = attrs.field(factory=program.Signal)
    unknown_waiters: Waiters = attrs.field(factory=Waiters)
    known_waiters: Waiters = attrs.field(factory=Waiters)
    _confirmed_s: float = NEVER_S
    _contact_s: float = NEVER_S
    _answer_s: float = NEVER_S
    _resumed_s: float = NEVER_S
    _newer_version: int = 0
    _newer_seen_s: float = NEVER_S

    @property
    def age_s(self) -> float:
        """Time since the manifest was known to be the newest."""
        return _clock.read_clock() - self._confirmed_s

    def confirm(self, confirmed_s: float) -> None:
        """Records that the manifest was the newest.

        :param confirmed_s: time at which it was, or an earlier one.
        """
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self.record_answer(confirmed_s)

    def record_answer(self, answer_s: float) -> None:
        """Records that another process or the store has stated a version.

        :param answer_s: time as of which it did, or an earlier one.
        """
        self._answer_s = max(self._answer_s, answer_s)
        self.record_contact(answer_s)

    def record_contact(self, contact_s: float) -> None:
        """Records that another process or the store was asked about the manifest.

        :param contact_s: time at which it was, or an earlier one; whether there
            was an answer does not matter.
        """
        if contact_s - self._contact_s > _MAX_SILENCE_S:
            self._resumed_s = contact_s
        self._contact_s = max(self._contact_s, contact_s)
        self.changed.notify()

    def record_version(self, version: int) -> None:
        """Records the version that another process has.

        :param version: the version.
        """
        now = _clock.read_clock()
        is_forgotten = now - self._newer_seen_s > _NEWER_MEMORY_S
        if version >= self._newer_version or is_forgotten:
            self._newer_version = version
            self._newer_seen_s = now

    def is_current(self, version: int, since_s: float = NEVER_S) -> bool:
        """Returns whether a manifest is known to be the newest.

        :param version: version of the manifest in force.
        :param since_s: time before which confirmations don't count.
        """
        now = _clock.read_clock()
        return (
            not self._is_newer_known(version, now)
            and self._confirmed_s >= since_s
            and now - self._confirmed_s <= MAX_AGE_S
        )

    def may_have_missed_manifest(self, version: int) -> bool:
        """Returns whether a suspension may have hidden a newer manifest.

        In an outage of the store the manifest is not current, but the process was
        not suspended.

        :param version: version of the manifest in force.
        """
        return self.was_suspended or self._is_newer_known(
            version, _clock.read_clock()
        )

    @property
    def was_suspended(self) -> bool:
        """Whether the manifest in force may be that of before a suspension.

        Failed attempts don't end this; without answers it ends as an outage.
        """
        now = _clock.read_clock()
        if now - self._contact_s > _MAX_SILENCE_S:
            return True
        return (
            self._resumed_s - self._answer_s > _MAX_SILENCE_S
            and now - self._resumed_s <= _MAX_SILENCE_S
        )

    def _is_newer_known(self, version: int, now: float) -> bool:
        return (
            self._newer_version > version
            and now - self._newer_seen_s <= _NEWER_MEMORY_S
        )
