"""Entry processes of the failure domain, and their drain marks."""

import asyncio
import time

import attrs
import prometheus_client

from briarknot import links, platform, schema, telemetry
from briarknot.control import _decisions

_UNREACHABLE = prometheus_client.Gauge(
    'briarknot_control_unreachable_entries',
    'Entry processes that delay a change and have no link.',
    ('host',),
)
_LIST_PERIOD_S = 1.0
#: Stands for the hosts until the host list has been read, so that no drain can
#: complete before.
_HOST_LIST = 'the host list'


@attrs.define(eq=False)
class Entries:
    """Sends drain marks to entry processes and collects their confirmations."""

    _client: platform.Client
    _hub: links.Hub
    _settings: schema.settings.ControlSettings
    _epoch: int = attrs.field(default=0, init=False)
    _listed: dict[str, str] | None = attrs.field(default=None, init=False)
    _last_linked_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _marks: dict[str, schema.messages.DrainMark] = attrs.field(
        factory=dict, init=False
    )
    _acks: dict[str, dict[str, schema.messages.DrainAck]] = attrs.field(
        factory=dict, init=False
    )

    _unreachable: frozenset[str] = attrs.field(default=frozenset(), init=False)

    async def handle_hello(self, link: links.Link) -> None:
        """Sends a new peer the drain marks that it may have missed."""
        if self._is_entry(link):
            self._last_linked_s[link.host] = time.monotonic()
            for mark in self._marks.values():
                link.send(mark)

    async def handle_ack(
        self, link: links.Link, message: schema.messages.DrainAck
    ) -> None:
        """Records how many requests an entry process has in flight."""
        acks = self._acks.get(message.engine)
        mark = self._marks.get(message.engine)
        # The host of the link counts, not the one in the message.
        if acks is not None and mark is not None and self._is_entry(link):
            if message.drain_number == mark.drain_number and mark.active:
                acks[link.host] = message

    def start_lease(self, epoch: int) -> None:
        """Drops the drain marks of an earlier lease.

        :param epoch: epoch of the new lease.
        """
        self._epoch = epoch
        self._marks.clear()
        self._acks.clear()
        self._last_linked_s.clear()
        self._record_links()

    def set_mark(
        self, engine: str, drain_number: int, *, active: bool, reason: str = ''
    ) -> None:
        """Sets the drain mark of an engine and sends it to entry processes.

        :param engine: name of the engine.
        :param drain_number: sequence number of the order.
        :param active: whether dispatch must stop.
        :param reason: why.
        """
        mark = schema.messages.DrainMark(
            engine=engine,
            drain_number=drain_number,
            epoch=self._epoch,
            active=active,
            reason=reason,
        )
        last = self._marks.get(engine)
        is_repeated = last and last.drain_number == drain_number and last.active
        if not (is_repeated and active):
            self._acks[engine] = {}
        self._marks[engine] = mark
        self._send(mark)

    def repeat_mark(self, engine: str) -> tuple[str, ...]:
        """Sends the drain mark to all entry processes again.

        This includes processes that have confirmed: one may have received the
        document that adds the engine only after the first mark.

        :param engine: name of the engine.
        :returns: hosts that have not confirmed that nothing is in flight.
        """
        mark = self._marks[engine]
        self._send(mark)
        return _decisions.find_unconfirmed_hosts(
            self._get_required_hosts(), self._acks[engine], mark.drain_number
        )

    async def run(self) -> None:
        """Polls the host list and keeps links to all entry processes."""
        while True:
            hosts = await self._client.list_hosts()
            if isinstance(hosts, tuple):
                self._listed = {
                    host.host: host.peer_url
                    for host in hosts
                    if host.domain == self._settings.node.domain
                }
            self._connect()
            if self._listed is not None:
                self._hub.peers_listed.set()
            self._record_links()
            self._report_unreachable()
            await asyncio.sleep(_LIST_PERIOD_S)

    def _is_entry(self, link: links.Link) -> bool:
        is_local = link.domain == self._settings.node.domain
        return is_local and link.program == 'entry'

    def _send(self, mark: schema.messages.DrainMark) -> None:
        for link in self._hub.links:
            if self._is_entry(link):
                link.send(mark)

    def _get_required_hosts(self) -> frozenset[str]:
        """Returns the hosts that must confirm a drain.

        A host that is not in the list is included until it has had no link
        for longer than the lease.
        """
        self._record_links()
        if self._listed is None:
            return frozenset((_HOST_LIST,))
        oldest_s = time.monotonic() - self._settings.lease_s
        recent = (
            host
            for host, last_s in self._last_linked_s.items()
            if last_s > oldest_s
        )
        return frozenset((*self._listed, *recent))

    def _record_links(self) -> None:
        now_s = time.monotonic()
        for link in self._hub.links:
            if self._is_entry(link):
                self._last_linked_s[link.host] = now_s

    def _connect(self) -> None:
        listed = self._listed or {}
        wanted = {*listed.values(), *self._settings.entry_peers}
        for url in wanted:
            self._hub.connect(url)
        linked = {link.peer.peer_url for link in self._hub.links}
        for url in set(self._hub.urls) - wanted - linked:
            self._hub.disconnect(url)

    def _report_unreachable(self) -> None:
        linked = {link.host for link in self._hub.links if self._is_entry(link)}
        unreachable = self._get_required_hosts() - linked
        for host in unreachable ^ self._unreachable:
            is_unreachable = host in unreachable
            state = 'unreachable' if is_unreachable else 'reachable'
            telemetry.log_change('entry', state, host=host)
            _UNREACHABLE.labels(host).set(is_unreachable)
        self._unreachable = unreachable


def make_entries(
    client: platform.Client,
    hub: links.Hub,
    settings: schema.settings.ControlSettings,
) -> Entries:
    """Makes the object that sends drain marks to entry processes.

    :param client: platform client.
    :param hub: peer links of the process.
    :param settings: settings of the process.
    """
    return Entries(client, hub, settings)
