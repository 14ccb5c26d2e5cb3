"""Log of the runs of requests, on which tests check invariants."""

import collections
import enum
import time

import attrs
import xxhash


class RunEnd(enum.StrEnum):
    """How a run ended."""

    #: It has not ended.
    RUNNING = 'running'
    #: The whole answer was sent.
    COMPLETED = 'completed'
    #: ``POST /v1/cancel`` ended it.
    CANCELLED = 'cancelled'
    #: A change of role or model, or a withdrawal, aborted it.
    CUT = 'cut'
    #: A change of role or model, or a withdrawal, refused it before it ran.
    REFUSED = 'refused'
    #: The fault ``break_at_token`` ended it.
    BROKEN = 'broken'
    #: The client disconnected.
    DISCONNECTED = 'disconnected'


@attrs.define(eq=False)
class Run:
    """One run of a request.

    :param kind: ``completion`` or ``prefill``.
    :param start: offset of the first token.
    """

    kind: str
    start: int
    tokens: int = 0
    end: RunEnd = RunEnd.RUNNING
    started_at_s: float = attrs.field(factory=time.monotonic)
    _hash: xxhash.xxh64 = attrs.field(factory=xxhash.xxh64, init=False)

    @property
    def checksum(self) -> str:
        """Checksum of the text that this run sent."""
        return self._hash.hexdigest()

    def add_unit(self, unit: str) -> None:
        """Records a text unit that is sent."""
        self.tokens += 1
        self._hash.update(unit.encode())


@attrs.frozen
class RunView:
    """One run as ``GET /runs`` shows it."""

    kind: str
    start: int
    tokens: int
    checksum: str
    end: RunEnd


@attrs.frozen
class RequestView:
    """Runs of one request as ``GET /runs`` shows them.

    :param count: runs of kind ``completion``.
    :param prefills: runs of kind ``prefill``.
    :param tokens: tokens generated in all runs.
    :param checksum: checksum of the text of the last run.
    :param runs: each run, oldest first.
    """

    count: int
    prefills: int
    tokens: int
    checksum: str
    runs: tuple[RunView, ...]


@attrs.define(eq=False)
class RunLog:
    """Runs by request id.

    :param capacity: number of most recent requests that are kept.
    """

    _capacity: int
    _runs: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def start(self, request_id: str, kind: str, offset: int) -> Run:
        """Records the start of a run."""
        run = Run(kind, offset)
        self._runs.setdefault(request_id, []).append(run)
        if len(self._runs) > self._capacity:
            self._runs.popitem(last=False)
        return run

    def describe(self, request_id: str = '') -> dict[str, RequestView]:
        """Returns the runs of one request, or of all for an empty id."""
        names = [request_id] if request_id else list(self._runs)
        return {
            name: _view(self._runs[name])
            for name in names
            if name in self._runs
        }


def _view(runs: list[Run]) -> RequestView:
    prefills = sum(run.kind == 'prefill' for run in runs)
    return RequestView(
        count=len(runs) - prefills,
        prefills=prefills,
        tokens=sum(run.tokens for run in runs),
        checksum=runs[-1].checksum,
        runs=tuple(
            RunView(run.kind, run.start, run.tokens, run.checksum, run.end)
            for run in runs
        ),
    )
