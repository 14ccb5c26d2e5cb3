"""Base class of values that represent a missing result."""

import attrs


@attrs.frozen
class Sentinel:
    """A value that states why a result is missing.

    Sentinels are falsy, so that callers can test a result. Where a regular
    result may be falsy too, or ``or`` supplies another value, compare with the
    class or with None.

    >>> bool(Sentinel())
    False
    """

    def __bool__(self) -> bool:
        """Counts as false."""
        return False
