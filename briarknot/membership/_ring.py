"""Heartbeats along a ring, with broadcast of suspicions.

Each member sends heartbeats to its nearest live successor and watches its
nearest live predecessor, so n links of a domain are in permanent use. A
suspicion is broadcast, so detection time does not grow with n. Both ideas are
from Larrea et al., "Designing Efficient Algorithms for the Eventually Perfect
Failure Detector Class". Its crash-only model does not cover restarts and
pauses; incarnation numbers do here.
"""

import collections.abc
import random

import attrs
import xxhash

from briarknot.membership import _actions, _detectors, _members
from briarknot.schema import messages


def _place(member: _members.Member) -> int:
    # Hosts of a rack have similar names. Hashing spreads them over the ring,
    # so that the loss of a rack leaves few long gaps.
    return xxhash.xxh64_intdigest(member.host.encode())


@_detectors.DETECTORS.register('ring')
@attrs.define
class Ring:
    """Detector on a ring.

    :param members: the view.
    :param times: periods.
    """

    _members: _members.Members
    _times: _detectors.DetectorTimes
    _watched: str = attrs.field(default='', init=False)
    _heard_at_s: float = attrs.field(default=0, init=False)
    _beat_due_at_s: float = attrs.field(default=0, init=False)
    _is_reminded: bool = attrs.field(default=False, init=False)
    _ring: list[_members.Member] = attrs.field(factory=list, init=False)
    _ring_version: int = attrs.field(default=-1, init=False)
    _repeat: _detectors.Repeat = attrs.field(init=False)
    _own_pause: _detectors.OwnPause = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds by host, so that a run can be repeated."""
        self._repeat = _detectors.Repeat(
            self._times, random=random.Random(self._members.local.host)
        )
        self._own_pause = _detectors.OwnPause(self._times)

    def tick(self, now: float) -> _actions.Actions:
        """See :class:`Detector`."""
        if self._own_pause.check(now):
            self._listen_from(now)
        return (
            *self._check_watched(now),
            *self._beat(now),
            *self._repeat.tick(self._members, now),
        )

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """See :class:`Detector`."""
        if source == self._watched:
            self._listen_from(now)
        if isinstance(message, messages.Suspicion):
            return _detectors.read_suspicion(self._members, source, message)
        return _detectors.read_heartbeat(self._members, source, message)

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """See :class:`Detector`."""
        self._members.apply_hosts(hosts, now)

    def _listen_from(self, now: float) -> None:
        self._heard_at_s = now
        self._is_reminded = False

    def _check_watched(self, now: float) -> _actions.Actions:
        ring = self._find_ring()
        if not ring:
            self._watched = ''
            return ()
        if ring[-1].host != self._watched:
            self._watched = ring[-1].host
            self._listen_from(now)
            return ()
        silent_s = now - self._heard_at_s
        if silent_s > self._times.suspect_after_s:
            return (_actions.Broadcast(self._members.suspect(self._watched)),)
        if silent_s > self._times.suspect_after_s / 2:
            return self._remind()
        return ()

    def _remind(self) -> _actions.Actions:
        """Tells a silent predecessor which members are suspected.

        It may have missed a suspicion and send its heartbeats to a member
        that is gone, in place of this one.
        """
        if self._is_reminded:
            return ()
        self._is_reminded = True
        own = self._members.local
        return tuple(
            _actions.Send(self._watched, _detectors.make_suspicion(member))
            for member in self._members.all_known()
            if member.is_suspected and member.domain == own.domain
        )

    def _beat(self, now: float) -> _actions.Actions:
        successors = self._find_ring()
        if now < self._beat_due_at_s or not successors:
            return ()
        self._beat_due_at_s = now + self._times.heartbeat_s
        heartbeat = _detectors.make_heartbeat(self._members)
        return (_actions.Send(successors[0].host, heartbeat),)

    def _find_ring(self) -> list[_members.Member]:
        """Returns the live peers in ring order, the successor first."""
        if self._ring_version != self._members.version:
            self._ring_version = self._members.version
            own_place = _place(self._members.local)
            self._ring = sorted(
                _detectors.find_peers(self._members),
                key=lambda peer: (_place(peer) < own_place, _place(peer)),
            )
        return self._ring
