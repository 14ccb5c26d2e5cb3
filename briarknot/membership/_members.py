"""Live view of the entry hosts.

The state of a member is the highest incarnation heard of and whether that
incarnation is suspected. Both only grow, so the order in which messages
arrive does not matter.
"""

import collections.abc

import attrs

from briarknot.membership import _incarnation
from briarknot.schema import messages

#: Program whose processes are members.
_PROGRAM = 'entry'
#: Far longer than a message is on its way, so that no late one brings a
#: removed host back.
_FORGET_AFTER_S = 60.0


@attrs.frozen(kw_only=True)
class ListedHost:
    """A host as the platform lists it.

    :param host: name of the host.
    :param domain: its failure domain.
    :param peer_url: URL of its peer port.
    :param state: ``live`` or ``leaving``.
    """

    host: str
    domain: str
    peer_url: str = ''
    state: str = 'live'


@attrs.frozen(kw_only=True)
class Member:
    """What is known of an entry host.

    :param host: name of the host.
    :param domain: its failure domain.
    :param incarnation: highest incarnation heard of; 0 where none was.
    :param is_suspected: whether that incarnation is suspected.
    :param is_leaving: whether the platform lists it as leaving.
    :param unlisted_at_s: time since which the platform's list lacks it.
    """

    host: str
    domain: str
    incarnation: int = 0
    is_suspected: bool = False
    is_leaving: bool = False
    unlisted_at_s: float | None = None

    @property
    def is_live(self) -> bool:
        """Whether it counts for new work and ownership."""
        return not (self.is_suspected or self.is_leaving)


@attrs.define
class Members:
    """The view of one process; made by :func:`make_members`."""

    _local: Member
    _forget_after_s: float
    _members: dict[str, Member] = attrs.field(init=False)
    _version: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts with the own host alone."""
        self._members = {self._local.host: self._local}

    @property
    def local(self) -> Member:
        """The own host."""
        return self._members[self._local.host]

    @property
    def version(self) -> int:
        """Grows with each change, so that callers can cache what they derive."""
        return self._version

    def get(self, host: str) -> Member | None:
        """Returns a member.

        :param host: name of the host.
        :returns: the member, or None where it is unknown.
        """
        return self._members.get(host)

    def live(self, domain: str | None = None) -> tuple[Member, ...]:
        """Returns the live members, the own host included, by name.

        :param domain: failure domain; all where none is given.
        """
        return tuple(
            member
            for member in self.all_known()
            if member.is_live and domain in {None, member.domain}
        )

    def all_known(self) -> tuple[Member, ...]:
        """Returns all members, live or not, by name."""
        return tuple(self._members[host] for host in sorted(self._members))

    def apply_hosts(
        self, hosts: collections.abc.Iterable[ListedHost], now: float
    ) -> None:
        """Takes over the platform's list.

        The list lags, so a host that it lacks stays as it is until it has
        been both unlisted and suspected for long.

        :param hosts: the platform's list.
        :param now: time in seconds.
        """
        listed = {entry.host: entry for entry in hosts}
        for entry in listed.values():
            self._put(
                attrs.evolve(
                    self._members.get(entry.host)
                    or Member(host=entry.host, domain=entry.domain),
                    domain=entry.domain,
                    is_leaving=entry.state == 'leaving',
                    unlisted_at_s=None,
                )
            )
        for member in self.all_known():
            if member.host not in listed:
                self._age_unlisted(member, now)

    def apply_hello(self, hello: messages.Hello) -> None:
        """Takes over the hello of a peer; of other programs, nothing.

        :param hello: the hello.
        """
        if hello.program != _PROGRAM or hello.host == self._local.host:
            return
        if hello.host not in self._members:
            self._put(Member(host=hello.host, domain=hello.domain))
        self._raise(hello.host, hello.incarnation, is_suspected=False)

    def apply_heartbeat(self, host: str, heartbeat: messages.Heartbeat) -> None:
        """Takes over the incarnation of a heartbeat.

        :param host: host that sent it; ignored where it is unknown.
        :param heartbeat: the heartbeat.
        """
        self._raise(host, heartbeat.incarnation, is_suspected=False)

    def apply_suspicion(self, suspicion: messages.Suspicion) -> bool:
        """Takes over a suspicion or its withdrawal.

        A suspicion of the own host raises the own incarnation above it.

        :param suspicion: the message; ignored where its host is unknown.
        :returns: whether the view changed.
        """
        before = self._version
        if suspicion.host != self._local.host:
            self._raise(
                suspicion.host, suspicion.incarnation, suspicion.suspected
            )
        elif suspicion.suspected:
            self._refute(suspicion.incarnation)
        return self._version > before

    def suspect(self, host: str) -> messages.Suspicion:
        """Suspects a member by an own finding.

        :param host: a known host.
        :returns: the suspicion to broadcast.
        """
        member = self._members[host]
        suspicion = messages.Suspicion(
            host=host, incarnation=member.incarnation, suspected=True
        )
        self.apply_suspicion(suspicion)
        return suspicion

    def withdraw(self, host: str) -> None:
        """Withdraws an own finding that no peer was told.

        :param host: a known host.
        """
        self._put(attrs.evolve(self._members[host], is_suspected=False))

    def renew(self) -> int:
        """Takes a new own incarnation, as after a pause.

        :returns: the own incarnation.
        """
        return self._refute(self.local.incarnation)

    def _refute(self, suspected: int) -> int:
        if suspected >= self.local.incarnation:
            renewed = _incarnation.make_incarnation(suspected + 1)
            self._put(attrs.evolve(self.local, incarnation=renewed))
        return self.local.incarnation

    def _raise(self, host: str, incarnation: int, is_suspected: bool) -> None:
        member = self._members.get(host)
        if member is None or incarnation < member.incarnation:
            return
        if incarnation == member.incarnation:
            is_suspected = is_suspected or member.is_suspected
        self._put(
            attrs.evolve(
                member, incarnation=incarnation, is_suspected=is_suspected
            )
        )

    def _age_unlisted(self, member: Member, now: float) -> None:
        since_s = member.unlisted_at_s
        if since_s is None:
            self._put(attrs.evolve(member, unlisted_at_s=now))
        elif member.is_suspected and now - since_s > self._forget_after_s:
            self._members.pop(member.host)
            self._version += 1

    def _put(self, member: Member) -> None:
        if self._members.get(member.host) != member:
            self._members[member.host] = member
            self._version += 1


def make_members(
    host: str,
    domain: str,
    incarnation: int,
    forget_after_s: float = _FORGET_AFTER_S,
) -> Members:
    """Returns a view that knows the own host alone.

    :param host: the own host.
    :param domain: the own failure domain.
    :param incarnation: the own incarnation.
    :param forget_after_s: time after which a suspected host that the platform
        does not list is forgotten.

    >>> members = make_members('obb-1', 'obb-a', incarnation=1)
    >>> members.apply_hosts([ListedHost(host='obb-2', domain='obb-a')], 0.0)
    >>> [member.host for member in members.live('obb-a')]
    ['obb-1', 'obb-2']
    """
    own = Member(host=host, domain=domain, incarnation=incarnation)
    return Members(own, forget_after_s)
