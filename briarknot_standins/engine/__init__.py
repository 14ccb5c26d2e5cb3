"""Stand-in for a language-model engine, with its HTTP protocol.

Costs, before division by ``time_compression``:

- prefill: uncached prompt tokens, plus the answer tokens before
  ``resume_from``, divided by ``prefill_tokens_per_s``, one request at a time
  in chunks of one block;
- decode: ``1 / decode_tokens_per_s`` for each token of a stream, multiplied
  by ``prefill_interference`` while a prefill runs on the same engine;
- import of KV cache: ``kv_import_s_per_block`` for each block.
"""

from briarknot_standins.engine._app import make_app
from briarknot_standins.engine._config import EngineConfig, Faults
from briarknot_standins.engine._engine import exit_process
from briarknot_standins.engine._text import (
    BLOCK_TOKENS,
    checksum,
    count_answer_tokens,
    count_tokens,
    expected_text,
    hash_blocks,
)

__all__ = (
    'BLOCK_TOKENS',
    'EngineConfig',
    'Faults',
    'checksum',
    'count_tokens',
    'exit_process',
    'expected_text',
    'hash_blocks',
    'make_app',
    'count_answer_tokens',
)
