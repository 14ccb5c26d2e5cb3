"""Estimates the work of a request: blocks, output, engine seconds."""

import typing

import attrs
import xxhash

from briarknot import schema

#: Tokens of one KV-cache block.
BLOCK_TOKENS = 2000
#: Weight of the prior, in requests; low, so that a few observations outweigh
#: it.
_PRIOR_REQUESTS = 2.0
#: Expected output before any observation, in tokens.
_PRIOR_TOKENS = 128.0
#: Share by which each observation reduces the weight of the older ones.
_DECAY = 0.05
#: Pairs of account and kind that are kept; the least recently used is dropped.
_MAX_LEARNED = 40000


def hash_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the chained hashes of a prompt's complete blocks.

    A token is one word between white space. A trailing incomplete block has no
    hash, because engines cache complete blocks only.

    :param prompt: the prompt's text.
    :returns: one hash in hexadecimal for each complete block.

    >>> first = hash_blocks('word ' * 2000)
    >>> len(first), hash_blocks('word ' * 4100)[:1] == first
    (1, True)
    """
    words = prompt.split()
    hashes: list[str] = []
    previous = ''
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        piece = ' '.join(words[end - BLOCK_TOKENS : end])
        # JSON escapes can carry lone surrogates into a prompt.
        chained = f'{previous}{piece}'.encode(errors='surrogatepass')
        previous = xxhash.xxh64_hexdigest(chained)
        hashes.append(previous)
    return tuple(hashes)


@attrs.frozen(kw_only=True)
class WorkEstimate:
    """Expected work of one request.

    :param model: name of the model.
    :param account: account of the caller.
    :param kind: kind of request, for which the estimator learns.
    :param prompt_tokens: tokens of the prompt.
    :param expected_tokens: expected output tokens.
    :param blocks: chained hashes of the prompt's complete blocks.
    :param prefill_s: engine seconds of prefill at the model's prior speed.
    :param decode_s: engine seconds of decode at the model's prior speed.
    """

    model: str
    account: str = ''
    kind: str = ''
    prompt_tokens: int = 0
    expected_tokens: float = 0
    blocks: tuple[str, ...] = ()
    prefill_s: float = 0
    decode_s: float = 0

    @property
    def work_s(self) -> float:
        """Total engine seconds at the model's prior speeds."""
        return self.prefill_s + self.decode_s

    @property
    def kv_blocks(self) -> int:
        """KV-cache blocks that the request occupies at its end."""
        tokens = self.prompt_tokens + self.expected_tokens
        return int(tokens // BLOCK_TOKENS) + 1


@attrs.frozen
class _Learned:
    weight: float = 0
    tokens: float = 0


_ALL_ACCOUNTS = ''
_UNKNOWN = _Learned()


@attrs.define
class Estimator:
    """Learns the output length by account and kind."""

    _models: dict[str, schema.fleet.Model] = attrs.field(factory=dict)
    _learned: dict[tuple[str, str], _Learned] = attrs.field(factory=dict)

    def apply_document(self, document: schema.fleet.Fleet) -> None:
        """Applies the models' prior speeds in a document."""
        self._models = {model.name: model for model in document.models}

    def estimate(
        self,
        account: str,
        kind: str,
        model: str,
        prompt_blocks: tuple[str, ...],
        prompt_tokens: int,
        max_tokens: int,
    ) -> WorkEstimate:
        """Estimates the work of a request.

        :param account: account of the caller.
        :param kind: kind of request, such as its path.
        :param model: name of the model.
        :param prompt_blocks: result of :func:`hash_blocks`.
        :param prompt_tokens: tokens of the prompt.
        :param max_tokens: the caller's bound of the output; 0 means none.
        """
        expected = self._estimate_tokens(account, kind)
        if max_tokens > 0:
            expected = min(expected, float(max_tokens))
        prior = self._models.get(model, schema.fleet.Model(name=model))
        decode_speed = prior.decode_tokens_per_s * prior.max_streams
        return WorkEstimate(
            model=model,
            account=account,
            kind=kind,
            prompt_tokens=prompt_tokens,
            expected_tokens=expected,
            blocks=prompt_blocks,
            prefill_s=prompt_tokens / prior.prefill_tokens_per_s,
            decode_s=expected / decode_speed,
        )

    def learn(self, account: str, kind: str, tokens: int) -> None:
        """Records the output length of a completed request.

        :param account: account of the caller.
        :param kind: kind of request, as given to :meth:`estimate`.
        :param tokens: tokens of the complete output.
        """
        for pair in ((account, kind), (_ALL_ACCOUNTS, kind)):
            learned = self._learned.pop(pair, _UNKNOWN)
            # Keeps the pairs in order of use, the least recent first.
            self._learned[pair] = _Learned(
                weight=learned.weight * (1 - _DECAY) + 1,
                tokens=learned.tokens * (1 - _DECAY) + tokens,
            )
        if len(self._learned) > _MAX_LEARNED:
            self._learned.pop(next(iter(self._learned)))

    def _estimate_tokens(self, account: str, kind: str) -> float:
        expected = _PRIOR_TOKENS
        # The prior of an account is the mean of all accounts for the kind.
        for pair in ((_ALL_ACCOUNTS, kind), (account, kind)):
            learned = self._learned.get(pair, _UNKNOWN)
            total = _PRIOR_REQUESTS * expected + learned.tokens
            expected = total / (_PRIOR_REQUESTS + learned.weight)
        return expected


def make_estimator(
    models: typing.Iterable[schema.fleet.Model] = (),
) -> Estimator:
    """Makes an estimator without observations.

    :param models: models with their prior speeds.

    >>> estimator = make_estimator()
    >>> estimator.estimate('a', 'chat', 'm', (), 8000, 16).expected_tokens
    16.0
    """
    return Estimator(models={model.name: model for model in models})
