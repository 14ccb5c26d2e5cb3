"""Fleet-wide limits: an owner divides each one into grants that expire.

The sum of the rates in use never exceeds the limit, even if messages are lost
or late, by these rules:

- An owner reserves the highest of a member's unexpired grants, because the
  latest answer may not have arrived.
- A member whose grant expired uses at most the smaller of that grant and its
  fair share until all grants that assume this have expired too.
- A member without a valid grant requests so rarely that its grants expire at
  its owner, which then reserves its fair share.
- A new owner answers only after the grants of its predecessor have expired.

A member that its owner does not know yet is not covered; it starts with a small
part of its fair share.
"""

import collections
import math
import typing

import attrs

from briarknot import schema
from briarknot.admission import _policies, _tickets

#: Duration of a grant.
_GRANT_S = 4.0
#: Allowance for differences of clock rates and for scheduling delays.
_MARGIN_S = 1.0
#: Time for which a member without a valid grant uses at most its last rate:
#: its unanswered requests may renew its grant at the owner for one duration,
#: and grants to others that assume that rate last for another one.
_GRACE_S = 2 * _GRANT_S + _MARGIN_S
#: Share of the limit that is divided equally, so that a member with new demand
#: has credits before its owner learns of it.
_EQUAL_SHARE = 0.2
#: Burst: work that may be admitted at once, in seconds of the rate.
_BURST_S = 0.2
#: Time over which a member averages its demand.
_DEMAND_WINDOW_S = 2.0
_MIN_RATE = 1e-9


@attrs.frozen
class _Issued:
    rate: float
    until_s: float


