"""What scripted workers do with the bytes of a connection."""

import socket
import struct


def read_fields(head):
    """Returns the first line and the headers of a request."""
    first, *lines = head.split('\r\n')
    fields = {'first': first, 'head': head}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return fields


def send_reset(writer):
    """Resets a connection."""
    connection = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
