"""Findings of a check, with their position."""

import collections.abc

import attrs


@attrs.frozen(order=True)
class Position:
    """A position in a text.

    :param line: line, from 1.
    :param column: column in characters, from 1.
    """

    line: int = 1
    column: int = 1


@attrs.frozen(order=True)
class Finding:
    """One thing that is wrong in a document.

    :param source: name of the file or the document.
    :param place: position of the field.
    :param path: path of the field, such as ``engines[2].role``.
    :param found: what was found.
    :param allowed: what is allowed there.

    >>> str(Finding('f.json', Position(3, 7), 'ranks[0].worth', '-1', '>= 0'))
    'f.json:3:7: ranks[0].worth: found -1, allowed >= 0'
    """

    source: str
    place: Position
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Formats the finding as one line."""
        position = f'{self.source}:{self.place.line}:{self.place.column}'
        subject = f' {self.path}:' if self.path else ''
        return (
            f'{position}:{subject} found {self.found}, allowed {self.allowed}'
        )


def sort_findings(
    findings: collections.abc.Iterable[Finding],
) -> tuple[Finding, ...]:
    """Returns findings in the order of their positions, each once."""
    return tuple(sorted(set(findings)))
