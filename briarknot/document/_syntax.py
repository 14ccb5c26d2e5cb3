"""Parser of JSON with comments that keeps the position of each value."""

import collections.abc

import attrs
import orjson
import tree_sitter
import tree_sitter_json

from briarknot.document import _findings

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_SHOWN_CHARACTERS = 40


@attrs.frozen(eq=False)
class Member:
    """A member of an object.

    :param key: decoded key.
    :param key_node: the key.
    :param node: the member's value.
    """

    key: str
    key_node: tree_sitter.Node
    node: tree_sitter.Node


@attrs.frozen(eq=False)
class Syntax:
    """A parsed text.

    :param text: the text as UTF-8.
    :param root: outermost value, or None where there is none.
    :param errors: positions of syntax errors with the text found there.
    """

    text: bytes
    root: tree_sitter.Node | None
    errors: tuple[tuple[_findings.Position, str], ...]

    def get_position(self, node: tree_sitter.Node) -> _findings.Position:
        """Returns the position where a node starts."""
        row, byte_column = node.start_point
        line_start = node.start_byte - byte_column
        before = self.text[line_start : node.start_byte]
        return _findings.Position(row + 1, len(before.decode()) + 1)

    def get_source(self, node: tree_sitter.Node) -> str:
        """Returns the start of a node's text, for messages."""
        source = self.text[node.start_byte : node.end_byte].decode()
        line = ' '.join(source.split())
        if len(line) <= _SHOWN_CHARACTERS:
            return line
        return f'{line[:_SHOWN_CHARACTERS]}...'

    def decode_scalar(self, node: tree_sitter.Node) -> object:
        """Returns the value of a string, number, boolean, or null."""
        return orjson.loads(self.text[node.start_byte : node.end_byte])

    def iterate_members(
        self, node: tree_sitter.Node
    ) -> collections.abc.Iterator[Member]:
        """Yields the members of an object in order."""
        for pair in _iterate_values(node):
            key = pair.child_by_field_name('key')
            member_node = pair.child_by_field_name('value')
            if key is not None and member_node is not None:
                yield Member(
                    str(self.decode_scalar(key)),
                    key,
                    member_node,
                )

    def get_elements(
        self, node: tree_sitter.Node
    ) -> tuple[tree_sitter.Node, ...]:
        """Returns the elements of an array in order."""
        return tuple(_iterate_values(node))


def _iterate_values(
    node: tree_sitter.Node,
) -> collections.abc.Iterator[tree_sitter.Node]:
    return (
        child
        for child in node.named_children
        if child.type not in {'comment', 'ERROR'}
    )


def _find_errors(
    node: tree_sitter.Node,
) -> collections.abc.Iterator[tree_sitter.Node]:
    if node.is_missing or node.type == 'ERROR':
        yield node
    elif node.has_error:
        for child in node.children:
            yield from _find_errors(child)


def parse(text: str) -> Syntax:
    """Parses JSON with ``//`` and ``/* */`` comments.

    :param text: the text.
    :returns: the tree, with all syntax errors and not only the first.
    """
    encoded = text.encode()
    tree = tree_sitter.Parser(_LANGUAGE).parse(encoded)
    values = tuple(_iterate_values(tree.root_node))
    syntax = Syntax(encoded, values[0] if values else None, ())
    errors = [
        (syntax.get_position(node), _describe_error(syntax, node))
        for node in _find_errors(tree.root_node)
    ]
    errors.extend(
        (syntax.get_position(node), f'an extra value {syntax.get_source(node)}')
        for node in values[1:]
    )
    return attrs.evolve(syntax, errors=tuple(errors))


def _describe_error(syntax: Syntax, node: tree_sitter.Node) -> str:
    if node.is_missing:
        return f'no {node.type!r}'
    return repr(syntax.get_source(node))
