"""Time limits and bounds of peer links."""

import attrs

_QUEUE_BYTES = 64 * 2**20
_FRAME_BYTES = 32 * 2**20


@attrs.frozen(kw_only=True)
class LinkLimits:
    """Time limits and bounds of a hub's links.

    :param heartbeat_s: period of WebSocket pings; a peer that does not answer
        within half of it is disconnected.
    :param connect_timeout_s: time limit for connecting and for the first
        message.
    :param retry_first_s: first wait before a new attempt to connect.
    :param retry_longest_s: longest wait before a new attempt.
    :param queue_messages: largest number of messages queued on one link.
    :param queue_bytes: largest number of bytes queued on one link.
    :param frame_bytes: largest frame that is accepted.
    :param retire_s: time for which a replaced link is still read, so that
        messages in flight on it arrive.
    """

    heartbeat_s: float = 10.0
    connect_timeout_s: float = 1.0
    retry_first_s: float = 0.1
    retry_longest_s: float = 5.0
    queue_messages: int = 1024
    queue_bytes: int = _QUEUE_BYTES
    frame_bytes: int = _FRAME_BYTES
    retire_s: float = 1.0
