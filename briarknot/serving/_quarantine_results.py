"""Results of checking whether a request is quarantined."""

import attrs

from briarknot import sentinels


@attrs.frozen
class Clear:
    """No key of a request is suspected."""


@attrs.frozen
class Suspected:
    """A key was starting at one crash; one request at a time may try it.

    :param keys: suspected keys of the request.
    :param in_trial: whether another request tries one of them.
    """

    keys: tuple[str, ...]
    in_trial: bool


@attrs.frozen
class OnTrial:
    """The quarantine of a key is over if this request succeeds.

    :param keys: quarantined keys of the request.
    """

    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Quarantined(sentinels.Sentinel):
    """Sentinel for a request that must not be sent to a worker.

    :param reason: sentence with the figures, for the log.
    :param key: the key that is quarantined.
    :param retry_after_s: time until one request may try it, in seconds.
    """

    reason: str
    key: str
    retry_after_s: float


Result = Clear | Suspected | OnTrial | Quarantined
