"""Reports of this process's work at engines, and where they are sent."""

import attrs

from briarknot import schema
from briarknot.gateway import _context, _peer_socket

#: Processes of another domain that take turns in forwarding the messages of
#: this one, so that the loss of one costs only every second message.
_FORWARDERS_PER_DOMAIN = 2

EngineWork = schema.messages.EngineWork


@attrs.define(eq=False)
class WorkReports:
    """Makes numbered reports, and sends them to many processes."""

    _context: _context.Context
    _socket: _peer_socket.PeerSocket
    _born_ms: int
    _sequence: int = 0

    def take_number(self) -> int:
        """Returns the number of the next message, which is higher than all before."""
        self._sequence += 1
        return self._sequence

    def make(self, parts: tuple[schema.messages.CachedPart, ...]) -> EngineWork:
        """Makes a report of the present work.

        :param parts: shared parts that were sent to engines.
        """
        settings = self._context.settings
        number = self.take_number()
        return EngineWork(
            host=settings.host,
            sequence=number,
            born_ms=self._born_ms,
            workers=self._context.prompt_load.work.record_report(number),
            parts=parts,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
        )

    def send_to_all(self, message: EngineWork) -> None:
        """Sends to the domain peers, and to one process of each other domain.

        Traffic between domains is billed by volume; the receiving process
        forwards the message to its domain peers.

        :param message: the message.
        """
        self.send_near(message)
        self.send_far(message)

    def send_near(self, message: EngineWork) -> None:
        """Sends to the domain peers.

        :param message: the message.
        """
        data = schema.encode(message)
        for peer in self._socket.list_near():
            self._socket.send(data, peer.address)

    def send_far(self, message: EngineWork) -> None:
        """Sends to one process of each other domain, which forwards it.

        :param message: the message.
        """
        data = schema.encode(attrs.evolve(message, forward=True))
        index = message.sequence % _FORWARDERS_PER_DOMAIN
        groups = self._context.host_groups
        for domain in groups.far:
            ranked = groups.rank_far(message.host, domain)
            forwarder = ranked[min(index, len(ranked) - 1)]
            self._socket.send(data, self._context.peer_hosts[forwarder].address)
