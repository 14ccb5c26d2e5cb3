"""Work of a request: prompt blocks, expected output, engine seconds."""

import typing

import attrs
import xxhash

from briarknot import schema

#: Tokens of one KV-cache block.
BLOCK_TOKENS = 2000
#: Weight of the prior, in requests; a few requests outweigh it.
_PRIOR_REQUESTS = 2.0
#: Expected output before anything is learned, in tokens.
_PRIOR_TOKENS = 128.0
#: Share by which each observation fades the older ones.
_FADE = 0.05
#: Learned pairs of account and kind that are kept.
_MAX_LEARNED = 40000


def hash_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the chained hashes of a prompt's complete blocks.

    A token is one word between white space. A trailing incomplete block has
    no hash, because engines cache complete blocks only.

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
    :param kind: kind of request, as the estimator learns it.
    :param prompt_tokens: tokens of the prompt.
    :param expected_tokens: tokens that the answer is expected to have.
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
        """Engine seconds in all, at the model's prior speeds."""
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
        """Takes the models' prior speeds from a document."""
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
        expected = self._expect(account, kind)
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
        """Takes the output length of a completed request.

        :param account: account of the caller.
        :param kind: kind of request, as given to :meth:`estimate`.
        :param tokens: tokens of the complete output.
        """
        for pair in ((account, kind), (_ALL_ACCOUNTS, kind)):
            learned = self._learned.pop(pair, _UNKNOWN)
            # The first pair is the least recently used one.
            self._learned[pair] = _Learned(
                weight=learned.weight * (1 - _FADE) + 1,
                tokens=learned.tokens * (1 - _FADE) + tokens,
            )
        if len(self._learned) > _MAX_LEARNED:
            self._learned.pop(next(iter(self._learned)))

    def _expect(self, account: str, kind: str) -> float:
        expected = _PRIOR_TOKENS
        # A new account starts with what others of its kind receive.
        for pair in ((_ALL_ACCOUNTS, kind), (account, kind)):
            learned = self._learned.get(pair, _UNKNOWN)
            total = _PRIOR_REQUESTS * expected + learned.tokens
            expected = total / (_PRIOR_REQUESTS + learned.weight)
        return expected


def make_estimator(
    models: typing.Iterable[schema.fleet.Model] = (),
) -> Estimator:
    """Makes an estimator that has learned nothing yet.

    :param models: models with their prior speeds.

    >>> estimator = make_estimator()
    >>> estimator.estimate('a', 'chat', 'm', (), 8000, 16).expected_tokens
    16.0
    """
    return Estimator(models={model.name: model for model in models})
