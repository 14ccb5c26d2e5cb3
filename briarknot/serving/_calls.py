"""Requests of clients and the answers and failures of workers."""

import enum

import attrs

from briarknot import schema, sentinels
from briarknot.serving import _accounts, _backpressure

Header = tuple[str, str]
Backpressure = _backpressure.Backpressure


@attrs.frozen(kw_only=True)
class Prompt:
    """Prompt of a generation.

    :param parts: parts in order; the last one is specific to the request.
    :param tokens: length in tokens.
    :param output_tokens: largest number of tokens to generate.
    """

    parts: tuple[schema.serving.PromptPart, ...]
    tokens: int
    output_tokens: int

    @property
    def shared_key(self) -> str:
        """Id of the last shared part, which identifies the shared prefix."""
        if len(self.parts) > 1:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ''

    def list_shared(self) -> tuple[str, ...]:
        """Lists the ids of the parts that other requests may share."""
        return tuple(part.id for part in self.parts[:-1])


@attrs.frozen(kw_only=True)
class Call:
    """A request as a front end received it.

    :param id: id of the client's attempt.
    :param host: host that the client requested, in lower case, without a port.
    :param method: method.
    :param path: path and query as the client sent them.
    :param headers: headers for the worker, without hop-by-hop headers, those
        that only the system sets, and ``identity_headers``.
    :param body: complete body.
    :param received_s: monotonic time at which it was received.
    :param timeout_s: seconds that the client waits, from ``received_s``.
    :param prompt: prompt; None for a request without one.
    :param last_event: id of the last event that the client has; empty if none.
    :param resumes: id of the attempt that brought the first event of a stream
        that the client takes up again; empty if none.
    :param key_hash: hash of the key of its client account; None where it has no
        key, empty where the key can't be read.
    :param identity_headers: headers by which the client says who it is, with
        their positions among all headers; they may hold a key.
    :param directory: says at each send whether workers get them; None if never.
    :param account: name of the client account that holds the key; empty if none.
    """

    id: str
    host: str
    method: str
    path: str
    headers: tuple[Header, ...] = attrs.field(repr=False)
    body: bytes
    received_s: float
    timeout_s: float
    prompt: Prompt | None = None
    last_event: str = ''
    resumes: str = ''
    key_hash: bytes | None = attrs.field(default=None, repr=False)
    identity_headers: tuple[tuple[int, Header], ...] = attrs.field(
        default=(), repr=False
    )
    directory: _accounts.AccountDirectory | None = attrs.field(
        default=None, repr=False
    )
    account: str = ''

    @property
    def continues_stream(self) -> bool:
        """Whether the client has a part of the stream already."""
        return bool(self.last_event or self.resumes)


@attrs.frozen(kw_only=True)
class Load:
    """Load that a worker reports in an answer.

    :param running: running requests.
    :param waiting: queued requests.
    :param slots: requests that can run at the same time.
    :param work_time_ratio: how long work takes at the worker at this moment, in
        relation to the usual time; workers share their hosts with others.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float = 1


@attrs.frozen(kw_only=True)
class KvSource:
    """KV cache of a prompt that can be fetched from a worker.

    :param worker: worker that holds it.
    :param handle: id of the KV cache at the worker.
    :param tokens: length in tokens.
    :param load: load that the worker reported with it.
    :param backpressure: what the worker stated about the requests it wants.
    """

    worker: schema.serving.Worker
    handle: str
    tokens: int
    load: Load | None = None
    backpressure: Backpressure | None = None


@attrs.frozen(kw_only=True)
class Dispatch:
    """Parameters of one attempt at a worker.

    :param worker: worker that the request is sent to.
    :param remaining_s: seconds until the answer must be complete.
    :param rank: rank of the route.
    :param source: KV cache that the worker fetches first.
    :param last_event: id of the event after which the stream resumes.
    :param cache_holder: worker from whose cache this one fetches the parts of
        the prompt that it lacks; None for no fetch.
    """

    worker: schema.serving.Worker
    remaining_s: float
    rank: int
    source: KvSource | None = None
    last_event: str = ''
    cache_holder: schema.serving.Worker | None = None


class FailureKind(enum.StrEnum):
    """How an attempt failed."""

    #: No byte of the request reached the worker.
    NOT_SENT = 'not sent'
    #: The worker states that it did not run the request.
    REJECTED = 'rejected'
    #: Another worker listens at the address; it did not run the request.
    WRONG_WORKER = 'wrong worker'
    #: The connection closed before the answer began; the request may have run.
    DISCONNECTED = 'disconnected'
    #: The connection closed before the answer was complete.
    BROKEN = 'broken'
    #: The worker stopped acknowledging bytes; it may have run the request.
    UNREACHABLE = 'unreachable'
    #: The answer belongs to another request or violates the protocol.
    FOREIGN = 'foreign answer'
    #: There was no answer within the time limit of the attempt.
    TIMED_OUT = 'timed out'
    #: Too few other processes know the origin of the stream, so that it was not
    #: forwarded; the worker is not to blame.
    UNCONFIRMED = 'origin not confirmed'


#: Failures after which the worker has not run the request and never will.
NOT_RUN_KINDS = frozenset(
    (FailureKind.NOT_SENT, FailureKind.REJECTED, FailureKind.WRONG_WORKER)
)


@attrs.frozen(kw_only=True)
class Failed(sentinels.Sentinel):
    """Sentinel for an attempt without an answer from the worker.

    :param kind: how the attempt failed.
    :param reason: details for the log.
    :param load: load that the worker reported.
    :param backpressure: what the worker stated about the requests it wants;
        None where it answered nothing that can be read.
    """

    kind: FailureKind
    reason: str
    load: Load | None = None
    backpressure: Backpressure | None = None

    @property
    def not_run(self) -> bool:
        """Whether the worker has not run the request and never will."""
        return self.kind in NOT_RUN_KINDS


@attrs.frozen(kw_only=True)
class Answer:
    """Start of a worker's answer, or the complete answer.

    :param status: HTTP status.
    :param headers: headers for the client.
    :param body: complete body; empty if the answer is a stream.
    :param load: load that the worker reported.
    :param backpressure: what the worker stated about the requests it wants.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = b''
    load: Load | None = None
    backpressure: Backpressure | None = None
