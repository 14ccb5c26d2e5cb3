"""Decodes frames and performs the handshake of a peer connection."""

import typing

import aiohttp

from briarknot import schema
from briarknot.links import _link, _metrics


def decode_frame(frame: aiohttp.WSMessage) -> typing.Any:
    """Decodes a received frame and counts it.

    :param frame: a frame of any type.
    :returns: a member of ``PeerMessage``, or ``schema.DecodeError``.
    """
    if frame.type is not aiohttp.WSMsgType.BINARY:
        return schema.DecodeError(f'frame of type {frame.type.name}')
    message = schema.decode(frame.data)
    if message:
        kind = schema.messages.PEER_MESSAGE_MEMBERS[type(message)]
        _metrics.MESSAGES.labels('received', kind).inc()
        _metrics.BYTES.labels('received').inc(len(frame.data))
    return message


async def exchange_hello(
    socket: _link.Socket, hello: schema.messages.Hello, timeout_s: float
) -> schema.messages.Hello | None:
    """Sends the hello of this process and receives the peer's.

    :param socket: a connection just opened.
    :param hello: hello of this process.
    :param timeout_s: time limit for the peer's hello.
    :returns: the peer's hello, or None where it sent none or is this process.
    """
    try:
        await socket.send_bytes(schema.encode(hello))
        message = decode_frame(await socket.receive(timeout_s))
    except (TimeoutError, ConnectionError):
        message = None
    if not isinstance(message, schema.messages.Hello):
        _metrics.REFUSALS.labels('no_hello').inc()
        return None
    if _link.make_key(message) == _link.make_key(hello):
        _metrics.REFUSALS.labels('self').inc()
        return None
    return message
