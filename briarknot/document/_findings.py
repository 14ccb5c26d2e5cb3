"""Findings of a check, with their place."""

import collections.abc

import attrs


@attrs.frozen(order=True)
class Place:
    """A place in a text.

    :param line: line, from 1.
    :param column: column in characters, from 1.
    """

    line: int = 1
    column: int = 1


@attrs.frozen(order=True)
class Finding:
    """One thing that is wrong in a document.

    :param source: name of the file or the document.
    :param place: where it is.
    :param path: path of the field, such as ``engines[2].role``.
    :param found: what was found.
    :param allowed: what is allowed there.

    >>> str(Finding('f.json', Place(3, 7), 'ranks[0].worth', '-1', '>= 0'))
    'f.json:3:7: ranks[0].worth: found -1, allowed >= 0'
    """

    source: str
    place: Place
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Formats the finding as one line."""
        place = f'{self.source}:{self.place.line}:{self.place.column}'
        subject = f' {self.path}:' if self.path else ''
        return f'{place}:{subject} found {self.found}, allowed {self.allowed}'


def sort_findings(
    findings: collections.abc.Iterable[Finding],
) -> tuple[Finding, ...]:
    """Returns findings in the order of their places, each once."""
    return tuple(sorted(set(findings)))
