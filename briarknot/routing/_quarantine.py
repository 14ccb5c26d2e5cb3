"""Quarantine of requests that were in flight when endpoints crashed."""

import hashlib

import attrs

from briarknot import schema, sentinels

#: Crashes after which a fingerprint is refused.
_CRASH_LIMIT = 2
#: Crashes of one endpoint within this time count as one, because several
#: streams and entry processes observe the same crash.
_SAME_CRASH_S = 5.0
#: Attempts that broke up to this long before a crash was detected count as in
#: flight, because their streams may detect it first.
_BROKEN_WINDOW_S = 2.0
_MAX_FINGERPRINTS = 20000
_KEY_BYTES = 64


@attrs.frozen
class Clear:
    """A fingerprint without recorded crashes."""


@attrs.frozen(kw_only=True)
class Suspect:
    """A suspected fingerprint; a domain runs suspects one at a time.

    :param reason: sentence with the figures, for the journal.
    :param endpoints: endpoints at whose crashes it was in flight.
    """

    reason: str
    endpoints: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Quarantined(sentinels.Sentinel):
    """Sentinel for a fingerprint that must not run.

    :param cause: always ``quarantined``.
    :param reason: sentence with the figures, for the journal.
    :param retry_after_s: time until its record expires.
    """

    cause: str = 'quarantined'
    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class InFlightRequest:
    """One attempt in flight.

    :param fingerprint: the request's fingerprint.
    :param engine: endpoint that runs it.
    """

    fingerprint: str
    engine: str
    _broken_s: float | None = None

    @property
    def broken_s(self) -> float | None:
        """Time at which it ended incomplete; None before."""
        return self._broken_s

    def set_broken(self, now: float) -> None:
        """Marks the attempt as ended incomplete."""
        self._broken_s = now


@attrs.define(eq=False)
class _Record:
    """Crashes of one fingerprint.

    ``crashed_s`` holds the latest crash of each endpoint.
    """

    crashes: int = 0
    expires_s: float = 0
    crashed_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, endpoint: str, now: float) -> bool:
        latest = self.crashed_s.get(endpoint)
        if latest is not None and now - latest < _SAME_CRASH_S:
            return False
        self.crashed_s[endpoint] = now
        self.crashes += 1
        return True


