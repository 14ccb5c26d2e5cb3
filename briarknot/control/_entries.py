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
#: Blocks every drain until the host list has been read.
_NO_LIST = 'the host list'


@attrs.define(eq=False)
class Entries:
    """Knows which entry processes must confirm a drain, and asks them."""

    _client: platform.Client
    _hub: links.Hub
    _settings: schema.settings.ControlSettings
    _epoch: int = attrs.field(default=0, init=False)
    _listed: dict[str, str] | None = attrs.field(default=None, init=False)
    _linked_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _marks: dict[str, schema.messages.DrainMark] = attrs.field(
        factory=dict, init=False
    )
    _acks: dict[str, dict[str, schema.messages.DrainAck]] = attrs.field(
        factory=dict, init=False
    )

    _missing: frozenset[str] = attrs.field(default=frozenset(), init=False)

    async def handle_hello(self, link: links.Link) -> None:
        """Tells a new peer the marks that it may have missed."""
        if self._is_entry(link):
            self._linked_s[link.host] = time.monotonic()
            for mark in self._marks.values():
                link.send(mark)

    async def handle_ack(
        self, link: links.Link, message: schema.messages.DrainAck
    ) -> None:
        """Notes what an entry process still has in flight."""
        acks = self._acks.get(message.engine)
        mark = self._marks.get(message.engine)
        # The host of the link counts, not the one that the message names.
        if acks is not None and mark is not None and self._is_entry(link):
            if message.drain_number == mark.drain_number and mark.active:
                acks[link.host] = message

    def start_lease(self, epoch: int) -> None:
        """Forgets the marks of an earlier lease.

        :param epoch: epoch of the new lease.
        """
        self._epoch = epoch
        self._marks.clear()
        self._acks.clear()
        self._linked_s.clear()
        self._note_links()

    def set_mark(
        self, engine: str, drain_number: int, *, active: bool, reason: str = ''
    ) -> None:
        """Sets the mark of an engine and sends it to all entry processes.

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
        """Asks all entry processes again.

        One that has confirmed is asked too: it may have learned of the engine
        from the document after the first mark.

        :param engine: name of the engine.
        :returns: hosts that have not confirmed that nothing is in flight.
        """
        mark = self._marks[engine]
        self._send(mark)
        return _decisions.find_waiting(
            self._find_required(), self._acks[engine], mark.drain_number
        )

    async def run(self) -> None:
        """Follows the host list and keeps links to all entry processes."""
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
            self._note_links()
            self._report_unreachable()
            await asyncio.sleep(_LIST_PERIOD_S)

    def _is_entry(self, link: links.Link) -> bool:
        is_own = link.domain == self._settings.node.domain
        return is_own and link.program == 'entry'

    def _send(self, mark: schema.messages.DrainMark) -> None:
        for link in self._hub.links:
            if self._is_entry(link):
                link.send(mark)

    def _find_required(self) -> frozenset[str]:
        """Finds the hosts that must confirm a drain.

        One that the list does not name counts until it has been silent for
        longer than the lease.
        """
        self._note_links()
        if self._listed is None:
            return frozenset((_NO_LIST,))
        oldest_s = time.monotonic() - self._settings.lease_s
        heard = (
            host for host, last_s in self._linked_s.items() if last_s > oldest_s
        )
        return frozenset((*self._listed, *heard))

    def _note_links(self) -> None:
        now_s = time.monotonic()
        for link in self._hub.links:
            if self._is_entry(link):
                self._linked_s[link.host] = now_s

    def _connect(self) -> None:
        listed = self._listed or {}
        wanted = {*listed.values(), *self._settings.entry_peers}
        for url in wanted:
            self._hub.connect(url)
        linked = {link.peer.peer_url for link in self._hub.links}
        for gone in set(self._hub.urls) - wanted - linked:
            self._hub.disconnect(gone)

    def _report_unreachable(self) -> None:
        linked = {link.host for link in self._hub.links if self._is_entry(link)}
        missing = self._find_required() - linked
        for host in missing ^ self._missing:
            is_missing = host in missing
            state = 'unreachable' if is_missing else 'reachable'
            telemetry.log_change('entry', state, host=host)
            _UNREACHABLE.labels(host).set(is_missing)
        self._missing = missing


def make_entries(
    client: platform.Client,
    hub: links.Hub,
    settings: schema.settings.ControlSettings,
) -> Entries:
    """Makes the view of the entry processes.

    :param client: platform client.
    :param hub: peer links of the process.
    :param settings: settings of the process.
    """
    return Entries(client, hub, settings)
