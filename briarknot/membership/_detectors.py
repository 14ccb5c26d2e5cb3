"""Failure detectors, and what they share."""

import collections.abc
import random
import typing

import attrs

from briarknot import registry
from briarknot.membership import _actions, _members
from briarknot.schema import messages

#: With 70 members, equal periods and no failures, the ring took 152 bytes/s per
#: node against 336 of random_probe and half of its CPU, and saw single crashes
#: in 2.7 s against 3.5 s. It is slower when a rack of 17 hosts is lost at once
#: (9.0 s against 5.1 s), which is far rarer (benchmarks/membership.py).
DEFAULT_DETECTOR = 'ring'

#: Heartbeat periods between repeats of a suspicion. One message per period
#: would double the traffic of a detector for as long as a host is down.
_REPEAT_PERIODS = 5


@attrs.frozen(kw_only=True)
class DetectorTimes:
    """Periods of a detector; the same for all, so that they compare.

    :param heartbeat_s: period of heartbeats or probes.
    :param suspect_after_s: silence after which a member is suspected.
    """

    heartbeat_s: float = 1.0
    suspect_after_s: float = 3.0


class Detector(typing.Protocol):
    """Decides who is suspected; does no input or output itself."""

    def tick(self, now: float) -> _actions.Actions:
        """Takes the time into account.

        :param now: monotonic time in seconds.
        :returns: what to send. The caller ticks a few times per heartbeat.
        """

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """Takes a message into account.

        :param source: host that sent it.
        :param message: the message.
        :param now: monotonic time in seconds.
        :returns: what to send.
        """

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """Takes the platform's list into account.

        :param hosts: the list.
        :param now: monotonic time in seconds.
        """


DETECTORS: registry.Registry[
    collections.abc.Callable[[_members.Members, DetectorTimes], Detector]
] = registry.Registry('detector')


def make_detector(
    members: _members.Members,
    times: DetectorTimes | None = None,
    name: str = DEFAULT_DETECTOR,
) -> Detector:
    """Returns a detector that keeps a view.

    :param members: the view that it reads and changes.
    :param times: periods.
    :param name: registered name.
    :raises LookupError: where the name is not registered.
    """
    factory = DETECTORS.get(name)
    if not factory:
        raise LookupError(f'{factory}')
    return factory(members, times or DetectorTimes())


def find_peers(members: _members.Members) -> list[_members.Member]:
    """Returns the live members of the own domain without the own host.

    :param members: the view.
    """
    own = members.local
    return [
        member for member in members.live(own.domain) if member.host != own.host
    ]


def make_heartbeat(members: _members.Members) -> messages.Heartbeat:
    """Returns the own heartbeat; the caller fills in the revision.

    :param members: the view.
    """
    return messages.Heartbeat(incarnation=members.local.incarnation)


def make_suspicion(member: _members.Member) -> messages.Suspicion:
    """Returns what is thought of a member, as a message.

    :param member: the member.
    """
    return messages.Suspicion(
        host=member.host,
        incarnation=member.incarnation,
        suspected=member.is_suspected,
    )


def read_suspicion(
    members: _members.Members, source: str, suspicion: messages.Suspicion
) -> _actions.Actions:
    """Applies a suspicion and refutes one of the own host.

    A suspicion of an old incarnation has no effect here, so its sender is
    told the newer one. Otherwise the sender would stop watching a crashed
    member that others keep as live.

    :param members: the view.
    :param source: host that sent it.
    :param suspicion: the suspicion or withdrawal.
    :returns: the refutation or correction, where one is due.
    """
    members.apply_suspicion(suspicion)
    if not suspicion.suspected:
        return ()
    member = members.get(suspicion.host)
    if member == members.local:
        return (_actions.Broadcast(make_suspicion(member)),)
    if member and member.incarnation > suspicion.incarnation:
        return (_actions.Send(source, make_suspicion(member)),)
    return ()


def read_heartbeat(
    members: _members.Members, source: str, heartbeat: messages.Heartbeat
) -> _actions.Actions:
    """Applies a heartbeat; tells a suspected sender so that it refutes.

    :param members: the view.
    :param source: host that sent it.
    :param heartbeat: the heartbeat.
    :returns: the suspicion for the sender, where there is one.
    """
    members.apply_heartbeat(source, heartbeat)
    member = members.get(source)
    if member and member.is_suspected:
        return (_actions.Send(source, make_suspicion(member)),)
    return ()


@attrs.define
class Repeat:
    """Repeats suspicions, one at a time.

    One repeat goes to the suspected member, so that the two sides of a healed
    partition, which suspect each other, meet again. One goes to a random
    peer, so that a peer that missed the broadcast learns of it.

    :param times: periods of the detector.
    """

    _times: DetectorTimes
    _due_at_s: float = 0
    _random: random.Random = attrs.field(factory=random.Random)

    def tick(self, members: _members.Members, now: float) -> _actions.Actions:
        """Returns the messages that are due.

        :param members: the view.
        :param now: monotonic time in seconds.
        """
        suspects = [
            member for member in members.all_known() if member.is_suspected
        ]
        if now < self._due_at_s or not suspects:
            return ()
        self._due_at_s = now + _REPEAT_PERIODS * self._times.heartbeat_s
        suspect = self._random.choice(suspects)
        receivers = [suspect]
        peers = find_peers(members)
        if peers:
            receivers.append(self._random.choice(peers))
        return tuple(
            _actions.Send(receiver.host, make_suspicion(suspect))
            for receiver in receivers
        )


@attrs.define
class OwnPause:
    """Notices that the detector itself was not run.

    After a pause the messages of others still wait to be read, so their
    silence proves nothing.

    :param times: periods of the detector.
    """

    _times: DetectorTimes
    _ticked_at_s: float | None = None

    def check(self, now: float) -> bool:
        """Returns whether the last tick is too long ago.

        :param now: monotonic time in seconds.
        """
        before = self._ticked_at_s
        self._ticked_at_s = now
        return before is None or now - before > self._times.heartbeat_s
