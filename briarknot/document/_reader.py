"""Builds generated classes from JSON with comments, with all findings."""

import difflib
import enum
import re
import typing

import attrs
import tree_sitter

from briarknot import schema
from briarknot.document import _checks, _findings, _syntax

Value = typing.TypeVar('Value')

_NODE_KINDS = {
    'object': 'an object',
    'array': 'a list',
    'string': 'a text',
    'number': 'a number',
    'true': 'true or false',
    'false': 'true or false',
    'null': 'null',
}
_TYPE_KINDS = {
    str: 'a text',
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
}


@attrs.frozen
class ReadResult(typing.Generic[Value]):
    """Result of reading a text.

    :param value: the value, or None where there are findings.
    :param findings: all findings, in the order of their positions.
    """

    value: Value | None
    findings: tuple[_findings.Finding, ...] = ()


@attrs.define
class _Reader:
    """State of reading one text."""

    _source: str
    _syntax: _syntax.Syntax
    _found: list[_findings.Finding] = attrs.field(factory=list, init=False)
    _nodes: dict[str, tree_sitter.Node] = attrs.field(factory=dict, init=False)

    @property
    def findings(self) -> list[_findings.Finding]:
        """Findings so far."""
        return self._found

    @property
    def nodes(self) -> dict[str, tree_sitter.Node]:
        """Nodes of the fields by path.

        Positions are computed only for findings, because that takes time
        proportional to the length of the line.
        """
        return self._nodes

    def add(
        self, position: _findings.Position, path: str, found: str, allowed: str
    ) -> None:
        """Adds a finding."""
        self._found.append(
            _findings.Finding(self._source, position, path, found, allowed)
        )

    def read(
        self,
        kind: typing.Any,
        info: schema.FieldInfo | None,
        node: tree_sitter.Node,
        path: str,
    ) -> typing.Any:
        """Reads a value of a kind and records its findings."""
        self._nodes[path] = node
        if typing.get_origin(kind) is tuple:
            return self._read_list(kind, info, node, path)
        if attrs.has(kind):
            return self._read_object(kind, node, path)
        return self._read_scalar(kind, info, node, path)

    def _add_at(
        self,
        node: tree_sitter.Node,
        path: str,
        allowed: str,
        info: schema.FieldInfo | None = None,
    ) -> None:
        # A secret, or a key in place of its hash, must not reach a log.
        is_hidden = info is not None and (info.secret or info.hidden)
        found = 'a hidden value' if is_hidden else self._syntax.get_source(node)
        self.add(self._syntax.get_position(node), path, found, allowed)

    def _read_list(
        self,
        kind: typing.Any,
        info: schema.FieldInfo | None,
        node: tree_sitter.Node,
        path: str,
    ) -> tuple[typing.Any, ...]:
        if node.type != 'array':
            self._add_at(node, path, 'a list')
            return ()
        element_kind = typing.get_args(kind)[0]
        return tuple(
            self.read(element_kind, info, element, f'{path}[{index}]')
            for index, element in enumerate(self._syntax.get_elements(node))
        )

    def _read_object(
        self, kind: typing.Any, node: tree_sitter.Node, path: str
    ) -> typing.Any:
        if node.type != 'object':
            self._add_at(node, path, 'an object')
            return kind()
        prefix = f'{path}.' if path else ''
        fields = attrs.fields_dict(kind)
        types = schema.get_field_types(kind)
        given: dict[str, typing.Any] = {}
        for member in self._syntax.iterate_members(node):
            member_path = f'{prefix}{member.key}'
            if member.key not in fields:
                self._add_unknown(member, member_path, fields)
            elif member.key in given:
                position = self._syntax.get_position(member.key_node)
                self.add(
                    position, member_path, 'a duplicate field', 'one such field'
                )
            else:
                given[member.key] = self.read(
                    types[member.key],
                    schema.get_field_info(fields[member.key]),
                    member.node,
                    member_path,
                )
        self._check_required(kind, node, prefix, given)
        return kind(**given)

    def _add_unknown(
        self,
        member: _syntax.Member,
        path: str,
        fields: typing.Iterable[str],
    ) -> None:
        names = sorted(fields)
        close = difflib.get_close_matches(member.key, names, n=1)
        allowed = f'{close[0]!r}' if close else f'one of {", ".join(names)}'
        position = self._syntax.get_position(member.key_node)
        self.add(position, path, f'unknown field {member.key!r}', allowed)

    def _check_required(
        self,
        kind: typing.Any,
        node: tree_sitter.Node,
        prefix: str,
        given: typing.Container[str],
    ) -> None:
        for attribute in attrs.fields(kind):
            info = schema.get_field_info(attribute)
            if info.required and attribute.name not in given:
                path = f'{prefix}{attribute.name}'
                position = self._syntax.get_position(node)
                self.add(position, path, 'nothing', f'a value: {info.doc}')

    def _read_scalar(
        self,
        kind: typing.Any,
        info: schema.FieldInfo | None,
        node: tree_sitter.Node,
        path: str,
    ) -> typing.Any:
        if _NODE_KINDS.get(node.type) in {'an object', 'a list'}:
            self._add_at(node, path, _describe_kind(kind))
            return kind() if not issubclass(kind, enum.Enum) else None
        scalar = self._syntax.decode_scalar(node)
        if issubclass(kind, enum.Enum):
            return self._read_enum(kind, scalar, node, path)
        if kind is float and type(scalar) is int:
            scalar = float(scalar)
        if type(scalar) is not kind:
            self._add_at(node, path, _describe_kind(kind), info)
            return kind()
        allowed = _check_limits(info, scalar)
        if allowed:
            self._add_at(node, path, allowed, info)
        return scalar

    def _read_enum(
        self,
        kind: type[enum.Enum],
        scalar: object,
        node: tree_sitter.Node,
        path: str,
    ) -> enum.Enum | None:
        names = [member.value for member in kind]
        if scalar in names:
            return kind(scalar)
        self._add_at(node, path, f'one of {", ".join(names)}')
        return None


