"""The platform's lagging list alone, as a baseline."""

import collections.abc

import attrs

from briarknot.membership import _actions, _detectors, _members


@_detectors.DETECTORS.register('platform_list')
@attrs.define
class PlatformList:
    """Detector that sends nothing and believes the list.

    :param members: the view.
    :param times: periods; not used.
    """

    _members: _members.Members
    _times: _detectors.DetectorTimes

    def tick(self, now: float) -> _actions.Actions:
        """See :class:`Detector`."""
        return ()

    def receive(
        self, source: str, message: _actions.Message, now: float
    ) -> _actions.Actions:
        """See :class:`Detector`."""
        return ()

    def apply_hosts(
        self, hosts: collections.abc.Iterable[_members.ListedHost], now: float
    ) -> None:
        """See :class:`Detector`."""
        listed = {entry.host: entry for entry in hosts}
        self._members.apply_hosts(listed.values(), now)
        for member in self._members.all_known():
            if member.host in listed:
                self._members.withdraw(member.host)
            elif member.host != self._members.local.host:
                self._members.suspect(member.host)
