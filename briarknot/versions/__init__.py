"""Versions of software that may go on with a stream, decided without network."""

from briarknot.versions._software_versions import (
    MAX_STREAM_S,
    SoftwareVersions,
    Uncertain,
    make_software_versions,
)
from briarknot.versions._stream_origins import (
    StreamOrigins,
    UnknownOrigin,
    choose_keepers,
    choose_sole,
    choose_version,
    count_confirmations,
    make_stream_origins,
)

__all__ = (
    'MAX_STREAM_S',
    'SoftwareVersions',
    'StreamOrigins',
    'Uncertain',
    'UnknownOrigin',
    'choose_keepers',
    'choose_sole',
    'choose_version',
    'count_confirmations',
    'make_software_versions',
    'make_stream_origins',
)
