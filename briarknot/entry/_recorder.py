"""Records a request for the journal while it runs."""

import time

import attrs
import prometheus_client

from briarknot import outcomes, schema

_REQUESTS = prometheus_client.Counter(
    'briarknot_requests',
    'Requests by kind, rank, outcome, and cause.',
    ('kind', 'rank', 'outcome', 'cause'),
)
_FIRST_TOKEN = prometheus_client.Histogram(
    'briarknot_first_token_seconds',
    'Time to the first token.',
    ('rank',),
)
_QUEUE = prometheus_client.Histogram(
    'briarknot_queue_seconds', 'Time in the queue.', ('rank',)
)
_TOKENS = prometheus_client.Counter(
    'briarknot_output_tokens', 'Tokens delivered to callers.', ('rank',)
)
_ATTEMPTS = prometheus_client.Counter(
    'briarknot_attempts', 'Attempts at endpoints by result.', ('result',)
)


@attrs.define(eq=False)
class RequestRecorder:
    """Collects the journal record and the metrics of one request.

    :param record: the record so far.
    :param rank: rank of the request, once known.
    """

    record: schema.records.RequestRecord
    rank: schema.fleet.Rank | None = None
    _start: float = attrs.field(factory=time.monotonic, init=False)

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.record.request_id

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request was received."""
        return time.monotonic() - self._start

    def set_fields(self, **changes: object) -> None:
        """Sets fields of the record."""
        self.record = attrs.evolve(self.record, **changes)

    def add_attempt(
        self, attempt: schema.records.Attempt, outcome: str
    ) -> None:
        """Adds an attempt that has ended.

        :param attempt: the attempt, with its start.
        :param outcome: how it ended.
        """
        _ATTEMPTS.labels(outcome.partition(':')[0]).inc()
        ended = attrs.evolve(attempt, end_s=self.elapsed_s, outcome=outcome)
        self.set_fields(attempts=(*self.record.attempts, ended))

    def record_first_token(self) -> None:
        """Records the time of the first token, once."""
        if not self.record.first_token_s:
            self.set_fields(first_token_s=self.elapsed_s)

    def record_completion(self, output_tokens: int) -> None:
        """Records that the complete answer was delivered."""
        self.set_fields(
            outcome=outcomes.Outcome.COMPLETED.value,
            output_tokens=output_tokens,
        )

    def record_refusal(self, refusal: outcomes.Refusal) -> None:
        """Records a refusal or failure."""
        self.set_fields(
            outcome=refusal.outcome.value,
            cause=refusal.cause.value,
            detail=refusal.reason,
        )

    def close(self) -> schema.records.RequestRecord:
        """Completes the record, updates the metrics, and returns the record."""
        self.set_fields(total_s=self.elapsed_s)
        if self.rank is not None:
            self.set_fields(late=self._is_late(self.rank))
            self._observe(self.rank)
        record = self.record
        _REQUESTS.labels(
            record.kind, record.rank, record.outcome, record.cause
        ).inc()
        return record

    def _is_late(self, rank: schema.fleet.Rank) -> bool:
        record = self.record
        first_s = record.first_token_s or record.total_s
        if first_s > rank.first_token_s:
            return True
        output_s = record.total_s - first_s
        return output_s > rank.token_interval_s * max(record.output_tokens, 1)

    def _observe(self, rank: schema.fleet.Rank) -> None:
        _QUEUE.labels(rank.name).observe(self.record.queued_s)
        if self.record.first_token_s:
            _FIRST_TOKEN.labels(rank.name).observe(self.record.first_token_s)
        _TOKENS.labels(rank.name).inc(self.record.output_tokens)


def make_recorder(
    request_id: str, node: schema.settings.Node, kind: str
) -> RequestRecorder:
    """Makes the recorder of a request that was just received.

    :param request_id: id of the request.
    :param node: identity of the entry process.
    :param kind: ``completion`` or ``service``.
    """
    return RequestRecorder(
        schema.records.RequestRecord(
            request_id=request_id,
            host=node.host,
            domain=node.domain,
            received_s=time.time(),
            kind=kind,
        )
    )
