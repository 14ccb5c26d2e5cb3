"""Probes of random members.

A probe is a suspicion message about its receiver, with ``suspected`` false.
The receiver answers it with a heartbeat.
"""

import collections.abc
import random

import attrs

from briarknot.membership import _actions, _detectors, _members
from briarknot.schema import messages


@_detectors.DETECTORS.register('random_probe')
@attrs.define
class RandomProbe:
    """Detector that probes one member in each period.

    :param members: the view.
    :param times: periods.
    """

    _members: _members.Members
    _times: _detectors.DetectorTimes
    _round: list[str] = attrs.field(factory=list, init=False)
    _round_hosts: set[str] = attrs.field(factory=set, init=False)
    _probed_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _probe_due_at_s: float = attrs.field(default=0, init=False)
    _random: random.Random = attrs.field(init=False)
    _repeater: _detectors.SuspicionRepeater = attrs.field(init=False)
    _tick_gap_detector: _detectors.TickGapDetector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds by host, so that runs are reproducible."""
        self._random = random.Random(self._members.local.host)
        self._repeater = _detectors.SuspicionRepeater(
            self._times, random=random.Random(self._members.local.host)
        )
        self._tick_gap_detector = _detectors.TickGapDetector(self._times)

    def tick(self, now: float) -> _actions.Actions:
        """See :class:`Detector`."""
        if self._tick_gap_detector.check(now):
            self._probed_at_s.clear()
        return (
            *self._suspect_unanswered(now),
            *self._probe(now),
            *self._repeater.tick(self._members, now),
        )

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """See :class:`Detector`."""
        self._probed_at_s.pop(source, None)
        if not isinstance(message, messages.Suspicion):
            return _detectors.handle_heartbeat(self._members, source, message)
        if message.host == self._members.local.host and not message.suspected:
            heartbeat = _detectors.make_heartbeat(self._members)
            return (_actions.Send(source, heartbeat),)
        return _detectors.handle_suspicion(self._members, source, message)

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """See :class:`Detector`."""
        self._members.apply_hosts(hosts, now)

    def _suspect_unanswered(self, now: float) -> _actions.Actions:
        unanswered = [
            host
            for host, probed_at_s in self._probed_at_s.items()
            if now - probed_at_s > self._times.suspect_after_s
        ]
        for host in unanswered:
            self._probed_at_s.pop(host)
        return tuple(
            _actions.Broadcast(self._members.suspect(member.host))
            for member in _detectors.get_live_peers(self._members)
            if member.host in unanswered
        )

    def _probe(self, now: float) -> _actions.Actions:
        if now < self._probe_due_at_s:
            return ()
        self._probe_due_at_s = now + self._times.heartbeat_s
        peers = {
            peer.host: peer for peer in _detectors.get_live_peers(self._members)
        }
        self._choose_target(peers, now)
        # Unanswered probes are repeated, because one may have been lost.
        return tuple(
            _actions.Send(host, _detectors.make_suspicion(peers[host]))
            for host in self._probed_at_s
            if host in peers
        )

    def _choose_target(
        self, peers: collections.abc.Mapping[str, object], now: float
    ) -> None:
        """Chooses each peer once per round, in random order.

        A peer that joins or returns is inserted into the current round at
        random. When it had to wait for the next round, its crash stayed
        undetected for up to n periods.
        """
        self._round = [host for host in self._round if host in peers]
        if not self._round:
            self._round_hosts.clear()
        for host in sorted(peers.keys() - self._round_hosts):
            position = self._random.randint(0, len(self._round))
            self._round.insert(position, host)
        self._round_hosts = set(peers)
        if self._round:
            self._probed_at_s.setdefault(self._round.pop(), now)
