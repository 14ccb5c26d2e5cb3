"""Writes generated classes as text."""

import typing

import orjson

from briarknot import schema


def write_text(value: typing.Any) -> str:
    """Writes a value as indented JSON, one field a line.

    :param value: instance of a generated class.
    :returns: text that :func:`briarknot.document.read_text` reads.

    >>> print(write_text(schema.fleet.CallPattern(path='/orders')).strip())
    {
      "method": "POST",
      "path": "/orders"
    }
    """
    plain = schema.to_plain(value)
    encoded = orjson.dumps(
        plain, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    )
    return encoded.decode()
