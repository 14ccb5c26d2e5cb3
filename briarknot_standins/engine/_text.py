"""Deterministic text of the engine, and hashes of prompt blocks."""

import re

import attrs
import xxhash

#: Tokens in one block of KV cache.
BLOCK_TOKENS = 2000

_SEED_MASK = 0xFFFFFFFF
_INDEX_BYTES = 8
_ANSWER_TOKENS = re.compile(r'(?:^|\s)answer_tokens=(\d+)(?:\s|$)')


@attrs.frozen
class PromptInfo:
    """Values derived from a prompt, computed once for each request.

    :param tokens: number of tokens.
    :param blocks: chained hashes of its full blocks.
    :param seed: seed of its answer.
    """

    tokens: int
    blocks: tuple[str, ...]
    seed: int


def analyze_prompt(prompt: str) -> PromptInfo:
    """Computes the values that the engine derives from a prompt."""
    words = prompt.split()
    return PromptInfo(len(words), _hash_chain(words), make_seed(prompt))


def count_tokens(prompt: str) -> int:
    """Counts the tokens of a prompt: its whitespace-separated words."""
    return len(prompt.split())


def make_seed(prompt: str) -> int:
    """Computes the seed of a prompt's answer."""
    return xxhash.xxh64_intdigest(prompt.encode()) & _SEED_MASK


def make_unit(seed: int, index: int) -> str:
    """Generates one text unit, the text of one token of an answer.

    :param seed: seed of the prompt.
    :param index: position in the answer, from 0.
    :returns: a word with a trailing space.
    """
    digits = xxhash.xxh32_hexdigest(
        index.to_bytes(_INDEX_BYTES, 'big'), seed=seed
    )
    return f'{digits} '


def expected_text(prompt: str, count: int, start: int = 0) -> str:
    """Returns the text with which any engine answers a prompt.

    :param prompt: the prompt.
    :param count: number of tokens of the answer, as the request's
        ``max_tokens``.
    :param start: number of leading tokens to omit.

    >>> whole = expected_text('a prompt', 4)
    >>> whole == expected_text('a prompt', 2) + expected_text('a prompt', 4, 2)
    True
    """
    seed = make_seed(prompt)
    return ''.join(make_unit(seed, index) for index in range(start, count))


def checksum(text: str) -> str:
    """Returns the checksum of an answer, as ``GET /runs`` reports it."""
    return xxhash.xxh64_hexdigest(text.encode())


def count_answer_tokens(prompt: str, max_tokens: int) -> int:
    """Returns the length in tokens of a prompt's answer.

    :param prompt: prompt; a word ``answer_tokens=N`` limits its answer to N.
    :param max_tokens: maximum length that the request allows.

    >>> count_answer_tokens('compare answer_tokens=7', 100)
    7
    """
    found = _ANSWER_TOKENS.search(prompt)
    if found is None:
        return max_tokens
    return min(max_tokens, int(found.group(1)))


def hash_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the chained hashes of a prompt's full blocks.

    The hash of a block is xxhash64 over the hexadecimal hash of the block
    before it (empty for the first) followed by its words joined by spaces.

    :param prompt: the prompt.
    :returns: one hexadecimal hash for each full block of 2,000 tokens.
    """
    return _hash_chain(prompt.split())


def _hash_chain(words: list[str]) -> tuple[str, ...]:
    hashes = []
    previous = ''
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        block = ' '.join(words[end - BLOCK_TOKENS : end])
        previous = xxhash.xxh64_hexdigest(f'{previous}{block}'.encode())
        hashes.append(previous)
    return tuple(hashes)
