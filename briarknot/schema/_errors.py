"""Results of decoding that are no values."""

import attrs

from briarknot import sentinels


@attrs.frozen
class DecodeError(sentinels.Sentinel):
    """Sentinel for bytes that are not a valid message.

    :param reason: what is wrong with them.
    """

    reason: str
