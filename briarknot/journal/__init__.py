"""Journal of requests: writes, reads and explains their records."""

from briarknot.journal._ids import (
    BadRequestId,
    RequestId,
    make_request_id,
    parse_request_id,
)
from briarknot.journal._reader import (
    SearchResult,
    find_records,
    read_hops,
    read_losses,
    read_record,
)
from briarknot.journal._record_explanation import explain
from briarknot.journal._writer import Journal, make_journal

__all__ = (
    'BadRequestId',
    'Journal',
    'RequestId',
    'SearchResult',
    'explain',
    'find_records',
    'make_journal',
    'make_request_id',
    'parse_request_id',
    'read_hops',
    'read_losses',
    'read_record',
)
