"""Probes of random members.

A probe is what the prober thinks of the target, a suspicion message with
``suspected`` false. The target answers it with a heartbeat.
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
    _seen: set[str] = attrs.field(factory=set, init=False)
    _probed_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _probe_due_at_s: float = attrs.field(default=0, init=False)
    _random: random.Random = attrs.field(init=False)
    _repeat: _detectors.Repeat = attrs.field(init=False)
    _own_pause: _detectors.OwnPause = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds by host, so that a run can be repeated."""
        self._random = random.Random(self._members.local.host)
        self._repeat = _detectors.Repeat(
            self._times, random=random.Random(self._members.local.host)
        )
        self._own_pause = _detectors.OwnPause(self._times)

    def tick(self, now: float) -> _actions.Actions:
        """See :class:`Detector`."""
        if self._own_pause.check(now):
            self._probed_at_s.clear()
        return (
            *self._check_probes(now),
            *self._probe(now),
            *self._repeat.tick(self._members, now),
        )

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """See :class:`Detector`."""
        self._probed_at_s.pop(source, None)
        if not isinstance(message, messages.Suspicion):
            return _detectors.read_heartbeat(self._members, source, message)
        if message.host == self._members.local.host and not message.suspected:
            heartbeat = _detectors.make_heartbeat(self._members)
            return (_actions.Send(source, heartbeat),)
        return _detectors.read_suspicion(self._members, source, message)

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """See :class:`Detector`."""
        self._members.apply_hosts(hosts, now)

    def _check_probes(self, now: float) -> _actions.Actions:
        late = [
            host
            for host, probed_at_s in self._probed_at_s.items()
            if now - probed_at_s > self._times.suspect_after_s
        ]
        for host in late:
            self._probed_at_s.pop(host)
        return tuple(
            _actions.Broadcast(self._members.suspect(member.host))
            for member in _detectors.find_peers(self._members)
            if member.host in late
        )

    def _probe(self, now: float) -> _actions.Actions:
        if now < self._probe_due_at_s:
            return ()
        self._probe_due_at_s = now + self._times.heartbeat_s
        peers = {
            peer.host: peer for peer in _detectors.find_peers(self._members)
        }
        self._choose_target(peers, now)
        # A repeated probe covers a lost one.
        return tuple(
            _actions.Send(host, _detectors.make_suspicion(peers[host]))
            for host in self._probed_at_s
            if host in peers
        )

    def _choose_target(
        self, peers: collections.abc.Mapping[str, object], now: float
    ) -> None:
        """Takes each peer once per round, in random order.

        A peer that joins or returns gets a random place in the round. Left
        to the next one, its crash stayed unseen for up to n periods.
        """
        self._round = [host for host in self._round if host in peers]
        if not self._round:
            self._seen.clear()
        for host in sorted(peers.keys() - self._seen):
            place = self._random.randint(0, len(self._round))
            self._round.insert(place, host)
        self._seen = set(peers)
        if self._round:
            self._probed_at_s.setdefault(self._round.pop(), now)
