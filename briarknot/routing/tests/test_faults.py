"""Tests that retry storms and requests that crash endpoints are contained."""

import collections
import itertools
import random

import pytest
from hypothesis import stateful, strategies

from briarknot import routing, schema

_SHARE = 0.25
_FLOOR = 0.5
_TTL_S = 100
_ENGINES = strategies.sampled_from(('e1', 'e2', 'e3'))
_FINGERPRINTS = strategies.sampled_from(('f1', 'f2'))


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Takes retries, records successes, and advances time in any order."""

    def __init__(self):
        """Starts with an unused budget."""
        super().__init__()
        self._budget = routing.make_retry_budget(_SHARE, _FLOOR)
        self._now = 0
        self._successes = 0
        self._retries = 0

    @stateful.rule(count=strategies.integers(1, 50))
    def succeed(self, count):
        """Completes requests."""
        self._successes += count
        for _ in range(count):
            self._budget.record_success(self._now)

    @stateful.rule(count=strategies.integers(1, 50))
    def retry(self, count):
        """Requests retries."""
        for _ in range(count):
            answer = self._budget.try_acquire(self._now)
            assert answer or answer.reason
            self._retries += bool(answer)

    @stateful.rule(step=strategies.sampled_from((0.01, 1, 30)))
    def advance(self, step):
        """Lets time pass."""
        self._now += step

    @stateful.invariant()
    def retries_stay_within_the_budget(self):
        """Retries never exceed share, floor, and the initial budget."""
        earned = _SHARE * self._successes + _FLOOR * self._now
        assert self._retries <= earned + 10 * _FLOOR + 1e-6


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Two entry processes of a domain that send each other all messages."""

    attempts = stateful.Bundle('attempts')

    def __init__(self):
        """Starts without any crash."""
        super().__init__()
        self._now = 0
        self._sides = [routing.make_quarantine(_TTL_S) for _ in range(2)]
        self._crashes = collections.Counter()
        self._expires_s = {}

    @stateful.rule(
        target=attempts,
        side=strategies.integers(0, 1),
        fingerprint=_FINGERPRINTS,
        engine=_ENGINES,
    )
    def start(self, side, fingerprint, engine):
        """Starts an attempt unless its fingerprint is quarantined."""
        if not self._sides[side].check(fingerprint, self._now):
            return stateful.multiple()
        return side, self._sides[side].start(fingerprint, engine)

    @stateful.rule(
        started=stateful.consumes(attempts), completed=strategies.booleans()
    )
    def end(self, started, completed):
        """Ends an attempt and sends the messages to the peer."""
        side, attempt = started
        self._now += 3 * completed
        messages = self._sides[side].end(
            attempt, self._now, completed=completed
        )
        for message in messages:
            self._sides[1 - side].apply(message, self._now)
        self._drop_expired()
        if completed and self._crashes[attempt.fingerprint] < 2:
            self._crashes[attempt.fingerprint] = 0

    @stateful.rule(engine=_ENGINES)
    def crash(self, engine):
        """Crashes an endpoint, with repeated detections and messages."""
        self._now += 6
        self._drop_expired()
        hit = set()
        for side in (0, 1, 0, 1):
            messages = self._sides[side].record_crash(engine, self._now)
            for message in messages + messages:
                hit.add(message.fingerprint)
                self._sides[1 - side].apply(message, self._now)
        self._crashes.update(hit)
        self._expires_s |= dict.fromkeys(hit, self._now + _TTL_S)

    @stateful.rule()
    def expire_all(self):
        """Advances time until all records have expired."""
        self._now += _TTL_S

    @stateful.invariant()
    def both_sides_refuse_after_two_crashes(self):
        """A fingerprint is a suspect after one crash and refused after two."""
        self._drop_expired()
        answers = (routing.Clear, routing.Suspect, routing.Quarantined)
        for fingerprint in ('f1', 'f2'):
            expected = answers[min(2, self._crashes[fingerprint])]
            for side in self._sides:
                answer = side.check(fingerprint, self._now)
                assert isinstance(answer, expected)

    def _drop_expired(self):
        for fingerprint, expires_s in self._expires_s.items():
            if expires_s <= self._now:
                self._crashes[fingerprint] = 0


TestBudgetMachine = BudgetMachine.TestCase
TestQuarantineMachine = QuarantineMachine.TestCase


def test_attempt_that_broke_before_the_crash_was_detected_counts():
    """A stream may break before the crash of its endpoint is recorded."""
    quarantine = routing.make_quarantine(_TTL_S)
    attempt = quarantine.start('f', 'e1', alone=True)
    quarantine.end(attempt, 1, completed=False)
    assert quarantine.record_crash('e1', 2)
    assert not quarantine.suspect_in_flight
    assert isinstance(quarantine.check('f', 2), routing.Suspect)


def test_fingerprint_differs_by_secret_account_and_body():
    """With a shared fingerprint another caller's request would be refused."""
    quarantine = routing.make_quarantine(_TTL_S)
    fingerprints = {
        quarantine.fingerprint(*parts)
        for parts in itertools.product('st', 'ab', (b'x', b'xa'))
    }
    assert len(fingerprints) == 8


def _make_services(count):
    endpoints = tuple(
        schema.fleet.ServiceEndpoint(name=f'w{index}', domain='d')
        for index in range(count)
    )
    service = schema.fleet.Service(name='s', endpoints=endpoints)
    document = schema.fleet.Fleet(services=(service,))
    return routing.make_service_view(document, 'd')


def test_service_calls_spread_and_avoid_failed_endpoints():
    """A failed or busy endpoint must not get the next call."""
    view = _make_services(3)
    generator = random.Random(1)
    view.mark_failed('w0', 0)
    for _ in range(40):
        choice = routing.choose_service_endpoint(view, 's', 0, generator)
        view.start_attempt(choice.endpoint.name)
    assert [view.in_flight(f'w{index}') for index in range(3)] == [0, 20, 20]


@pytest.mark.parametrize('count', [0, 1])
def test_last_endpoint_is_tried_and_none_is_a_sentinel(count):
    """A service without healthy endpoints must not raise an exception."""
    view = _make_services(count)
    view.mark_failed('w0', 0)
    choice = routing.choose_service_endpoint(view, 's', 0, random.Random(1))
    assert bool(choice) is bool(count) and choice.reason
