"""Components that the tasks of an entry process share."""

import asyncio
import hashlib
import math
import random
import time

import aiohttp
import attrs

from briarknot import (
    admission,
    claims,
    config,
    journal,
    links,
    membership,
    platform,
    routing,
    schema,
    telemetry,
)
from briarknot.entry import (
    _account_limits,
    _attempts,
    _drain_marks,
    _hops,
    _identity,
    _open_requests,
    _probe,
)

_RETRY_RATIO = 0.2
#: Allows retries in a process with little traffic.
_MIN_RETRIES_PER_S = 1.0
_QUARANTINE_S = 600.0


@attrs.define(eq=False, kw_only=True)
class Context:
    """The components of an entry process.

    :param settings: settings of the process.
    :param client: client of the platform.
    :param hub: peer links.
    :param follower: keeps the document in force.
    :param view: view of the endpoints in the local failure domain.
    :param estimator: estimates work.
    :param router: chooses endpoints.
    :param admission: admission queue.
    :param claims: claims of calls that run at most once.
    :param journal: journal of requests.
    :param sender: sends attempts to engines.
    :param session: client session for endpoints.
    :param drain_marks: drain marks.
    :param services: plain services of the local failure domain.
    :param random: seeded source of random choices.
    :param members: membership of the entry hosts.
    :param detector: failure detector that updates the membership.
    :param account_limits: fleet-wide limits of accounts.
    :param hop_selector: chooses hops to other entry processes.
    :param retry_budget: retry budget.
    :param quarantine: fingerprints of requests that were in flight at
        crashes.
    :param directory: accounts and ranks of the document in force.
    :param probe: distinguishes crashes of engines from broken connections.
    :param suspect_lock: held while a suspect request runs.
    :param open_requests: counts of open requests.
    """

    settings: schema.settings.EntrySettings
    client: platform.Client
    hub: links.Hub
    follower: config.Follower
    view: routing.View
    estimator: routing.Estimator
    router: routing.Router
    admission: admission.Admission
    claims: claims.Claims
    journal: journal.Journal
    sender: _attempts.Sender
    session: aiohttp.ClientSession
    drain_marks: _drain_marks.DrainMarks
    services: routing.ServiceView
    random: random.Random
    members: membership.Members
    detector: membership.Detector
    account_limits: _account_limits.AccountLimits
    hop_selector: _hops.HopSelector
    retry_budget: routing.RetryBudget
    quarantine: routing.Quarantine
    directory: _identity.Directory = attrs.field(
        factory=lambda: _identity.make_directory(schema.fleet.Fleet())
    )
    probe: _probe.Probe
    suspect_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    open_requests: _open_requests.OpenRequests = attrs.field(
        factory=_open_requests.OpenRequests
    )

    @property
    def node(self) -> schema.settings.Node:
        """Identity of the process."""
        return self.settings.node

    @property
    def fleet(self) -> schema.fleet.Fleet:
        """The document in force."""
        return self.follower.in_force.fleet

    def apply_document(self, in_force: config.InForce) -> None:
        """Applies a new document in all components."""
        fleet = in_force.fleet
        self.directory = _identity.make_directory(fleet)
        self.view.apply_document(fleet)
        self.services.apply_document(fleet)
        self.account_limits.apply_document(fleet)
        self.hop_selector.apply_document(fleet)
        self.estimator.apply_document(fleet)
        self._choose_policies(fleet)
        self.admission.apply_document(fleet)
        self.apply_capacity()

    def apply_capacity(self) -> None:
        """Gives admission this process's share of the engines' capacity.

        The live entry processes of the domain share its engines equally, and
        may also use what the others leave idle according to load reports.
        Without shares they would together fill the engines' queues, which do
        not apply the floors of ranks. With equal shares alone, urgent requests
        were refused while engines were free.
        """
        now = time.monotonic()
        capacity = self.view.compute_capacity(now)
        process_count = max(1, len(self.members.live(self.node.domain)))
        used = self.view.count_other_streams(now) / max(1, capacity.concurrent)
        share = max(1 / process_count, 1 - used)
        self.admission.apply_capacity(
            capacity.work_per_s * share,
            math.ceil(capacity.concurrent * share),
            now,
        )

    async def handle_quarantine(
        self, link: links.Link, message: schema.messages.Quarantine
    ) -> None:
        """Applies a fingerprint that another process recorded at a crash."""
        self.quarantine.apply(message, time.monotonic())

    def _choose_policies(self, fleet: schema.fleet.Fleet) -> None:
        name = fleet.policies.router
        if name != self.router.policy_name:
            router = routing.make_router(name, make_seed(self.node.host))
            if isinstance(router, routing.Router):
                self.router = router
                telemetry.log_change('router', name)


def make_seed(host: str) -> int:
    """Returns a seed that differs from host to host."""
    digest = hashlib.sha256(host.encode()).digest()
    return int.from_bytes(digest[:4], 'big')


def make_context(
    settings: schema.settings.EntrySettings,
    client: platform.Client,
    hub: links.Hub,
    session: aiohttp.ClientSession,
) -> Context:
    """Makes the components of an entry process, in a running event loop.

    :param settings: settings of the process.
    :param client: client of the platform.
    :param hub: peer links.
    :param session: client session for endpoints.
    """
    node, timing = settings.node, settings.timing
    empty = schema.fleet.Fleet()
    view = routing.make_view(empty, node.domain)
    members = membership.make_members(
        node.host, node.domain, hub.hello.incarnation
    )
    follower = config.make_follower(
        client,
        hub,
        poll_s=timing.document_poll_s,
        peer_wait_s=timing.suspect_after_s,
    )
    times = membership.DetectorTimes(
        heartbeat_s=timing.heartbeat_s, suspect_after_s=timing.suspect_after_s
    )
    quarantine = routing.make_quarantine(_QUARANTINE_S)
    context = Context(
        settings=settings,
        client=client,
        hub=hub,
        follower=follower,
        view=view,
        estimator=routing.make_estimator(),
        router=routing.make_router('least_work', make_seed(node.host)),
        admission=admission.make_admission(
            'ranked', empty, view.compute_capacity(time.monotonic())
        ),
        claims=claims.make_claims(
            client,
            timing.claim_group_s,
            claims.ClaimSettings(
                answer_bytes=settings.limits.stored_answer_bytes
            ),
        ),
        journal=journal.make_journal(
            client,
            node.host,
            timing.journal_flush_s,
            settings.limits.journal_bytes,
        ),
        sender=_attempts.make_sender(session, timing),
        session=session,
        drain_marks=_drain_marks.make_drain_marks(
            client, view, node, hub, follower, members
        ),
        services=routing.make_service_view(empty, node.domain),
        random=random.Random(make_seed(node.host)),
        members=members,
        detector=membership.make_detector(members, times),
        account_limits=_account_limits.make_account_limits(hub, members),
        hop_selector=_hops.make_hop_selector(hub, node.domain),
        retry_budget=routing.make_retry_budget(
            _RETRY_RATIO, _MIN_RETRIES_PER_S
        ),
        quarantine=quarantine,
        probe=_probe.make_probe(session, view, quarantine, hub),
    )
    context.follower.add_listener(context.apply_document)
    return context
