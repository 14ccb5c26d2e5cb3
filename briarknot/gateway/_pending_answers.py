"""Answers of other processes that requests wait for."""

import asyncio
import random
import typing

import attrs

_NUMBER_BITS = 48


@attrs.define(eq=False)
class PendingAnswers:
    """Awaited answers by number; late ones and those of others are dropped."""

    # Answers to a process that ran before at this address have other numbers.
    _number: int = attrs.field(
        factory=lambda: random.SystemRandom().getrandbits(_NUMBER_BITS)
    )
    _futures: dict[int, asyncio.Future] = attrs.field(factory=dict)

    def open(self) -> int:
        """Returns the number of a message that will be answered."""
        self._number += 1
        self._futures[self._number] = asyncio.get_running_loop().create_future()
        return self._number

    def deliver(self, number: int, answer: typing.Any) -> bool:
        """Delivers an answer.

        :param number: number of the message that it answers.
        :param answer: the answer.
        :returns: whether it is still awaited.
        """
        future = self._futures.get(number)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    async def wait(self, number: int, timeout_s: float) -> typing.Any:
        """Waits for an answer.

        :param number: number of the message.
        :param timeout_s: longest wait in seconds.
        :returns: the answer; None where none arrives in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._futures[number]
        except TimeoutError:
            return None
        finally:
            del self._futures[number]
