"""Messages that a detector asks its caller to send."""

import typing

import attrs

from briarknot.schema import messages

Message: typing.TypeAlias = messages.Heartbeat | messages.Suspicion


@attrs.frozen
class Send:
    """A message for one host.

    :param host: host of the receiver.
    :param message: the message.
    """

    host: str
    message: Message


@attrs.frozen
class Broadcast:
    """A message for all linked hosts.

    :param message: the message.
    """

    message: Message


Actions: typing.TypeAlias = tuple[Send | Broadcast, ...]
