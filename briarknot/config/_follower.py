"""Keeps the document in force up to date."""

import asyncio
import collections.abc

import attrs
import prometheus_client

from briarknot import document, links, platform, schema, telemetry
from briarknot.config import _delta, _storage

_REVISION = prometheus_client.Gauge(
    'briarknot_document_revision', 'Revision of the document in force.'
)
_READS = prometheus_client.Counter(
    'briarknot_document_reads',
    'Attempts to read a newer document, by source and result.',
    ('source', 'result'),
)

_Listener = collections.abc.Callable[['InForce'], None]


@attrs.frozen
class InForce:
    """The document in force.

    :param revision: its revision; 0 where there is none yet.
    :param object_name: name of the object with the text.
    :param attempt_id: random id of its commit.
    :param fleet: its content.
    """

    revision: int = 0
    object_name: str = ''
    attempt_id: str = ''
    fleet: schema.fleet.Fleet = attrs.field(factory=schema.fleet.Fleet)


@attrs.define(eq=False)
class Follower:
    """Follows the document; its revision in force never decreases.

    The platform's row is polled periodically. Peers announce revisions and
    send texts, so that a failure domain that is cut off from the platform
    follows as well.
    """

    _client: platform.Client
    _hub: links.Hub
    _poll_s: float
    _peer_wait_s: float
    _in_force: InForce = attrs.field(factory=InForce, init=False)
    _peer_responded: asyncio.Event = attrs.field(
        factory=asyncio.Event, init=False
    )
    _invalid_attempt_id: str | None = attrs.field(default=None, init=False)
    _highest_peer_revision: int = attrs.field(default=0, init=False)
    _listeners: list[_Listener] = attrs.field(factory=list, init=False)

    @property
    def in_force(self) -> InForce:
        """The document in force."""
        return self._in_force

    @property
    def revision(self) -> int:
        """Revision in force; 0 where there is none yet."""
        return self._in_force.revision

    def add_listener(self, listener: _Listener) -> None:
        """Adds a function that is called with each new document."""
        self._listeners.append(listener)

    def register_handlers(self) -> None:
        """Registers the handlers of the document's messages with the hub."""
        messages = schema.messages
        self._hub.register(messages.Revision, self._handle_revision)
        self._hub.register(messages.DocumentRequest, self._handle_request)
        self._hub.register(messages.DocumentBody, self._handle_body)

    async def handle_hello(
        self, link: links.Link, hello: schema.messages.Hello
    ) -> None:
        """Handles the first message of a link.

        :param link: the new link.
        :param hello: the peer's description of itself.
        """
        self._highest_peer_revision = max(
            self._highest_peer_revision, hello.revision
        )
        if hello.revision < self.revision:
            link.send(self._make_revision())
        elif hello.revision > self.revision:
            link.send(schema.messages.DocumentRequest(at_least=hello.revision))
        self._peer_responded.set()

    async def run(self) -> None:
        """Polls the platform's row periodically, until cancelled."""
        await self._wait_for_peers()
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_s)

    async def refresh(self) -> None:
        """Reads the platform's small row, and a newer document if any."""
        head = await self._client.read_row(_storage.TABLE, _storage.HEAD)
        if not isinstance(head, platform.Row):
            _READS.labels('platform', type(head).__name__).inc()
            return
        polled = schema.from_plain(schema.records.DocumentHead, head.value)
        if polled.revision <= self.revision:
            return
        current = await _storage.read_row(self._client)
        if isinstance(current, platform.Unavailable):
            return
        row = current.row
        if row.revision > self.revision and not await self._apply_deltas(row):
            await self._read_text(row)

    async def _apply_deltas(self, row: schema.records.DocumentRow) -> bool:
        """Applies the deltas of all newer commits, in order.

        :returns: whether this reached the row's revision.
        """
        current = self.revision
        newer = [one for one in row.history if one.revision > current]
        if not current or len(newer) != row.revision - current:
            return False
        for commit in reversed(newer):
            body = await self._client.read_object(
                _storage.make_delta_name(commit.object)
            )
            if not isinstance(body, bytes) or not self._apply_delta(
                commit, body
            ):
                return False
        return True

    def _apply_delta(self, commit: schema.records.Commit, body: bytes) -> bool:
        """Applies a delta, unless it was made from another document."""
        base = self._in_force
        delta = _delta.decode_delta(body)
        if delta is None or delta.base_attempt_id != base.attempt_id:
            _READS.labels('delta', 'mismatch').inc()
            return False
        _READS.labels('delta', 'taken').inc()
        self._install(
            InForce(
                revision=commit.revision,
                object_name=commit.object,
                attempt_id=commit.attempt_id,
                fleet=_delta.apply_delta(base.fleet, delta),
            ),
            'delta',
        )
        return True

    async def _read_text(self, row: schema.records.DocumentRow) -> None:
        body = await self._client.read_object(row.object)
        if isinstance(body, bytes):
            await self._apply_text(
                'platform',
                schema.messages.DocumentBody(
                    revision=row.revision,
                    object=row.object,
                    attempt_id=row.attempt_id,
                    text=body.decode(),
                ),
            )

    async def _wait_for_peers(self) -> None:
        """Waits, before the first poll, for the revisions that peers announce.

        After a restart a read from the platform may be stale. A process
        without peers in its settings learns them from the host list. It waits
        for all peers, because a peer that has just started has no revision.
        """
        if not self._hub.urls:
            await self._hub.peers_listed.wait()
        try:
            async with asyncio.timeout(self._peer_wait_s):
                while self._is_waiting_for_peers():
                    self._peer_responded.clear()
                    await self._peer_responded.wait()
        except TimeoutError:
            telemetry.log_change('document', 'not all peers answered')

    def _is_waiting_for_peers(self) -> bool:
        is_behind = self.revision < self._highest_peer_revision
        return is_behind or bool(self._hub.unanswered_urls)

    async def _handle_revision(
        self, link: links.Link, message: schema.messages.Revision
    ) -> None:
        if message.revision > self.revision:
            link.send(
                schema.messages.DocumentRequest(at_least=message.revision)
            )

    async def _handle_request(
        self, link: links.Link, message: schema.messages.DocumentRequest
    ) -> None:
        if not self.revision or self.revision < message.at_least:
            return
        current = self._in_force
        text = await asyncio.to_thread(document.write_text, current.fleet)
        link.send(
            schema.messages.DocumentBody(
                revision=current.revision,
                object=current.object_name,
                attempt_id=current.attempt_id,
                text=text,
            )
        )

    async def _handle_body(
        self, link: links.Link, message: schema.messages.DocumentBody
    ) -> None:
        await self._apply_text('peer', message)
        self._peer_responded.set()

    async def _apply_text(
        self, source: str, body: schema.messages.DocumentBody
    ) -> None:
        """Parses a whole text and puts it in force."""
        is_known_invalid = body.attempt_id == self._invalid_attempt_id
        if body.revision <= self.revision or is_known_invalid:
            return
        parsed = await _storage.read_fleet(body.text, body.object)
        if parsed.value is None:
            # Parsing it again at each poll would take seconds each time.
            self._invalid_attempt_id = body.attempt_id
            _READS.labels(source, 'invalid').inc()
            telemetry.log_change(
                'document',
                'invalid',
                revision=body.revision,
                finding=parsed.findings[0],
            )
            return
        # Another task may have installed a newer document while this one was
        # parsed.
        if body.revision <= self.revision:
            return
        _READS.labels(source, 'taken').inc()
        self._install(
            InForce(
                revision=body.revision,
                object_name=body.object,
                attempt_id=body.attempt_id,
                fleet=parsed.value,
            ),
            source,
        )

    def _install(self, in_force: InForce, source: str) -> None:
        self._in_force = in_force
        _REVISION.set(in_force.revision)
        telemetry.log_change(
            'document', 'in force', revision=in_force.revision, source=source
        )
        for listener in self._listeners:
            listener(in_force)
        self._hub.update_hello(self._hub.hello.incarnation, in_force.revision)
        self._hub.broadcast(self._make_revision())

    def _make_revision(self) -> schema.messages.Revision:
        return schema.messages.Revision(
            revision=self.revision,
            object=self._in_force.object_name,
            attempt_id=self._in_force.attempt_id,
        )


def make_follower(
    client: platform.Client,
    hub: links.Hub,
    *,
    poll_s: float,
    peer_wait_s: float,
) -> Follower:
    """Makes a follower without a document.

    :param client: client of the platform.
    :param hub: peer links of the process.
    :param poll_s: period of reading the platform's row, in seconds.
    :param peer_wait_s: longest wait for the peers at the start, in seconds.
    """
    return Follower(client, hub, poll_s, peer_wait_s)
