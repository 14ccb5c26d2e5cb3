"""Fleet-wide limits of accounts, shared among the entry processes."""

import asyncio
import time

import attrs

from briarknot import admission, links, membership, schema

_REQUEST_PERIOD_S = 1.0


@attrs.define(eq=False)
class AccountLimits:
    """Shares of this process in the limits, and the limits that it owns.

    The owner of a limit, which grants credits to all processes, is chosen by
    rendezvous hash over the live members.
    """

    _hub: links.Hub
    _members: membership.Members
    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _shares: dict[str, admission.LimitMember] = attrs.field(
        factory=dict, init=False
    )
    _owned: dict[str, admission.LimitOwner] = attrs.field(
        factory=dict, init=False
    )

    def apply_document(self, fleet: schema.fleet.Fleet) -> None:
        """Applies the limits of a new document."""
        self._rates = {
            account.name: account.limit_work_per_s
            for account in fleet.accounts
            if account.limit_work_per_s
        }
        for limits in (self._shares, self._owned):
            for name in set(limits) - set(self._rates):
                limits.pop(name)
            for name, limit in limits.items():
                limit.apply_rate(self._rates[name])

    def take(
        self, account: schema.fleet.Account, work_s: float
    ) -> admission.Refusal | None:
        """Takes credits for a request.

        :param account: account of the caller.
        :param work_s: expected engine seconds.
        :returns: None if the account is within its limit.
        """
        if account.name not in self._rates:
            return None
        now = time.monotonic()
        return self._get_share(account.name, now).take(work_s, now)

    async def run(self) -> None:
        """Requests credits from the owners periodically, until cancelled."""
        while True:
            now = time.monotonic()
            known_hosts = self._list_known_hosts()
            for name, share in self._shares.items():
                share.apply_members(len(known_hosts), now)
                request = share.make_request(now)
                if request is not None:
                    self._send_request(name, request, now)
            for owned in self._owned.values():
                owned.apply_members(known_hosts, now)
            await asyncio.sleep(_REQUEST_PERIOD_S)

    async def handle_request(
        self, link: links.Link, message: schema.messages.CreditRequest
    ) -> None:
        """Answers a member's request for credits."""
        grant = self._grant(link.host, message, time.monotonic())
        if grant is not None:
            link.send(grant)

    async def handle_grant(
        self, link: links.Link, message: schema.messages.CreditGrant
    ) -> None:
        """Applies the owner's grant."""
        share = self._shares.get(message.limit)
        if share is not None:
            share.apply_grant(message, time.monotonic())

    def _send_request(
        self, name: str, request: schema.messages.CreditRequest, now: float
    ) -> None:
        live = tuple(member.host for member in self._members.live())
        owner = admission.choose_owner(name, live)
        local_host = self._members.local.host
        if owner != local_host:
            self._hub.send(owner, request)
            return
        grant = self._grant(local_host, request, now)
        if grant is not None:
            self._shares[name].apply_grant(grant, now)

    def _grant(
        self, host: str, request: schema.messages.CreditRequest, now: float
    ) -> schema.messages.CreditGrant | None:
        rate = self._rates.get(request.limit)
        if rate is None:
            return None
        if request.limit not in self._owned:
            self._owned[request.limit] = admission.make_limit_owner(
                request.limit, rate, self._list_known_hosts(), now
            )
        return self._owned[request.limit].apply_request(host, request, now)

    def _get_share(self, name: str, now: float) -> admission.LimitMember:
        if name not in self._shares:
            self._shares[name] = admission.make_limit_member(
                name, self._rates[name], len(self._list_known_hosts()), now
            )
        return self._shares[name]

    def _list_known_hosts(self) -> tuple[str, ...]:
        return tuple(member.host for member in self._members.all_known())


def make_account_limits(
    hub: links.Hub, members: membership.Members
) -> AccountLimits:
    """Makes the account limits of a process.

    :param hub: peer links of the process.
    :param members: membership of the entry hosts.
    """
    return AccountLimits(hub, members)
