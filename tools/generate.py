"""Generates the attrs classes of ``briarknot.schema`` from its definitions.

Run ``python tools/generate.py`` after a change of a ``.capnp`` file and commit
the output; ``--check`` only compares, and exits with 1 if the output is stale.
"""

import pathlib
import re
import subprocess
import sys
from typing import Annotated

import attrs
import capnp
import cappa

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DEFINITIONS = _ROOT / 'briarknot' / 'schema' / 'definitions'
_OUTPUT = _ROOT / 'briarknot' / 'schema' / '_generated'
# In order of dependency: a module uses only classes of modules before it.
_MODULES = (
    'fleet',
    'settings',
    'endpoints',
    'records',
    'messages',
    'serving',
)
_ANNOTATION_BASE = 0xB0A1F6D2C3E4A500
_ANNOTATIONS = (
    'doc',
    'unit',
    'minimum',
    'maximum',
    'required',
    'secret',
    'pattern',
    'references',
    'registry',
    'hidden',
    'deferred',
)
_INTEGER_BITS = {
    'uint8': (0, 8),
    'uint16': (0, 16),
    'uint32': (0, 32),
    'uint64': (0, 64),
    'int8': (1, 7),
    'int16': (1, 15),
    'int32': (1, 31),
    'int64': (1, 63),
}
_SCALARS = {'text': 'str', 'bool': 'bool', 'float64': 'float', 'data': 'bytes'}
_NO_DISCRIMINANT = 65535


@attrs.frozen
class _TypeNames:
    """Python names of schema nodes by their id.

    :param names: qualified names, ``module.Class``.
    :param enumerants: names of the enumerants of each enum.
    """

    names: dict[int, str]
    enumerants: dict[int, list[str]]


@cappa.command(name='generate', help='Generate the schema classes.')
@attrs.frozen
class _Generate:
    """Arguments of the generator."""

    check: Annotated[bool, cappa.Arg(long=True)] = False


def _read_annotations(node):
    found = {}
    for annotation in node.annotations:
        index = annotation.id - _ANNOTATION_BASE - 1
        if 0 <= index < len(_ANNOTATIONS):
            kind = annotation.value.which()
            found[_ANNOTATIONS[index]] = (
                True if kind == 'void' else getattr(annotation.value, kind)
            )
    return found


def _to_snake(name):
    return re.sub('(?<=[a-z0-9])([A-Z])', r'_\1', name).lower()


def _read_members(module):
    """Returns the structs and enums that a schema file declares, in order."""
    members = []
    for nested in module.schema.node.nestedNodes:
        member = getattr(module, nested.name)
        node = member.schema.node if hasattr(member, 'schema') else None
        if node is not None and node.which() in {'struct', 'enum'}:
            members.append((nested.name, node))
    return members


def _collect_names(modules):
    names = {}
    enumerants = {}
    for module_name, module in modules.items():
        for name, node in _read_members(module):
            names[node.id] = f'{module_name}.{name}'
            if node.which() == 'enum':
                enumerants[node.id] = [
                    item.name for item in node.enum.enumerants
                ]
    return _TypeNames(names, enumerants)


def _local_name(qualified, module_name):
    prefix = f'{module_name}.'
    return qualified.removeprefix(prefix)


def _format_type(slot_type, types, module_name):
    kind = slot_type.which()
    if kind in _INTEGER_BITS:
        return 'int'
    if kind == 'list':
        element = _format_type(slot_type.list.elementType, types, module_name)
        return f'tuple[{element}, ...]'
    if kind in {'struct', 'enum'}:
        type_id = getattr(slot_type, kind).typeId
        return _local_name(types.names[type_id], module_name)
    return _SCALARS[kind]


def _format_default(slot, types, module_name):
    kind = slot.type.which()
    if kind == 'list':
        return '()'
    name = _format_type(slot.type, types, module_name)
    if kind == 'struct':
        return f'attrs.Factory(lambda: {name}())'
    if kind == 'enum':
        type_id = slot.type.enum.typeId
        member = types.enumerants[type_id][slot.defaultValue.enum]
        return f'{name}.{_to_snake(member).upper()}'
    return repr(getattr(slot.defaultValue, kind))


def _format_limits(slot, annotations):
    kind = slot.type.which()
    limits = {}
    if kind in _INTEGER_BITS:
        sign, bits = _INTEGER_BITS[kind]
        limits['minimum'] = -(2**bits) if sign else 0
        limits['maximum'] = 2**bits - 1
    limits.update(
        {
            key: annotations[key]
            for key in ('minimum', 'maximum')
            if key in annotations
        }
    )
    return limits


