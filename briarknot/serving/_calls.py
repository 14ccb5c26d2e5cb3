"""A client's request, and what is known of its answer."""

import enum

import attrs

from briarknot import schema, sentinels

Header = tuple[str, str]


@attrs.frozen(kw_only=True)
class Prompt:
    """Prompt of a generation.

    :param parts: parts in order; the last one is the request's own.
    :param tokens: length in tokens.
    :param output_tokens: largest number of tokens to generate.
    """

    parts: tuple[schema.serving.PromptPart, ...]
    tokens: int
    output_tokens: int

    @property
    def shared_key(self) -> str:
        """Identity of the longest part that other requests may share."""
        if len(self.parts) > 1:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ''


@attrs.frozen(kw_only=True)
class Call:
    """A request as a front end received it.

    :param id: identity of the client's attempt.
    :param host: host that the client named, in lower case, without a port.
    :param method: method.
    :param path: path and query as the client sent them.
    :param headers: headers for the worker, without those of a connection and
        those that only the system sets.
    :param body: whole body.
    :param received_s: monotonic time at which it was received.
    :param timeout_s: seconds that the client waits, from ``received_s``.
    :param prompt: prompt, where the request carries one.
    :param last_event: last event that the client has, or an empty text.
    """

    id: str
    host: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_s: float
    timeout_s: float
    prompt: Prompt | None = None
    last_event: str = ''


@attrs.frozen(kw_only=True)
class KvSource:
    """KV cache of a prompt, ready to be fetched.

    :param worker: worker that keeps it.
    :param handle: its name there.
    :param tokens: its length in tokens.
    """

    worker: schema.serving.Worker
    handle: str
    tokens: int


@attrs.frozen(kw_only=True)
class Dispatch:
    """How a request is sent to a worker.

    :param worker: the worker.
    :param remaining_s: seconds until the answer must be complete.
    :param rank: rank of the route.
    :param source: KV cache to fetch first.
    :param last_event: event after which a stream goes on.
    """

    worker: schema.serving.Worker
    remaining_s: float
    rank: int
    source: KvSource | None = None
    last_event: str = ''


@attrs.frozen(kw_only=True)
class Load:
    """What a worker says of its load in an answer.

    :param running: requests that run.
    :param waiting: requests that wait.
    :param slots: requests that can run at once.
    """

    running: int
    waiting: int
    slots: int


class FailureKind(enum.StrEnum):
    """How an attempt ended."""

    #: No byte of the request reached the worker.
    NOT_SENT = 'not sent'
    #: The worker states that it did not run the request.
    REJECTED = 'rejected'
    #: Another worker has the address; it did not run the request.
    WRONG_WORKER = 'wrong worker'
    #: The connection ended before the answer did.
    BROKEN = 'broken'
    #: The worker acknowledged no bytes any more; it may have run the request.
    UNREACHABLE = 'unreachable'
    #: The answer belongs to another request, or is none in the protocol.
    FOREIGN = 'foreign answer'
    #: There was no answer within the attempt's time limit.
    TIMED_OUT = 'timed out'


#: Ends after which the worker has not run the request and never will.
NOT_RUN_KINDS = frozenset(
    (FailureKind.NOT_SENT, FailureKind.REJECTED, FailureKind.WRONG_WORKER)
)


@attrs.frozen(kw_only=True)
class Failed(sentinels.Sentinel):
    """Sentinel for an attempt without an answer from the worker.

    :param kind: how it ended.
    :param reason: details for the log.
    :param load: what the worker said of its load.
    """

    kind: FailureKind
    reason: str
    load: Load | None = None

    @property
    def not_run(self) -> bool:
        """Whether the worker has not run the request and never will."""
        return self.kind in NOT_RUN_KINDS


@attrs.frozen(kw_only=True)
class Answer:
    """Start of a worker's answer, or the whole of it.

    :param status: HTTP status.
    :param headers: headers for the client.
    :param body: whole body; empty where the answer is a stream.
    :param load: what the worker said of its load.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = b''
    load: Load | None = None
