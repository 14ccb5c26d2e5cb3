"""Base of values that stand for a result that is not there."""

import attrs


@attrs.frozen
class Sentinel:
    """A value that says why a result is missing.

    Sentinels are falsy, so that callers can test a result. Where a true value
    may be falsy too, or another value follows by ``or``, compare with the
    class or with None.

    >>> bool(Sentinel())
    False
    """

    def __bool__(self) -> bool:
        """Counts as false."""
        return False
