"""Limits of what a server may send in place of an answer, without network.

A faulty server may send bytes without end in any part of an answer. The HTTP parser
bounds lines and the number of headers, but neither informational responses, nor bytes
that frame a body, nor further answers; what it makes of them takes up to a hundred times
their size in memory.
"""

import attrs

#: Longest head of an answer, with all informational responses before it.
_MAX_HEAD_BYTES = 256 << 10
#: A sound server sends one or two informational responses before an answer.
_MAX_INFORMATIONAL = 16
#: Bytes that frame a body: sizes and extensions of chunks, line ends and trailers.
#: A chunk of one byte has five.
_MAX_FRAMING_BYTES = 1 << 20
_MAX_FRAMING_SHARE = 8
#: Framing from which on an answer counts as dense, besides as many bytes as its body.
_DENSE_BYTES = 16 << 10
#: Statuses of informational responses but for 101, which ends HTTP.
_INFORMATIONAL = frozenset(range(100, 200)) - {101}


@attrs.define(eq=False)
class AnswerLimits:
    """What was received of an answer, and whether it is too much.

    :param max_bytes: longest body with its framing; 0 for no limit.
    :param failure: why the answer is not sound; empty as long as it may be.
    """

    max_bytes: int
    failure: str = ''
    _received_bytes: int = 0
    _body_bytes: int = 0
    _informational: int = 0
    _has_head: bool = False

    @property
    def is_dense(self) -> bool:
        """Whether most received bytes frame the body, and cost time to parse."""
        framing = self._received_bytes - self._body_bytes
        return self._has_head and framing > _DENSE_BYTES + self._body_bytes

    def begin(self) -> None:
        """Starts counting, as the next request is sent."""
        self.failure = ''
        self._received_bytes = 0
        self._body_bytes = 0
        self._informational = 0
        self._has_head = False

    def record_received(self, size: int, body_bytes: int) -> None:
        """Records received bytes.

        :param size: their number.
        :param body_bytes: bytes of the body that were parsed before.
        """
        self._received_bytes += size
        self._body_bytes = body_bytes
        framing = self._received_bytes - body_bytes
        if not self._has_head:
            if self._received_bytes > _MAX_HEAD_BYTES:
                self.failure = f'head longer than {_MAX_HEAD_BYTES} bytes'
        elif self.max_bytes and self._received_bytes > self.max_bytes:
            self.failure = f'answer longer than {self.max_bytes} bytes'
        elif framing > _MAX_FRAMING_BYTES + _MAX_FRAMING_SHARE * body_bytes:
            self.failure = f'{framing} bytes frame a body of {body_bytes}'

    def take_message(self, status: int) -> bool:
        """Records a parsed head, and returns whether it is that of the answer.

        :param status: its status.
        :returns: False for an informational response, which says nothing, and for
            what follows the answer.
        """
        if self._has_head:
            self.failure = f'status {status} follows the answer'
            return False
        if status in _INFORMATIONAL:
            self._informational += 1
            if self._informational > _MAX_INFORMATIONAL:
                self.failure = (
                    f'more than {_MAX_INFORMATIONAL} informational responses'
                )
            return False
        self._has_head = True
        self._received_bytes = 0
        return True


def make_answer_limits(max_bytes: int) -> AnswerLimits:
    """Makes the limits of a connection that has received nothing.

    :param max_bytes: longest body with its framing; 0 for no limit.
    """
    return AnswerLimits(max_bytes)
