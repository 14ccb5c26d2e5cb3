"""Writes the reference pages from the schema and the list of causes.

Run ``python tools/write_reference.py`` after a change of a setting, a field
of the document, or a cause, and commit the pages; ``--check`` only compares,
and exits with 1 if a page is stale.
"""

import enum
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Describes the package of this checkout even if another one is installed.
sys.path.insert(0, str(_ROOT))

from briarknot import outcomes, schema  # noqa: E402

_DOCS = _ROOT / 'docs'
_PROGRAMS = (
    ('briarknot-entry', schema.settings.EntrySettings),
    ('briarknot-control', schema.settings.ControlSettings),
    ('briarknot-console', schema.settings.ConsoleSettings),
    ('briarknot-gateway', schema.settings.GatewaySettings),
    ('briarknotctl', schema.settings.CtlSettings),
)
_TYPE_NAMES = {str: 'text', bool: 'true, false', int: 'whole number'}
_CONFIGURATION_HEAD = """# Configuration

`tools/write_reference.py` writes this page from
`briarknot/schema/definitions/settings.capnp` and `fleet.capnp`; the tests fail
where it is stale.

Settings and the fleet document are JSON with `//` and `/* */` comments. Fields
marked * are required. All findings are printed at once as
`file:line:column: field: found X, allowed Y`; a server program exits with 2
where its settings have findings.
"""
_CAUSES_HEAD = """# Causes

`tools/write_reference.py` writes this page from `briarknot.outcomes`; the
tests fail where it is stale.

Each refusal and each failure has one cause of this closed list. It is the
field `cause` of the problem document that the caller gets, of the journal's
record and of the metric `briarknot_requests_total`. `briarknotctl explain ID`
adds the figures behind it; [operations](OPERATIONS.md) says what to do.

| cause | HTTP status | meaning |
| --- | --- | --- |
"""


@cappa.command(name='write_reference', help='Write the reference pages.')
@attrs.frozen
class _Write:
    """Arguments of the tool."""

    check: Annotated[bool, cappa.Arg(long=True)] = False


def _write_causes():
    rows = []
    for cause in outcomes.Cause:
        info = outcomes.get_cause_info(cause)
        status = f'{info.status.value} {info.status.phrase}'
        rows.append(f'| `{cause.value}` | {status} | {info.doc} |\n')
    return _CAUSES_HEAD + ''.join(rows)


def _write_configuration():
    parts = [_CONFIGURATION_HEAD]
    written = set()
    for program, kind in _PROGRAMS:
        parts.append(f'\n## Settings of {program}\n')
        parts.extend(_write_classes(kind, written))
    parts.append('\n## Fleet document\n')
    parts.extend(_write_classes(schema.fleet.Fleet, written))
    return ''.join(parts)


def _write_classes(kind, written):
    """Yields the sections of a class and of the classes that its fields use."""
    if kind in written:
        return
    written.add(kind)
    yield f'\n### {kind.__name__}\n\n{kind.__doc__}\n\n'
    if issubclass(kind, enum.Enum):
        for member in kind:
            yield f'- `{member.value}`\n'
        return
    yield '| field | type | default | allowed | meaning |\n'
    yield '| --- | --- | --- | --- | --- |\n'
    types = schema.get_field_types(kind)
    for attribute in attrs.fields(kind):
        yield _write_row(attribute, types[attribute.name])
    for field_type in types.values():
        element = _get_element_type(field_type)
        if attrs.has(element) or issubclass(element, enum.Enum):
            yield from _write_classes(element, written)


def _get_element_type(field_type):
    return getattr(field_type, '__args__', (field_type,))[0]


def _write_row(attribute, field_type):
    info = schema.get_field_info(attribute)
    mark = ' *' if info.required else ''
    secret_note = ' Never shown or logged.' if info.secret else ''
    cells = (
        f'`{attribute.name}`{mark}',
        _format_type(field_type),
        _format_default(attribute, info),
        _format_limits(info),
        f'{info.doc}{secret_note}',
    )
    return f'| {" | ".join(cells)} |\n'


def _format_type(field_type):
    element = _get_element_type(field_type)
    type_name = _TYPE_NAMES.get(element, 'number')
    if element not in {*_TYPE_NAMES, float}:
        anchor = element.__name__.lower()
        type_name = f'[{element.__name__}](#{anchor})'
    return type_name if element is field_type else f'list of {type_name}'


def _format_default(attribute, info):
    default = attribute.default
    if info.required or isinstance(default, attrs.Factory):
        return ''
    if default in {'', ()}:
        return 'empty'
    if isinstance(default, bool):
        default = str(default).lower()
    unit = f' {info.unit}' if info.unit else ''
    return f'`{default}`{unit}'


def _format_limits(info):
    unit = f' {info.unit}' if info.unit else ''
    parts = []
    if info.minimum is not None:
        parts.append(f'>= {info.minimum:.15g}{unit}')
    if info.maximum is not None:
        parts.append(f'<= {info.maximum:.15g}{unit}')
    if info.pattern:
        pattern = info.pattern.replace('|', r'\|')
        parts.append(f'matches `{pattern}`')
    if info.references:
        parts.append(f'a name in `{info.references}`')
    if info.registry:
        parts.append(f'a registered {info.registry} policy')
    return ', '.join(parts)


def _write_pages():
    """Returns the pages by path."""
    return {
        _DOCS / 'causes.md': _write_causes(),
        _DOCS / 'configuration.md': _write_configuration(),
    }


def main():
    """Writes the pages; with ``--check`` only compares them."""
    arguments = cappa.parse(_Write)
    stale = []
    for path, text in _write_pages().items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.relative_to(_ROOT))
        if not arguments.check:
            path.write_text(text)
    for path in stale:
        print(f'{path}: {"stale" if arguments.check else "written"}')
    sys.exit(1 if stale and arguments.check else 0)


if __name__ == '__main__':
    main()
