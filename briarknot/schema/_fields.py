"""Field metadata of generated classes."""

import typing

import attrs

_METADATA_KEY = 'briarknot'


@attrs.frozen(kw_only=True)
class FieldInfo:
    """Schema information of a field.

    :param doc: meaning of the field.
    :param unit: unit of a number; empty where it has none.
    :param minimum: lowest allowed number, inclusive.
    :param maximum: highest allowed number, inclusive.
    :param required: whether the field must be given.
    :param secret: whether the value must never be shown or logged.
    :param hidden: whether an invalid value must not be shown, because it may
        be a secret that was entered by mistake.
    :param pattern: regular expression that a text must match as a whole.
    :param references: list of the document whose names are allowed.
    :param registry: registry whose names are allowed.
    :param deferred: whether a received list is decoded only when it is read.
    """

    doc: str
    unit: str = ''
    minimum: float | None = None
    maximum: float | None = None
    required: bool = False
    secret: bool = False
    hidden: bool = False
    pattern: str = ''
    references: str = ''
    registry: str = ''
    deferred: bool = False


def make_field(*, doc: str, default: typing.Any, **info: typing.Any):
    """Makes an attrs field that carries its schema information.

    :param doc: meaning of the field.
    :param default: default value, or an ``attrs.Factory``.
    :param info: further parameters of :class:`FieldInfo`.
    """
    field_info = FieldInfo(doc=doc, **info)
    return attrs.field(
        default=default,
        repr=not field_info.secret,
        metadata={_METADATA_KEY: field_info},
    )


def get_field_info(attribute: attrs.Attribute) -> FieldInfo:
    """Returns the schema information of a generated field."""
    return attribute.metadata[_METADATA_KEY]
