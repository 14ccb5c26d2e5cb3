"""Registry of the checks of a manifest, and what they find."""

import collections.abc
import enum
import typing

import attrs

from briarknot import registry, schema


class Severity(enum.StrEnum):
    """Effect of a problem."""

    ERROR = 'error'
    WARNING = 'warning'


@attrs.frozen
class ConfigFinding:
    """A problem of a manifest.

    :param severity: whether it is refused or partly left out, or only doubtful.
    :param check: name of the check.
    :param subject: the entry that has the problem; empty for the whole manifest.
    :param text: the problem.
    """

    severity: Severity
    check: str
    subject: str
    text: str

    def __str__(self) -> str:
        """Formats the finding as one line."""
        subject = f' {self.subject}:' if self.subject else ''
        return f'{self.severity}:{subject} {self.text} ({self.check})'


@attrs.frozen
class Candidate:
    """A manifest that is checked.

    :param tree: plain value of its row.
    :param manifest: what the decoder made of it.
    :param version: version in force; None where it is not known.
    :param workers: number of workers by service; None where it is not known.
    """

    tree: typing.Any = attrs.field(repr=False)
    manifest: schema.serving.Manifest
    version: int | None = None
    workers: collections.abc.Mapping[str, int] | None = None


#: Subjects and texts of problems.
Problems = collections.abc.Iterable[tuple[str, str]]
_Run = typing.Callable[[Candidate], Problems]


@attrs.frozen
class ConfigCheck:
    """A check.

    :param severity: effect of the problems that it finds.
    :param run: function that yields them.
    """

    severity: Severity
    run: _Run


#: Checks of manifests that can be decoded.
CONFIG_CHECKS: registry.Registry[ConfigCheck] = registry.Registry(
    'configuration check'
)


def register_check(
    name: str, severity: Severity
) -> typing.Callable[[_Run], _Run]:
    """Returns a decorator that registers a check.

    :param name: name of the check.
    :param severity: effect of the problems that it finds.
    """

    def decorate(run: _Run) -> _Run:
        CONFIG_CHECKS.register(name)(ConfigCheck(severity, run))
        return run

    return decorate
