"""Forms generated from the field metadata of the schema."""

import collections.abc
import enum
import re
import typing

import attrs
import orjson

from briarknot import document, schema

_NUMBER = re.compile(r'-?\d+(\.\d+)?([eE][-+]?\d+)?', re.ASCII)
_BLANK_ROWS = 1
_Entries = collections.abc.Mapping[str, typing.Any]


class FieldKind(enum.StrEnum):
    """Kind of input that a field is shown as."""

    TEXT = 'text'
    NUMBER = 'number'
    FLAG = 'flag'
    CHOICE = 'choice'
    #: A list of texts, one a line.
    LINES = 'lines'
    #: A list of objects, one a row.
    ROWS = 'rows'


@attrs.frozen(kw_only=True)
class Field:
    """A field of a form.

    :param name: name in the form, such as ``endpoints.0.url``.
    :param label: name in the document.
    :param kind: kind of input.
    :param info: metadata from the schema.
    :param entry: text of the input; ``on`` or empty for a flag.
    :param choices: allowed texts of a choice.
    :param rows: fields of each row of a list of objects.
    :param findings: validation errors of the entry.
    """

    name: str
    label: str
    kind: FieldKind
    info: schema.FieldInfo
    entry: str = ''
    choices: tuple[str, ...] = ()
    rows: tuple[tuple['Field', ...], ...] = ()
    findings: tuple[document.Finding, ...] = ()

    @property
    def limits(self) -> str:
        """Range and unit as text, such as ``>= 0 s``."""
        unit = f' {self.info.unit}' if self.info.unit else ''
        low = self.info.minimum
        high = self.info.maximum
        parts = [
            '' if low is None else f'>= {low:g}{unit}',
            '' if high is None else f'<= {high:g}{unit}',
        ]
        return ', '.join(filter(None, parts)) or unit.strip()


@attrs.frozen(kw_only=True)
class Form:
    """Fields of one object of the document.

    :param fields: fields in the order of the schema.
    :param other_findings: findings that belong to no field of the form.
    """

    fields: tuple[Field, ...]
    other_findings: tuple[document.Finding, ...] = ()


@attrs.define
class _FieldBuilder:
    """Makes fields, and removes the findings that it assigns to them.

    :param fleet: document whose names can be chosen.
    :param findings: findings by field name; what remains belongs to no
        field.
    """

    _fleet: schema.fleet.Fleet
    _findings: dict[str, list[document.Finding]]

    def make_fields(
        self, kind: type, tree: _Entries, prefix: str
    ) -> tuple[Field, ...]:
        """Makes the fields of an object.

        :param kind: generated class.
        :param tree: plain values; missing ones get their default.
        :param prefix: prefix of the field names.
        """
        values = {**schema.to_plain(kind()), **tree}
        return tuple(
            self._make_field(kind, attribute, values, prefix)
            for attribute in attrs.fields(kind)
        )

    def pop_findings(self, name: str) -> tuple[document.Finding, ...]:
        """Removes and returns the findings of a field and its subfields."""
        taken = [
            path
            for path in self._findings
            if path == name or path.startswith(f'{name}.')
        ]
        return tuple(
            finding for path in taken for finding in self._findings.pop(path)
        )

    def _make_field(
        self,
        kind: type,
        attribute: attrs.Attribute,
        values: _Entries,
        prefix: str,
    ) -> Field:
        name = f'{prefix}{attribute.name}'
        field_type = schema.get_field_types(kind)[attribute.name]
        info = schema.get_field_info(attribute)
        plain = values[attribute.name]
        rows = ()
        if is_list_of_objects(field_type):
            rows = self._make_rows(field_type, plain, name)
        return Field(
            name=name,
            label=attribute.name,
            kind=_get_field_kind(field_type, info),
            info=info,
            entry=_format(plain),
            choices=self._list_choices(field_type, info, plain),
            rows=rows,
            findings=self.pop_findings(name),
        )

    def _make_rows(
        self, field_type: typing.Any, plain: list[typing.Any], name: str
    ) -> tuple[tuple[Field, ...], ...]:
        element_kind = typing.get_args(field_type)[0]
        trees = [*plain, *({} for _ in range(_BLANK_ROWS))]
        return tuple(
            self.make_fields(element_kind, tree, f'{name}.{index}.')
            for index, tree in enumerate(trees)
        )

    def _list_choices(
        self, field_type: typing.Any, info: schema.FieldInfo, plain: typing.Any
    ) -> tuple[str, ...]:
        if isinstance(field_type, type) and issubclass(field_type, enum.Enum):
            return tuple(member.value for member in field_type)
        if not info.references:
            return ()
        members = getattr(self._fleet, info.references)
        names = [member.name for member in members]
        # A reference to a removed member stays visible, so that it is not
        # changed unnoticed.
        first = [] if plain in names else [_format(plain)]
        if not info.required:
            first.append('')
        return tuple(dict.fromkeys((*first, *names)))


