"""Settings of a program."""

import collections.abc
import pathlib
import sys
import typing

from briarknot import document

Settings = typing.TypeVar('Settings')

#: Exit code for bad settings.
BAD_SETTINGS_EXIT = 2


def read_settings(kind: type[Settings], path: pathlib.Path) -> Settings:
    """Reads a settings file, or exits with all findings.

    :param kind: generated settings class.
    :param path: path of the file.
    :raises SystemExit: with code 2 where the file is missing or wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        _exit_with((f'{path}: {error}',))
    result = document.read_text(kind, text, str(path))
    if result.value is None:
        _exit_with(str(finding) for finding in result.findings)
    return result.value


def _exit_with(lines: collections.abc.Iterable[str]) -> typing.NoReturn:
    print('\n'.join(lines), file=sys.stderr)
    sys.exit(BAD_SETTINGS_EXIT)
