"""Messages, settings, and documents as attrs classes, and their encoding.

The classes are generated from ``definitions/*.capnp`` by ``tools/generate.py``.
"""

from briarknot import lazy
from briarknot.schema._codec import decode, encode
from briarknot.schema._deferred import DeferredList, read_list
from briarknot.schema._errors import DecodeError
from briarknot.schema._fields import FieldInfo, get_field_info
from briarknot.schema._plain import from_plain, get_field_types, to_plain

#: Generated modules; a program loads those that it uses.
_GENERATED = (
    'endpoints',
    'fleet',
    'messages',
    'records',
    'serving',
    'settings',
)
__getattr__ = lazy.make_module_getattr(
    __name__, 'briarknot.schema._generated', _GENERATED
)

__all__ = (
    'DecodeError',
    'DeferredList',
    'FieldInfo',
    'decode',
    'encode',
    'endpoints',
    'fleet',
    'from_plain',
    'get_field_info',
    'get_field_types',
    'messages',
    'read_list',
    'records',
    'serving',
    'settings',
    'to_plain',
)