def _get_field_kind(
    field_type: typing.Any, info: schema.FieldInfo
) -> FieldKind:
    if is_list_of_objects(field_type):
        return FieldKind.ROWS
    if typing.get_origin(field_type) is tuple:
        return FieldKind.LINES
    if field_type is bool:
        return FieldKind.FLAG
    if info.references or issubclass(field_type, enum.Enum):
        return FieldKind.CHOICE
    if field_type in {int, float}:
        return FieldKind.NUMBER
    return FieldKind.TEXT


def is_list_of_objects(field_type: typing.Any) -> bool:
    """Returns whether a field is a list of objects of the schema."""
    if typing.get_origin(field_type) is not tuple:
        return False
    return attrs.has(typing.get_args(field_type)[0])


def list_sections() -> tuple[str, ...]:
    """Returns the names of the document's lists of objects.

    >>> list_sections()[:2]
    ('domains', 'ranks')
    """
    types = schema.get_field_types(schema.fleet.Fleet)
    return tuple(
        name for name, kind in types.items() if is_list_of_objects(kind)
    )


def _format(plain: typing.Any) -> str:
    if isinstance(plain, bool):
        return 'on' if plain else ''
    if isinstance(plain, list):
        return '\n'.join(map(_format, plain))
    if isinstance(plain, float):
        return f'{plain:g}' if float(f'{plain:g}') == plain else repr(plain)
    return plain if isinstance(plain, str) else str(plain)


def make_form(
    kind: type,
    tree: _Entries,
    fleet: schema.fleet.Fleet,
    findings: collections.abc.Iterable[document.Finding] = (),
    path: str = '',
) -> Form:
    """Makes the form of an object.

    :param kind: generated class, such as ``schema.fleet.Engine``.
    :param tree: plain values of the object.
    :param fleet: document whose names can be chosen.
    :param findings: findings of the whole document.
    :param path: path of the object, such as ``engines[2]``.
    """
    by_name: dict[str, list[document.Finding]] = {}
    others = []
    for finding in findings:
        if finding.path.startswith(f'{path}.'):
            rest = finding.path.removeprefix(f'{path}.')
            name = re.sub(r'\[(\d+)\]', r'.\1', rest)
            by_name.setdefault(name, []).append(finding)
        else:
            others.append(finding)
    builder = _FieldBuilder(fleet, by_name)
    fields = builder.make_fields(kind, tree, '')
    for unmatched in by_name.values():
        others.extend(unmatched)
    return Form(fields=fields, other_findings=tuple(others))


def parse_entries(
    kind: type, entries: _Entries, prefix: str = ''
) -> dict[str, typing.Any]:
    """Converts the entries of a form to a tree of plain values.

    An entry that is not a number stays a text, which the document's
    validation reports. An empty entry is omitted, so that the field gets its
    default or is reported as missing.

    :param kind: generated class.
    :param entries: entries by name.
    :param prefix: prefix of the entries' names.

    >>> parse_entries(schema.fleet.CallPattern, {'path': ' /orders '})
    {'path': '/orders'}
    """
    tree: dict[str, typing.Any] = {}
    types = schema.get_field_types(kind)
    for attribute in attrs.fields(kind):
        name = attribute.name
        field_type = types[name]
        full_name = f'{prefix}{name}'
        entry = str(entries.get(full_name, '')).strip()
        field_kind = _get_field_kind(
            field_type, schema.get_field_info(attribute)
        )
        if field_kind is FieldKind.ROWS:
            element_kind = typing.get_args(field_type)[0]
            tree[name] = _parse_rows(element_kind, entries, full_name)
        elif entry or field_kind in _KINDS_WITH_EMPTY_VALUE:
            tree[name] = _PARSERS[field_kind](entry)
    return tree


def _parse_number(entry: str) -> object:
    return orjson.loads(entry) if _NUMBER.fullmatch(entry) else entry


_KINDS_WITH_EMPTY_VALUE = frozenset((FieldKind.FLAG, FieldKind.LINES))
_PARSERS: dict[FieldKind, typing.Callable[[str], object]] = {
    FieldKind.TEXT: str,
    FieldKind.CHOICE: str,
    FieldKind.NUMBER: _parse_number,
    FieldKind.FLAG: bool,
    FieldKind.LINES: str.split,
}


def _parse_rows(
    kind: type, entries: _Entries, name: str
) -> list[dict[str, typing.Any]]:
    """Converts the rows of a list; omits rows without any required text."""
    pattern = re.compile(rf'{re.escape(name)}\.(\d+)\..+', re.ASCII)
    matches = filter(None, (pattern.fullmatch(key) for key in entries))
    indexes = sorted({int(match.group(1)) for match in matches})
    rows = (
        parse_entries(kind, entries, f'{name}.{index}.') for index in indexes
    )
    required = [
        attribute.name
        for attribute in attrs.fields(kind)
        if schema.get_field_info(attribute).required
        and not schema.get_field_info(attribute).references
    ]
    return [row for row in rows if any(row.get(key) for key in required)]