@attrs.define(eq=False)
class Quarantine:
    """Counts, by fingerprint, the endpoint crashes while it was in flight."""

    _ttl_s: float
    _records: dict[str, _Record] = attrs.field(factory=dict)
    _in_flight: dict[str, list[InFlightRequest]] = attrs.field(factory=dict)
    _running_suspect: InFlightRequest | None = None

    @property
    def suspect_in_flight(self) -> bool:
        """Whether a suspect is in flight from this process."""
        return self._running_suspect is not None

    def fingerprint(self, secret: str, account: str, body: bytes) -> str:
        """Returns the keyed hash of a request, in hexadecimal.

        :param secret: secret that the fleet's processes share.
        :param account: account of the caller.
        :param body: the request's body.
        """
        key = hashlib.sha256(secret.encode()).digest()[:_KEY_BYTES]
        digest = hashlib.blake2b(body, key=key, digest_size=16)
        digest.update(b'\0')
        digest.update(account.encode())
        return digest.hexdigest()

    def check(
        self, fingerprint: str, now: float
    ) -> Clear | Suspect | Quarantined:
        """Returns whether a request may run, and under which condition.

        :param fingerprint: result of :meth:`fingerprint`.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None or record.expires_s <= now:
            return Clear()
        endpoints = ', '.join(sorted(record.crashed_s))
        reason = (
            f'fingerprint {fingerprint} was in flight at {record.crashes} '
            f'endpoint crashes ({endpoints}); {_CRASH_LIMIT} lead to quarantine'
        )
        if record.crashes < _CRASH_LIMIT:
            return Suspect(reason=reason, endpoints=tuple(record.crashed_s))
        return Quarantined(reason=reason, retry_after_s=record.expires_s - now)

    def start(
        self, fingerprint: str, engine: str, *, alone: bool = False
    ) -> InFlightRequest:
        """Counts an attempt as in flight.

        :param fingerprint: result of :meth:`fingerprint`.
        :param engine: endpoint that runs it.
        :param alone: whether it is a suspect that this process runs itself;
            the caller must have checked that :attr:`suspect_in_flight` is
            false.
        """
        request = InFlightRequest(fingerprint, engine)
        self._in_flight.setdefault(engine, []).append(request)
        if alone:
            self._running_suspect = request
        return request

    def end(
        self, request: InFlightRequest, now: float, *, completed: bool
    ) -> tuple[schema.messages.Quarantine, ...]:
        """Ends an attempt.

        :param request: result of :meth:`start`.
        :param now: monotonic time in seconds.
        :param completed: whether the complete answer was received.
        :returns: messages to peers that clear the fingerprint.
        """
        if self._running_suspect is request:
            self._running_suspect = None
        self._drop_stale(request.engine, now)
        if not completed:
            request.set_broken(now)
            return ()
        requests = self._in_flight.get(request.engine, [])
        if request in requests:
            requests.remove(request)
        record = self._records.get(request.fingerprint)
        if record is None or record.crashes >= _CRASH_LIMIT:
            return ()
        self._records.pop(request.fingerprint)
        return (
            schema.messages.Quarantine(
                fingerprint=request.fingerprint, endpoint=request.engine
            ),
        )

    def record_crash(
        self, engine: str, now: float
    ) -> tuple[schema.messages.Quarantine, ...]:
        """Counts a crash for each fingerprint in flight at an endpoint.

        Each attempt counts once, however many streams report the crash.

        :param engine: endpoint that crashed.
        :param now: monotonic time in seconds.
        :returns: messages to send to all peers at once.
        """
        self._drop_stale(engine, now)
        requests = self._in_flight.pop(engine, [])
        changed = []
        fingerprints = dict.fromkeys(one.fingerprint for one in requests)
        for fingerprint in fingerprints:
            record = self._renew_record(fingerprint, now, self._ttl_s)
            if record.add(engine, now):
                changed.append(fingerprint)
        return tuple(self._make_message(one, engine) for one in changed)

    def apply_crashes(
        self, fingerprint: str, endpoints: tuple[str, ...], now: float
    ) -> None:
        """Applies the crashes that are given with a forwarded suspect.

        The request may arrive before the message on its crash.

        :param fingerprint: result of :meth:`fingerprint`.
        :param endpoints: endpoints that crashed.
        :param now: monotonic time in seconds.
        """
        record = self._renew_record(fingerprint, now, self._ttl_s)
        for endpoint in endpoints:
            record.add(endpoint, now)

    def apply(self, message: schema.messages.Quarantine, now: float) -> None:
        """Applies a peer's message; a repeated one has no effect.

        :param message: crashes of a fingerprint; none clears a suspect.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(message.fingerprint)
        if not message.crashes:
            if record is not None and record.crashes < _CRASH_LIMIT:
                self._records.pop(message.fingerprint)
            return
        record = self._renew_record(
            message.fingerprint, now, message.expires_in_s
        )
        # A peer's message on a crash of the same endpoint may be late; only its
        # count shows whether it is another crash.
        if message.endpoint not in record.crashed_s:
            record.add(message.endpoint, now)
        record.crashes = max(record.crashes, message.crashes)

    def _make_message(
        self, fingerprint: str, engine: str
    ) -> schema.messages.Quarantine:
        return schema.messages.Quarantine(
            fingerprint=fingerprint,
            crashes=self._records[fingerprint].crashes,
            expires_in_s=self._ttl_s,
            endpoint=engine,
        )

    def _renew_record(
        self, fingerprint: str, now: float, ttl_s: float
    ) -> _Record:
        record = self._records.pop(fingerprint, None)
        if record is None or record.expires_s <= now:
            record = _Record()
        record.expires_s = max(record.expires_s, now + min(ttl_s, self._ttl_s))
        # Keeps the records in order of renewal, the oldest first.
        self._records[fingerprint] = record
        if len(self._records) > _MAX_FINGERPRINTS:
            self._records.pop(next(iter(self._records)))
        return record

    def _drop_stale(self, engine: str, now: float) -> None:
        kept = [
            request
            for request in self._in_flight.get(engine, [])
            if request.broken_s is None
            or now - request.broken_s <= _BROKEN_WINDOW_S
        ]
        self._in_flight[engine] = kept
        if not kept:
            self._in_flight.pop(engine)


def make_quarantine(ttl_s: float) -> Quarantine:
    """Makes an empty quarantine.

    :param ttl_s: time for which the crashes of a fingerprint are kept.

    >>> quarantine = make_quarantine(ttl_s=600)
    >>> for engine in ('e1', 'e2'):
    ...     request = quarantine.start('f', engine)
    ...     messages = quarantine.record_crash(engine, now=0)
    >>> bool(quarantine.check('f', now=1)), messages[0].crashes
    (False, 2)
    """
    return Quarantine(ttl_s)