@attrs.define(eq=False)
class LimitOwner:
    """Divides one limit among its members by their recent demand."""

    _limit: str
    _rate: float
    _members: frozenset[str]
    _answers_from_s: float
    _issued: dict[str, list[_Issued]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _demands: dict[str, float] = attrs.field(factory=dict)

    def apply_members(self, members: typing.Iterable[str], now: float) -> None:
        """Applies the list of members among which the limit is divided.

        The share of a removed member stays reserved until its grants expire.

        :param members: entry members last known, live or not.
        :param now: monotonic time in seconds.
        """
        self._members = frozenset(members)
        for name in list(self._issued):
            if not self._list_valid(name, now) and name not in self._members:
                self._issued.pop(name)
                self._demands.pop(name, None)

    def apply_rate(self, rate: float) -> None:
        """Applies a changed limit, which takes effect as grants are renewed."""
        self._rate = rate

    def apply_request(
        self, member: str, request: schema.messages.CreditRequest, now: float
    ) -> schema.messages.CreditGrant | None:
        """Answers a member's request.

        :param member: host that sent the request.
        :param request: its recent demand.
        :param now: monotonic time in seconds.
        :returns: the grant; None while grants of an earlier owner may be valid.
        """
        self._members |= {member}
        self._demands[member] = request.demand
        if now < self._answers_from_s:
            return None
        others = self._members.union(self._issued) - {member}
        reserved = math.fsum(self._get_reserved(one, now) for one in others)
        rate = max(0, min(self._divide(member, now), self._rate - reserved))
        until_s = now + _GRANT_S
        if not self._list_valid(member, now):
            # The member uses its fair share until the answer arrives.
            self._issued[member].append(_Issued(self._fair_share, until_s))
        self._issued[member].append(_Issued(rate, until_s))
        return schema.messages.CreditGrant(
            limit=self._limit,
            rate=rate,
            expires_in_s=_GRANT_S,
            members=len(self._members),
        )

    @property
    def _fair_share(self) -> float:
        return self._rate / max(1, len(self._members))

    def _list_valid(self, name: str, now: float) -> list[_Issued]:
        valid = [one for one in self._issued[name] if one.until_s > now]
        self._issued[name] = valid
        return valid

    def _get_reserved(self, name: str, now: float) -> float:
        """Returns the highest rate that a member may be using."""
        issued = self._list_valid(name, now)
        if issued:
            return max(one.rate for one in issued)
        return self._fair_share if name in self._members else 0

    def _divide(self, member: str, now: float) -> float:
        """Returns a member's equal share plus its share by demand."""
        demands = [
            demand
            for name, demand in self._demands.items()
            if name == member or self._list_valid(name, now)
        ]
        total = math.fsum(demands)
        by_demand = self._fair_share
        if total:
            by_demand = self._rate * self._demands[member] / total
        return _EQUAL_SHARE * self._fair_share + (1 - _EQUAL_SHARE) * by_demand


@attrs.define(eq=False, kw_only=True)
class LimitMember:
    """Admits work under one limit within its granted rate or fair share."""

    _limit: str
    _rate: float
    _members: int
    _tokens: float = 0
    _refilled_s: float
    _granted: float
    _granted_until_s: float = float('-inf')
    _fair_from_s: float
    _request_times: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    _demand: float = 0
    _demand_at_s: float = float('-inf')

    def get_rate(self, now: float) -> float:
        """Returns the rate in force: the granted one or the fair share."""
        if now < self._granted_until_s:
            return self._granted
        fair = self._rate / max(1, self._members)
        return fair if now >= self._fair_from_s else min(fair, self._granted)

    def apply_rate(self, rate: float) -> None:
        """Applies a changed limit."""
        self._rate = rate

    def apply_members(self, members: int, now: float) -> None:
        """Applies the last known number of entry members.

        :param members: members, including suspected ones.
        :param now: monotonic time in seconds.
        """
        self._refill(now)
        self._members = members

    def make_request(self, now: float) -> schema.messages.CreditRequest | None:
        """Makes the message to the owner.

        :param now: monotonic time in seconds.
        :returns: the message; None while the member must not send one. Call
            this about once a second, at least twice per grant duration.
        """
        is_granted = now < self._granted_until_s
        latest = (
            self._request_times[-1] if self._request_times else float('-inf')
        )
        if not is_granted and now < latest + _GRANT_S + _MARGIN_S:
            return None
        self._request_times.append(now)
        # A grant that answers an older request has expired.
        while self._request_times[0] <= now - _GRANT_S:
            self._request_times.popleft()
        return schema.messages.CreditRequest(
            limit=self._limit, demand=self._compute_demand(now)
        )

    def apply_grant(
        self, grant: schema.messages.CreditGrant, now: float
    ) -> None:
        """Applies the owner's answer to a request.

        The grant lasts from the oldest request that it may answer. An answer
        that took longer than the duration of its grant is dropped.

        :param grant: the answer.
        :param now: monotonic time in seconds.
        """
        while (
            self._request_times
            and self._request_times[0] <= now - grant.expires_in_s
        ):
            self._request_times.popleft()
        if not self._request_times:
            return
        # The time of the latest request is kept: the next one depends on it.
        oldest = self._request_times[0]
        if len(self._request_times) > 1:
            self._request_times.popleft()
        self._refill(now)
        self._granted = grant.rate
        self._granted_until_s = oldest + grant.expires_in_s
        self._fair_from_s = now + grant.expires_in_s + _GRACE_S
        self._members = max(self._members, grant.members)

    def take(self, work_s: float, now: float) -> _tickets.Refusal | None:
        """Takes credits for a request.

        A request larger than the burst is admitted if the bucket is full; the
        bucket must then refill from below zero before the next one.

        :param work_s: expected engine seconds.
        :param now: monotonic time in seconds.
        :returns: None where the request is within the limit.
        """
        self._demand = self._compute_demand(now) + work_s / _DEMAND_WINDOW_S
        self._demand_at_s = now
        self._refill(now)
        rate = self.get_rate(now)
        missing = min(work_s, rate * _BURST_S) - self._tokens
        if missing <= 0 and rate > 0:
            self._tokens -= work_s
            return None
        return _tickets.Refusal(
            cause='fleet_limit',
            reason=(
                f'limit {self._limit}: {work_s:.3f} engine s asked, '
                f'{self._tokens:.3f} left, rate here {rate:.3f} of '
                f'{self._rate:.3f} engine s/s'
            ),
            retry_after_s=_policies.clamp_retry_after(
                missing / max(rate, _MIN_RATE)
            ),
        )

    def return_credits(self, work_s: float, now: float) -> None:
        """Returns credits for work that did not run or was overestimated.

        :param work_s: engine seconds; negative where more was used.
        :param now: monotonic time in seconds.
        """
        self._refill(now)
        burst = self.get_rate(now) * _BURST_S
        self._tokens = min(self._tokens + work_s, burst)

    def _refill(self, now: float) -> None:
        # Uses the lower of the rates at both ends, because a rate that changed
        # in between must not count for the whole time.
        rate = min(self.get_rate(self._refilled_s), self.get_rate(now))
        elapsed = max(0, now - self._refilled_s)
        self._tokens = min(
            self._tokens + elapsed * rate, self.get_rate(now) * _BURST_S
        )
        self._refilled_s = max(now, self._refilled_s)

    def _compute_demand(self, now: float) -> float:
        elapsed = max(0, now - self._demand_at_s)
        return self._demand * math.exp(-elapsed / _DEMAND_WINDOW_S)


def make_limit_owner(
    limit: str, rate: float, members: typing.Iterable[str], now: float
) -> LimitOwner:
    """Makes the owner of one limit.

    :param limit: name of the limit, such as the account's.
    :param rate: engine seconds per second.
    :param members: entry members last known, live or not.
    :param now: monotonic time in seconds.
    """
    return LimitOwner(
        limit, rate, frozenset(members), now + _GRANT_S + _MARGIN_S
    )


def make_limit_member(
    limit: str, rate: float, members: int, now: float
) -> LimitMember:
    """Makes a member of one limit.

    :param limit: name of the limit, such as the account's.
    :param rate: engine seconds per second.
    :param members: entry members last known, live or not.
    :param now: monotonic time in seconds.

    >>> member = make_limit_member('account-a', rate=8, members=8, now=0)
    >>> member.get_rate(now=0), member.get_rate(now=60)
    (0.2, 1.0)
    >>> member.take(2, now=60), bool(member.take(1, now=61))
    (None, False)
    """
    fair = rate / max(1, members)
    return LimitMember(
        limit=limit,
        rate=rate,
        members=members,
        refilled_s=now,
        granted=fair * _EQUAL_SHARE,
        fair_from_s=now + _GRACE_S,
    )
