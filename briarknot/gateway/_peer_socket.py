"""Socket for the messages between gateway processes."""

import asyncio
import socket

import attrs
import prometheus_client

from briarknot.gateway import _context

_DATAGRAM_BYTES = 65536
_MESSAGES = prometheus_client.Counter(
    'briarknot_gateway_peer_messages',
    'Messages between gateway processes by direction.',
    ('direction',),
)


@attrs.define(eq=False)
class PeerSocket:
    """Sends and receives datagrams; lost ones are not resent."""

    _context: _context.Context
    _socket: socket.socket

    async def receive(self) -> bytes:
        """Waits for a datagram of another process."""
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._socket, _DATAGRAM_BYTES)
        _MESSAGES.labels('received').inc()
        return data

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram.

        :param data: an encoded message.
        :param address: IP number and port of the receiver.
        """
        try:
            self._socket.sendto(data, address)
        except OSError:
            # The next message carries the same state.
            _MESSAGES.labels('failed').inc()
        else:
            _MESSAGES.labels('sent').inc()

    def list_near(self) -> list[_context.PeerHost]:
        """Lists the other processes of the local failure domain."""
        peers = self._context.peer_hosts
        return [peers[host] for host in self._context.host_groups.near]


def open_peer_socket(context: _context.Context) -> PeerSocket:
    """Opens the socket on the port of the settings.

    :param context: state of the process.
    """
    settings = context.settings
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((settings.address, settings.peer_port))
    return PeerSocket(context, opened)
