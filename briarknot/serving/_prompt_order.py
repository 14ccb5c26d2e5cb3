"""Orders in which engines admit the prompts that wait for them."""

import typing

import attrs

from briarknot import registry, schema

#: An engine admits prompts by ten levels; a rank has three of them, so that its
#: prompts can be told apart without going before those of an earlier rank.
_LEVELS_PER_RANK = 3
_LAST_LEVEL = 9


@attrs.frozen
class Levels:
    """Levels of a prompt at an engine, which admits lower ones first.

    :param on_time: its level where it can be on time.
    :param late: its level where it can't.
    :param are_reported: whether processes report the work by level. Otherwise
        all work at an engine counts as work ahead of the prompt.
    :param share_delay: levels by which it comes later at an engine with a queue, as
        its account is above its share.
    """

    on_time: int = 0
    late: int = 0
    are_reported: bool = False
    share_delay: int = 0

    def choose(self, *, is_late: bool, has_queue: bool) -> int:
        """Returns the level of the prompt at an engine.

        :param is_late: whether it can't be on time there.
        :param has_queue: whether other prompts wait there.
        """
        level = self.late if is_late else self.on_time
        return level if has_queue else level - self.share_delay


class PromptOrder(typing.Protocol):
    """Chooses the levels of a prompt.

    :param rank: rank of its route.
    :param is_above_share: whether its account is above its share of the work.
    :param is_resumed: whether its stream may have begun.
    """

    def __call__(
        self, rank: int, *, is_above_share: bool, is_resumed: bool = False
    ) -> Levels: ...


PROMPT_ORDERS: registry.Registry[PromptOrder] = registry.Registry(
    'prompt_order'
)


@PROMPT_ORDERS.register('by_rank')
def order_by_rank(
    rank: int, *, is_above_share: bool, is_resumed: bool = False
) -> Levels:
    """Has engines admit the prompts of a rank in the order of their arrival.

    :param rank: rank of the route.
    :param is_above_share: whether its account is above its share; unused.
    :param is_resumed: whether its stream may have begun; unused.

    >>> order_by_rank(2, is_above_share=True)
    Levels(on_time=6, late=6, are_reported=False, share_delay=0)
    """
    level = get_first_level(rank)
    return Levels(level, level)


@PROMPT_ORDERS.register('on_time_first')
def order_on_time_first(
    rank: int, *, is_above_share: bool, is_resumed: bool = False
) -> Levels:
    """Has engines admit late prompts after the other ones of their rank.

    :param rank: rank of the route.
    :param is_above_share: whether its account is above its share; its prompts come
        one level later, and late ones of it two.
    :param is_resumed: whether its stream may have begun. Its target is that of the
        first event, and its client waits for the next one, so that it has the
        first level of its rank.

    >>> order_on_time_first(2, is_above_share=False)
    Levels(on_time=6, late=7, are_reported=True, share_delay=0)
    >>> order_on_time_first(2, is_above_share=True)
    Levels(on_time=7, late=8, are_reported=True, share_delay=1)
    """
    first = get_first_level(rank)
    if is_resumed:
        return Levels(first, first, are_reported=True)
    on_time = min(_LAST_LEVEL, first + is_above_share)
    late = min(_LAST_LEVEL, on_time + 1)
    return Levels(on_time, late, are_reported=True, share_delay=on_time - first)


def get_first_level(rank: int) -> int:
    """Returns the first level of a rank.

    :param rank: rank of a route.
    """
    return min(_LAST_LEVEL, rank * _LEVELS_PER_RANK)


def count_ahead(work: schema.messages.WorkerWork, level: int) -> int:
    """Returns the work that an engine admits before another prompt, in tokens.

    Work without a level counts as work before it. The work by level may exceed the
    sum where messages of different age are subtracted; work at the level of the
    prompt and at earlier ones counts in any case.

    :param work: work at the engine.
    :param level: level of the prompt.

    >>> work = schema.messages.WorkerWork(tokens=9, level_tokens=(1, 2, 4))
    >>> [count_ahead(work, level) for level in range(4)]
    [3, 5, 9, 9]
    >>> count_ahead(attrs.evolve(work, tokens=5), 1)
    3
    """
    levels = work.level_tokens
    later = levels[level + 1 :]
    if not later:
        return work.tokens
    known = min(work.tokens, sum(levels[: level + 1]))
    return max(known, work.tokens - sum(later))
