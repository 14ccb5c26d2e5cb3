"""What workers state in their answers about the requests that they want."""

import attrs


@attrs.frozen(kw_only=True)
class Backpressure:
    """Statements of a worker in one answer.

    :param limit_per_s: requests per second that the worker takes from all
        gateway processes together; None for no limit.
    :param is_leaving: whether the worker is leaving.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