def _format_field(field, types, module_name):
    annotations = _read_annotations(field)
    arguments = [f'doc={annotations.pop("doc")!r}']
    limits = _format_limits(field.slot, annotations)
    annotations.update(limits)
    arguments += [f'{key}={annotations[key]!r}' for key in sorted(annotations)]
    python_type = _format_type(field.slot.type, types, module_name)
    default = _format_default(field.slot, types, module_name)
    arguments.append(f'default={default}')
    joined = ', '.join(arguments)
    return (
        f'    {_to_snake(field.name)}: {python_type} '
        f'= _fields.make_field({joined})'
    )


def _format_union(name, node, types, module_name):
    members = [
        (field.name, _format_type(field.slot.type, types, module_name))
        for field in node.struct.fields
        if field.discriminantValue != _NO_DISCRIMINANT
    ]
    doc = _read_annotations(node)['doc']
    kinds = ' | '.join(kind for _, kind in members)
    table = ', '.join(f'{kind}: {field!r}' for field, kind in members)
    return (
        f'#: {doc}\n{name} = {kinds}\n\n'
        f'#: Names of the members of {name} in the schema.\n'
        f'{_to_snake(name).upper()}_MEMBERS = {{{table}}}\n'
    )


def _format_struct(name, node, types, module_name):
    if node.struct.discriminantCount:
        return _format_union(name, node, types, module_name)
    doc = _read_annotations(node)['doc']
    fields = '\n'.join(
        _format_field(field, types, module_name) for field in node.struct.fields
    )
    return (
        f'@attrs.frozen(kw_only=True)\nclass {name}:\n'
        f'    """{doc}"""\n\n    __schema__ = {module_name!r}\n\n{fields}\n'
    )


def _format_enum(name, node):
    doc = _read_annotations(node)['doc']
    lines = [f'class {name}(enum.StrEnum):', f'    """{doc}"""', '']
    for item in node.enum.enumerants:
        member = _to_snake(item.name)
        lines.append(f'    #: {_read_annotations(item)["doc"]}')
        lines.append(f'    {member.upper()} = {item.name!r}')
    return '\n'.join(lines) + '\n'


def _sort_members(members):
    """Sorts classes topologically, each after those that it uses."""
    ordered = []
    pending = list(members)
    known = {node.id for _, node in members}
    while pending:
        for entry in pending:
            if not _get_dependencies(entry[1]) & known - {entry[1].id}:
                ordered.append(entry)
                pending.remove(entry)
                known.discard(entry[1].id)
                break
    return ordered


def _get_dependencies(node):
    if node.which() == 'enum':
        return set()
    dependencies = set()
    for field in node.struct.fields:
        slot_type = field.slot.type
        while slot_type.which() == 'list':
            slot_type = slot_type.list.elementType
        if slot_type.which() in {'struct', 'enum'}:
            dependencies.add(getattr(slot_type, slot_type.which()).typeId)
    return dependencies


def _format_module(module_name, module, types):
    parts = []
    for name, node in _sort_members(_read_members(module)):
        if node.which() == 'enum':
            parts.append(_format_enum(name, node))
        else:
            parts.append(_format_struct(name, node, types, module_name))
    body = '\n\n'.join(parts)
    imports = ''.join(
        f'from briarknot.schema._generated import {other}\n'
        for other in _MODULES
        if other != module_name and re.search(rf'\b{other}\.[A-Z]', body)
    )
    enum_import = 'import enum\n\n' if 'enum.' in body else ''
    return (
        f'"""Classes of definitions/{module_name}.capnp. Generated by '
        f'tools/generate.py; do not edit."""\n\n'
        f'{enum_import}'
        'import attrs\n\n'
        f'from briarknot.schema import _fields\n{imports}\n\n{body}'
    )


def _run_formatter(text):
    """Formats generated source, so that it passes the same lint."""
    command = [
        sys.executable,
        '-m',
        'ruff',
        'format',
        '--stdin-filename',
        'x.py',
        '-',
    ]
    finished = subprocess.run(
        command,
        input=text,
        capture_output=True,
        text=True,
        check=True,
        cwd=_ROOT,
    )
    return finished.stdout


def _generate():
    """Returns the generated source by path."""
    capnp.remove_import_hook()
    modules = {
        name: capnp.load(str(_DEFINITIONS / f'{name}.capnp'))
        for name in _MODULES
    }
    types = _collect_names(modules)
    return {
        _OUTPUT / f'{name}.py': _run_formatter(
            _format_module(name, module, types)
        )
        for name, module in modules.items()
    }


def main():
    """Writes the generated modules; with ``--check`` only compares them."""
    arguments = cappa.parse(_Generate)
    stale = []
    for path, text in _generate().items():
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
