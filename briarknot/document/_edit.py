"""Edits a text so that it holds another value, and keeps its comments."""

import typing

import attrs
import orjson
import tree_sitter

from briarknot import schema
from briarknot.document import _reader, _syntax, _writer


@attrs.frozen
class _Edit:
    """Replacement of a range of bytes."""

    start: int
    end: int
    text: str


@attrs.define
class _Editor:
    """Collects the edits of one text."""

    _syntax: _syntax.Syntax
    _edits: list[_Edit] = attrs.field(factory=list, init=False)

    def edit(
        self,
        node: tree_sitter.Node,
        kind: typing.Any,
        target: typing.Any,
        before: typing.Any,
    ) -> None:
        """Records the edits that change a node to a target value.

        :param node: value in the text.
        :param kind: its generated class, tuple, or scalar type.
        :param target: tree of plain values.
        :param before: tree of the present value; None where unknown.
        """
        if target == before:
            return
        if typing.get_origin(kind) is tuple:
            element_kind = typing.get_args(kind)[0]
            self._edit_list(node, element_kind, target, before or [])
        elif attrs.has(kind):
            self._edit_object(node, kind, target, before or {})
        elif self._syntax.decode_scalar(node) != target:
            self._replace(node, target)

    def apply(self) -> str:
        """Returns the text with all edits."""
        text = self._syntax.text
        ordered = sorted(self._edits, key=_get_range, reverse=True)
        for edit in ordered:
            text = text[: edit.start] + edit.text.encode() + text[edit.end :]
        return text.decode()

    def _add(self, start: int, end: int, text: str) -> None:
        self._edits.append(_Edit(start, end, text))

    def _replace(self, node: tree_sitter.Node, target: typing.Any) -> None:
        indent = self._get_indent(node)
        self._add(node.start_byte, node.end_byte, _format(target, indent))

    def _get_indent(self, node: tree_sitter.Node) -> str:
        """Returns the white space at the start of the node's line."""
        line_start = node.start_byte - node.start_point[1]
        line = self._syntax.text[line_start : node.start_byte].decode()
        return line[: len(line) - len(line.lstrip())]

    def _edit_object(
        self,
        node: tree_sitter.Node,
        kind: typing.Any,
        target: dict[str, typing.Any],
        before: dict[str, typing.Any],
    ) -> None:
        members = {
            member.key: member.node
            for member in self._syntax.iterate_members(node)
        }
        types = schema.get_field_types(kind)
        defaults = schema.to_plain(kind())
        added = []
        for key, plain in target.items():
            if key in members:
                self.edit(members[key], types[key], plain, before.get(key))
            elif plain != defaults[key]:
                added.append(f'"{key}": ')
                added[-1] += _format(plain, f'{self._get_indent(node)}  ')
        if added and members:
            self._append(list(members.values())[-1], added)
        elif added:
            self._replace(node, target)

    def _edit_list(
        self,
        node: tree_sitter.Node,
        kind: typing.Any,
        target: list[typing.Any],
        before: list[typing.Any],
    ) -> None:
        old = {
            self._get_key(element, index): element
            for index, element in enumerate(self._syntax.get_elements(node))
        }
        new = _index_by_key(target)
        known = _index_by_key(before)
        kept = [key for key in old if key in new]
        if not kept or list(new)[: len(kept)] != kept or len(new) < len(target):
            if old or target:
                self._replace(node, target)
            return
        for key in kept:
            self.edit(old[key], kind, new[key], known.get(key))
        self._remove(list(old.values()), [name in new for name in old])
        indent = self._get_indent(old[kept[0]])
        added = [
            _format(plain, indent)
            for name, plain in new.items()
            if name not in old
        ]
        if added:
            self._append(list(old.values())[-1], added)

    def _get_key(self, element: tree_sitter.Node, index: int) -> str:
        if element.type != 'object':
            return str(self._syntax.decode_scalar(element))
        for member in self._syntax.iterate_members(element):
            if member.key == 'name':
                return str(self._syntax.decode_scalar(member.node))
        return f'[{index}]'

    def _remove(
        self, elements: list[tree_sitter.Node], is_kept: list[bool]
    ) -> None:
        """Removes elements with the comma before them.

        Leading elements are removed with the comma after them.
        """
        first = is_kept.index(True)
        for index, element in enumerate(elements):
            if index < first:
                following = elements[index + 1]
                self._add(element.start_byte, following.start_byte, '')
            elif not is_kept[index]:
                previous = elements[index - 1]
                self._add(previous.end_byte, element.end_byte, '')

    def _append(self, last: tree_sitter.Node, added: list[str]) -> None:
        indent = self._get_indent(last)
        text = ''.join(f',\n{indent}{part}' for part in added)
        self._add(last.end_byte, last.end_byte, text)


def _get_range(edit: _Edit) -> tuple[int, int]:
    return edit.start, edit.end


def _index_by_key(plains: list[typing.Any]) -> dict[str, typing.Any]:
    """Returns the elements by name, by value, or by index."""
    keys = {}
    for index, plain in enumerate(plains):
        is_object = isinstance(plain, dict)
        key = (plain.get('name') or f'[{index}]') if is_object else plain
        keys[str(key)] = plain
    return keys


def _format(plain: typing.Any, indent: str) -> str:
    text = orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode()
    return text.replace('\n', f'\n{indent}')


def edit_text(text: str, after: typing.Any, before: typing.Any = None) -> str:
    """Edits a text so that it holds a value.

    Comments and the order of fields are kept where the value allows it. A text
    that can't be edited in place is replaced as a whole.

    :param text: JSON with comments, without findings.
    :param after: instance of a generated class.
    :param before: present value of the text, where it is known; unchanged
        parts of it are then skipped.

    >>> pattern = schema.fleet.CallPattern(path='/b')
    >>> edit_text('{"path": "/a"} // orders', pattern)
    '{"path": "/b"} // orders'
    """
    kind = type(after)
    syntax = _syntax.parse(text)
    if syntax.root is not None and not syntax.errors:
        editor = _Editor(syntax)
        plain = schema.to_plain(after)
        editor.edit(syntax.root, kind, plain, schema.to_plain(before))
        edited = editor.apply()
        if _reader.read_text(kind, edited, 'edited').value == after:
            return edited
    return _writer.write_text(after)
