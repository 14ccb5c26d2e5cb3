"""Heartbeats along a ring, with broadcast of suspicions.

Each member sends heartbeats to its nearest live successor and watches its
nearest live predecessor, so n links of a domain carry regular traffic. A
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


def _compute_position(member: _members.Member) -> int:
    # Hosts of a rack have similar names. Hashing spreads them over the ring,
    # so that the failure of a rack leaves few long gaps.
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
    _predecessor: str = attrs.field(default='', init=False)
    _heard_at_s: float = attrs.field(default=0, init=False)
    _heartbeat_due_at_s: float = attrs.field(default=0, init=False)
    _has_sent_suspicions: bool = attrs.field(default=False, init=False)
    _ring: list[_members.Member] = attrs.field(factory=list, init=False)
    _ring_version: int = attrs.field(default=-1, init=False)
    _repeater: _detectors.SuspicionRepeater = attrs.field(init=False)
    _tick_gap_detector: _detectors.TickGapDetector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds by host, so that runs are reproducible."""
        self._repeater = _detectors.SuspicionRepeater(
            self._times, random=random.Random(self._members.local.host)
        )
        self._tick_gap_detector = _detectors.TickGapDetector(self._times)

    def tick(self, now: float) -> _actions.Actions:
        """See :class:`Detector`."""
        if self._tick_gap_detector.check(now):
            self._reset_silence(now)
        return (
            *self._check_predecessor(now),
            *self._send_heartbeat(now),
            *self._repeater.tick(self._members, now),
        )

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """See :class:`Detector`."""
        if source == self._predecessor:
            self._reset_silence(now)
        if isinstance(message, messages.Suspicion):
            return _detectors.handle_suspicion(self._members, source, message)
        return _detectors.handle_heartbeat(self._members, source, message)

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """See :class:`Detector`."""
        self._members.apply_hosts(hosts, now)

    def _reset_silence(self, now: float) -> None:
        self._heard_at_s = now
        self._has_sent_suspicions = False

    def _check_predecessor(self, now: float) -> _actions.Actions:
        ring = self._get_ring()
        if not ring:
            self._predecessor = ''
            return ()
        if ring[-1].host != self._predecessor:
            self._predecessor = ring[-1].host
            self._reset_silence(now)
            return ()
        silent_s = now - self._heard_at_s
        if silent_s > self._times.suspect_after_s:
            return (
                _actions.Broadcast(self._members.suspect(self._predecessor)),
            )
        if silent_s > self._times.suspect_after_s / 2:
            return self._send_suspicions()
        return ()

    def _send_suspicions(self) -> _actions.Actions:
        """Sends a silent predecessor the suspicions of its domain.

        It may have missed a suspicion and send its heartbeats to a crashed
        member instead of this one.
        """
        if self._has_sent_suspicions:
            return ()
        self._has_sent_suspicions = True
        local = self._members.local
        return tuple(
            _actions.Send(self._predecessor, _detectors.make_suspicion(member))
            for member in self._members.all_known()
            if member.is_suspected and member.domain == local.domain
        )

    def _send_heartbeat(self, now: float) -> _actions.Actions:
        successors = self._get_ring()
        if now < self._heartbeat_due_at_s or not successors:
            return ()
        self._heartbeat_due_at_s = now + self._times.heartbeat_s
        heartbeat = _detectors.make_heartbeat(self._members)
        return (_actions.Send(successors[0].host, heartbeat),)

    def _get_ring(self) -> list[_members.Member]:
        """Returns the live peers in ring order, the successor first."""
        if self._ring_version != self._members.version:
            self._ring_version = self._members.version
            origin = _compute_position(self._members.local)
            self._ring = sorted(
                _detectors.get_live_peers(self._members),
                key=lambda peer: (
                    _compute_position(peer) < origin,
                    _compute_position(peer),
                ),
            )
        return self._ring