def _describe_kind(kind: typing.Any) -> str:
    if issubclass(kind, enum.Enum):
        return f'one of {", ".join(member.value for member in kind)}'
    return _TYPE_KINDS[kind]


def _check_limits(info: schema.FieldInfo | None, scalar: object) -> str:
    """Returns what is allowed if a scalar violates it, else ``''``."""
    if info is None:
        return ''
    if isinstance(scalar, str):
        if info.pattern and not re.fullmatch(info.pattern, scalar):
            return f'a text that matches {info.pattern}'
        return ''
    if isinstance(scalar, bool) or not isinstance(scalar, (int, float)):
        return ''
    low = info.minimum is not None and scalar < info.minimum
    high = info.maximum is not None and scalar > info.maximum
    return _describe_range(info) if low or high else ''


def _describe_range(info: schema.FieldInfo) -> str:
    unit = f' {info.unit}' if info.unit else ''
    low = '' if info.minimum is None else f'>= {info.minimum:g}{unit}'
    high = '' if info.maximum is None else f'<= {info.maximum:g}{unit}'
    return ' and '.join(part for part in (low, high) if part)


def read_text(kind: type[Value], text: str, source: str) -> ReadResult[Value]:
    """Reads a value of a generated class from JSON with comments.

    :param kind: generated class, such as ``schema.fleet.Fleet``.
    :param text: JSON with comments.
    :param source: name of the file, for the findings.
    :returns: the value, or every finding at once with its position.

    >>> from briarknot import schema
    >>> read_text(schema.fleet.CallPattern, '{"path": 3}', 'x').findings[0].path
    'path'
    """
    syntax = _syntax.parse(text)
    reader = _Reader(source, syntax)
    for error_position, found in syntax.errors:
        reader.add(error_position, '', found, 'JSON with comments')
    if syntax.root is None:
        reader.add(_findings.Position(), '', 'no value', 'JSON with comments')
        return ReadResult(None, _findings.sort_findings(reader.findings))
    value = reader.read(kind, None, syntax.root, '')
    for problem in _checks.run_checks(kind, value):
        position = _find_position(syntax, reader.nodes, problem.path)
        reader.add(position, problem.path, problem.found, problem.allowed)
    findings = _findings.sort_findings(reader.findings)
    return ReadResult(None if findings else value, findings)


def _find_position(
    syntax: _syntax.Syntax, nodes: dict[str, tree_sitter.Node], path: str
) -> _findings.Position:
    """Returns the position of a path, or of the closest object around it."""
    while path and path not in nodes:
        path = re.sub(r'(\.?[^.\[\]]+|\[\d+\])$', '', path)
    if path not in nodes:
        return _findings.Position()
    return syntax.get_position(nodes[path])
