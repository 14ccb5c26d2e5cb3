"""What workers state in their answers about the requests that they want."""

import attrs


@attrs.frozen(kw_only=True)
class Backpressure:
    """Statements of a worker in one answer.

    :param limit_per_s: requests per second that the worker takes from all
        gateway processes together; None for no limit.
    :param is_leaving: whether the worker is leaving.
    :param pause_s: time for which it wants no requests from this process, in
        seconds; 0 for none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0
